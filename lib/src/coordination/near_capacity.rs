//! Whether an upstream completes more calls with all of its slots in use or with some of them free.

use std::time::Duration;

use tokio::time::Instant;

/// Share of the slots in use above which upstreams tend to slow down, in percent.
pub const NEAR_CAPACITY_PERCENT: u32 = 80;
/// Expected service time above that share of slots in use, in percent of the typical one.
pub const NEAR_CAPACITY_SLOWDOWN_PERCENT: u64 = 150;
/// All slots, in percent.
const FULL_PERCENT: u32 = 100;
/// Calls needed on each side before the sides are compared.
const MIN_CALLS: u32 = 16;
/// Number of calls at which both sums of a side are halved, so that older calls count less.
const MAX_CALLS: u32 = 64;
/// Largest slowness of a call that is recorded, in thousandths.
///
/// It bounds the weight of calls whose VM changed its speed just as they started.
const MAX_SLOWNESS_PERMILLE: u64 = 3_000;
/// Time after which the comparison is made anew, since calls no longer start near capacity meanwhile.
const VALIDITY: Duration = Duration::from_secs(30);

/// Returns whether the given slots in use are near the capacity of `slots`.
#[must_use]
pub const fn is_near_capacity(in_use: u32, slots: u32) -> bool {
    in_use * FULL_PERCENT > slots * NEAR_CAPACITY_PERCENT
}

/// Number of calls and sum of their slowness.
#[derive(Clone, Copy, Debug, Default)]
struct SlownessSum {
    calls: u32,
    permille: u64,
}

impl SlownessSum {
    const fn new() -> Self {
        Self { calls: 0, permille: 0 }
    }

    fn add(&mut self, slowness_permille: u64) {
        self.calls += 1;
        self.permille += slowness_permille.min(MAX_SLOWNESS_PERMILLE);
        if self.calls == MAX_CALLS {
            self.calls /= 2;
            self.permille /= 2;
        }
    }

    fn mean_permille(self) -> u64 {
        self.permille / u64::from(self.calls.max(1))
    }
}

/// Slowness of calls by whether they started near the capacity of the upstream.
///
/// An upstream that slows down by more than the share of slots gained completes fewer calls with all slots
/// in use than with [`NEAR_CAPACITY_PERCENT`] of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct NearCapacityComparison {
    below: SlownessSum,
    near: SlownessSum,
    /// Time of the last call that started near capacity.
    near_ended_at: Option<Instant>,
}

impl NearCapacityComparison {
    /// Creates a comparison without calls.
    #[must_use]
    pub const fn new() -> Self {
        Self { below: SlownessSum::new(), near: SlownessSum::new(), near_ended_at: None }
    }

    /// Records a successful call, and whether it started near the capacity of the upstream.
    ///
    /// `slowness_permille` is its service time relative to the typical one, without VM slowdown.
    pub fn record(&mut self, near_capacity: bool, slowness_permille: u64, now: Instant) {
        if !near_capacity {
            return self.below.add(slowness_permille);
        }
        if !self.is_valid(now) {
            self.near = SlownessSum::new();
        }
        self.near.add(slowness_permille);
        self.near_ended_at = Some(now);
    }

    /// Returns how many of `slots` to use: those below capacity, if all of them complete fewer calls.
    ///
    /// It also returns those below capacity while too few calls started there to tell, so that some do.
    #[must_use]
    pub fn usable_slots(&self, slots: u32, now: Instant) -> u32 {
        if !self.is_valid(now) || self.near.calls < MIN_CALLS {
            return slots;
        }
        let below = (slots * NEAR_CAPACITY_PERCENT / FULL_PERCENT).max(slots.min(1));
        let below_complete_more =
            self.near.mean_permille() * u64::from(below) > self.below.mean_permille() * u64::from(slots);
        if self.below.calls < MIN_CALLS || below_complete_more { below } else { slots }
    }

    fn is_valid(&self, now: Instant) -> bool {
        self.near_ended_at.is_some_and(|ended_at| now.saturating_duration_since(ended_at) < VALIDITY)
    }
}
