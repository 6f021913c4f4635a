//! The two sites at their current sizes.

use std::time::Duration;

use wheel_manifest::{
    AdapterSpec, CallerSpec, CentreSpec, DeploymentManifest, LinkSpec, ModelSpec, RankSpec,
    ServiceSpec, StoreLimits, UpstreamKind, UpstreamSpec,
};
use wheel_policy::SeededRandom;

use crate::SiteName;

/// Mebibytes in a gibibyte.
const GIB: u64 = 1_024;
/// Time of a load from the store at full speed, for each gibibyte.
const LOAD_MS_PER_GIB: u64 = 400;
/// Memory of an engine for models, in gibibytes.
const ENGINE_GIB: u64 = 96;
/// Seed for the models' sizes.
const SIZE_SEED: u64 = 5;

/// A site: its manifest and the model of its engines and store.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// The manifest as its operators would write it.
    pub manifest: DeploymentManifest,
    /// Speed of its engines and store.
    pub speed: SiteSpeed,
    /// Sessions of the most popular model per day.
    pub top_sessions: f64,
}

/// The fixed model of engines, store and links in replays.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteSpeed {
    /// Prompt tokens per second.
    pub prefill_rate: f64,
    /// Answer tokens per second, for each request of a batch.
    pub decode_rate: f64,
    /// Time of any request in addition to its tokens.
    pub base: Duration,
    /// Duration of an unload.
    pub unload: Duration,
    /// Duration of an adapter load while no more than the limit are in flight.
    pub adapter_load: Duration,
    /// Duration of a load from host memory, as a share of one from the store.
    pub memory_share: f64,
    /// Duration of a load from disk, as a share of one from the store.
    pub disk_share: f64,
    /// Checkpoints that fit into an engine's host memory, in mebibytes.
    pub host_memory_mib: u64,
    /// Checkpoints that fit onto an engine's disk, in mebibytes.
    pub host_disk_mib: u64,
    /// One-way delay between two data centres.
    pub link: Duration,
}

