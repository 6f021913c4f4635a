//! Putting a text in force.

use std::time::Duration;

use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    AdminAnswer, AdminClient, AdminRequest, ApplyArguments, CtlFailure, CtlOutput, CtlSettings,
    FaultReport, StatusReport,
};

/// Time between two looks at the state of all instances.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// What the server says of an accepted text.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct AppliedText {
    revision: u64,
    #[serde(default)]
    hash: String,
}

/// What `--wait` found.
#[derive(Serialize)]
struct InForce {
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

    /// Sends a checked text, and waits until it is in force if that is asked for.
    pub(crate) async fn run(&self, source: &str) -> Result<(), CtlFailure> {
        let base = match self.arguments.base {
            Some(base) => base,
            None => self.newest_revision().await?,
        };
        let key = self.arguments.key.clone().unwrap_or_else(make_key);
        eprintln!("base={base} key={key}");
        let request = AdminRequest::new(Method::PUT, "/admin/v1/text", source.to_owned());
        let start = Instant::now();
        let answer = self.client.send(&request.base(base).key(&key)).await;
        let answer = answer.map_err(|failure| advise(failure, base, &key))?;
        let applied = self.read_applied(answer)?;
        let AppliedText { revision, hash } = &applied;
        self.output.print(&format!("revision={revision} hash={hash}"), &applied);
        if self.arguments.wait { self.wait(*revision, start).await } else { Ok(()) }
    }

    async fn newest_revision(&self) -> Result<u64, CtlFailure> {
        let answer = self.client.send(&AdminRequest::get("/admin/v1/text")).await;
        // Nothing is changed by reading, so that a lost answer is as good as none.
        let answer = answer.map_err(|failure| match failure {
            CtlFailure::UnknownOutcome { reason } => CtlFailure::Unreachable { reason },
            other => other,
        })?;
        match answer.revision {
            Some(revision) => Ok(revision),
            None if answer.status == StatusCode::NOT_FOUND => Ok(0),
            None => {
                let status = answer.clone().into_success()?.status.as_u16();
                let reason = "the text came without its revision".to_owned();
                Err(CtlFailure::Refused { status, reason })
            }
        }
    }

    fn read_applied(&self, answer: AdminAnswer) -> Result<AppliedText, CtlFailure> {
        let faults = match answer.status {
            StatusCode::UNPROCESSABLE_ENTITY => FaultReport::read_list(&answer.body),
            _ => None,
        };
        if let Some(faults) = faults {
            self.output.print_faults(&self.arguments.file, &faults);
            return Err(CtlFailure::Faults { count: faults.len() });
        }
        let answer = answer.into_success()?;
        serde_json::from_slice(&answer.body).map_err(|error| CtlFailure::UnknownOutcome {
            reason: format!("the answer to an accepted text can't be read: {error}"),
        })
    }

    /// Waits until every instance that the answering one knows has the revision.
    async fn wait(&self, revision: u64, start: Instant) -> Result<(), CtlFailure> {
        let deadline = Instant::now() + self.settings.wait_limit;
        let mut seen = StatusReport::default();
        while Instant::now() < deadline {
            // A look that fails leaves what the last one saw.
            if let Ok(Ok(report)) = timeout_at(deadline, self.status()).await {
                seen = report;
            }
            if seen.has_everywhere(revision) {
                self.print_in_force(revision, seen.instances.len(), start.elapsed());
                return Ok(());
            }
            sleep(POLL_PERIOD).await;
        }
        Err(CtlFailure::Lagging { revision, lagging: name_lagging(&seen, revision) })
    }

    async fn status(&self) -> Result<StatusReport, CtlFailure> {
        let answer = self.client.send(&AdminRequest::get("/admin/v1/status")).await?;
        let answer = answer.into_success()?;
        serde_json::from_slice(&answer.body).map_err(|error| CtlFailure::UnknownOutcome {
            reason: format!("the status can't be read: {error}"),
        })
    }

    fn print_in_force(&self, revision: u64, instances: usize, elapsed: Duration) {
        let in_force_ms = elapsed.as_millis() as u64;
        let line = format!("revision={revision} instances={instances} in_force_ms={in_force_ms}");
        self.output.print(&line, &InForce { revision, instances, in_force_ms });
    }
}

/// A key that no other operator has.
fn make_key() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Adds how to ask again to a failure that leaves the outcome open.
fn advise(failure: CtlFailure, base: u64, key: &str) -> CtlFailure {
    match failure {
        CtlFailure::UnknownOutcome { reason } => CtlFailure::UnknownOutcome {
            reason: format!("{reason}; apply again with --base {base} --key {key} to learn it"),
        },
        other => other,
    }
}

fn name_lagging(report: &StatusReport, revision: u64) -> String {
    let lagging = report.lagging(revision).into_iter();
    let names: Vec<_> = lagging
        .map(|instance| match instance.reachable {
            true => instance.name.clone(),
            false => format!("{} (unreachable)", instance.name),
        })
        .collect();
    if names.is_empty() { "unknown instances".to_owned() } else { names.join(", ") }
}
