//! Queries between instances on behalf of operators.

use serde::{Deserialize, Serialize};

/// A query on the admin channel between instances.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum AdminQuery {
    /// The instance's state; the answer is an [`InstanceStatus`](crate::InstanceStatus).
    Status,
    /// The decisions recorded at the instance; the answer is a list of
    /// [`DecisionRecord`](wheel_serving::DecisionRecord).
    Explain {
        /// A model, a service or a request's id.
        subject: String,
    },
}
