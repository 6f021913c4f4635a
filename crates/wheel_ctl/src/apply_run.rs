//! Applies a manifest.

use std::time::Duration;

use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    AdminAnswer, AdminClient, AdminRequest, ApplyArguments, CtlFailure, CtlOutput, CtlSettings,
    FaultReport, StatusReport,
};

/// Interval between two reads of the instances' status.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// The server's answer to an accepted manifest.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct AppliedManifest {
    revision: u64,
    #[serde(default)]
    hash: String,
}

/// The result of `--wait`, as printed with `--json`.
#[derive(Serialize)]
struct WaitResult {
    revision: u64,
    instances: usize,
    in_force_ms: u64,
}

/// One run of `apply`.
pub(crate) struct ApplyRun<'a> {
    settings: &'a CtlSettings,
    client: AdminClient<'a>,
    output: CtlOutput,
    arguments: &'a ApplyArguments,
}

impl<'a> ApplyRun<'a> {
    pub(crate) fn new(settings: &'a CtlSettings, arguments: &'a ApplyArguments) -> Self {
        let client = AdminClient::open(settings);
        Self { settings, client, output: CtlOutput::new(settings.json), arguments }
    }

    /// Sends a checked manifest and, with `--wait`, waits until it is active everywhere.
    pub(crate) async fn run(&self, source: &str) -> Result<(), CtlFailure> {
        let base = match self.arguments.base {
            Some(base) => base,
            None => self.newest_revision().await?,
        };
        let key = self.arguments.key.clone().unwrap_or_else(random_key);
        eprintln!("base={base} key={key}");
        let request = AdminRequest::new(Method::PUT, "/admin/v1/text", source.to_owned());
        let start = Instant::now();
        let answer = self.client.send(&request.base(base).key(&key)).await;
        let answer = answer.map_err(|failure| add_retry_hint(failure, base, &key))?;
        let applied = self.read_applied(answer, base);
        let applied = applied.map_err(|failure| add_retry_hint(failure, base, &key))?;
        let AppliedManifest { revision, hash } = &applied;
        self.output.print(&format!("revision={revision} hash={hash}"), &applied);
        if self.arguments.wait { self.wait(*revision, start).await } else { Ok(()) }
    }

    async fn newest_revision(&self) -> Result<u64, CtlFailure> {
        let answer = self.client.send(&AdminRequest::get("/admin/v1/text")).await;
        // Reading changes nothing, so a lost answer doesn't leave an unknown outcome.
        let answer = answer.map_err(|failure| match failure {
            CtlFailure::UnknownOutcome { reason } => CtlFailure::Unreachable { reason },
            other => other,
        })?;
        match answer.revision {
            Some(revision) => Ok(revision),
            None if answer.status == StatusCode::NOT_FOUND => Ok(0),
            None => {
                let status = answer.clone().into_success()?.status.as_u16();
                let reason = "the answer with the text has no revision in its ETag".to_owned();
                Err(CtlFailure::Refused { status, reason })
            }
        }
    }

    /// Reads the answer to a text that was edited from `base`, whose revision is a later one.
    fn read_applied(&self, answer: AdminAnswer, base: u64) -> Result<AppliedManifest, CtlFailure> {
        let faults = match answer.status {
            StatusCode::UNPROCESSABLE_ENTITY => FaultReport::read_list(&answer.body),
            _ => None,
        };
        if let Some(faults) = faults {
            self.output.print_faults(&self.arguments.file, &faults);
            return Err(CtlFailure::Faults { count: faults.len() });
        }
        let answer = answer.into_success()?;
        let applied: AppliedManifest =
            serde_json::from_slice(&answer.body).map_err(|error| CtlFailure::UnknownOutcome {
                reason: format!("the answer to an accepted text isn't valid: {error}"),
            })?;
        match applied.revision {
            revision if revision > base => Ok(applied),
            revision => Err(CtlFailure::UnknownOutcome {
                reason: format!("the answer names revision {revision}, which was there before"),
            }),
        }
    }

    /// Waits until the revision is active at every instance that the answering one lists.
    async fn wait(&self, revision: u64, start: Instant) -> Result<(), CtlFailure> {
        let deadline = Instant::now() + self.settings.wait_limit;
        let mut latest = StatusReport::default();
        while Instant::now() < deadline {
            // After a failed read the previous report is kept.
            if let Ok(Ok(report)) = timeout_at(deadline, self.status()).await {
                latest = report;
            }
            if latest.is_active_everywhere(revision) {
                self.print_wait_result(revision, latest.instances.len(), start.elapsed());
                return Ok(());
            }
            sleep(POLL_PERIOD).await;
        }
        Err(CtlFailure::Lagging { revision, lagging: format_lagging(&latest, revision) })
    }

    async fn status(&self) -> Result<StatusReport, CtlFailure> {
        let answer = self.client.send(&AdminRequest::get("/admin/v1/status")).await?;
        let answer = answer.into_success()?;
        serde_json::from_slice(&answer.body).map_err(|error| CtlFailure::UnknownOutcome {
            reason: format!("the status isn't valid: {error}"),
        })
    }

    fn print_wait_result(&self, revision: u64, instances: usize, elapsed: Duration) {
        let in_force_ms = elapsed.as_millis() as u64;
        let line = format!("revision={revision} instances={instances} in_force_ms={in_force_ms}");
        self.output.print(&line, &WaitResult { revision, instances, in_force_ms });
    }
}

/// A random key; with 128 bits it differs from every other operator's.
fn random_key() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Adds to a failure of unknown outcome the flags with which to repeat the command safely.
fn add_retry_hint(failure: CtlFailure, base: u64, key: &str) -> CtlFailure {
    match failure {
        CtlFailure::UnknownOutcome { reason } => CtlFailure::UnknownOutcome {
            reason: format!("{reason}; apply again with --base {base} --key {key} to learn it"),
        },
        other => other,
    }
}

fn format_lagging(report: &StatusReport, revision: u64) -> String {
    let lagging = report.lagging(revision).into_iter();
    let names: Vec<_> = lagging
        .map(|instance| match instance.reachable {
            true => instance.name.clone(),
            false => format!("{} (unreachable)", instance.name),
        })
        .collect();
    if names.is_empty() { "unknown instances".to_owned() } else { names.join(", ") }
}
