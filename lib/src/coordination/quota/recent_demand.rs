//! Tokens that a quota server was lately asked for.

use std::time::Duration;

use crate::coordination::quota::BootTime;

/// Time after which a request no longer counts, at the latest after twice this time.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);

/// Number of tokens asked for in the last window and the current one.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentDemand {
    window_started: BootTime,
    current: u32,
    previous: u32,
}

impl RecentDemand {
    /// Counts tokens that were asked for.
    pub fn count(&mut self, tokens: u32, now: BootTime) {
        self.advance(now);
        self.current = self.current.saturating_add(tokens);
    }

    /// Returns the tokens that were asked for lately.
    pub fn tokens(&mut self, now: BootTime) -> u32 {
        self.advance(now);
        self.current.saturating_add(self.previous)
    }

    fn advance(&mut self, now: BootTime) {
        let elapsed = now.saturating_sub(self.window_started);
        if elapsed < DEMAND_WINDOW {
            return;
        }
        self.previous = if elapsed < 2 * DEMAND_WINDOW { self.current } else { 0 };
        self.current = 0;
        self.window_started = now;
    }
}
