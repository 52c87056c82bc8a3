//! Times of the latest starts of calls, kept only as long as they can delay another start.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Starts of calls within a window of time, the oldest first.
///
/// Memory grows with the starts that were recorded, not with the number that the window may contain.
#[derive(Debug)]
pub struct RecentStarts {
    window: Duration,
    /// Number of starts that are only assumed, all at `assumed_at`; they are older than those in `times`.
    assumed: usize,
    assumed_at: Instant,
    times: VecDeque<Instant>,
}

impl RecentStarts {
    /// Creates an empty record of the starts in `window`.
    #[must_use]
    pub const fn new(window: Duration, now: Instant) -> Self {
        Self { window, assumed: 0, assumed_at: now, times: VecDeque::new() }
    }

    /// Forgets all starts and assumes `count` of them now.
    pub fn assume(&mut self, count: usize, now: Instant) {
        self.assumed = count;
        self.assumed_at = now;
        self.times.clear();
    }

    /// Records a start; keeps at most the latest `max_starts`, and none from before the window.
    pub fn record(&mut self, max_starts: usize, now: Instant) {
        self.times.push_back(now);
        if self.assumed_at + self.window <= now {
            self.assumed = 0;
        }
        let outdated = self.times.iter().take_while(|at| **at + self.window <= now).count();
        self.times.drain(..outdated);
        self.forget_oldest(self.len().saturating_sub(max_starts));
    }

    /// Returns the number of starts, the assumed ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.assumed.saturating_add(self.times.len())
    }

    /// Returns whether no start is known or assumed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the time of the start with the given index, counted from the oldest.
    #[must_use]
    pub fn get(&self, index: usize) -> Option<Instant> {
        match index.checked_sub(self.assumed) {
            None => Some(self.assumed_at),
            Some(index) => self.times.get(index).copied(),
        }
    }

    /// Returns the number of times that are held in memory.
    #[must_use]
    pub fn held_times(&self) -> usize {
        self.times.len()
    }

    fn forget_oldest(&mut self, count: usize) {
        let assumed = count.min(self.assumed);
        self.assumed -= assumed;
        self.times.drain(..count - assumed);
    }
}
