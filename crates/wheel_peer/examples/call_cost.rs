//! Measures the cost of calls between instances and prints it as CSV:
//! `cargo run --release -p wheel_peer --example call_cost`
//!
//! One hub calls 1, 8 and 55 others in the same process, so that CPU time and memory are those of
//! both sides together. `busy` keeps 64 calls in flight, `paced` calls each peer once a second,
//! `idle` makes no calls. Linux only: CPU time and memory come from `/proc`.

use std::fs;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::{BoxFuture, join_all};
use futures_util::{FutureExt, StreamExt, stream};
use tokio::runtime::Handle;
use wheel_peer::{
    PeerAddress, PeerChannel, PeerCounters, PeerHandler, PeerHub, PeerIdentity, PeerRefusal,
    PeerSecret, PeerSettings,
};
use wheel_types::InstanceName;

const PEER_COUNTS: [usize; 3] = [1, 8, 55];

/// Sizes of the body of a heartbeat and of its answer, in bytes.
const BODY_BYTES: usize = 100;
const ANSWER_BYTES: usize = 20;

const CALLS_IN_FLIGHT: usize = 64;
const BUSY_CALLS: usize = 50_000;
const PACED_SECONDS: u32 = 10;
const IDLE_TIME: Duration = Duration::from_secs(10);
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// CPU time in `/proc/self/stat` is counted in ticks of 10 ms.
const TICK: Duration = Duration::from_millis(10);
const PAGE_BYTES: u64 = 4_096;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!(
        "mode,peers,seconds,calls,failed,calls_per_s,wire_bytes_per_call,wire_bytes_per_s,\
         processor_us_per_call,processor_percent,memory_kib_per_connection"
    );
    for peers in PEER_COUNTS {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(2).enable_all().build()?;
        runtime.block_on(measure(peers))?;
    }
    Ok(())
}

struct ShortAnswer;

impl PeerHandler for ShortAnswer {
    fn handle(
        &self,
        _: PeerIdentity,
        _: PeerChannel,
        _: Vec<u8>,
    ) -> BoxFuture<'static, Result<Vec<u8>, PeerRefusal>> {
        async { Ok(vec![0; ANSWER_BYTES]) }.boxed()
    }
}

/// CPU time, counters and clock at one moment.
struct CostSample {
    clock: Instant,
    processor: Duration,
    counters: PeerCounters,
}

impl CostSample {
    fn take(hub: &PeerHub) -> std::io::Result<Self> {
        let processor = processor_time()?;
        Ok(Self { clock: Instant::now(), processor, counters: hub.counters() })
    }

    /// Prints the cost since this sample.
    fn print(&self, mode: &str, peers: usize, hub: &PeerHub, memory: u64) -> std::io::Result<()> {
        let seconds = self.clock.elapsed().as_secs_f64();
        let processor = processor_time()?.saturating_sub(self.processor).as_secs_f64();
        let now = hub.counters();
        let row = PeerChannel::Membership.index();
        let calls = now.channels[row].calls_sent - self.counters.channels[row].calls_sent;
        let failed = now.channels[row].calls_failed - self.counters.channels[row].calls_failed;
        let wire = now.wire_sent + now.wire_received;
        let wire = (wire - self.counters.wire_sent - self.counters.wire_received) as f64;
        let each = |total: f64| if calls == 0 { 0.0 } else { total / calls as f64 };
        println!(
            "{mode},{peers},{seconds:.1},{calls},{failed},{:.0},{:.0},{:.0},{:.1},{:.2},{}",
            calls as f64 / seconds,
            each(wire),
            wire / seconds,
            each(processor) * 1e6,
            processor / seconds * 100.0,
            memory / 1_024 / peers as u64,
        );
        Ok(())
    }
}

async fn measure(peers: usize) -> Result<(), Box<dyn std::error::Error>> {
    let client = bind("client")?;
    let names: Vec<_> = (0..peers).map(|number| format!("server-{number}")).collect();
    let servers = names.iter().map(|name| bind(name)).collect::<Result<Vec<_>, _>>()?;
    let addresses: Vec<_> = names
        .iter()
        .zip(&servers)
        .map(|(name, hub)| PeerAddress::new(InstanceName::new(name.as_str()), hub.local_addr()))
        .collect();
    // Lets the threads of the hubs start before memory is measured.
    tokio::time::sleep(Duration::from_millis(200)).await;
    let before = resident_bytes()?;
    call_all(&client, &addresses).await;
    let memory = resident_bytes()?.saturating_sub(before);

    let start = CostSample::take(&client)?;
    let calls = (0..BUSY_CALLS).map(|number| call(&client, &addresses[number % peers]));
    stream::iter(calls).buffer_unordered(CALLS_IN_FLIGHT).collect::<Vec<_>>().await;
    start.print("busy", peers, &client, memory)?;

    let start = CostSample::take(&client)?;
    for _ in 0..PACED_SECONDS {
        let pause = tokio::time::sleep(Duration::from_secs(1));
        tokio::join!(call_all(&client, &addresses), pause);
    }
    start.print("paced", peers, &client, memory)?;

    let start = CostSample::take(&client)?;
    tokio::time::sleep(IDLE_TIME).await;
    start.print("idle", peers, &client, memory)?;
    join_all(servers.iter().chain([&client]).map(PeerHub::shutdown)).await;
    Ok(())
}

fn bind(name: &str) -> Result<PeerHub, wheel_peer::PeerError> {
    let settings = PeerSettings::new("cost", InstanceName::new(name), Handle::current());
    PeerHub::bind(settings.secret(PeerSecret::new(*b"a secret")), Arc::new(ShortAnswer))
}

async fn call(hub: &PeerHub, peer: &PeerAddress) {
    let outcome = hub.call(peer, PeerChannel::Membership, vec![0; BODY_BYTES], CALL_LIMIT).await;
    if let Err(error) = outcome {
        eprintln!("{peer}: {error}");
    }
}

async fn call_all(hub: &PeerHub, peers: &[PeerAddress]) {
    join_all(peers.iter().map(|peer| call(hub, peer))).await;
}

/// User and system CPU time of this process.
fn processor_time() -> std::io::Result<Duration> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    // User and system time are the 14th and 15th field, two of which precede the last `)`.
    let ticks: u32 = fields.skip(11).take(2).filter_map(|field| field.parse::<u32>().ok()).sum();
    Ok(TICK * ticks)
}

fn resident_bytes() -> std::io::Result<u64> {
    let memory = fs::read_to_string("/proc/self/statm")?;
    let pages = memory.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    Ok(pages.unwrap_or_default() * PAGE_BYTES)
}
