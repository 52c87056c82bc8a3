//! Leases stored in the platform, whose expiry each observer measures with its own clock.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// Name of the lease that entitles its holder to publish configuration and service status.
pub const PUBLISHER_LEASE: &str = "publisher";

/// Value of a lease object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseValue {
    /// Holder of the lease: node name and incarnation, separated by a dot.
    pub holder: Arc<str>,
    /// Number that increases with every acquisition.
    pub epoch: u64,
    /// Number of renewals by the holder.
    pub renewal: u64,
    /// Time without renewal after which other nodes may acquire the lease, in milliseconds.
    pub ttl_ms: u64,
}

/// Step that follows reading a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseDecision {
    /// Write this value, on condition that the lease has not changed since it was read.
    Write(LeaseValue),
    /// Wait, because another node holds the lease.
    Wait,
}

impl LeaseValue {
    /// Returns the name of the node that holds the lease.
    #[must_use]
    pub fn holder_name(&self) -> &str {
        self.holder.rsplit_once('.').map_or(&self.holder, |(name, _)| name)
    }
}

/// Observes one lease on behalf of a node that wants to hold it.
#[derive(Debug)]
pub struct LeaseWatch {
    holder: Arc<str>,
    ttl: Duration,
    last_read: Option<(LeaseValue, Instant)>,
    /// Latest epoch read or acquired; a store that was restored from a copy may hold an earlier one.
    latest_epoch: u64,
}

impl LeaseWatch {
    /// Creates a watch for `holder`, which acquires the lease with a duration of `ttl`.
    #[must_use]
    pub const fn new(holder: Arc<str>, ttl: Duration) -> Self {
        Self { holder, ttl, last_read: None, latest_epoch: 0 }
    }

    /// Decides on the lease value read at `now`; `None` means that the lease does not exist yet.
    pub fn decide(&mut self, current: Option<LeaseValue>, now: Instant) -> LeaseDecision {
        let Some(value) = current else {
            return LeaseDecision::Write(self.acquired());
        };
        let is_restored = value.epoch < self.latest_epoch;
        self.latest_epoch = self.latest_epoch.max(value.epoch);
        if value.holder == self.holder && is_restored {
            return LeaseDecision::Write(self.acquired());
        }
        if value.holder == self.holder {
            let renewed = LeaseValue { renewal: value.renewal + 1, ttl_ms: self.ttl_ms(), ..value };
            return LeaseDecision::Write(renewed);
        }
        if self.is_expired(&value, now) { LeaseDecision::Write(self.acquired()) } else { LeaseDecision::Wait }
    }

    /// Returns the value that releases the lease, so that other nodes can acquire it without waiting.
    #[must_use]
    pub fn release_value(value: &LeaseValue) -> LeaseValue {
        LeaseValue { renewal: value.renewal + 1, ttl_ms: 0, ..value.clone() }
    }

    fn is_expired(&mut self, value: &LeaseValue, now: Instant) -> bool {
        let unchanged_since = match &self.last_read {
            Some((last_value, since)) if last_value == value => *since,
            _ => {
                self.last_read = Some((value.clone(), now));
                now
            }
        };
        now - unchanged_since >= Duration::from_millis(value.ttl_ms)
    }

    /// Returns the value of a new acquisition, with an epoch later than any that this node knows.
    fn acquired(&mut self) -> LeaseValue {
        self.latest_epoch += 1;
        LeaseValue {
            holder: Arc::clone(&self.holder),
            epoch: self.latest_epoch,
            renewal: 0,
            ttl_ms: self.ttl_ms(),
        }
    }

    fn ttl_ms(&self) -> u64 {
        u64::try_from(self.ttl.as_millis()).unwrap_or(u64::MAX)
    }
}
