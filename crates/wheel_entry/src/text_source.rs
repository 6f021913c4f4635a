//! Where the front learns the text in force.

use std::sync::Arc;

use wheel_text::ServingText;

/// Gives the accepted text that this instance follows.
pub trait TextSource: Send + Sync + 'static {
    /// The text in force; `None` before the first one.
    fn current(&self) -> Option<Arc<ServingText>>;
}
