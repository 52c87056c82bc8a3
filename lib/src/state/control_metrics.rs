//! Counters of what acting together costs a node.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Bytes of the network's own head before each datagram.
pub const UDP_HEAD_BYTES: u64 = 28;

/// Labels of traffic between nodes.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct TrafficLabels {
    /// `sent` or `received`.
    pub direction: &'static str,
    /// `datagram` or `exchange`.
    pub carrier: &'static str,
}

/// Counters of control traffic.
#[derive(Debug, Default)]
pub struct ControlMetrics {
    /// Messages between nodes.
    pub messages: Family<TrafficLabels, Counter>,
    /// Bytes of those, the head of each datagram included.
    pub bytes: Family<TrafficLabels, Counter>,
    /// Datagrams that no known key signed, or that can't be read.
    pub refused_datagrams: Counter,
}

impl ControlMetrics {
    /// Adds the counters to a registry.
    pub fn add_to(&self, registry: &mut Registry) {
        registry.register("control_messages", "Control messages between nodes", self.messages.clone());
        registry.register("control_bytes", "Bytes of control messages between nodes", self.bytes.clone());
        registry.register(
            "refused_datagrams",
            "Datagrams of unknown hosts or without sense",
            self.refused_datagrams.clone(),
        );
    }

    /// Counts one message.
    pub fn count(&self, direction: &'static str, carrier: &'static str, bytes: u64) {
        let labels = TrafficLabels { direction, carrier };
        self.messages.get_or_create(&labels).inc();
        self.bytes.get_or_create(&labels).inc_by(bytes);
    }
}
