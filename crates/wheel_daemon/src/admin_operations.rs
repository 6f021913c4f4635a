//! The operations of the admin API.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{BoxFuture, join_all};
use http::StatusCode;
use metrics_exporter_prometheus::PrometheusHandle;
use serde_json::{Value, json};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use wheel_agreement::{
    GroupAction, GroupAnswer, IdempotencyKey, ManifestAnswer, NodeId, RequestDigest, RoleName,
    VoterChange, decode, encode,
};
use wheel_control::{AddressResolver, GroupError};
use wheel_ingress::{AdminHandler, AdminReply, ApplyRequest};
use wheel_lease::GrantorSet;
use wheel_manifest::{ActiveManifest, CentreSpec, ManifestDelta};
use wheel_peer::PeerChannel;
use wheel_serving::DecisionRecord;
use wheel_types::{InstanceName, ManifestRevision};

use crate::peer_metrics::record_peer_metrics;
use crate::{AdminQuery, DaemonParts, InstanceStatus};

/// Time limit for accepting or refusing a manifest.
const APPLY_LIMIT: Duration = Duration::from_secs(8);
/// Time limit for this instance to catch up with the revision that an edit is based on.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(3);
/// Time limit for other instances to report their state.
const STATUS_TIMEOUT: Duration = Duration::from_millis(800);

/// Carries out operators' requests.
#[derive(Clone)]
pub struct AdminOperations {
    parts: Arc<DaemonParts>,
    recorder: PrometheusHandle,
    shutdown: CancellationToken,
}

impl AdminOperations {
    /// Creates operations on `parts`; cancelling `shutdown` starts a graceful shutdown.
    pub fn new(
        parts: Arc<DaemonParts>,
        recorder: PrometheusHandle,
        shutdown: CancellationToken,
    ) -> Self {
        Self { parts, recorder, shutdown }
    }

