//! Counts whose increases are reported only after gossip had time to reach every node.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

/// Time in which a gossip update reaches every node, with margin.
const GOSSIP_SPREAD_TIME: Duration = Duration::from_secs(1);

/// A reported count and the time since which the actual count is higher.
#[derive(Clone, Copy, Debug)]
struct ReportedCount {
    reported: usize,
    rising_since: Option<Instant>,
}

/// Counts by name: a decrease is reported at once, an increase only after it has lasted for a second.
#[derive(Debug, Default)]
pub struct DelayedCounts {
    counts: IndexMap<Arc<str>, ReportedCount>,
}

impl DelayedCounts {
    /// Updates the named count with this node's current one, and returns the count to report.
    pub fn update(&mut self, name: &Arc<str>, count: usize, now: Instant) -> usize {
        let initial = ReportedCount { reported: 0, rising_since: None };
        let entry = self.counts.entry(Arc::clone(name)).or_insert(initial);
        if count <= entry.reported {
            *entry = ReportedCount { reported: count, rising_since: None };
            return count;
        }
        let rising_since = *entry.rising_since.get_or_insert(now);
        if now - rising_since >= GOSSIP_SPREAD_TIME {
            *entry = ReportedCount { reported: count, rising_since: None };
        }
        entry.reported
    }
}
