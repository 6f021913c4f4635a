//! Measures what the system adds to short requests, compared with direct calls to the same fake
//! engine.

use std::net::SocketAddr;
use std::time::Duration;

use wheel_harness::{ClusterSettings, LocalCluster};

use crate::{BenchError, BenchManifest, CsvTable, LoadClient, LoadResult, ProcessMeter};

/// Requests in each measured run.
const REQUESTS: usize = 6_000;
/// Requests before the measured ones, to open connections.
const WARM_UP: usize = 400;

/// The route of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestRoute {
    /// Straight to the fake engine.
    Direct,
    /// To the instance that owns the engine.
    Owner,
    /// To another instance, which relays to the owner.
    Relayed,
    /// To all three instances in turn.
    All,
}

/// Measures each route at 1, 64 and 512 open requests.
///
/// # Errors
/// [`BenchError`] if a system can't be started.
pub async fn run_requests() -> Result<CsvTable, BenchError> {
    let columns = [
        "way",
        "open",
        "rate_per_s",
        "median_us",
        "p99_us",
        "failed",
        "owner_cpu_us_per_request",
        "entry_cpu_us_per_request",
    ];
    let mut table = CsvTable::new("requests", &columns);
    let manifest = BenchManifest { grantors: 3, slots: 4_096, ..BenchManifest::default() };
    let settings = preloaded_settings("0");
    let mut cluster = LocalCluster::start(&manifest.cluster_manifest()?, &settings).await?;
    cluster.apply_first(Duration::from_secs(30)).await?;
    let owner = find_owner(&cluster).await?;
    for route in
        [RequestRoute::Direct, RequestRoute::Owner, RequestRoute::Relayed, RequestRoute::All]
    {
        for open in [1, 64, 512] {
            table.push(&measure(&mut cluster, owner, route, open).await?);
        }
    }
    Ok(table)
}

/// Settings with one control instance and an engine that has `busy` loaded from the start.
pub(crate) fn preloaded_settings(token_us: &str) -> ClusterSettings {
    ClusterSettings {
        control: 1,
        engine_flags: ["--token-us", token_us, "--load-ms", "50"].map(str::to_owned).to_vec(),
        preload: vec!["c1-e1=busy".to_owned()],
        ..ClusterSettings::default()
    }
}

/// Index of the instance that owns the engine.
pub(crate) async fn find_owner(cluster: &LocalCluster) -> Result<usize, BenchError> {
    let at = cluster.instances[0].ports.operators;
    let owner = cluster
        .wait_until("an owner of the engine", Duration::from_secs(10), || async {
            let status = cluster.status(at).await.ok()?;
            let engine = status["engines"].as_array()?.first()?.clone();
            let loaded = !engine["models"].as_array()?.is_empty();
            loaded.then(|| engine["owner"].as_str().map(str::to_owned)).flatten()
        })
        .await?;
    let index = cluster.instances.iter().position(|instance| instance.name.as_str() == owner);
    index.ok_or_else(|| BenchError::Missing { what: "the engine's owner".to_owned() })
}

async fn measure(
    cluster: &mut LocalCluster,
    owner: usize,
    route: RequestRoute,
    open: usize,
) -> Result<[f64; 8], BenchError> {
    let callers = |index: usize, cluster: &LocalCluster| cluster.instances[index].ports.callers;
    let ingress = (owner + 1) % cluster.instances.len();
    let addresses: Vec<SocketAddr> = match route {
        RequestRoute::Direct => cluster.addresses.values().copied().collect(),
        RequestRoute::Owner => vec![callers(owner, cluster)],
        RequestRoute::Relayed => vec![callers(ingress, cluster)],
        RequestRoute::All => (0..cluster.instances.len()).map(|n| callers(n, cluster)).collect(),
    };
    let client = LoadClient {
        addresses,
        path: "/v1/chat/completions".to_owned(),
        headers: direct_headers(route),
        body: r#"{"model":"busy","max_tokens":1,"messages":[]}"#.to_owned(),
        key_prefix: None,
    };
    client.run(open, WARM_UP.div_ceil(open)).await;
    let owner_meter = meter_of(cluster, owner);
    let ingress_meter = meter_of(cluster, ingress);
    let before = (owner_meter.read(), ingress_meter.read());
    let result: LoadResult = client.run(open, REQUESTS.div_ceil(open)).await;
    let after = (owner_meter.read(), ingress_meter.read());
    let requests = (result.succeeded + result.failed).max(1) as f64;
    let per_request = |cpu_s: f64| cpu_s * 1e6 / requests;
    Ok([
        route as u8 as f64,
        open as f64,
        result.rate(),
        result.total_us.value_at_quantile(0.5) as f64,
        result.total_us.value_at_quantile(0.99) as f64,
        result.failed as f64,
        per_request(after.0.cpu_since(&before.0)),
        per_request(after.1.cpu_since(&before.1)),
    ])
}

/// The fake engine requires a request id, which the system sets on requests that it forwards.
fn direct_headers(route: RequestRoute) -> Vec<(String, String)> {
    match route {
        RequestRoute::Direct => vec![("wheel-request-id".to_owned(), "direct".to_owned())],
        _ => Vec::new(),
    }
}

pub(crate) fn meter_of(cluster: &mut LocalCluster, index: usize) -> ProcessMeter {
    let process = cluster.instances[index].process();
    ProcessMeter::open(process.map_or(0, |process| process.id()))
}
