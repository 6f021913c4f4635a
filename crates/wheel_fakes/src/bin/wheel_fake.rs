//! Runs one fake as a process: `wheel_fake engine|service|store|list [flags]`.
//!
//! Prints `listening ADDR` once it accepts connections, and runs until it is killed.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use getopts::{Matches, Options};
use wheel_fakes::{
    FakeEngine, FakeEngineSettings, FakeList, FakeService, FakeStore, FakeStoreSettings, ListEntry,
};
use wheel_types::IncarnationId;

type BoxError = Box<dyn std::error::Error>;

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wheel_fake: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), BoxError> {
    let options = options();
    let flags = options.parse(std::env::args().skip(1))?;
    let kind = flags.free.first().map(String::as_str).unwrap_or_default();
    let address = flags.opt_get_default("listen", SocketAddr::from(([127, 0, 0, 1], 0)))?;
    match kind {
        "engine" => {
            let engine = FakeEngine::bind(engine_settings(&flags, address)?).await?;
            for model in flags.opt_strs("preload") {
                engine.preload(&model, 1);
            }
            serve(engine.local_addr(), engine).await
        }
        "service" => {
            let service = FakeService::bind(address).await?;
            serve(service.local_addr(), service).await
        }
        "store" => {
            let store = FakeStore::bind(store_settings(&flags, address)?).await?;
            serve(store.local_addr(), store).await
        }
        "list" => {
            let entries: Vec<ListEntry> =
                serde_json::from_str(&flags.opt_get_default("entries", "[]".to_owned())?)?;
            let list = FakeList::bind(address, millis(&flags, "lag-ms", 0)?, entries).await?;
            serve(list.local_addr(), list).await
        }
        _ => Err(options.usage("wheel_fake engine|service|store|list [flags]").into()),
    }
}

/// Prints the address and keeps the fake running.
async fn serve<F>(address: SocketAddr, fake: F) -> Result<(), BoxError> {
    println!("listening {address}");
    let () = std::future::pending().await;
    drop(fake);
    Ok(())
}

fn options() -> Options {
    let mut options = Options::new();
    options
        .optopt("", "listen", "address (127.0.0.1:0)", "ADDR")
        .optopt("", "memory-mib", "engine: memory (81920)", "MIB")
        .optopt("", "slots", "engine: calls at once (8)", "N")
        .optopt("", "token-us", "engine: time for a token (1000)", "MICROS")
        .optopt("", "load-ms", "engine, store: time of a load from the store (100)", "MILLIS")
        .optopt("", "load-lag-ms", "engine: age of load reports (0)", "MILLIS")
        .optopt("", "store", "engine: address of the weight store", "ADDR")
        .optflag("", "ignore-fencing", "engine: take old fencing numbers")
        .optflag("", "overcommit", "engine: take loads that don't fit its memory")
        .optmulti("", "preload", "engine: model that is loaded from the start", "MODEL")
        .optopt("", "loads-per-second", "store: loads begun in a second (10)", "N")
        .optopt("", "full-speed-loads", "store: loads at full speed (4)", "N")
        .optopt("", "lag-ms", "list: time until a change shows (0)", "MILLIS")
        .optopt("", "entries", "list: the first entries", "JSON");
    options
}

fn engine_settings(flags: &Matches, address: SocketAddr) -> Result<FakeEngineSettings, BoxError> {
    let settings = FakeEngineSettings::default();
    Ok(FakeEngineSettings {
        address,
        incarnation: IncarnationId(unix_millis()),
        memory_mib: flags.opt_get_default("memory-mib", settings.memory_mib)?,
        slots: flags.opt_get_default("slots", settings.slots)?,
        load_lag: millis(flags, "load-lag-ms", 0)?,
        token_time: Duration::from_micros(flags.opt_get_default("token-us", 1_000)?),
        store_load: millis(flags, "load-ms", 100)?,
        store: flags.opt_get("store")?,
        enforces_fencing: !flags.opt_present("ignore-fencing"),
        checks_memory: !flags.opt_present("overcommit"),
        ..settings
    })
}

/// Unix time in milliseconds. As the incarnation it differs after each restart of the process.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

fn store_settings(flags: &Matches, address: SocketAddr) -> Result<FakeStoreSettings, BoxError> {
    let settings = FakeStoreSettings::default();
    let (loads_per_second, full_speed) = (settings.loads_per_second, settings.full_speed_loads);
    Ok(FakeStoreSettings {
        address,
        loads_per_second: flags.opt_get_default("loads-per-second", loads_per_second)?,
        full_speed_loads: flags.opt_get_default("full-speed-loads", full_speed)?,
        load_time: millis(flags, "load-ms", 100)?,
    })
}

fn millis(flags: &Matches, name: &str, default: u64) -> Result<Duration, BoxError> {
    Ok(Duration::from_millis(flags.opt_get_default(name, default)?))
}
