//! The calls of one priority at one gate: who waits, who runs, whose turn it is.

use std::collections::BTreeMap;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::coordination::admission::Refusal;
use crate::coordination::admission::TicketKey;
use crate::coordination::admission::Verdict;

const PERCENT: usize = 100;
/// Part of its usual time that a call is given on top, since every other call takes longer.
const MARGIN_DIVISOR: u32 = 4;

/// Names a caller for the time that it has calls at a gate; a hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallerKey(pub u64);

/// How a gate treats one priority.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorityRule {
    /// Share of the slots that the priority keeps in any overload, in percent.
    pub min_share_percent: u32,
    /// Calls that may wait.
    pub max_queue: usize,
    /// Share of the waiting places that one caller may take, in percent.
    pub max_caller_queue_percent: u32,
    /// Latency objective.
    pub objective: Duration,
    /// Whether calls that miss their objective are still served, after those that don't.
    pub serve_late: bool,
    /// Share of the declared slots that its calls may fill, in percent.
    pub usable_slots_percent: u32,
}

/// A call that waits.
#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    /// Whose call it is.
    pub caller: CallerKey,
    /// When its objective passes.
    pub objective_at: Instant,
    /// Time that such a call usually takes; that of all calls here when it is not known.
    pub usual: Option<Duration>,
}

