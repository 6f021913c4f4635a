//! One line of the platform's list.

use crate::InstanceAddress;

/// An instance as the platform's list shows it. The list lags.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedInstance {
    /// The instance.
    pub address: InstanceAddress,
    /// True if the platform is taking it away.
    pub leaving: bool,
}
