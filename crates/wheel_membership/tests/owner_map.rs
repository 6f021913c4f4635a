//! Upstreams change their owner only when necessary.

#![allow(clippy::unwrap_used)]

mod common;

use wheel_membership::{LiveMember, MemberView, OwnerMap};
use wheel_types::{CentreName, IncarnationId, InstanceName, UpstreamName};

use crate::common::{CENTRE, address};

const ENGINES: usize = 455;

fn view(indices: impl Iterator<Item = usize>, leaving: &[usize]) -> MemberView {
    let member = |index| LiveMember {
        address: address(CENTRE, index),
        incarnation: Some(IncarnationId(1)),
        leaving: leaving.contains(&index),
        suspect: false,
    };
    let centres = [(CentreName::from(CENTRE), indices.map(member).collect())];
    MemberView { centres: centres.into() }
}

fn owners(view: &MemberView) -> Vec<InstanceName> {
    let owner = |engine| {
        let upstream = UpstreamName::new(format!("engine-{engine}"));
        OwnerMap::owner(view, &CentreName::from(CENTRE), &upstream).unwrap().clone()
    };
    (0..ENGINES).map(owner).collect()
}

#[test]
fn owner_changes_only_for_upstreams_of_a_lost_instance() {
    let before = owners(&view(0..55, &[]));
    let lost = address(CENTRE, 7).name;
    for after in
        [owners(&view((0..55).filter(|index| *index != 7), &[])), owners(&view(0..55, &[7]))]
    {
        for (one, other) in before.iter().zip(&after) {
            assert_ne!(other, &lost);
            assert!(one == &lost || one == other, "{one} was moved to {other}");
        }
    }
    let counts = (0..55).map(|index| address(CENTRE, index).name);
    let counts = counts.map(|name| before.iter().filter(|owner| **owner == name).count());
    let most = counts.max().unwrap();
    println!("{ENGINES} engines on 55 instances: at most {most} on one");
    assert!(most <= 20);
}

#[test]
fn owner_without_staying_instances() {
    let upstream = UpstreamName::from("engine-1");
    let centre = CentreName::from(CENTRE);
    assert!(OwnerMap::owner(&view(0..2, &[0, 1]), &centre, &upstream).is_some());
    assert_eq!(OwnerMap::owner(&view(0..0, &[]), &centre, &upstream), None);
    assert_eq!(OwnerMap::owner(&MemberView::default(), &centre, &upstream), None);
}
