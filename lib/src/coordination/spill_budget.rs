//! Whether a call may be moved on by a gate that would keep it waiting.

use std::sync::atomic::AtomicI32;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

const MAX_CREDIT: i32 = 32;
const ASK_EVERY: u32 = 16;

/// Open while most gates take calls at once, closed while most are full.
///
/// When every gate is full, moving on costs hops and finds nothing better. So each call
/// taken at once pays in, each call moved on draws, and with nothing left only one call in
/// some asks, until gates take calls at once again.
#[derive(Debug)]
pub struct SpillBudget {
    credit: AtomicI32,
    asked: AtomicU32,
}

impl Default for SpillBudget {
    fn default() -> Self {
        Self { credit: AtomicI32::new(MAX_CREDIT), asked: AtomicU32::new(0) }
    }
}

impl SpillBudget {
    /// Whether the next attempt may be moved on.
    pub fn is_open(&self) -> bool {
        self.has_credit() || self.asked.fetch_add(1, Ordering::Relaxed).is_multiple_of(ASK_EVERY)
    }

    /// Whether most gates took calls at once of late.
    pub fn has_credit(&self) -> bool {
        self.credit.load(Ordering::Relaxed) > 0
    }

    /// A gate took such a call at once.
    pub fn taken(&self) {
        self.change(1);
    }

    /// A gate moved such a call on.
    pub fn moved_on(&self) {
        self.change(-1);
    }

    fn change(&self, by: i32) {
        let change = |credit: i32| Some((credit + by).clamp(0, MAX_CREDIT));
        let _previous = self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, change);
    }
}