    /// Waits for a reply until the drain ends, and replies with `ended` then.
    fn reply_in_time(
        &self,
        replying: impl Future<Output = AdminReply> + Send + 'static,
        ended: AdminReply,
    ) -> BoxFuture<'static, AdminReply> {
        let drain = self.parts.drain.clone();
        async move {
            tokio::select! {
                biased;
                reply = replying => reply,
                () = drain.passed() => ended,
            }
        }
        .boxed()
    }

    async fn apply_manifest(self, request: ApplyRequest) -> AdminReply {
        let group = &self.parts.settings.group;
        if request.manifest.group != **group {
            let message =
                format!("the text is of group {:?}, this one is {group:?}", request.manifest.group);
            return AdminReply::error(StatusCode::UNPROCESSABLE_ENTITY, &message);
        }
        let accepted = self.wait_for_revision(request.base).await;
        if accepted.revision < request.base {
            let message = format!(
                "this instance holds revision {} and can't reach revision {} now",
                accepted.revision, request.base
            );
            return AdminReply::error(StatusCode::SERVICE_UNAVAILABLE, &message);
        }
        if let Some(message) = self.refuse_grantors(&request, accepted.revision) {
            return AdminReply::error(StatusCode::UNPROCESSABLE_ENTITY, &message);
        }
        let base = request.base.0.to_le_bytes();
        let digest = RequestDigest::of_parts(&[&base, request.source.as_bytes()]);
        // The group accepts the delta only if the base is still the newest revision.
        let delta = ManifestDelta::between(&accepted.source, &request.source);
        let action = GroupAction::ApplyManifest {
            base: request.base,
            key: IdempotencyKey::new(request.key),
            digest,
            delta,
        };
        match self.parts.group.submit(action, Instant::now() + APPLY_LIMIT).await {
            Ok(GroupAnswer::Manifest(answer)) => manifest_reply(answer),
            Ok(GroupAnswer::Claim(_) | GroupAnswer::Document(_)) => unknown_reply(),
            Err(error) => group_error_reply(&error),
        }
    }

    /// Refuses grantor sets that differ by more than one member from those in force: they may have
    /// majorities without a common member, so that two instances could hold one lease. If another
    /// manifest has been accepted meanwhile, the group decides about this one.
    fn refuse_grantors(
        &self,
        request: &ApplyRequest,
        accepted: ManifestRevision,
    ) -> Option<String> {
        let active =
            self.parts.manifest.active().filter(|manifest| manifest.revision == request.base)?;
        if accepted != request.base {
            return None;
        }
        let set = |centre: &CentreSpec, revision: u64| GrantorSet {
            epoch: revision,
            members: centre.grantors.iter().cloned().collect(),
        };
        let changed = request.manifest.centres.iter().find(|centre| {
            let old = active.manifest.centres.iter().find(|old| old.name == centre.name);
            let (next, old) = (set(centre, accepted.0 + 1), old.map(|old| set(old, accepted.0)));
            old.is_some_and(|old| !old.may_precede(&next))
        })?;
        Some(format!(
            "data centre {}: more than one grantor changes; change one, wait until a lease is held \
             again, then change the next",
            changed.name
        ))
    }

    /// Collects the decisions of this instance and of the grantors of its data centre, because one
    /// of them holds the lease and others may have held it.
    async fn gather_decisions(self, subject: String) -> AdminReply {
        let settings = &self.parts.settings;
        let manifest = self.parts.manifest.active();
        let centres = manifest.iter().flat_map(|manifest| &manifest.manifest.centres);
        let own = centres.filter(|centre| centre.name == settings.centre);
        let grantors = own.flat_map(|centre| &centre.grantors);
        let others: Vec<&InstanceName> =
            grantors.filter(|name| **name != settings.instance).collect();
        let answers =
            join_all(others.iter().map(|name| self.request_decisions(name, &subject))).await;
        let mut decisions: Vec<Value> = Vec::new();
        let mut silent: Vec<&InstanceName> = Vec::new();
        let here = Some(self.parts.decisions.find(&subject));
        let queried = others.into_iter().chain([&settings.instance]);
        for (instance, records) in queried.zip(answers.into_iter().chain([here])) {
            match records {
                Some(records) => {
                    let entries = records.iter().map(|record| decision_json(instance, record));
                    decisions.extend(entries);
                }
                None => silent.push(instance),
            }
        }
        decisions.sort_by_key(|decision| decision["unix_ms"].as_u64());
        let body = json!({
            "data_centre": settings.centre, "decisions": decisions, "not_reached": silent,
        });
        match decisions.is_empty() {
            false => AdminReply::ok(body),
            true => AdminReply::error(
                StatusCode::NOT_FOUND,
                &format!(
                    "no decision about {subject:?} is recorded in data centre {}; ask an instance \
                     of the data centre that it was made in",
                    settings.centre
                ),
            ),
        }
    }

    async fn request_decisions(
        &self,
        instance: &InstanceName,
        subject: &str,
    ) -> Option<Vec<DecisionRecord>> {
        let parts = &self.parts;
        let address = parts.instances.peer_address(instance)?;
        let query = encode(&AdminQuery::Explain { subject: subject.to_owned() }).ok()?;
        let answer = parts.hub.call(&address, PeerChannel::Admin, query, STATUS_TIMEOUT).await;
        decode(&answer.ok()?).ok()
    }

    async fn wait_for_revision(&self, base: ManifestRevision) -> wheel_agreement::AcceptedManifest {
        let mut changes = self.parts.manifest.subscribe();
        let limit = self.parts.drain.bound(Instant::now() + CATCH_UP_LIMIT);
        while self.parts.manifest.current_revision().0 < base {
            if tokio::time::timeout_at(limit, changes.changed()).await.is_err() {
                break;
            }
        }
        self.parts.manifest.accepted()
    }

    async fn gather_status(self) -> AdminReply {
        let others = self.parts.instances.listed();
        let others = others.iter().filter(|peer| peer.instance != self.parts.settings.instance);
        let queried = others.map(|peer| self.request_status(&peer.instance));
        let mut instances: Vec<Value> = join_all(queried).await;
        let own = self.parts.status();
        instances.push(status_json(&own));
        instances.sort_by_key(|instance| instance["name"].as_str().map(str::to_owned));
        let group = match &self.parts.control {
            Some(control) => control.status().await,
            None => self.parts.group.status().await,
        };
        let role = match (&self.parts.control, &group) {
            (Some(_), Some(group)) => format!("control, {:?}", group.role).to_lowercase(),
            _ => "entry".to_owned(),
        };
        let leader = group.as_ref().and_then(|group| group.leader.as_ref());
        let engines: Vec<Value> = self.parts.directory.reports().iter().map(engine_json).collect();
        AdminReply::ok(json!({
            "instance": own.instance,
            "data_centre": own.centre,
            "revision": own.revision,
            "role": role,
            "leader": leader.map(|leader| &leader.instance),
            "term": group.as_ref().map(|group| group.term),
            "commit": group.as_ref().map(|group| group.commit),
            "draining": own.draining,
            "instances": instances,
            "engines": engines,
        }))
    }

    async fn request_status(&self, instance: &InstanceName) -> Value {
        let parts = &self.parts;
        let unreachable = json!({ "name": instance, "reachable": false });
        let Some(address) = parts.instances.peer_address(instance) else { return unreachable };
        let Ok(query) = encode(&AdminQuery::Status) else { return unreachable };
        let answer = parts.hub.call(&address, PeerChannel::Admin, query, STATUS_TIMEOUT).await;
        let status = answer.ok().and_then(|body| decode::<InstanceStatus>(&body).ok());
        status.as_ref().map_or(unreachable, status_json)
    }

    async fn change_voters(self, change: Option<Value>) -> AdminReply {
        let Some(status) = self.parts.group.status().await else {
            let message = "no control instance answers";
            return AdminReply::error(StatusCode::SERVICE_UNAVAILABLE, message);
        };
        let Some(change) = change else {
            let voters: Vec<String> =
                status.members.voters.iter().map(ToString::to_string).collect();
            let learners: Vec<String> =
                status.members.learners.keys().map(ToString::to_string).collect();
            let waiting: Vec<String> = status.waiting.iter().map(ToString::to_string).collect();
            return AdminReply::ok(json!({
                "voters": voters, "learners": learners, "waiting": waiting,
                "wanted_voters": status.wanted_voters.unwrap_or(voters.len()),
                "live_voters": (status.role == RoleName::Leader).then_some(status.live_voters),
                "leader": status.leader.map(|leader| leader.instance),
            }));
        };
        let known: Vec<NodeId> = status.members.nodes().chain(&status.waiting).cloned().collect();
        let change = match parse_change(&change, &known) {
            Ok(change) => change,
            Err(message) => return AdminReply::error(StatusCode::BAD_REQUEST, &message),
        };
        match self.parts.group.change_voter(change, Instant::now() + APPLY_LIMIT).await {
            Ok(()) => AdminReply::ok(json!({ "changed": true })),
            Err(error) => group_error_reply(&error),
        }
    }
}

