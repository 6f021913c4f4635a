//! Manifests of any size.

use std::fmt::Write as _;

use wheel_harness::{ClusterManifest, HarnessError};

/// The number of each kind of item in a generated manifest.
#[derive(Clone, Debug)]
pub struct BenchManifest {
    /// Data centres whose instances are started.
    pub centres: usize,
    /// Grantors of each of them.
    pub grantors: usize,
    /// Engines of each of them.
    pub engines: usize,
    /// Slots of each engine.
    pub slots: u32,
    /// Booking servers in the first data centre.
    pub services: usize,
    /// Models in addition to the one that the runs use.
    pub models: usize,
    /// Adapters.
    pub adapters: usize,
    /// Engines in a data centre that isn't started, to make the manifest larger.
    pub absent_engines: usize,
}

impl Default for BenchManifest {
    fn default() -> Self {
        Self {
            centres: 1,
            grantors: 1,
            engines: 1,
            slots: 512,
            services: 0,
            models: 20,
            adapters: 0,
            absent_engines: 0,
        }
    }
}

/// The data centre whose instances aren't started.
pub(crate) const ABSENT_CENTRE: &str = "absent";

impl BenchManifest {
    /// Generates the manifest's source.
    pub fn source(&self) -> String {
        let mut source = String::from(MANIFEST_HEAD);
        for centre in 1..=self.centres {
            let grantors: Vec<String> =
                (1..=self.grantors).map(|n| format!("\"c{centre}-i{n}\"")).collect();
            let _ = write!(
                source,
                "\n[[data_centre]]\nname = \"c{centre}\"\nregion = \"r\"\ngrantors = [{}]\n",
                grantors.join(", ")
            );
            for engine in 1..=self.engines {
                let port = 10_000 + centre * 1_000 + engine;
                self.push_engine(&mut source, &format!("c{centre}-e{engine}"), centre, port);
            }
        }
        for service in 1..=self.services {
            let port = 40_000 + service;
            let _ = write!(
                source,
                "\n[[upstream]]\nname = \"s{service}\"\nkind = \"service\"\ndata_centre = \"c1\"\n\
                 address = \"127.0.0.1:{port}\"\nslots = {}\nservices = [\"booking\"]\n",
                self.slots
            );
        }
        self.push_absent(&mut source);
        self.push_models(&mut source);
        source
    }

    /// The manifest for the harness.
    ///
    /// # Errors
    /// [`HarnessError::Text`] if the manifest has faults.
    pub fn cluster_manifest(&self) -> Result<ClusterManifest, HarnessError> {
        ClusterManifest::parse(&self.source())
    }

    fn push_engine(&self, source: &mut String, name: &str, centre: usize, port: usize) {
        let _ = write!(
            source,
            "\n[[upstream]]\nname = \"{name}\"\nkind = \"engine\"\ndata_centre = \"c{centre}\"\n\
             address = \"127.0.0.1:{port}\"\nslots = {}\nmemory_mib = 81920\n\
             enforces_fencing = true\n",
            self.slots
        );
    }

    fn push_absent(&self, source: &mut String) {
        if self.absent_engines == 0 {
            return;
        }
        let _ = write!(
            source,
            "\n[[data_centre]]\nname = \"{ABSENT_CENTRE}\"\nregion = \"r\"\n\
             grantors = [\"absent-1\"]\n"
        );
        for engine in 0..self.absent_engines {
            let (high, low) = (engine / 250 + 1, engine % 250 + 1);
            let _ = write!(
                source,
                "\n[[upstream]]\nname = \"absent-e{engine}\"\nkind = \"engine\"\n\
                 data_centre = \"{ABSENT_CENTRE}\"\naddress = \"127.1.{high}.{low}:9000\"\n\
                 slots = 32\nmemory_mib = 655360\naccelerators = 8\n"
            );
        }
    }

    fn push_models(&self, source: &mut String) {
        for model in 0..self.models {
            let _ = write!(
                source,
                "\n[[model]]\nname = \"m{model}\"\nmemory_mib = 16384\nload_ms = 20000\n\
                 max_replicas = 2\n"
            );
        }
        for adapter in 0..self.adapters {
            let model = adapter % self.models.max(1);
            let _ = write!(
                source,
                "\n[[adapter]]\nname = \"a{adapter}\"\nmodel = \"m{model}\"\nmemory_mib = 64\n"
            );
        }
        let models: Vec<String> = (0..self.models).map(|n| format!("\"m{n}\"")).collect();
        let adapters: Vec<String> = (0..self.adapters).map(|n| format!("\"a{n}\"")).collect();
        let _ = write!(
            source,
            "\n[[service]]\nname = \"rare\"\nrank = \"digest\"\nmodels = [{}]\nadapters = [{}]\n",
            models.join(", "),
            adapters.join(", ")
        );
        if self.services > 0 {
            source.push_str(
                "\n[[service]]\nname = \"booking\"\nrank = \"booking\"\npath_prefix = \"/booking\"\n",
            );
        }
    }
}

const MANIFEST_HEAD: &str = r#"group = "bench"

[identity]
by = "header"
name = "wheel-caller"

[store]
loads_per_second = 100.0
full_speed_loads = 64
adapter_loads = 64

[[rank]]
name = "question"
deadline_ms = 20000
floor_percent = 50
worth = 10.0

[[rank]]
name = "booking"
deadline_ms = 20000
floor_percent = 20
worth = 5.0

[[rank]]
name = "digest"
deadline_ms = 60000
floor_percent = 10
worth = 1.0

[[caller]]
name = "desk"
weight = 1

[[model]]
name = "busy"
memory_mib = 1024
load_ms = 2000
max_replicas = 64

[[service]]
name = "assistant"
rank = "question"
models = ["busy"]
"#;
