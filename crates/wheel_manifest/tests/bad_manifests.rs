//! Manifests with faults: for each `NAME.toml`, `NAME.faults` lists the expected faults, one a
//! line.

use std::path::Path;

use wheel_manifest::DeploymentManifest;

fn parse_bad_manifest(path: &Path) -> datatest_stable::Result<()> {
    let source = std::fs::read_to_string(path)?;
    let expected = std::fs::read_to_string(path.with_extension("faults"))?;
    let faults = DeploymentManifest::parse(&source).err().ok_or("the manifest has no fault")?;
    let found: String = faults.iter().map(|fault| format!("{fault}\n")).collect();
    if found == expected {
        Ok(())
    } else {
        Err(format!("expected:\n{expected}found:\n{found}").into())
    }
}

datatest_stable::harness! {
    { test = parse_bad_manifest, root = "tests/bad", pattern = r"\.toml$" },
}
