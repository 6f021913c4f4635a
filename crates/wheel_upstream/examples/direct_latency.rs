//! Measures the latency of direct calls to the fake engine through this crate's client, at 1, 64
//! and 512 open requests: the baseline for the latency that the system adds.
//!
//! `cargo run --release -p wheel_upstream --example direct_latency [CALLS [TOKENS [ENGINE]]]`
//! prints CSV. Without the address of a fake engine that has the model `m`, one runs in this
//! process, and the figures include its processor time and memory. Such an engine is started with
//! `wheel_fake engine --preload m --slots 1000000 --token-us 0`.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use wheel_fakes::{FakeEngine, FakeEngineSettings};
use wheel_types::{EngineCall, RequestId, RequestRank};
use wheel_upstream::{
    CallTimeouts, EngineClient, EngineSettings, GenerateCall, GeneratePath, StreamEvent,
};

type BoxError = Box<dyn std::error::Error + Send + Sync>;

const OPEN_CALLS: [usize; 3] = [1, 64, 512];
const WARM_UP_CALLS: u64 = 2_000;
const DEFAULT_CALLS: u64 = 50_000;
const DEFAULT_TOKENS: u64 = 1;
const MAX_LATENCY_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

#[tokio::main]
async fn main() -> Result<(), BoxError> {
    let calls = number(1, DEFAULT_CALLS)?;
    let tokens = number(2, DEFAULT_TOKENS)?;
    let (address, _own_engine) = match std::env::args().nth(3) {
        Some(address) => (address.parse()?, None),
        None => {
            let engine = own_engine().await?;
            (engine.local_addr(), Some(engine))
        }
    };
    let client = EngineClient::open(EngineSettings::new("engine".into(), address));
    println!(
        "open_calls,calls,tokens,seconds,calls_per_s,p50_us,p95_us,p99_us,max_us,cpu_us_per_call,rss_kib"
    );
    for open_calls in OPEN_CALLS {
        run(&client, open_calls, WARM_UP_CALLS, tokens).await?;
        let (started, cpu) = (Instant::now(), processor_time()?);
        let latencies = run(&client, open_calls, calls, tokens).await?;
        let (seconds, cpu) = (started.elapsed().as_secs_f64(), processor_time()? - cpu);
        println!(
            "{open_calls},{},{tokens},{seconds:.2},{:.0},{},{},{},{},{:.1},{}",
            latencies.len(),
            latencies.len() as f64 / seconds,
            latencies.value_at_quantile(0.5),
            latencies.value_at_quantile(0.95),
            latencies.value_at_quantile(0.99),
            latencies.max(),
            cpu.as_secs_f64() * 1e6 / latencies.len() as f64,
            resident_kib()?,
        );
    }
    Ok(())
}

/// The argument at `index`, or `default`.
fn number(index: usize, default: u64) -> Result<u64, BoxError> {
    std::env::args().nth(index).map_or(Ok(default), |word| Ok(word.parse()?))
}

async fn own_engine() -> Result<FakeEngine, BoxError> {
    let settings = FakeEngineSettings {
        slots: usize::MAX / 2,
        token_time: Duration::ZERO,
        ..FakeEngineSettings::default()
    };
    let engine = FakeEngine::bind(settings).await?;
    engine.preload("m", 1);
    Ok(engine)
}

/// Keeps `open_calls` calls open until `calls` are done; returns their latencies.
async fn run(
    client: &EngineClient,
    open_calls: usize,
    calls: u64,
    tokens: u64,
) -> Result<Histogram<u64>, BoxError> {
    let next = Arc::new(AtomicU64::new(0));
    let workers =
        (0..open_calls).map(|_| tokio::spawn(work(client.clone(), next.clone(), calls, tokens)));
    let workers: Vec<_> = workers.collect();
    let mut latencies = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)?;
    for worker in workers {
        for micros in worker.await?? {
            latencies.record(micros)?;
        }
    }
    Ok(latencies)
}

async fn work(
    client: EngineClient,
    next: Arc<AtomicU64>,
    calls: u64,
    tokens: u64,
) -> Result<Vec<u64>, BoxError> {
    let mut latencies = Vec::new();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= calls {
            return Ok(latencies);
        }
        let started = Instant::now();
        let mut stream = client.generate(short_call(number, tokens)).await?;
        while stream.next().await? != StreamEvent::End {}
        latencies.push(started.elapsed().as_micros() as u64);
    }
}

fn short_call(number: u64, tokens: u64) -> GenerateCall {
    let request_id = RequestId::new(format!("r-{number}"));
    GenerateCall {
        call: EngineCall { request_id, rank: RequestRank(0), resume_from: 0 },
        path: GeneratePath::ChatCompletions,
        headers: Default::default(),
        body: format!(r#"{{"model":"m","stream":true,"max_tokens":{tokens}}}"#).into(),
        timeouts: CallTimeouts::default(),
    }
}

/// User and system CPU time of this process.
fn processor_time() -> Result<Duration, BoxError> {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks: f64 = fields.skip(11).take(2).filter_map(|field| field.parse::<f64>().ok()).sum();
    Ok(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
}

/// Memory of this process, in kibibytes.
fn resident_kib() -> Result<u64, BoxError> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.unwrap_or_default().trim().trim_end_matches(" kB");
    Ok(number.parse()?)
}
