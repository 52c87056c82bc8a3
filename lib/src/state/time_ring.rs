//! A value for each of the latest time slots.

use std::collections::VecDeque;
use std::time::Duration;

/// Values by time slot, the latest slots only; slots without an event take no memory.
#[derive(Clone, Debug)]
pub struct TimeRing<T> {
    slot_length: Duration,
    slots_kept: u64,
    slots: VecDeque<(u64, T)>,
}

impl<T> TimeRing<T> {
    /// An empty ring.
    #[must_use]
    pub const fn new(slot_length: Duration, slots_kept: u64) -> Self {
        Self { slot_length, slots_kept, slots: VecDeque::new() }
    }

    /// The value of the slot at `since_start`, made when there is none yet.
    ///
    /// A time before the latest slot counts in the latest one.
    pub fn at<F>(&mut self, since_start: Duration, make: F) -> &mut T
    where
        F: FnOnce() -> T,
    {
        let index = self.index(since_start);
        if self.slots.back().is_none_or(|(latest, _)| *latest < index) {
            self.forget(index);
            self.slots.push_back((index, make()));
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last].1
    }

    /// Values of the slots that fill `window` up to `since_start`, the current slot included.
    pub fn recent(&self, since_start: Duration, window: Duration) -> impl Iterator<Item = &T> {
        let count = self.index(window).max(1);
        let first = (self.index(since_start) + 1).saturating_sub(count);
        self.slots.iter().filter(move |(index, _)| *index >= first).map(|(_, value)| value)
    }

    fn forget(&mut self, newest: u64) {
        let first = (newest + 1).saturating_sub(self.slots_kept);
        while self.slots.front().is_some_and(|(index, _)| *index < first) {
            self.slots.pop_front();
        }
    }

    fn index(&self, since_start: Duration) -> u64 {
        let index = since_start.as_nanos() / self.slot_length.as_nanos();
        u64::try_from(index).unwrap_or(u64::MAX)
    }
}
