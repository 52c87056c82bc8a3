//! Messages by which an upstream of an external dialect registers with the node beside it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Result of validating a check-in; the error describes what is implausible.
pub type Result<T, E = String> = std::result::Result<T, E>;

/// Largest number of calls that an upstream may declare to run concurrently.
pub const MAX_SLOTS: u32 = 100_000;
/// Largest sequence number: the largest integer that every JSON implementation represents exactly.
const MAX_SEQUENCE: u64 = (1 << 53) - 1;
/// Longest time that an upstream may say that it stays cold.
pub const MAX_COLD_TIME: Duration = Duration::from_hours(1);
/// How far the start of an incarnation may lie ahead of the node's clock, which can be set back meanwhile.
const MAX_START_AHEAD: Duration = Duration::from_hours(24);

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
    /// Time that the upstream stays cold; zero if it is warm.
    pub cold_for: Duration,
}

impl Heartbeat {
    /// Validates the values, with which another writer could displace the upstream for good.
    ///
    /// `unix_time` is the node's time since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Returns a description of the first implausible value.
    pub fn validate(&self, unix_time: Duration) -> Result<()> {
        let latest_start = unix_time.saturating_add(MAX_START_AHEAD).as_millis();
        if self.service.is_empty() {
            return Err("the service has no name".to_owned());
        }
        if self.slots == 0 || self.slots > MAX_SLOTS {
            return Err(format!("{} slots; at least 1 and at most {MAX_SLOTS} are possible", self.slots));
        }
        if self.addr.port() == 0 || self.addr.ip().is_unspecified() {
            return Err(format!("no upstream can listen at {}", self.addr));
        }
        if self.sequence > MAX_SEQUENCE {
            return Err(format!("the sequence number {} is too large", self.sequence));
        }
        if u128::from(self.incarnation.started_unix_ms) > latest_start {
            return Err(format!("started in the future, at {} ms", self.incarnation.started_unix_ms));
        }
        Ok(())
    }
}

/// Check-in message from an upstream to its node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CheckIn {
    /// The upstream is running.
    Heartbeat(Heartbeat),
    /// The instance of this name accepts no new calls and is about to stop.
    Leave(Arc<str>),
}
