//! A caller that tries keys: valid, just added, withdrawn, unknown and missing ones.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};
use wheel_harness::HttpClient;
use wheel_platform::wire_names;

use crate::config_document::{IDEMPOTENT_PREFIX, ROUTE_HOST};
use crate::{CONTROL_COUNT, FaultDriver, SeenEvent, TeamKey};

/// Pause between two requests; long enough to leave most of the slots to other callers.
const CALL_PAUSE: Duration = Duration::from_millis(50);
/// Timeout of a request.
const CALL_LIMIT: Duration = Duration::from_secs(4);
/// Number of versions before the newest one whose added keys are sent; the older half is withdrawn.
const TRIED_VERSIONS: u64 = 8;
/// Separates the random numbers of this caller from those of others with the same seed.
const SEED_SALT: u64 = 0x6b65_7973;

/// A running caller.
#[derive(Debug)]
pub struct KeyCaller {
    task: JoinHandle<()>,
}

impl KeyCaller {
    /// Starts a caller that sends requests until `stop` is true or its sender is dropped.
    pub fn spawn(driver: &FaultDriver, seed: u64, mut stop: watch::Receiver<bool>) -> Self {
        let (sink, operators) = (driver.sink.clone(), driver.operators.clone());
        let links = driver.caller_links.iter().enumerate();
        let name = |index: usize| driver.system.name(CONTROL_COUNT + index);
        let processes: Vec<_> = links.map(|(index, link)| (name(index), link.address())).collect();
        let task = tokio::spawn(async move {
            let mut random = StdRng::seed_from_u64(seed ^ SEED_SALT);
            let (mut calls, client) = (JoinSet::new(), HttpClient::default());
            for number in 0_u64.. {
                tokio::select! {
                    _ = stop.wait_for(|is_stopped| *is_stopped) => break,
                    () = sleep(CALL_PAUSE) => {}
                }
                while calls.try_join_next().is_some() {}
                let key = draw_key(&mut random, operators.last_version());
                let (process, address) = processes[random.random_range(0..processes.len())].clone();
                let (id, sink): (Arc<str>, _) = (format!("keys-{number}").into(), sink.clone());
                let client = client.clone();
                calls.spawn(async move {
                    let path = format!("{IDEMPOTENT_PREFIX}10x10");
                    let text = key.text();
                    let mut headers = vec![
                        ("host", ROUTE_HOST),
                        (wire_names::ATTEMPT_ID, &*id),
                        // A caller can't name its team.
                        (wire_names::TEAM, "alpha"),
                    ];
                    headers.extend(text.as_deref().map(|text| (wire_names::KEY, text)));
                    sink.record(SeenEvent::KeySent { id: Arc::clone(&id), key });
                    let call = client.call(Method::POST, address, &path, &headers, "body");
                    if let Ok(Ok(reply)) = timeout(CALL_LIMIT, call).await
                        && reply.complete
                    {
                        let status = reply.status.as_u16();
                        sink.record(SeenEvent::KeyAnswered { id, process, status });
                    }
                });
            }
            calls.join_all().await;
        });
        Self { task }
    }

    /// Waits until the caller has been stopped and all its calls have ended.
    pub async fn ended(self) {
        // What a call that panicked would have observed is missing from the checks alone.
        let _ = self.task.await;
    }
}

fn draw_key(random: &mut StdRng, version: u64) -> TeamKey {
    match random.random_range(0..10) {
        0 => TeamKey::Missing,
        1 => TeamKey::Unknown(random.random()),
        2 => TeamKey::lasting(random.random()),
        _ => {
            let age = random.random_range(0..TRIED_VERSIONS);
            TeamKey::Changing(version.saturating_sub(age).max(1))
        }
    }
}