impl Waiter {
    /// Whether its answer can still be in time when it starts now.
    fn is_in_time(&self, service_time: Duration, now: Instant) -> bool {
        let lasts = self.usual.unwrap_or(service_time);
        self.objective_at >= now + lasts + lasts / MARGIN_DIVISOR
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct CallerUse {
    running: u32,
    queued: u32,
}

/// The calls of one priority.
///
/// Among the callers with calls waiting, the one with the fewest calls running goes
/// next, and of its calls the one with the earliest deadline. So callers share the slots
/// of a priority evenly when they compete, and one alone may use them all.
#[derive(Debug)]
pub struct PriorityLane {
    rule: PriorityRule,
    waiting: BTreeMap<TicketKey, Waiter>,
    callers: IndexMap<CallerKey, CallerUse>,
    running: u32,
}

impl PriorityLane {
    /// A lane without calls.
    #[must_use]
    pub fn new(rule: PriorityRule) -> Self {
        Self { rule, waiting: BTreeMap::new(), callers: IndexMap::new(), running: 0 }
    }

    /// The rule that it follows.
    #[must_use]
    pub const fn rule(&self) -> PriorityRule {
        self.rule
    }

    /// Follows another rule from now on.
    pub const fn set_rule(&mut self, rule: PriorityRule) {
        self.rule = rule;
    }

    /// Slots that its calls hold.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Calls that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a call waits.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Calls that go before a new one of this caller, when callers take turns.
    #[must_use]
    pub fn ahead_of(&self, caller: CallerKey) -> u32 {
        let own = self.queued_by(caller);
        self.callers.values().map(|other| other.queued.min(own + 1)).sum::<u32>().min(self.queued_all())
    }

    /// Why one more call of the caller may not wait, or nothing.
    #[must_use]
    pub fn refuses(&self, caller: CallerKey) -> Option<Refusal> {
        let most_by_caller = self.rule.max_queue * self.rule.max_caller_queue_percent as usize / PERCENT;
        if self.waiting.len() >= self.rule.max_queue {
            return Some(Refusal::QueueFull);
        }
        (self.queued_by(caller) as usize >= most_by_caller.max(1)).then_some(Refusal::CallerLimited)
    }

    /// A call waits from now on.
    pub fn push(&mut self, key: TicketKey, waiter: Waiter) {
        self.callers.entry(waiter.caller).or_default().queued += 1;
        self.waiting.insert(key, waiter);
    }

    /// A waiting call leaves; true when it was waiting.
    pub fn remove(&mut self, key: TicketKey) -> bool {
        let Some(waiter) = self.waiting.remove(&key) else {
            return false;
        };
        self.change(waiter.caller, |held| held.queued = held.queued.saturating_sub(1));
        true
    }

    /// Whether a call waits whose answer can still be in time.
    #[must_use]
    pub fn has_in_time(&self, service_time: Duration, now: Instant) -> bool {
        self.waiting.values().any(|waiter| waiter.is_in_time(service_time, now))
    }

    /// Takes the next call out of the queue, and refuses those that are not served any more.
    ///
    /// Where late calls are served, those still in time go first. Of the late ones the latest
    /// come next, whose answers are worth most, and no more than `most_late` stay: the rest
    /// would wait in vain.
    pub fn next(
        &mut self,
        service_time: Duration,
        most_late: usize,
        now: Instant,
        verdicts: &mut Vec<Verdict>,
    ) -> Option<(TicketKey, Waiter)> {
        if self.rule.serve_late {
            return self.next_or_late(service_time, most_late, now, verdicts);
        }
        loop {
            let (key, waiter) = self.first_in_turn()?;
            self.remove(key);
            let refusal = if key.start_by() <= now {
                Refusal::TooLate
            } else if waiter.objective_at < now + service_time {
                Refusal::ObjectiveMissed
            } else {
                return Some((key, waiter));
            };
            verdicts.push(Verdict::Refuse(key, refusal));
        }
    }

    fn next_or_late(
        &mut self,
        service_time: Duration,
        most_late: usize,
        now: Instant,
        verdicts: &mut Vec<Verdict>,
    ) -> Option<(TicketKey, Waiter)> {
        let past: Vec<TicketKey> =
            self.waiting.keys().take_while(|key| key.start_by() <= now).copied().collect();
        let late: Vec<TicketKey> = self
            .waiting
            .iter()
            .filter(|(_, waiter)| !waiter.is_in_time(service_time, now))
            .map(|(key, _)| *key)
            .collect();
        let surplus = late.len().saturating_sub(most_late).max(past.len());
        for key in &late[..surplus.min(late.len())] {
            let refusal = if key.start_by() <= now { Refusal::TooLate } else { Refusal::ObjectiveMissed };
            self.remove(*key);
            verdicts.push(Verdict::Refuse(*key, refusal));
        }
        let in_time = self.waiting.iter().find(|(_, waiter)| waiter.is_in_time(service_time, now));
        let next = in_time.or_else(|| self.waiting.last_key_value());
        let (key, waiter) = next.map(|(key, waiter)| (*key, *waiter))?;
        self.remove(key);
        Some((key, waiter))
    }

    /// A call of the caller takes a slot.
    pub fn start(&mut self, caller: CallerKey) {
        self.running += 1;
        self.callers.entry(caller).or_default().running += 1;
    }

    /// A call of the caller lets go of its slot.
    pub fn finish(&mut self, caller: CallerKey) {
        self.running = self.running.saturating_sub(1);
        self.change(caller, |held| held.running = held.running.saturating_sub(1));
    }

    /// Refuses every call that waits.
    pub fn refuse_all(&mut self, refusal: Refusal) -> Vec<Verdict> {
        let keys: Vec<TicketKey> = self.waiting.keys().copied().collect();
        for key in &keys {
            self.remove(*key);
        }
        keys.into_iter().map(|key| Verdict::Refuse(key, refusal)).collect()
    }

    fn first_in_turn(&self) -> Option<(TicketKey, Waiter)> {
        if self.callers.len() == 1 {
            return self.waiting.first_key_value().map(|(key, waiter)| (*key, *waiter));
        }
        let running = |caller| self.callers.get(&caller).map_or(0, |held| held.running);
        let turn = self.waiting.iter().min_by_key(|(key, waiter)| (running(waiter.caller), **key));
        turn.map(|(key, waiter)| (*key, *waiter))
    }

    fn queued_by(&self, caller: CallerKey) -> u32 {
        self.callers.get(&caller).map_or(0, |held| held.queued)
    }

    fn queued_all(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    fn change<F>(&mut self, caller: CallerKey, change: F)
    where
        F: FnOnce(&mut CallerUse),
    {
        let Some(held) = self.callers.get_mut(&caller) else {
            return;
        };
        change(held);
        if held.running == 0 && held.queued == 0 {
            self.callers.swap_remove(&caller);
        }
    }
}
