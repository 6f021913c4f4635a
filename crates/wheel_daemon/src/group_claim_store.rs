//! Stores claims in the group's replicated log.

use std::sync::Arc;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use tokio::time::Instant;
use wheel_agreement::{ClaimAnswer, GroupAction, GroupAnswer};
use wheel_control::{GroupClient, GroupError};
use wheel_serving::{ClaimError, ClaimStore};
use wheel_types::{IncarnationId, InstanceName};

use crate::InstanceDirectory;

/// Submits claims through the group's leader.
pub struct GroupClaimStore {
    /// Finds the leader.
    pub client: GroupClient,
    /// Knows which instances are alive.
    pub instances: Arc<InstanceDirectory>,
}

impl ClaimStore for GroupClaimStore {
    fn submit(
        &self,
        action: GroupAction,
        deadline: Instant,
    ) -> BoxFuture<'static, Result<ClaimAnswer, ClaimError>> {
        let client = self.client.clone();
        async move {
            match client.submit(action, deadline).await {
                Ok(GroupAnswer::Claim(answer)) => Ok(answer),
                Ok(GroupAnswer::Manifest(_) | GroupAnswer::Document(_))
                | Err(GroupError::Unresolved) => Err(ClaimError::Unresolved),
                Err(GroupError::Unavailable | GroupError::Refused { .. }) => {
                    Err(ClaimError::Unavailable)
                }
            }
        }
        .boxed()
    }

    fn is_alive(&self, instance: &InstanceName, incarnation: IncarnationId) -> bool {
        self.instances.is_alive(instance, incarnation)
    }
}
