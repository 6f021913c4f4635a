//! The bandwidth that several simulated connections share.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::{Instant, sleep_until};

/// Bytes that may pass per second, over all connections that share this rate, like an instance's
/// own network link.
#[derive(Debug)]
pub struct LinkRate {
    bytes_per_second: f64,
    /// When the link has sent all bytes that were passed so far.
    free_at: Mutex<Instant>,
    passed: AtomicUsize,
}

impl LinkRate {
    /// Creates an idle link.
    pub fn new(bytes_per_second: f64) -> Self {
        Self { bytes_per_second, free_at: Mutex::new(Instant::now()), passed: AtomicUsize::new(0) }
    }

    /// Bytes that have passed so far.
    pub fn passed(&self) -> usize {
        self.passed.load(Ordering::Relaxed)
    }

    /// Waits until `bytes` have passed, after all that were passed before.
    pub async fn pass(&self, bytes: usize) {
        let sent_at = {
            let mut free_at = self.free_at.lock().await;
            let duration = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
            *free_at = (*free_at).max(Instant::now()) + duration;
            *free_at
        };
        sleep_until(sent_at).await;
        self.passed.fetch_add(bytes, Ordering::Relaxed);
    }
}
