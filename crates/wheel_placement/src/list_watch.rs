//! Reads the list of upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use spdlog::{info, warn};
use tokio::sync::watch;
use tokio::time::Instant;
use wheel_route::EngineInfo;
use wheel_seams::is_planted;
use wheel_upstream::{ConnectionLimits, DirectAnswer, DirectClient};

use crate::FleetDialect;

/// Time limit for a page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of pages of the list. A longer list is treated as an error.
const MAX_PAGES: usize = 1_000;

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
    /// Starts to poll the list whenever `is_needed` returns true.
    pub fn spawn(
        settings: ListSettings,
        dialect: Arc<dyn FleetDialect>,
        is_needed: impl Fn() -> bool + Send + 'static,
    ) -> Arc<Self> {
        let watch = Arc::new(Self { latest: watch::Sender::new(None) });
        let client = DirectClient::open(settings.address, ConnectionLimits::default());
        tokio::spawn(Arc::clone(&watch).run(settings, client, dialect, is_needed));
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
    ) {
        let mut is_failing = false;
        loop {
            if is_needed() {
                match read_all(&client, &*dialect).await {
                    Ok(engines) => {
                        if std::mem::take(&mut is_failing) {
                            info!("list_regained", kv: { upstreams = engines.len() });
                        }
                        let snapshot =
                            ListSnapshot { engines: engines.into(), read_at: Instant::now() };
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

async fn read_all(
    client: &DirectClient,
    dialect: &dyn FleetDialect,
) -> Result<Vec<EngineInfo>, String> {
    let mut engines = Vec::new();
    let mut page: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let answer = client.fetch(dialect.list(page.as_deref()), PAGE_TIMEOUT).await;
        let DirectAnswer { status, body, .. } = answer.map_err(|failure| failure.to_string())?;
        if !status.is_success() {
            return Err(format!("status {status}"));
        }
        let read = dialect.read_list(&body)?;
        if read.unreadable > 0 && is_planted("odd_entry_ends_process") {
            std::process::abort();
        }
        if read.unreadable > 0 && is_planted("odd_entry_hides_list") {
            return Err("an entry can't be read".to_owned());
        }
        engines.extend(read.engines);
        match read.next {
            Some(next) => page = Some(next),
            None => return Ok(engines),
        }
    }
    Err("the list doesn't end".to_owned())
}