impl AdminHandler for AdminOperations {
    fn manifest(&self) -> Option<Arc<ActiveManifest>> {
        self.parts.manifest.active()
    }

    fn apply(&self, request: ApplyRequest) -> BoxFuture<'static, AdminReply> {
        self.reply_in_time(self.clone().apply_manifest(request), unknown_reply())
    }

    fn status(&self) -> BoxFuture<'static, AdminReply> {
        self.reply_in_time(self.clone().gather_status(), shutdown_reply())
    }

    fn drain(&self) -> AdminReply {
        self.shutdown.cancel();
        AdminReply::ok(json!({ "draining": true }))
    }

    fn explain(&self, query: &str) -> BoxFuture<'static, AdminReply> {
        self.reply_in_time(self.clone().gather_decisions(query.to_owned()), shutdown_reply())
    }

    fn voters(&self, change: Option<Value>) -> BoxFuture<'static, AdminReply> {
        let ended = match &change {
            Some(_) => AdminReply::error(
                StatusCode::GATEWAY_TIMEOUT,
                "this instance ends; the voters may have changed, look at another one",
            ),
            None => shutdown_reply(),
        };
        self.reply_in_time(self.clone().change_voters(change), ended)
    }

    /// Not ready before the first manifest and while draining; stays ready without the group.
    fn ready(&self) -> bool {
        !self.parts.is_draining() && self.parts.manifest.active().is_some()
    }

    fn metrics(&self) -> String {
        record_peer_metrics(&self.parts.hub.counters());
        self.recorder.render()
    }
}

