//! What an upstream of another dialect says of itself to the node beside it.

use std::net::SocketAddr;
use std::sync::Arc;

/// One life of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamIncarnation {
    /// Name of the instance; mostly, but not always, new with each life.
    pub instance: Arc<str>,
    /// When this life began, in milliseconds since 1970 by the upstream's clock; 0 when not said.
    pub started_unix_ms: u64,
}

/// One heartbeat of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Whose it is.
    pub incarnation: UpstreamIncarnation,
    /// Grows with each heartbeat of one life.
    pub sequence: u64,
    /// Service that it serves.
    pub service: Arc<str>,
    /// Where it listens for calls.
    pub addr: SocketAddr,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
}

/// What an upstream tells its node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CheckIn {
    /// It lives.
    Heartbeat(Heartbeat),
    /// The instance of that name takes no new work and will end.
    Leave(Arc<str>),
}