/// The values in which the sites differ.
struct SiteParameters {
    group: &'static str,
    zone: &'static str,
    centres: [&'static str; 3],
    region: &'static str,
    engines: usize,
    models: usize,
    adapters: usize,
    store: StoreLimits,
    adapter_load: Duration,
    link: Duration,
    callers: &'static [(&'static str, usize)],
    services: [(&'static str, f64); 3],
    top_sessions: f64,
}

impl SitePlan {
    /// Creates the plan of a site.
    pub fn of(name: SiteName) -> Self {
        match name {
            SiteName::Srisawat => Self::build(&srisawat(), 1.0),
            SiteName::Rota => Self::build(&rota(), 1.0),
        }
    }

    /// Creates the plan of a site with `factor` times as many models on the same engines.
    pub fn with_models(name: SiteName, factor: f64) -> Self {
        match name {
            SiteName::Srisawat => Self::build(&srisawat(), factor),
            SiteName::Rota => Self::build(&rota(), factor),
        }
    }

    /// Makes every load take `factor` times as long.
    pub fn with_load_factor(mut self, factor: f64) -> Self {
        for model in &mut self.manifest.models {
            model.load_ms = (model.load_ms as f64 * factor) as u64;
        }
        self
    }

    /// Gives each engine's host memory space for checkpoints of `size` gibibytes.
    pub fn with_host_memory(mut self, size_gib: u64) -> Self {
        self.speed.host_memory_mib = size_gib * GIB;
        self
    }

    fn build(parameters: &SiteParameters, factor: f64) -> Self {
        let models = (parameters.models as f64 * factor) as usize;
        let manifest = DeploymentManifest {
            group: parameters.group.to_owned(),
            store: parameters.store.clone(),
            ranks: ranks(),
            centres: centres(parameters),
            links: links(parameters),
            callers: callers(parameters),
            upstreams: upstreams(parameters),
            models: model_specs(models),
            adapters: adapter_specs(parameters.adapters, models),
            services: services(parameters, models),
            ..DeploymentManifest::default()
        };
        let speed = SiteSpeed {
            prefill_rate: 8_000.0,
            decode_rate: 60.0,
            base: Duration::from_millis(40),
            unload: Duration::from_millis(300),
            adapter_load: parameters.adapter_load,
            memory_share: 0.1,
            disk_share: 0.35,
            host_memory_mib: 64 * GIB,
            host_disk_mib: 256 * GIB,
            link: parameters.link,
        };
        Self { manifest, speed, top_sessions: parameters.top_sessions }
    }
}

fn srisawat() -> SiteParameters {
    SiteParameters {
        group: "srisawat",
        zone: "Asia/Bangkok",
        centres: ["khon-kaen", "khorat", "udon"],
        region: "isan",
        engines: 18,
        models: 105,
        adapters: 95,
        store: StoreLimits { loads_per_second: 10.0, full_speed_loads: 4, adapter_loads: 32 },
        adapter_load: Duration::from_millis(5),
        link: Duration::from_millis(4),
        callers: &[("traveller", 12), ("school", 10), ("hotel", 14)],
        services: [("questions", 0.6), ("holds", 0.15), ("lookups", 0.25)],
        top_sessions: 160.0,
    }
}

fn rota() -> SiteParameters {
    SiteParameters {
        group: "rota",
        zone: "Europe/Lisbon",
        centres: ["porto", "braga", "viana"],
        region: "pt-norte",
        engines: 12,
        models: 65,
        adapters: 75,
        store: StoreLimits { loads_per_second: 3.5, full_speed_loads: 4, adapter_loads: 32 },
        adapter_load: Duration::from_millis(8),
        link: Duration::from_millis(3),
        callers: &[("desk", 20), ("committee", 6), ("patron-app", 3)],
        services: [("desk-questions", 0.5), ("loans", 0.15), ("digests", 0.35)],
        top_sessions: 140.0,
    }
}

fn ranks() -> Vec<RankSpec> {
    let rank = |name: &str, deadline_ms, floor_percent, worth| RankSpec {
        name: name.to_owned(),
        deadline_ms,
        floor_percent,
        worth,
    };
    vec![
        rank("question", 15_000, 0, 10.0),
        rank("booking", 20_000, 15, 8.0),
        rank("digest", 900_000, 10, 1.0),
    ]
}

fn centres(parameters: &SiteParameters) -> Vec<CentreSpec> {
    let centre = |name: &&str| CentreSpec {
        name: (*name).into(),
        region: parameters.region.into(),
        grantors: Vec::new(),
    };
    parameters.centres.iter().map(centre).collect()
}

fn links(parameters: &SiteParameters) -> Vec<LinkSpec> {
    let pairs = [(0, 1), (0, 2), (1, 2)];
    let link = |(left, right): (usize, usize)| LinkSpec {
        between: [parameters.centres[left].into(), parameters.centres[right].into()],
        delay_ms: parameters.link.as_secs_f64() * 1_000.0,
        price: 0.05,
    };
    pairs.into_iter().map(link).collect()
}

fn callers(parameters: &SiteParameters) -> Vec<CallerSpec> {
    let kinds = parameters.callers.iter();
    let names = kinds.flat_map(|(kind, count)| (1..=*count).map(move |n| format!("{kind}-{n:02}")));
    names
        .map(|name| CallerSpec { name: name.as_str().into(), token_hash: None, weight: 1 })
        .collect()
}

fn upstreams(parameters: &SiteParameters) -> Vec<UpstreamSpec> {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    let engine = |index: usize| UpstreamSpec {
        name: format!("engine-{index:02}").as_str().into(),
        kind: UpstreamKind::Engine,
        data_centre: parameters.centres[index % parameters.centres.len()].into(),
        address,
        slots: 8,
        memory_mib: ENGINE_GIB * GIB,
        accelerators: 1,
        enforces_fencing: false,
        services: Vec::new(),
    };
    (0..parameters.engines).map(engine).collect()
}

/// Models of 6 to 40 GiB, with small ones more frequent.
fn model_specs(count: usize) -> Vec<ModelSpec> {
    let mut random = SeededRandom::new(SIZE_SEED);
    let spec = |index: usize| {
        let gib = 6 + (34.0 * random.next_unit().powi(2)) as u64;
        ModelSpec {
            name: format!("model-{index:03}").as_str().into(),
            version: 1,
            memory_mib: gib * GIB,
            load_ms: gib * LOAD_MS_PER_GIB,
            min_replicas: 0,
            max_replicas: 3,
        }
    };
    (0..count).map(spec).collect()
}

fn adapter_specs(count: usize, models: usize) -> Vec<AdapterSpec> {
    let adapter = |index: usize| AdapterSpec {
        name: format!("adapter-{index:03}").as_str().into(),
        model: format!("model-{:03}", (index * 7) % models).as_str().into(),
        memory_mib: 128,
    };
    (0..count).map(adapter).collect()
}

/// Distributes the models over the services by the services' shares.
fn services(parameters: &SiteParameters, models: usize) -> Vec<ServiceSpec> {
    let ranks = ["question", "booking", "digest"];
    let service = |index: usize| {
        let (name, _) = parameters.services[index];
        let own = (0..models).filter(|model| service_of(parameters, *model) == index);
        ServiceSpec {
            name: name.into(),
            rank: ranks[index].to_owned(),
            callers: Vec::new(),
            models: own.map(|model| format!("model-{model:03}").as_str().into()).collect(),
            adapters: Vec::new(),
            depends_on: Vec::new(),
            time_zone: parameters.zone.to_owned(),
            path_prefix: None,
            idempotent: index != 1,
        }
    };
    (0..parameters.services.len()).map(service).collect()
}

fn service_of(parameters: &SiteParameters, model: usize) -> usize {
    let position = (model as f64 * 0.618_034).fract();
    let first = parameters.services[0].1;
    let second = first + parameters.services[1].1;
    match position {
        position if position < first => 0,
        position if position < second => 1,
        _ => 2,
    }
}
