//! Metrics of the calls between instances.

use metrics::{counter, describe_counter};
use wheel_peer::{PeerChannel, PeerCounters};

/// Registers the descriptions of the counters.
pub(crate) fn describe_peer_metrics() {
    describe_counter!("wheel_peer_bytes_total", "bodies between instances, by channel, in bytes");
    describe_counter!("wheel_peer_calls_total", "calls between instances, by channel");
    describe_counter!("wheel_peer_wire_bytes_total", "bytes on sockets between instances");
    describe_counter!("wheel_peer_retired_total", "connections given up as silent");
    describe_counter!("wheel_peer_turned_away_total", "connections that weren't authenticated");
    describe_counter!("wheel_peer_refused_total", "calls without a place for their connection");
    describe_counter!("wheel_peer_displaced_total", "connections closed in favor of others");
}

/// Copies a snapshot of the counters into the metrics.
pub(crate) fn record_peer_metrics(counters: &PeerCounters) {
    for channel in PeerChannel::ALL {
        let channel_counters = &counters.channels[channel.index()];
        let name = channel.as_str();
        let bytes = [("out", channel_counters.bytes_sent), ("in", channel_counters.bytes_received)];
        for (direction, value) in bytes {
            counter!("wheel_peer_bytes_total", "channel" => name, "direction" => direction)
                .absolute(value);
        }
        let calls = [
            ("sent", channel_counters.calls_sent),
            ("failed", channel_counters.calls_failed),
            ("handled", channel_counters.calls_handled),
        ];
        for (kind, value) in calls {
            counter!("wheel_peer_calls_total", "channel" => name, "kind" => kind).absolute(value);
        }
    }
    let wire = [("out", counters.wire_sent), ("in", counters.wire_received)];
    for (direction, value) in wire {
        counter!("wheel_peer_wire_bytes_total", "direction" => direction).absolute(value);
    }
    counter!("wheel_peer_retired_total").absolute(counters.retired);
    counter!("wheel_peer_turned_away_total").absolute(counters.rejected);
    counter!("wheel_peer_refused_total").absolute(counters.refused);
    counter!("wheel_peer_displaced_total").absolute(counters.displaced);
}
