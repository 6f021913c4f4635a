//! Prints the faults of the manifests named on the command line.

use wheel_manifest::DeploymentManifest;

fn main() {
    for path in std::env::args().skip(1) {
        let source = std::fs::read_to_string(&path).unwrap_or_default();
        let faults = DeploymentManifest::parse(&source).err().unwrap_or_default();
        faults.iter().for_each(|fault| println!("{fault}"));
    }
}
