//! Look-ups in a checked manifest.

#![allow(clippy::unwrap_used)]

use wheel_manifest::{DeploymentManifest, ManifestIndex};
use wheel_types::{CentreName, RequestRank};

fn srisawat() -> ManifestIndex {
    let source = include_str!("../../../examples/srisawat.toml");
    ManifestIndex::new(DeploymentManifest::parse(source).unwrap())
}

#[test]
fn look_up_every_name_finds_its_entry() {
    let index = srisawat();
    let manifest = index.manifest();
    assert!(manifest.models.iter().all(|spec| index.model(spec.name.as_str()) == Some(spec)));
    assert!(manifest.callers.iter().all(|spec| index.caller(spec.name.as_str()) == Some(spec)));
    assert!(manifest.services.iter().all(|spec| index.service(spec.name.as_str()) == Some(spec)));
    assert!(manifest.centres.iter().all(|spec| index.centre(spec.name.as_str()) == Some(spec)));
    assert!(manifest.upstreams.iter().all(|spec| index.upstream(spec.name.as_str()) == Some(spec)));
    for spec in &manifest.adapters {
        assert_eq!(index.adapter(&format!("{}:{}", spec.model, spec.name)), Some(spec));
        assert!(index.adapters_of(spec.model.as_str()).any(|adapter| adapter == spec));
    }
}

#[test]
fn adapter_of_another_model_isnt_found() {
    let index = srisawat();
    assert!(index.adapter("assistant-small:guests-th").is_some());
    assert!(index.adapter("assistant-large:guests-th").is_none());
    assert!(index.adapter("guests-th").is_none());
}

#[test]
fn service_at_matches_whole_names() {
    let index = srisawat();
    let (non_ascii, deep) = ("/é".repeat(4_000), format!("/booking{}", "/a".repeat(4_000)));
    let name = |path: &str| index.service_at(path).map(|spec| spec.name.as_str());
    assert_eq!(name("/booking"), Some("booking"));
    assert_eq!(name("/booking/"), Some("booking"));
    assert_eq!(name("/booking/7/seats"), Some("booking"));
    assert_eq!(name("/seats/booking"), Some("seats"));
    assert_eq!(name("/bookings"), None);
    assert_eq!(name("/"), None);
    assert_eq!(name(&non_ascii), None);
    assert_eq!(name(&deep), Some("booking"));
}

#[test]
fn rank_index_is_its_position_in_the_manifest() {
    let index = srisawat();
    assert_eq!(index.rank("digest"), Some(RequestRank(2)));
    assert_eq!(index.rank_spec(RequestRank(2)).unwrap().name, "digest");
    assert_eq!(index.rank("no-rank"), None);
}

#[test]
fn upstreams_by_centre_and_service() {
    let index = srisawat();
    assert_eq!(index.upstreams_in("isan-b").count(), 7);
    assert!(index.upstreams_in("isan-b").all(|spec| spec.data_centre.as_str() == "isan-b"));
    assert_eq!(index.upstreams_in("isan-z").count(), 0);
    assert_eq!(index.upstreams_of("charges").count(), 3);
}

#[test]
fn models_and_services_of_each_other() {
    let index = srisawat();
    assert_eq!(index.models_of("walks").count(), 10);
    let services: Vec<_> = index.services_of("walk-lam-pao").map(|spec| &spec.name).collect();
    assert_eq!(services, [&"walks".into()]);
}

#[test]
fn link_is_the_same_both_ways_or_the_default() {
    let index = srisawat();
    let (a, b, z): (CentreName, CentreName, CentreName) =
        ("isan-a".into(), "isan-c".into(), "isan-z".into());
    assert_eq!(index.link(&a, &b).delay_ms, 4.2);
    assert_eq!(index.link(&b, &a).delay_ms, 4.2);
    assert_eq!(index.link(&a, &z).price, 0.0);
}

#[test]
fn caller_of_token_knows_hashes_only() {
    let hash = "0f".repeat(32);
    let source = format!(
        "group = \"g\"\nidentity = {{ by = \"bearer\" }}\n\
         rank = [{{ name = \"question\", deadline_ms = 1 }}]\n\
         data_centre = [{{ name = \"north\", region = \"isan\", grantors = [\"a1\"] }}]\n\
         caller = [{{ name = \"desk\", token_hash = \"{hash}\" }}]\n"
    );
    let index = ManifestIndex::new(DeploymentManifest::parse(&source).unwrap());
    assert_eq!(index.caller_of_token(&hash).unwrap().name.as_str(), "desk");
    assert!(index.caller_of_token(&"0e".repeat(32)).is_none());
}
