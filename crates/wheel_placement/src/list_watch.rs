//! Reads the list of upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use spdlog::{info, warn};
use tokio::sync::watch;
use tokio::time::Instant;
use wheel_route::EngineCard;
use wheel_upstream::{ConnectionLimits, DirectClient};

use crate::FleetDialect;

/// Time that a page may take.
const PAGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Pages of one reading; more aren't believed.
const MAX_PAGES: usize = 1_000;

/// How the list is read.
#[derive(Clone, Copy, Debug)]
pub struct ListSettings {
    /// Where it is.
    pub address: SocketAddr,
    /// Time between two readings, spread by a tenth.
    pub interval: Duration,
}

/// The list as it was read last.
#[derive(Clone, Debug)]
pub(crate) struct ListReading {
    pub(crate) cards: Arc<[EngineCard]>,
    pub(crate) read_at: Instant,
}

/// Reads the list again and again, as long as `is_needed` says so.
pub struct ListWatch {
    held: watch::Sender<Option<ListReading>>,
}

impl ListWatch {
    /// Starts to read.
    pub fn spawn(
        settings: ListSettings,
        dialect: Arc<dyn FleetDialect>,
        is_needed: impl Fn() -> bool + Send + 'static,
    ) -> Arc<Self> {
        let watch = Arc::new(Self { held: watch::Sender::new(None) });
        let client = DirectClient::open(settings.address, ConnectionLimits::default());
        tokio::spawn(Arc::clone(&watch).run(settings, client, dialect, is_needed));
        watch
    }

    /// The upstreams, and how old that knowledge is.
    pub fn current(&self) -> Option<(Arc<[EngineCard]>, Duration)> {
        let held = self.held.borrow();
        held.as_ref().map(|reading| (Arc::clone(&reading.cards), reading.read_at.elapsed()))
    }

    /// Completes when the list was read again.
    pub async fn changed(&self) {
        let _ = self.held.subscribe().changed().await;
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
                    Ok(cards) => {
                        if std::mem::take(&mut is_failing) {
                            info!("list_regained", kv: { upstreams = cards.len() });
                        }
                        let reading = ListReading { cards: cards.into(), read_at: Instant::now() };
                        self.held.send_replace(Some(reading));
                    }
                    Err(reason) if !is_failing => {
                        is_failing = true;
                        warn!("list_lost", kv: { reason:? = reason });
                    }
                    Err(_) => {}
                }
            }
            let spread = rand::rng().random_range(0.9..1.1);
            tokio::time::sleep(settings.interval.mul_f64(spread)).await;
        }
    }
}

async fn read_all(
    client: &DirectClient,
    dialect: &dyn FleetDialect,
) -> Result<Vec<EngineCard>, String> {
    let mut cards = Vec::new();
    let mut page: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let asked = client.fetch(dialect.list(page.as_deref()), PAGE_TIMEOUT).await;
        let (status, body) = asked.map_err(|failure| failure.to_string())?;
        if !status.is_success() {
            return Err(format!("status {status}"));
        }
        let read = dialect.read_list(&body)?;
        cards.extend(read.cards);
        match read.next {
            Some(next) => page = Some(next),
            None => return Ok(cards),
        }
    }
    Err("the list doesn't end".to_owned())
}
