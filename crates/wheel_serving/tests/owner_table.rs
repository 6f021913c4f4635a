//! Upstreams that are taken over, changed and given up.
#![allow(clippy::expect_used)]

use std::sync::Arc;
use std::time::Duration;

use wheel_manifest::{ActiveManifest, DeploymentManifest, ManifestHash};
use wheel_serving::{OwnerSettings, OwnerTable, ProcessClock, ReportMessage, ReportSink};
use wheel_types::{ManifestRevision, UpstreamName};

struct NoSink;

impl ReportSink for NoSink {
    fn publish(&self, _message: ReportMessage) {}
}

fn active_manifest(revision: u64, floor: u32, slots: u32) -> ActiveManifest {
    let source = format!(
        r#"
group = "g"
rank = [{{ name = "question", deadline_ms = 1000, floor_percent = {floor} }}]
data_centre = [{{ name = "a", region = "r", grantors = ["a1"] }}]
upstream = [{{ name = "bookings", kind = "service", data_centre = "a", address = "127.0.0.1:9",
  slots = {slots}, services = ["booking"] }}]
service = [{{ name = "booking", rank = "question", path_prefix = "/booking" }}]
"#
    );
    let manifest = DeploymentManifest::parse(&source).expect("a valid manifest");
    ActiveManifest::new(
        ManifestRevision(revision),
        ManifestHash::default(),
        source.into(),
        manifest,
    )
}

fn open_table() -> Arc<OwnerTable> {
    let settings = OwnerSettings {
        instance: "a1".into(),
        relay: ([127, 0, 0, 1], 9).into(),
        order_life: Duration::from_secs(1),
    };
    OwnerTable::open(settings, ProcessClock::start(), Arc::new(NoSink))
}

#[tokio::test]
async fn apply_manifest_unchanged_upstream_is_kept_and_changed_ranks_or_slots_are_taken_over() {
    let table = open_table();
    let name = UpstreamName::from("bookings");
    table.apply_manifest(&active_manifest(1, 10, 4), |_| true);
    let first = table.get(&name).expect("an owned upstream");
    table.apply_manifest(&active_manifest(2, 10, 4), |_| true);
    assert!(Arc::ptr_eq(&first, &table.get(&name).expect("an owned upstream")));
    table.apply_manifest(&active_manifest(3, 20, 4), |_| true);
    let second = table.get(&name).expect("an owned upstream");
    assert!(
        !Arc::ptr_eq(&first, &second),
        "the upstream is replaced, with the new rank floors in its queue"
    );
    table.apply_manifest(&active_manifest(4, 20, 8), |_| true);
    assert!(!Arc::ptr_eq(&second, &table.get(&name).expect("an owned upstream")));
}

#[tokio::test]
async fn apply_manifest_another_owner_gives_the_upstream_up() {
    let table = open_table();
    table.apply_manifest(&active_manifest(1, 10, 4), |_| true);
    table.apply_manifest(&active_manifest(1, 10, 4), |_| false);
    assert!(table.get(&UpstreamName::from("bookings")).is_none());
    assert!(table.all().is_empty());
}
