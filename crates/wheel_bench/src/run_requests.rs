//! What the system adds to short requests, against a direct call to the same fake.

use std::net::SocketAddr;
use std::time::Duration;

use wheel_harness::{ClusterSettings, LocalCluster};

use crate::{BenchError, BenchText, CsvTable, LoadClient, LoadResult, ProcessMeter};

/// Requests in each measured span.
const REQUESTS: usize = 6_000;
/// Requests before it, to warm connections up.
const WARM_UP: usize = 400;

/// Where requests are sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestWay {
    /// Straight to the fake engine.
    Direct,
    /// To the instance that owns the engine.
    Owner,
    /// To another instance, which relays to the owner.
    Relayed,
    /// To all three instances in turn.
    All,
}

/// Measures each way at 1, 64 and 512 open requests.
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
    let text = BenchText { grantors: 3, slots: 4_096, ..BenchText::default() };
    let settings = warm_engine("0");
    let mut cluster = LocalCluster::start(&text.cluster_text()?, &settings).await?;
    cluster.apply_first(Duration::from_secs(30)).await?;
    let owner = find_owner(&cluster).await?;
    for way in [RequestWay::Direct, RequestWay::Owner, RequestWay::Relayed, RequestWay::All] {
        for open in [1, 64, 512] {
            table.push(&measure(&mut cluster, owner, way, open).await?);
        }
    }
    Ok(table)
}

/// Settings with one control instance and an engine that holds the model from the start.
pub(crate) fn warm_engine(token_us: &str) -> ClusterSettings {
    ClusterSettings {
        control: 1,
        engine_flags: ["--token-us", token_us, "--load-ms", "50"].map(str::to_owned).to_vec(),
        preload: vec!["c1-e1=busy".to_owned()],
        ..ClusterSettings::default()
    }
}

/// The place of the instance that owns the engine.
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
    let place = cluster.instances.iter().position(|instance| instance.name.as_str() == owner);
    place.ok_or_else(|| BenchError::Missing { what: "the engine's owner".to_owned() })
}

async fn measure(
    cluster: &mut LocalCluster,
    owner: usize,
    way: RequestWay,
    open: usize,
) -> Result<[f64; 8], BenchError> {
    let callers = |place: usize, cluster: &LocalCluster| cluster.instances[place].ports.callers;
    let entry = (owner + 1) % cluster.instances.len();
    let at: Vec<SocketAddr> = match way {
        RequestWay::Direct => cluster.addresses.values().copied().collect(),
        RequestWay::Owner => vec![callers(owner, cluster)],
        RequestWay::Relayed => vec![callers(entry, cluster)],
        RequestWay::All => (0..cluster.instances.len()).map(|n| callers(n, cluster)).collect(),
    };
    let client = LoadClient {
        at,
        path: "/v1/chat/completions".to_owned(),
        headers: direct_headers(way),
        body: r#"{"model":"busy","max_tokens":1,"messages":[]}"#.to_owned(),
        key_prefix: None,
    };
    client.run(open, WARM_UP.div_ceil(open)).await;
    let owner_meter = meter_of(cluster, owner);
    let entry_meter = meter_of(cluster, entry);
    let before = (owner_meter.read(), entry_meter.read());
    let result: LoadResult = client.run(open, REQUESTS.div_ceil(open)).await;
    let after = (owner_meter.read(), entry_meter.read());
    let requests = (result.succeeded + result.failed).max(1) as f64;
    let per_request = |cpu_s: f64| cpu_s * 1e6 / requests;
    Ok([
        way as u8 as f64,
        open as f64,
        result.rate(),
        result.total_us.value_at_quantile(0.5) as f64,
        result.total_us.value_at_quantile(0.99) as f64,
        result.failed as f64,
        per_request(after.0.cpu_since(&before.0)),
        per_request(after.1.cpu_since(&before.1)),
    ])
}

/// The fake wants a request id; through the system it gets one.
fn direct_headers(way: RequestWay) -> Vec<(String, String)> {
    match way {
        RequestWay::Direct => vec![("wheel-request-id".to_owned(), "direct".to_owned())],
        _ => Vec::new(),
    }
}

pub(crate) fn meter_of(cluster: &mut LocalCluster, place: usize) -> ProcessMeter {
    let process = cluster.instances[place].process();
    ProcessMeter::open(process.map_or(0, |process| process.id()))
}
