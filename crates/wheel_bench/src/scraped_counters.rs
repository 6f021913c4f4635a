//! Counters that a daemon exports at `/metrics`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use wheel_harness::{HarnessError, HttpClient};

/// All metrics of a daemon by name with labels.
#[derive(Clone, Debug, Default)]
pub struct ScrapedCounters {
    values: BTreeMap<String, f64>,
}

impl ScrapedCounters {
    /// Reads the metrics of one daemon.
    ///
    /// # Errors
    /// [`HarnessError::Http`] if it doesn't answer.
    pub async fn scrape(caller: &HttpClient, at: SocketAddr) -> Result<Self, HarnessError> {
        let reply = caller.get(at, "/metrics").await?;
        let text = reply.text();
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        let pairs = lines.filter_map(|line| {
            let (name, value) = line.rsplit_once(' ')?;
            Some((name.to_owned(), value.parse().ok()?))
        });
        Ok(Self { values: pairs.collect() })
    }

    /// Bytes of bodies on a channel, in both directions.
    pub fn channel_bytes(&self, channel: &str) -> f64 {
        self.sum("wheel_peer_bytes_total", &format!("channel=\"{channel}\""))
    }

    /// Calls that the daemon sent on a channel.
    pub fn channel_calls(&self, channel: &str) -> f64 {
        let label = format!("channel=\"{channel}\",kind=\"sent\"");
        self.sum("wheel_peer_calls_total", &label)
    }

    /// Bytes on the sockets between instances, in both directions.
    pub fn wire_bytes(&self) -> f64 {
        self.sum("wheel_peer_wire_bytes_total", "")
    }

    fn sum(&self, name: &str, label: &str) -> f64 {
        let matches = |key: &String| key.starts_with(name) && key.contains(label);
        self.values.iter().filter(|(key, _)| matches(key)).map(|(_, value)| value).sum()
    }
}
