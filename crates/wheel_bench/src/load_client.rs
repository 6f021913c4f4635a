//! Sends callers' requests and measures them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hdrhistogram::Histogram;
use http::Method;
use wheel_harness::{HarnessError, HttpClient, HttpReply};

/// Results of a run of requests.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// Requests answered with success.
    pub succeeded: u64,
    /// Requests answered otherwise or not at all.
    pub failed: u64,
    /// Description of the first failed request.
    pub first_failure: Option<String>,
    /// Duration of the run.
    pub span: Duration,
    /// Time to the end of each answer, in microseconds.
    pub total_us: Histogram<u64>,
    /// Time to the first byte of each body, in microseconds.
    pub first_us: Histogram<u64>,
}

impl LoadResult {
    /// Successful requests per second.
    pub fn rate(&self) -> f64 {
        self.succeeded as f64 / self.span.as_secs_f64().max(1e-9)
    }
}

/// Sends one kind of request repeatedly.
#[derive(Clone, Debug)]
pub struct LoadClient {
    /// Addresses that requests are sent to; the tasks use them in turn.
    pub addresses: Vec<SocketAddr>,
    /// The path.
    pub path: String,
    /// Headers in addition to `wheel-caller`.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: String,
    /// Prefix of the requests' idempotency keys, one for each request; `None` for no keys.
    pub key_prefix: Option<String>,
}

impl LoadClient {
    /// Sends requests from `open` concurrent tasks, `per_task` from each of them.
    pub async fn run(&self, open: usize, per_task: usize) -> LoadResult {
        let counter = Arc::new(AtomicU64::new(0));
        let started = Instant::now();
        let tasks = (0..open).map(|task| {
            let (client, counter) = (self.clone(), Arc::clone(&counter));
            tokio::spawn(async move { client.run_task(task, per_task, &counter).await })
        });
        let results = join_all(tasks).await;
        let mut total = empty_result();
        for result in results.into_iter().flatten() {
            total.succeeded += result.succeeded;
            total.failed += result.failed;
            total.first_failure = total.first_failure.or(result.first_failure);
            let _ = total.total_us.add(&result.total_us);
            let _ = total.first_us.add(&result.first_us);
        }
        total.span = started.elapsed();
        if let Some(failure) = &total.first_failure {
            println!("{} of {} failed, first: {failure}", total.failed, open * per_task);
        }
        total
    }

    async fn run_task(&self, task: usize, per_task: usize, counter: &AtomicU64) -> LoadResult {
        let caller = HttpClient::default();
        let address = self.addresses[task % self.addresses.len()];
        let mut result = empty_result();
        for _ in 0..per_task {
            let number = counter.fetch_add(1, Ordering::Relaxed);
            let key = self.key_prefix.as_ref().map(|prefix| format!("{prefix}-{number}"));
            let mut headers: Vec<(&str, &str)> = vec![("wheel-caller", "desk")];
            headers
                .extend(self.headers.iter().map(|(name, value)| (name.as_str(), value.as_str())));
            headers.extend(key.as_deref().map(|key| ("idempotency-key", key)));
            let started = Instant::now();
            let reply =
                caller.call(Method::POST, address, &self.path, &headers, self.body.clone()).await;
            match reply {
                Ok(reply) if reply.status.is_success() && reply.complete => {
                    result.succeeded += 1;
                    let total_us = started.elapsed().as_micros() as u64;
                    let _ = result.total_us.record(total_us.max(1));
                    let _ = result.first_us.record((reply.first_byte.as_micros() as u64).max(1));
                }
                failure => {
                    result.failed += 1;
                    result.first_failure.get_or_insert_with(|| describe(failure));
                }
            }
        }
        result
    }
}

fn describe(failure: Result<HttpReply, HarnessError>) -> String {
    match failure {
        Ok(reply) => format!("{} complete={} {}", reply.status, reply.complete, reply.text()),
        Err(error) => error.to_string(),
    }
}

fn empty_result() -> LoadResult {
    // A histogram of three significant figures resizes itself, so it needs no bounds.
    let histogram = || Histogram::new(3).unwrap_or_else(|_| unreachable!("3 is a valid precision"));
    LoadResult {
        succeeded: 0,
        failed: 0,
        first_failure: None,
        span: Duration::ZERO,
        total_us: histogram(),
        first_us: histogram(),
    }
}
