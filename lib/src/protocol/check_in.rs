//! Messages by which an upstream of an external dialect registers with the node beside it.

use std::net::SocketAddr;
use std::sync::Arc;

/// Incarnation of an upstream: one run of its process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamIncarnation {
    /// Name of the instance; usually, but not always, different for each incarnation.
    pub instance: Arc<str>,
    /// Start of the incarnation, in milliseconds since 1970 by the upstream's clock; 0 if not reported.
    pub started_unix_ms: u64,
}

/// Periodic heartbeat of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Incarnation that sent the heartbeat.
    pub incarnation: UpstreamIncarnation,
    /// Sequence number, increasing with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Service that the upstream serves.
    pub service: Arc<str>,
    /// Address at which the upstream accepts calls.
    pub addr: SocketAddr,
    /// Calls that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream accepts no new calls.
    pub draining: bool,
}

/// Check-in message from an upstream to its node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CheckIn {
    /// The upstream is running.
    Heartbeat(Heartbeat),
    /// The instance of this name accepts no new calls and is about to stop.
    Leave(Arc<str>),
}
