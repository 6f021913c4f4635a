//! One entry of the platform's list.

use crate::InstanceAddress;

/// An instance as the platform's list shows it. The list lags.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedInstance {
    /// The instance.
    pub address: InstanceAddress,
    /// True if the platform is removing it.
    pub leaving: bool,
}
