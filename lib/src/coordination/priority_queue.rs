//! The queued and running calls of one priority at one gate, and the order in which queued calls get slots.

use std::collections::BTreeMap;
use std::num::NonZeroU32;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::coordination::admission::QueueDecision;
use crate::coordination::admission::QueueKey;
use crate::coordination::admission::RejectReason;
use crate::protocol::call_head::CallOrigin;
use crate::protocol::settings::Shedding;

const PERCENT: usize = 100;
/// Normal speed of an upstream's VM, in percent of the normal service time.
const NORMAL_SPEED_PERCENT: u32 = 100;
/// Factor that keeps fractions when running calls are divided by the weight of their caller.
const WEIGHT_SCALE: u64 = 1_000;
/// Divisor of the expected time that gives the margin added to it.
///
/// A margin is needed because about half of all calls take longer than the typical time.
const TYPICAL_TIME_MARGIN_DIVISOR: u32 = 4;

/// Hash of a caller's name, which identifies the caller at a gate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallerKey(pub u64);

/// Admission rule of one priority at a gate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorityRule {
    /// Share of the slots that the priority is guaranteed under overload, in percent.
    pub min_share_percent: u32,
    /// Maximum number of queued calls.
    pub max_queue: usize,
    /// Share of the queue that one caller may fill, in percent.
    pub max_caller_queue_percent: u32,
    /// Latency objective.
    pub objective: Duration,
    /// Whether calls that miss their objective are still served, after those that can meet it.
    pub serve_late: bool,
    /// Share of the declared slots that calls of this priority may use, in percent.
    pub usable_slots_percent: u32,
}

/// A queued call.
#[derive(Clone, Copy, Debug)]
pub struct QueuedCall {
    /// The caller that sent it.
    pub caller: CallerKey,
    /// Time by which the answer is due according to the latency objective.
    pub objective_at: Instant,
    /// Typical service time of this kind of call; the gate's mean service time applies if it is not known.
    pub typical_time: Option<Duration>,
    /// Weight of the caller against others that have one.
    pub caller_weight: Option<NonZeroU32>,
    /// Who makes the call.
    pub origin: CallOrigin,
}

impl QueuedCall {
    /// Returns whether the call can still meet its objective if it starts now.
    #[must_use]
    pub fn can_meet_objective(&self, pace: Pace, now: Instant) -> bool {
        let expected = pace.expected_time(self.typical_time);
        self.objective_at >= now + expected + expected / TYPICAL_TIME_MARGIN_DIVISOR
    }

    /// Returns the latest time at which the call may start and still meet its objective.
    fn latest_start_on_time(&self, pace: Pace) -> Option<Instant> {
        self.objective_at.checked_sub(pace.expected_time(self.typical_time))
    }
}

/// Service times that an upstream is expected to need now.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Mean service time at normal speed, for calls whose typical time is not known.
    pub service_time: Duration,
    /// Service times relative to those at normal speed, in percent.
    pub slowdown_percent: u32,
}

impl Pace {
    /// Returns the pace of an upstream at normal speed.
    #[must_use]
    pub const fn normal(service_time: Duration) -> Self {
        Self { service_time, slowdown_percent: NORMAL_SPEED_PERCENT }
    }

    /// Returns the expected service time of a call.
    #[must_use]
    pub fn expected_time(&self, typical_time: Option<Duration>) -> Duration {
        typical_time.unwrap_or(self.service_time) * self.slowdown_percent / NORMAL_SPEED_PERCENT
    }
}

/// Conditions on the queued calls that may start.
#[derive(Clone, Copy, Debug)]
pub struct StartLimits {
    /// Service times to expect.
    pub pace: Pace,
    /// Longest typical time of a call that is worth starting; `None` if any call is.
    pub longest_call: Option<Duration>,
    /// Maximum number of late calls that stay queued.
    pub max_late: usize,
    /// Order of the calls that can meet their objectives.
    pub shedding: Shedding,
    /// Whether only nested calls may start, since the free slots are not for others.
    pub nested_only: bool,
}

/// Returns whether a call may start although longer ones than `longest_call` are held.
///
/// A call whose typical time is not known is never held.
#[must_use]
pub fn is_worth_starting(typical_time: Option<Duration>, longest_call: Option<Duration>) -> bool {
    match (typical_time, longest_call) {
        (Some(typical_time), Some(longest_call)) => typical_time <= longest_call,
        _ => true,
    }
}

/// Numbers of calls of one caller.
#[derive(Clone, Copy, Debug, Default)]
struct CallerCounts {
    running: u32,
    queued: u32,
}

/// The queued and running calls of one priority.
///
/// Unless late calls are served, the next call is that of the caller with the fewest running calls, and of
/// its calls the one that must start first. Competing callers thus share the slots of a priority evenly,
/// while a single caller may use them all.
#[derive(Debug)]
pub struct PriorityQueue {
    rule: PriorityRule,
    waiting: BTreeMap<QueueKey, QueuedCall>,
    callers: IndexMap<CallerKey, CallerCounts>,
    running: u32,
    /// Time at which a call that could have been on time was last rejected for lack of slots.
    short_of_slots_at: Option<Instant>,
}

