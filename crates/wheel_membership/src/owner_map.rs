//! Assignment of upstreams to instances.

use wheel_types::{CentreName, InstanceName, UpstreamName};

use crate::MemberView;

/// Assigns each upstream to one live instance of its data centre by rendezvous hashing, so that a
/// change of the view moves only the upstreams of the instance that came or went.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnerMap;

impl OwnerMap {
    /// The owner of `upstream` in `centre`; `None` if no instance is live there. Instances that
    /// are leaving own something only if all are.
    pub fn owner<'a>(
        view: &'a MemberView,
        centre: &CentreName,
        upstream: &UpstreamName,
    ) -> Option<&'a InstanceName> {
        let members = view.centre(centre);
        let staying = members.iter().any(|member| !member.leaving);
        let names = members
            .iter()
            .filter(|member| !(staying && member.leaving))
            .map(|member| &member.address.name);
        names.max_by_key(|name| (weight(name.as_str(), upstream.as_str()), name.as_str()))
    }
}

/// The rendezvous weight, which depends on the two names only.
pub(crate) fn weight(member: &str, item: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(member.len() as u64).to_le_bytes());
    hasher.update(member.as_bytes());
    hasher.update(item.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