/// Parses `{"add": "NAME"}` or `{"remove": "NAME"}`, where an identity may follow the name after a
/// slash.
fn parse_change(change: &Value, known: &[NodeId]) -> Result<VoterChange, String> {
    let find = |name: &str| {
        let matches = |node: &&NodeId| node.to_string() == name || node.instance.as_str() == name;
        let found: Vec<&NodeId> = known.iter().filter(matches).collect();
        match found[..] {
            [node] => Ok(node.clone()),
            // A removed voter isn't listed anywhere, so its identity must be given.
            [] => parse_node(name)
                .ok_or_else(|| format!("no member or waiting instance is named {name:?}")),
            _ => Err(format!("{name:?} has several identities; name one as NAME/IDENTITY")),
        }
    };
    match (change["add"].as_str(), change["remove"].as_str()) {
        (Some(name), None) => find(name).map(VoterChange::AddVoter),
        (None, Some(name)) => find(name).map(VoterChange::Remove),
        _ => Err("expected {\"add\": NAME} or {\"remove\": NAME}".to_owned()),
    }
}

/// Parses `NAME/IDENTITY`, with the identity in hexadecimal as shown by `voter list`.
fn parse_node(text: &str) -> Option<NodeId> {
    let (instance, identity) = text.rsplit_once('/')?;
    let identity = u64::from_str_radix(identity, 16).ok()?;
    Some(NodeId::new(instance, identity))
}

fn manifest_reply(answer: ManifestAnswer) -> AdminReply {
    match answer {
        ManifestAnswer::Accepted { revision, hash } => {
            AdminReply::ok(json!({ "revision": revision, "hash": hash.to_string() }))
        }
        ManifestAnswer::Conflict { revision, .. } => AdminReply {
            status: StatusCode::PRECONDITION_FAILED,
            body: json!({
                "error": "another text was accepted since the revision that this one was edited from",
                "revision": revision,
            }),
        },
        ManifestAnswer::KeyReused => AdminReply::error(
            StatusCode::UNPROCESSABLE_ENTITY,
            "the idempotency key belongs to another request",
        ),
        ManifestAnswer::TooLarge => {
            AdminReply::error(StatusCode::PAYLOAD_TOO_LARGE, "the text or the key is too large")
        }
        ManifestAnswer::BrokenDelta => AdminReply::error(
            StatusCode::CONFLICT,
            "the text at this instance differs from the group's; try another instance",
        ),
    }
}

fn unknown_reply() -> AdminReply {
    AdminReply::error(StatusCode::GATEWAY_TIMEOUT, "the text may have been accepted; resend it")
}

/// The reply during a shutdown to a call that changes nothing.
fn shutdown_reply() -> AdminReply {
    AdminReply::error(StatusCode::SERVICE_UNAVAILABLE, "this instance ends; ask another one")
}

fn group_error_reply(error: &GroupError) -> AdminReply {
    match error {
        GroupError::Unresolved => unknown_reply(),
        GroupError::Unavailable => {
            AdminReply::error(StatusCode::SERVICE_UNAVAILABLE, &error.to_string())
        }
        GroupError::Refused { .. } => AdminReply::error(StatusCode::CONFLICT, &error.to_string()),
    }
}

fn decision_json(instance: &InstanceName, record: &DecisionRecord) -> Value {
    json!({
        "instance": instance,
        "unix_ms": record.unix_ms,
        "request": record.request,
        "subject": record.subject,
        "decision": record.decision,
        "reason": record.reason,
    })
}

fn status_json(status: &InstanceStatus) -> Value {
    json!({
        "name": status.instance,
        "data_centre": status.centre,
        "reachable": true,
        "revision": status.revision,
        "age_ms": status.age_ms,
        "holds_lease": status.holds_lease,
        "draining": status.draining,
    })
}

fn engine_json(report: &wheel_types::EngineReport) -> Value {
    let state = match report {
        report if !report.reachable => "unreachable",
        report if report.leaving => "leaving",
        _ => "live",
    };
    let models: Vec<Value> = report
        .models
        .iter()
        .map(
            |state| json!({ "model": state.model, "version": state.version, "phase": state.phase }),
        )
        .collect();
    json!({
        "name": report.upstream,
        "data_centre": report.centre,
        "state": state,
        "owner": report.owner,
        "models": models,
        "queued": report.queued,
        "running": report.load.running,
    })
}
