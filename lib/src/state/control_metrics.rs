//! Counters of the control traffic between nodes.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Size of the IPv4 and UDP headers of a datagram, in bytes.
pub const UDP_HEADER_BYTES: u64 = 28;

/// Labels of a counter of control traffic.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct TrafficLabels {
    /// Direction: `sent` or `received`.
    pub direction: &'static str,
    /// Transport: `datagram`, `exchange`, or `quota` for datagrams about quotas.
    pub carrier: &'static str,
}

/// Counters of control messages between nodes.
#[derive(Debug, Default)]
pub struct ControlMetrics {
    /// Messages by direction and carrier.
    pub messages: Family<TrafficLabels, Counter>,
    /// Bytes of these messages, including the IP and UDP headers of datagrams.
    pub bytes: Family<TrafficLabels, Counter>,
    /// Received datagrams without a valid signature of a known key, or with malformed contents.
    pub rejected_datagrams: Counter,
}

impl ControlMetrics {
    /// Registers the counters in a metrics registry.
    pub fn register_in(&self, registry: &mut Registry) {
        registry.register("control_messages", "Control messages between nodes", self.messages.clone());
        registry.register("control_bytes", "Bytes of control messages between nodes", self.bytes.clone());
        registry.register(
            "refused_datagrams",
            "Datagrams of unknown hosts or without sense",
            self.rejected_datagrams.clone(),
        );
    }

    /// Counts one message of the given size in bytes.
    pub fn count(&self, direction: &'static str, carrier: &'static str, bytes: u64) {
        let labels = TrafficLabels { direction, carrier };
        self.messages.get_or_create(&labels).inc();
        self.bytes.get_or_create(&labels).inc_by(bytes);
    }
}
