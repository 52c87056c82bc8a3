//! A count that is shown to others only once it has had time to be true everywhere.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

/// Time that news takes to every node, with margin.
const SPREAD_TIME: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Count {
    shown: usize,
    rising_since: Option<Instant>,
}

/// Counts by name: a fall shows at once, a rise after it has lasted.
#[derive(Debug, Default)]
pub struct SettledCounts {
    counts: IndexMap<Arc<str>, Count>,
}

impl SettledCounts {
    /// The count to show, given what is so at this node now.
    pub fn show(&mut self, name: &Arc<str>, count: usize, now: Instant) -> usize {
        let fresh = Count { shown: 0, rising_since: None };
        let held = self.counts.entry(Arc::clone(name)).or_insert(fresh);
        if count <= held.shown {
            *held = Count { shown: count, rising_since: None };
            return count;
        }
        let since = *held.rising_since.get_or_insert(now);
        if now - since >= SPREAD_TIME {
            *held = Count { shown: count, rising_since: None };
        }
        held.shown
    }
}
