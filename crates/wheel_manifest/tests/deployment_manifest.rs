//! Valid manifests, and faults that need a large manifest.

use wheel_manifest::{DeploymentManifest, MAX_FAULTS, MAX_MANIFEST_BYTES, UpstreamKind};

const SRISAWAT: &str = include_str!("../../../examples/srisawat.toml");
const ROTA: &str = include_str!("../../../examples/rota.toml");

fn count_upstreams(manifest: &DeploymentManifest, kind: UpstreamKind) -> usize {
    manifest.upstreams.iter().filter(|spec| spec.kind == kind).count()
}

#[test]
fn parse_srisawat_has_its_sizes() {
    let manifest = DeploymentManifest::parse(SRISAWAT).unwrap();
    let sizes = [
        manifest.centres.len(),
        manifest.models.len(),
        manifest.adapters.len(),
        manifest.ranks.len(),
    ];
    assert_eq!(sizes, [3, 105, 95, 3]);
    assert_eq!(count_upstreams(&manifest, UpstreamKind::Engine), 18);
    assert_eq!(count_upstreams(&manifest, UpstreamKind::Service), 3);
    assert_eq!((manifest.store.loads_per_second, manifest.store.full_speed_loads), (10.0, 4));
}

#[test]
fn parse_rota_has_its_sizes() {
    let manifest = DeploymentManifest::parse(ROTA).unwrap();
    let sizes = [
        manifest.centres.len(),
        manifest.models.len(),
        manifest.adapters.len(),
        manifest.ranks.len(),
    ];
    assert_eq!(sizes, [3, 65, 75, 3]);
    assert_eq!(count_upstreams(&manifest, UpstreamKind::Engine), 12);
    assert_eq!(count_upstreams(&manifest, UpstreamKind::Service), 3);
    assert!(manifest.services.iter().all(|spec| spec.time_zone == "Europe/Lisbon"));
    assert_eq!(manifest.store.loads_per_second, 3.5);
}

#[test]
fn parse_windows_line_ends_gives_the_same_manifest() {
    let windows = ROTA.replace('\n', "\r\n");
    assert_eq!(DeploymentManifest::parse(&windows), DeploymentManifest::parse(ROTA));
}

#[test]
fn parse_unchecked_gives_what_parse_gives() {
    for source in [SRISAWAT, ROTA] {
        assert_eq!(
            DeploymentManifest::parse_unchecked(source).ok(),
            DeploymentManifest::parse(source).ok()
        );
    }
    let fault = DeploymentManifest::parse_unchecked("group = \"g\"\nrank = 7\n").unwrap_err();
    assert_eq!((fault.line, fault.column), (2, 8));
}

#[test]
fn parse_oversized_manifest_refused() {
    let long = format!("{ROTA}#{}", " ".repeat(MAX_MANIFEST_BYTES));
    let faults = DeploymentManifest::parse(&long).unwrap_err();
    assert_eq!(faults.len(), 1);
    assert!(faults[0].problem.contains("bytes"), "{}", faults[0]);
    let longest = format!("{ROTA}#{}", " ".repeat(MAX_MANIFEST_BYTES - ROTA.len() - 1));
    assert!(DeploymentManifest::parse(&longest).is_ok());
}

#[test]
fn parse_countless_faults_lists_the_first_ones() {
    let callers = "[[caller]]\nname = \"desk\"\nwieght = 0\n".repeat(2 * MAX_FAULTS);
    let faults = DeploymentManifest::parse(&callers).unwrap_err();
    assert_eq!(faults.len(), MAX_FAULTS + 1);
    assert!(faults[MAX_FAULTS].problem.starts_with("more than"), "{}", faults[MAX_FAULTS]);
}
