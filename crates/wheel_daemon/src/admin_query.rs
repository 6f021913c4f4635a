//! What instances ask each other for operators.

use serde::{Deserialize, Serialize};

/// A question on the operators' channel between instances.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum AdminQuery {
    /// The instance's state, answered by an [`InstanceStatus`](crate::InstanceStatus).
    Status,
    /// The decisions recorded there, answered by a list of
    /// [`DecisionRecord`](wheel_serving::DecisionRecord).
    Explain {
        /// A model, a service or a request's id.
        subject: String,
    },
}
