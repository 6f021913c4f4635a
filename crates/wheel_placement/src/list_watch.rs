//! Reads the list of upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use spdlog::{info, warn};
use tokio::sync::watch;
use tokio::time::Instant;
use wheel_route::EngineInfo;
use wheel_seams::{boot_now, is_planted};
use wheel_upstream::{ConnectionLimits, DirectAnswer, DirectClient};

use crate::{FleetDialect, ListLedger, ListRead, OddEntryLog};

/// Time limit for a page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of pages of the list. A longer list is treated as an error.
const MAX_PAGES: usize = 1_000;
/// Maximum number of entries of the list. A longer list is treated as an error.
const MAX_ENTRIES: usize = 100_000;

/// Address and polling interval of the list.
#[derive(Clone, Copy, Debug)]
pub struct ListSettings {
    /// Address of the server that provides the list.
    pub address: SocketAddr,
    /// Time between two reads, randomized by up to 10 %.
    pub interval: Duration,
}

/// The list as of the last read.
#[derive(Clone, Debug)]
pub(crate) struct ListSnapshot {
    pub(crate) engines: Arc<[EngineInfo]>,
    pub(crate) read_at: Instant,
}

/// Polls the list while it is needed.
pub struct ListWatch {
    latest: watch::Sender<Option<ListSnapshot>>,
}

impl ListWatch {
    /// Starts to poll the list whenever `is_needed` returns true. `known` returns the upstreams that
    /// are known from elsewhere whenever polling begins.
    pub fn spawn(
        settings: ListSettings,
        dialect: Arc<dyn FleetDialect>,
        is_needed: impl Fn() -> bool + Send + 'static,
        known: impl Fn() -> Vec<EngineInfo> + Send + 'static,
    ) -> Arc<Self> {
        let watch = Arc::new(Self { latest: watch::Sender::new(None) });
        let client = DirectClient::open(settings.address, ConnectionLimits::default());
        tokio::spawn(Arc::clone(&watch).run(settings, client, dialect, is_needed, known));
        watch
    }

    /// The upstreams, and the age of the list.
    pub fn current(&self) -> Option<(Arc<[EngineInfo]>, Duration)> {
        let latest = self.latest.borrow();
        latest.as_ref().map(|snapshot| (Arc::clone(&snapshot.engines), snapshot.read_at.elapsed()))
    }

    /// Completes when the list has been read again.
    pub async fn changed(&self) {
        let _ = self.latest.subscribe().changed().await;
    }

    async fn run(
        self: Arc<Self>,
        settings: ListSettings,
        client: DirectClient,
        dialect: Arc<dyn FleetDialect>,
        is_needed: impl Fn() -> bool,
        known: impl Fn() -> Vec<EngineInfo>,
    ) {
        let mut is_failing = false;
        let mut was_needed = false;
        let mut ledger = ListLedger::default();
        let mut odd_log = OddEntryLog::default();
        loop {
            let is_needed = is_needed();
            if is_needed && !was_needed {
                ledger.learn(boot_now(), &known());
            }
            was_needed = is_needed;
            if is_needed {
                match read_all(&client, &*dialect).await {
                    Ok(read) => {
                        let is_cut = read.is_cut;
                        let merged = ledger.merge(boot_now(), read);
                        odd_log.record(boot_now(), &merged.odd);
                        for id in &merged.kept {
                            info!("list_entry_kept", kv: { upstream = id.name.to_string(), is_cut });
                        }
                        for id in &merged.dropped {
                            info!("list_entry_dropped", kv: { upstream = id.name.to_string() });
                        }
                        if std::mem::take(&mut is_failing) {
                            info!("list_regained", kv: { upstreams = merged.engines.len() });
                        }
                        let engines = merged.engines.into();
                        let snapshot = ListSnapshot { engines, read_at: Instant::now() };
                        self.latest.send_replace(Some(snapshot));
                    }
                    Err(reason) if !is_failing => {
                        is_failing = true;
                        warn!("list_lost", kv: { reason:? = reason });
                    }
                    Err(_) => {}
                }
            }
            let jitter = rand::rng().random_range(0.9..1.1);
            tokio::time::sleep(settings.interval.mul_f64(jitter)).await;
        }
    }
}

async fn read_all(client: &DirectClient, dialect: &dyn FleetDialect) -> Result<ListRead, String> {
    let mut list = ListRead::default();
    let mut page: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let answer = client.fetch(dialect.list(page.as_deref()), PAGE_TIMEOUT).await;
        let DirectAnswer { status, body, .. } = answer.map_err(|failure| failure.to_string())?;
        if !status.is_success() {
            return Err(format!("status {status}"));
        }
        let read = dialect.read_list(&body)?;
        if !read.odd.is_empty() && is_planted("odd_entry_ends_process") {
            std::process::abort();
        }
        if !read.odd.is_empty() && is_planted("odd_entry_hides_list") {
            return Err("an entry can't be read".to_owned());
        }
        list.engines.extend(read.engines);
        list.odd.extend(read.odd);
        list.is_cut |= read.is_cut;
        if list.engines.len() + list.odd.len() > MAX_ENTRIES {
            return Err(format!("the list has over {MAX_ENTRIES} entries"));
        }
        match read.next {
            Some(next) if page.as_ref() == Some(&next) => {
                return Err("a page names itself as the next one".to_owned());
            }
            Some(next) => page = Some(next),
            None => return Ok(list),
        }
    }
    Err("the list doesn't end".to_owned())
}