impl PriorityQueue {
    /// Creates a queue without calls.
    #[must_use]
    pub fn new(rule: PriorityRule) -> Self {
        Self { rule, waiting: BTreeMap::new(), callers: IndexMap::new(), running: 0, short_of_slots_at: None }
    }

    /// Returns the rule in force.
    #[must_use]
    pub const fn rule(&self) -> PriorityRule {
        self.rule
    }

    /// Replaces the rule.
    pub const fn set_rule(&mut self, rule: PriorityRule) {
        self.rule = rule;
    }

    /// Returns the number of slots that its calls hold.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of queued calls.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether any call is queued.
    #[must_use]
    pub fn has_queued(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns whether any queued call may start while calls longer than `longest_call` are held.
    #[must_use]
    pub fn has_call_to_start(&self, longest_call: Option<Duration>) -> bool {
        self.waiting.values().any(|call| is_worth_starting(call.typical_time, longest_call))
    }

    /// Returns whether any queued nested call may start while calls longer than `longest_call` are held.
    #[must_use]
    pub fn has_nested_call_to_start(&self, longest_call: Option<Duration>) -> bool {
        let mut nested = self.waiting.values().filter(|call| call.origin == CallOrigin::Upstream);
        nested.any(|call| is_worth_starting(call.typical_time, longest_call))
    }

    /// Estimates how many queued calls get a slot before a new call of this caller.
    ///
    /// The caller's own queued calls count too. The estimate assumes that callers start calls in turn.
    #[must_use]
    pub fn calls_ahead_of(&self, caller: CallerKey) -> u32 {
        let own = self.queued_by(caller);
        self.callers.values().map(|counts| counts.queued.min(own + 1)).sum::<u32>().min(self.queued_total())
    }

    /// Returns why another call of this caller may not be queued, or `None` if it may.
    #[must_use]
    pub fn rejection_reason(&self, caller: CallerKey) -> Option<RejectReason> {
        let max_by_caller = self.rule.max_queue * self.rule.max_caller_queue_percent as usize / PERCENT;
        if self.waiting.len() >= self.rule.max_queue {
            return Some(RejectReason::QueueFull);
        }
        (self.queued_by(caller) as usize >= max_by_caller.max(1)).then_some(RejectReason::CallerLimited)
    }

    /// Queues a call.
    pub fn push(&mut self, key: QueueKey, call: QueuedCall) {
        self.callers.entry(call.caller).or_default().queued += 1;
        self.waiting.insert(key, call);
    }

    /// Removes a call from the queue and returns whether it was queued.
    pub fn remove(&mut self, key: QueueKey) -> bool {
        let Some(call) = self.waiting.remove(&key) else {
            return false;
        };
        self.update_caller(call.caller, |counts| counts.queued = counts.queued.saturating_sub(1));
        true
    }

    /// Returns whether any queued call can still meet its objective.
    #[must_use]
    pub fn has_call_on_time(&self, pace: Pace, now: Instant) -> bool {
        let mut unexpired = self.waiting.iter().filter(|(key, _)| key.start_by() > now);
        unexpired.any(|(_, call)| call.can_meet_objective(pace, now))
    }

    /// Rejects the queued calls that can no longer meet their objective.
    pub fn reject_late(&mut self, pace: Pace, now: Instant, rejections: &mut Vec<QueueDecision>) {
        let late = self.late_calls(pace, now);
        if !late.is_empty() {
            self.record_shortage(now);
        }
        self.reject(&late, RejectReason::ObjectiveMissed, rejections);
    }

    /// Records that a call which could have been on time is rejected for lack of slots.
    pub const fn record_shortage(&mut self, now: Instant) {
        self.short_of_slots_at = Some(now);
    }

    /// Returns whether such a call was rejected within the given time.
    #[must_use]
    pub fn was_short_of_slots(&self, within: Duration, now: Instant) -> bool {
        self.short_of_slots_at.is_some_and(|at| now.saturating_duration_since(at) < within)
    }

    /// Returns the queued calls that can no longer meet their objective, the one to start first at the front.
    fn late_calls(&self, pace: Pace, now: Instant) -> Vec<QueueKey> {
        let is_late = |call: &QueuedCall| !call.can_meet_objective(pace, now);
        self.waiting.iter().filter(|(_, call)| is_late(call)).map(|(key, _)| *key).collect()
    }

    /// Removes and returns the next call to start, and rejects calls that can no longer start in time.
    ///
    /// Unless the rule serves late calls, calls that can no longer meet their objective are rejected too.
    /// Rejections are appended to `rejections`. If the rule serves late calls, calls that can still meet
    /// their objective start first, then the late call that has the most time left to start. At most
    /// `limits.max_late` late calls stay queued, since further ones would hardly get a slot in time.
    pub fn next(
        &mut self,
        limits: StartLimits,
        now: Instant,
        rejections: &mut Vec<QueueDecision>,
    ) -> Option<(QueueKey, QueuedCall)> {
        if self.rule.serve_late {
            return self.next_including_late(limits, now, rejections);
        }
        loop {
            let (key, call) = self.first_by_fair_share()?;
            self.remove(key);
            let reason = if key.start_by() <= now {
                RejectReason::TooLate
            // Looser than `can_meet_objective`: the mean service time applies to every call, without margin.
            } else if call.objective_at < now + limits.pace.service_time {
                RejectReason::ObjectiveMissed
            } else {
                return Some((key, call));
            };
            rejections.push(QueueDecision::Reject(key, reason));
        }
    }

    /// Implements [`Self::next`] for a rule that serves late calls.
    fn next_including_late(
        &mut self,
        limits: StartLimits,
        now: Instant,
        rejections: &mut Vec<QueueDecision>,
    ) -> Option<(QueueKey, QueuedCall)> {
        let StartLimits { pace, longest_call, max_late, shedding, nested_only } = limits;
        let expired = self.waiting.keys().take_while(|key| key.start_by() <= now);
        let expired: Vec<QueueKey> = expired.copied().collect();
        self.reject(&expired, RejectReason::TooLate, rejections);
        let late = self.late_calls(pace, now);
        let excess = late.len().saturating_sub(max_late);
        self.reject(&late[..excess], RejectReason::ObjectiveMissed, rejections);
        let may_start = |call: &QueuedCall| {
            is_worth_starting(call.typical_time, longest_call)
                && (!nested_only || call.origin == CallOrigin::Upstream)
        };
        let mut startable = self.waiting.iter().filter(|(_, call)| may_start(call));
        let last = startable.clone().next_back();
        let mut on_time = startable.by_ref().filter(|(_, call)| call.can_meet_objective(pace, now));
        let first_on_time = match shedding {
            Shedding::ByPriority => on_time.next(),
            Shedding::ByCost => on_time.min_by_key(|(key, call)| (self.start_order(call, pace), **key)),
        };
        let next = first_on_time.or(last);
        let (key, call) = next.map(|(key, call)| (*key, *call))?;
        self.remove(key);
        Some((key, call))
    }

    /// Returns the order in which calls of this priority start if it follows what their delay costs.
    ///
    /// Nested calls come first: rejecting one also loses the work done for the running request that made it. Callers
    /// with a weight take turns in proportion to it, and of the calls of one caller the one with the least spare time
    /// is next.
    fn start_order(&self, call: &QueuedCall, pace: Pace) -> (bool, u64, Option<Instant>) {
        let is_new_request = call.origin == CallOrigin::Caller;
        let running = self.callers.get(&call.caller).map_or(0, |counts| counts.running);
        let use_of_share = call
            .caller_weight
            .map_or(0, |weight| u64::from(running) * WEIGHT_SCALE / u64::from(weight.get()));
        (is_new_request, use_of_share, call.latest_start_on_time(pace))
    }

    /// Removes calls from the queue and appends their rejections.
    fn reject(&mut self, keys: &[QueueKey], reason: RejectReason, rejections: &mut Vec<QueueDecision>) {
        for key in keys {
            self.remove(*key);
            rejections.push(QueueDecision::Reject(*key, reason));
        }
    }

    /// Records that a call of the caller took a slot.
    pub fn start(&mut self, caller: CallerKey) {
        self.running += 1;
        self.callers.entry(caller).or_default().running += 1;
    }

    /// Records that a call of the caller released its slot.
    pub fn finish(&mut self, caller: CallerKey) {
        self.running = self.running.saturating_sub(1);
        self.update_caller(caller, |counts| counts.running = counts.running.saturating_sub(1));
    }

    /// Rejects all queued calls.
    pub fn reject_all(&mut self, reason: RejectReason) -> Vec<QueueDecision> {
        let keys: Vec<QueueKey> = self.waiting.keys().copied().collect();
        let mut rejections = Vec::with_capacity(keys.len());
        self.reject(&keys, reason, &mut rejections);
        rejections
    }

    /// Returns the queued call that must start first, among those of callers with the fewest running calls.
    fn first_by_fair_share(&self) -> Option<(QueueKey, QueuedCall)> {
        if self.callers.len() == 1 {
            return self.waiting.first_key_value().map(|(key, call)| (*key, *call));
        }
        let running = |caller| self.callers.get(&caller).map_or(0, |counts| counts.running);
        let first = self.waiting.iter().min_by_key(|(key, call)| (running(call.caller), **key));
        first.map(|(key, call)| (*key, *call))
    }

    /// Returns the number of queued calls of the caller.
    fn queued_by(&self, caller: CallerKey) -> u32 {
        self.callers.get(&caller).map_or(0, |counts| counts.queued)
    }

    fn queued_total(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Updates the numbers of a caller, and forgets the caller once it has no calls.
    fn update_caller<F>(&mut self, caller: CallerKey, update: F)
    where
        F: FnOnce(&mut CallerCounts),
    {
        let Some(counts) = self.callers.get_mut(&caller) else {
            return;
        };
        update(counts);
        if counts.running == 0 && counts.queued == 0 {
            self.callers.swap_remove(&caller);
        }
    }
}
