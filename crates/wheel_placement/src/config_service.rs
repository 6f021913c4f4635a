//! Submits operators' configurations to the group.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use spdlog::info;
use tokio::time::Instant;
use wheel_agreement::{DocumentAnswer, GroupAction, GroupAnswer, StoredDocument};
use wheel_control::GroupClient;
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
    Unresolved,
}

/// Submits configurations to the group, and reads the newest one back.
pub struct ConfigService {
    group: GroupClient,
    dialect: Arc<dyn ConfigDialect>,
}

impl ConfigService {
    /// Creates a service that submits to `group` and parses with `dialect`.
    pub fn new(group: GroupClient, dialect: Arc<dyn ConfigDialect>) -> Self {
        Self { group, dialect }
    }

    /// Submits a configuration. The submission continues if the operator abandons the call: the
    /// change was requested, and a retry finds it done.
    pub async fn put(self: Arc<Self>, bytes: Bytes) -> PutOutcome {
        let task = tokio::spawn(async move { self.submit(&bytes).await });
        task.await.unwrap_or(PutOutcome::Unresolved)
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
            Ok(_) | Err(_) => (PutOutcome::Unresolved, "unresolved"),
        };
        info!("config_put", kv: {
            version, outcome = outcome, ms = began.elapsed().as_millis()
        });
        result
    }

    /// The newest configuration.
    ///
    /// # Errors
    /// The read couldn't be confirmed, so the newest configuration is unknown.
    #[allow(clippy::result_unit_err)]
    pub async fn read(&self) -> Result<Option<Arc<StoredDocument>>, ()> {
        let answer = self.group.read(Instant::now() + READ_TIMEOUT).await;
        answer.map(|answer| answer.document).ok_or(())
    }
}
