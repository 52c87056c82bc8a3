//! Leases kept in the platform, judged by the observer's own clock.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// Name of the lease for publishing and status.
pub const PUBLISHER_LEASE: &str = "publisher";

/// The value of a lease object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseValue {
    /// Node that holds it, with its incarnation.
    pub holder: Arc<str>,
    /// Grows with every change of holder.
    pub epoch: u64,
    /// Counts the holder's renewals.
    pub renewal: u64,
    /// Time without renewal after which others may take it, in milliseconds.
    pub ttl_ms: u64,
}

/// What to do about a lease just read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Write this value on condition that the lease is as it was read.
    Write(LeaseValue),
    /// Somebody else holds it.
    Wait,
}

impl LeaseValue {
    /// Name of the node that holds it.
    #[must_use]
    pub fn holder_name(&self) -> &str {
        self.holder.rsplit_once('.').map_or(&self.holder, |(name, _)| name)
    }
}

/// Follows one lease on behalf of one node.
#[derive(Debug)]
pub struct LeaseWatch {
    me: Arc<str>,
    ttl: Duration,
    seen: Option<(LeaseValue, Instant)>,
}

impl LeaseWatch {
    /// Follows a lease for `me`, who would hold it for `ttl` at a time.
    #[must_use]
    pub const fn new(me: Arc<str>, ttl: Duration) -> Self {
        Self { me, ttl, seen: None }
    }

    /// Decides on the lease as read at `now`; nothing means that there is none yet.
    pub fn step(&mut self, read: Option<LeaseValue>, now: Instant) -> LeaseStep {
        let Some(value) = read else {
            return LeaseStep::Write(self.taken_after(0));
        };
        if value.holder == self.me {
            let renewed = LeaseValue { renewal: value.renewal + 1, ttl_ms: self.ttl_ms(), ..value };
            return LeaseStep::Write(renewed);
        }
        if self.lapsed(&value, now) {
            LeaseStep::Write(self.taken_after(value.epoch))
        } else {
            LeaseStep::Wait
        }
    }

    /// The value that hands the lease back, so that others need not wait for it to lapse.
    #[must_use]
    pub fn released(value: &LeaseValue) -> LeaseValue {
        LeaseValue { renewal: value.renewal + 1, ttl_ms: 0, ..value.clone() }
    }

    fn lapsed(&mut self, value: &LeaseValue, now: Instant) -> bool {
        let unchanged_since = match &self.seen {
            Some((seen, since)) if seen == value => *since,
            _ => {
                self.seen = Some((value.clone(), now));
                now
            }
        };
        now - unchanged_since >= Duration::from_millis(value.ttl_ms)
    }

    fn taken_after(&self, epoch: u64) -> LeaseValue {
        LeaseValue { holder: Arc::clone(&self.me), epoch: epoch + 1, renewal: 0, ttl_ms: self.ttl_ms() }
    }

    fn ttl_ms(&self) -> u64 {
        u64::try_from(self.ttl.as_millis()).unwrap_or(u64::MAX)
    }
}
