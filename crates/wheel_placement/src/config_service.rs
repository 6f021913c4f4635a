//! Submits operators' configurations to the group.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use spdlog::{info, warn};
use tokio::time::{Instant, timeout_at};
use wheel_agreement::{DocumentAnswer, GroupAction, GroupAnswer, StoredDocument};
use wheel_control::{DocumentState, GroupClient};
use wheel_route::ConfigError;

use crate::ConfigDialect;

/// Time limit for the group to accept a configuration; after that the outcome is unresolved.
/// Operators move on to another instance after a second.
const PUT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time limit for a linearizable read.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// The outcome of submitting a configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum PutOutcome {
    /// It is in force, or a higher version is.
    Accepted,
    /// It is invalid and changes nothing.
    Invalid(ConfigError),
    /// It may be in force, or may still come into force.
    Unresolved {
        /// Why there is no clear outcome.
        reason: String,
    },
}

/// Submits configurations to the group, and reads the newest one back.
pub struct ConfigService {
    group: GroupClient,
    documents: Arc<DocumentState>,
    dialect: Arc<dyn ConfigDialect>,
}

impl ConfigService {
    /// Creates a service that submits to `group`, whose committed documents this instance receives
    /// in `documents`, and parses with `dialect`.
    pub fn new(
        group: GroupClient,
        documents: Arc<DocumentState>,
        dialect: Arc<dyn ConfigDialect>,
    ) -> Self {
        Self { group, documents, dialect }
    }

    /// Submits a configuration. The submission continues if the operator abandons the call: the
    /// change was requested, and a retry finds it done.
    pub async fn put(self: Arc<Self>, bytes: Bytes) -> PutOutcome {
        let task = tokio::spawn(async move { self.submit(&bytes).await });
        task.await.unwrap_or_else(|error| PutOutcome::Unresolved { reason: error.to_string() })
    }

    async fn submit(&self, bytes: &Bytes) -> PutOutcome {
        let config = match self.dialect.read(bytes) {
            Ok(config) => config,
            Err(error) => {
                info!("config_refused", kv: { reason:? = error.to_string() });
                return PutOutcome::Invalid(error);
            }
        };
        let version = config.version;
        let action = GroupAction::AdoptDocument { version, bytes: bytes.to_vec().into() };
        let began = Instant::now();
        let answer = self.group.submit(action, began + PUT_TIMEOUT).await;
        let (result, outcome) = match answer {
            Ok(GroupAnswer::Document(DocumentAnswer::Adopted)) => (PutOutcome::Accepted, "adopted"),
            Ok(GroupAnswer::Document(DocumentAnswer::Kept { .. })) => {
                (PutOutcome::Accepted, "kept")
            }
            Ok(GroupAnswer::Document(DocumentAnswer::TooLarge)) => {
                let reason = "it is larger than the group takes".to_owned();
                (PutOutcome::Invalid(ConfigError::Unreadable { reason }), "too_large")
            }
            Ok(_) => (self.unresolved("another answer than to a configuration"), "unresolved"),
            Err(error) => (self.unresolved(&error.to_string()), "unresolved"),
        };
        if let PutOutcome::Unresolved { reason } = &result {
            warn!("config_put_unresolved", kv: { version, reason:? = reason });
        }
        info!("config_put", kv: {
            version, outcome = outcome, ms = began.elapsed().as_millis()
        });
        result
    }

    /// No clear outcome, with what this instance waits for if it takes no part in the group yet.
    fn unresolved(&self, error: &str) -> PutOutcome {
        let reason = match self.group.start_wait() {
            Some(wait) => format!("{error}; this instance waits for {wait}"),
            None => error.to_owned(),
        };
        PutOutcome::Unresolved { reason }
    }

    /// The newest configuration. Waits until this instance holds one as new as the group confirms.
    ///
    /// # Errors
    /// The read couldn't be confirmed, or the configuration hasn't arrived here in time.
    #[allow(clippy::result_unit_err)]
    pub async fn read(&self) -> Result<Option<Arc<StoredDocument>>, ()> {
        let deadline = Instant::now() + READ_TIMEOUT;
        let answer = self.group.read(deadline).await.ok_or(())?;
        let mut changes = self.documents.subscribe();
        let is_new = |held: &Option<Arc<StoredDocument>>| {
            held.as_ref().map_or(0, |held| held.version) >= answer.version
        };
        let held = timeout_at(deadline, changes.wait_for(is_new)).await;
        held.map_err(|_| ())?.map(|held| held.clone()).map_err(|_| ())
    }
}
