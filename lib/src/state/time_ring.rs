//! A sliding window of values, one for each recent time slot of fixed length.

use std::collections::VecDeque;
use std::time::Duration;

/// Values of recent time slots, indexed by time since start; slots without an event take no memory.
#[derive(Clone, Debug)]
pub struct TimeRing<T> {
    slot_length: Duration,
    max_slots: u64,
    slots: VecDeque<(u64, T)>,
}

impl<T> TimeRing<T> {
    /// Creates an empty ring that retains the latest `max_slots` slots of the given length.
    #[must_use]
    pub const fn new(slot_length: Duration, max_slots: u64) -> Self {
        Self { slot_length, max_slots, slots: VecDeque::new() }
    }

    /// Returns the value of the slot at `since_start`, created by `init` if the slot is new.
    ///
    /// A time before the latest slot is assigned to the latest slot.
    pub fn slot_mut<F>(&mut self, since_start: Duration, init: F) -> &mut T
    where
        F: FnOnce() -> T,
    {
        let index = self.slot_index(since_start);
        if self.slots.back().is_none_or(|(latest, _)| *latest < index) {
            self.drop_expired(index);
            self.slots.push_back((index, init()));
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last].1
    }

    /// Returns the values of the slots in the `window` that ends at `since_start`, the current slot included.
    pub fn recent(&self, since_start: Duration, window: Duration) -> impl Iterator<Item = &T> {
        let count = self.slot_index(window).max(1);
        let oldest = (self.slot_index(since_start) + 1).saturating_sub(count);
        self.slots.iter().filter(move |(index, _)| *index >= oldest).map(|(_, value)| value)
    }

    fn drop_expired(&mut self, newest: u64) {
        let oldest = (newest + 1).saturating_sub(self.max_slots);
        while self.slots.front().is_some_and(|(index, _)| *index < oldest) {
            self.slots.pop_front();
        }
    }

    fn slot_index(&self, since_start: Duration) -> u64 {
        let index = since_start.as_nanos() / self.slot_length.as_nanos();
        u64::try_from(index).unwrap_or(u64::MAX)
    }
}
