//! Takes operators' configurations.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use spdlog::info;
use tokio::time::Instant;
use wheel_agreement::{DocumentAnswer, GroupAction, GroupAnswer, StoredDocument};
use wheel_control::GroupClient;
use wheel_route::ConfigFault;

use crate::ConfigDialect;

/// Time in which a configuration is accepted or left without a clear answer. Operators move on to another
/// instance after a second.
const PUT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for a read that is certain.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// What became of a configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum PutEnd {
    /// It is in force, or a higher version is.
    Accepted,
    /// It is refused for good and changes nothing.
    Invalid(ConfigFault),
    /// It may be in force or come to be so.
    Unresolved,
}

/// Has configurations accepted by the group, and reads the newest one back.
pub struct ConfigDesk {
    group: GroupClient,
    dialect: Arc<dyn ConfigDialect>,
}

impl ConfigDesk {
    /// Makes a desk of the group behind `group`.
    pub fn new(group: GroupClient, dialect: Arc<dyn ConfigDialect>) -> Self {
        Self { group, dialect }
    }

    /// Has a configuration accepted. The work goes on when the operator gives the call up: it was asked for,
    /// and a resend finds it done.
    pub async fn put(self: Arc<Self>, bytes: Bytes) -> PutEnd {
        let working = tokio::spawn(async move { self.submit(&bytes).await });
        working.await.unwrap_or(PutEnd::Unresolved)
    }

    async fn submit(&self, bytes: &Bytes) -> PutEnd {
        let config = match self.dialect.read(bytes) {
            Ok(config) => config,
            Err(fault) => {
                info!("config_refused", kv: { reason:? = fault.to_string() });
                return PutEnd::Invalid(fault);
            }
        };
        let version = config.version;
        let action = GroupAction::AdoptDocument { version, bytes: bytes.to_vec().into() };
        let began = Instant::now();
        let answer = self.group.submit(action, began + PUT_TIMEOUT).await;
        let (end, outcome) = match answer {
            Ok(GroupAnswer::Document(DocumentAnswer::Adopted)) => (PutEnd::Accepted, "adopted"),
            Ok(GroupAnswer::Document(DocumentAnswer::Kept { .. })) => (PutEnd::Accepted, "kept"),
            Ok(GroupAnswer::Document(DocumentAnswer::TooLarge)) => {
                let reason = "it is larger than the group takes".to_owned();
                (PutEnd::Invalid(ConfigFault::Unreadable { reason }), "too_large")
            }
            Ok(_) | Err(_) => (PutEnd::Unresolved, "unresolved"),
        };
        info!("config_put", kv: {
            version, outcome = outcome, ms = began.elapsed().as_millis()
        });
        end
    }

    /// The newest configuration; `Err` if nobody can be sure which it is.
    ///
    /// # Errors
    /// Nothing more is known.
    #[allow(clippy::result_unit_err)]
    pub async fn read(&self) -> Result<Option<Arc<StoredDocument>>, ()> {
        let answer = self.group.read(Instant::now() + READ_TIMEOUT).await;
        answer.map(|answer| answer.document).ok_or(())
    }
}
