//! Which calls a gate lets through to its upstream, and in which order.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::concurrency_limit::ConcurrencyLimit;
use crate::coordination::priority_lane::CallerKey;
use crate::coordination::priority_lane::PriorityLane;
use crate::coordination::priority_lane::PriorityRule;
use crate::coordination::priority_lane::Waiter;
use crate::coordination::run_exposure::Run;
use crate::coordination::service_estimate::Ended;
use crate::coordination::service_estimate::ServiceEstimate;
use crate::coordination::slot_shares::LaneUse;
use crate::coordination::slot_shares::SlotShares;
use crate::protocol::load_report::LoadReport;

const PERCENT: u64 = 100;
const HUNDRED: u32 = 100;
const PERMILLE: u64 = 1_000;
/// Least share that a wait is reckoned with, in percent, for a priority that keeps none.
const LEAST_SHARE_PERCENT: u64 = 2;
/// Share of the time between service time and objective that a wait may fill.
///
/// The rest is for service times above the mean: a call let in at the edge would hold a
/// slot and miss its objective all the same.
const WAIT_DIVISOR: u32 = 3;
/// Share of the slots past which upstreams tend to slow down, and what a call is then reckoned to take.
pub(super) const NEARLY_FULL_PERCENT: u32 = 80;
pub(super) const CROWDED_PERCENT: u64 = 150;
/// Age up to which the upstream's word on its pace is good enough to decide by.
const PACE_FRESH: Duration = Duration::from_millis(80);
/// Time after a call for which the pace is kept fresh for the next one.
const PACE_INTEREST: Duration = Duration::from_millis(500);
const RETRY_HINT_MIN: Duration = Duration::from_millis(10);
const RETRY_HINT_MAX: Duration = Duration::from_secs(5);

/// Names one call waiting at a gate, in the order of the latest moments to start them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TicketKey {
    start_by: Instant,
    sequence: u64,
    lane: usize,
}

impl TicketKey {
    /// The latest moment at which the call may get a slot.
    #[must_use]
    pub const fn start_by(&self) -> Instant {
        self.start_by
    }
}

/// A call that asks to be let through.
#[derive(Clone, Copy, Debug)]
pub struct Ticket {
    /// Position of the priority, 0 the most urgent.
    pub priority: u8,
    /// Whose call it is.
    pub caller: CallerKey,
    /// When the call is of no more use.
    pub deadline: Instant,
    /// Latest moment at which it may get a slot, where its sender can't wait until the deadline.
    pub start_by: Option<Instant>,
    /// When its answer is worth less, where that is not the objective of its priority.
    pub objective_at: Option<Instant>,
    /// Time that such a call usually takes; that of all calls here when it is not known.
    pub usual: Option<Duration>,
    /// Longest time in all for which it is worth staying here, when another gate may be better.
    pub patience: Option<Duration>,
    /// Whether it may run more than once, which makes it the better trial of a bad upstream.
    pub idempotent: bool,
}

/// Why a gate refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The queue of the priority is full.
    QueueFull,
    /// The deadline passed, or will before a slot is free.
    TooLate,
    /// The objective can't be met any more.
    ObjectiveMissed,
    /// It would take longer here than the sender expects elsewhere.
    Impatient,
    /// The caller has its share of the waiting places already.
    CallerLimited,
    /// The gate takes no more work.
    Draining,
}

/// A slot that a call holds until it is given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    lane: usize,
    caller: CallerKey,
    run: Run,
}

impl Grant {
    /// When the call got the slot.
    #[must_use]
    pub const fn started(&self) -> Instant {
        self.run.started
    }
}

/// What a gate says to a call that has just come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It has a slot.
    Admitted(Grant),
    /// It waits under this key.
    Queued(TicketKey),
    /// It has not run and never will here.
    Refused(Refusal),
}

/// What a gate says to a call that was waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has a slot now.
    Admit(TicketKey, Grant),
    /// It has not run and never will here.
    Refuse(TicketKey, Refusal),
}

/// Exact state of a gate: slots in use and the queue of each priority.
#[derive(Debug)]
pub struct Admission {
    limit: ConcurrencyLimit,
    adaptive: bool,
    withheld: u32,
    running: u32,
    draining: bool,
    next_sequence: u64,
    lanes: Vec<PriorityLane>,
    shares: SlotShares,
    estimate: ServiceEstimate,
    last_offer: Option<Instant>,
}

impl Admission {
    /// A gate with the given slots and priorities, the most urgent first.
    #[must_use]
    pub fn new(limit: u32, rules: &[PriorityRule], now: Instant) -> Self {
        Self {
            limit: ConcurrencyLimit::new(limit),
            adaptive: true,
            withheld: 0,
            running: 0,
            draining: false,
            next_sequence: 0,
            lanes: rules.iter().map(|rule| PriorityLane::new(*rule)).collect(),
            shares: SlotShares::new(now),
            estimate: ServiceEstimate::new(now),
            last_offer: None,
        }
    }

    /// Replaces the rules; calls waiting under a priority that is gone are refused.
    pub fn set_rules(&mut self, rules: &[PriorityRule]) -> Vec<Verdict> {
        for (lane, rule) in self.lanes.iter_mut().zip(rules) {
            lane.set_rule(*rule);
        }
        for rule in rules.iter().skip(self.lanes.len()) {
            self.lanes.push(PriorityLane::new(*rule));
        }
        let mut verdicts = Vec::new();
        for lane in self.lanes.iter_mut().skip(rules.len()) {
            verdicts.extend(lane.refuse_all(Refusal::Draining));
        }
        verdicts
    }

    /// Replaces the number of slots that the upstream declares.
    pub fn set_limit(&mut self, declared: u32, now: Instant) -> Vec<Verdict> {
        self.settle(now);
        self.limit.declare(declared);
        self.fill(now)
    }

    /// Whether the limit follows the upstream's latency.
    pub const fn set_adaptive(&mut self, adaptive: bool) {
        self.adaptive = adaptive;
    }

    /// Leaves so many slots free for work of the upstream that the gate doesn't know.
    pub fn withhold(&mut self, slots: u32, now: Instant) -> Vec<Verdict> {
        self.settle(now);
        self.withheld = slots;
        self.fill(now)
    }

    /// Takes no more work and refuses all that waits.
    pub fn drain(&mut self) -> Vec<Verdict> {
        self.draining = true;
        self.lanes.iter_mut().flat_map(|lane| lane.refuse_all(Refusal::Draining)).collect()
    }

    /// Takes work again after a drain was called off.
    pub const fn resume(&mut self) {
        self.draining = false;
    }

    /// A call arrives.
    pub fn offer(&mut self, ticket: Ticket, now: Instant) -> Offer {
        self.settle(now);
        if self.draining {
            return Offer::Refused(Refusal::Draining);
        }
        self.last_offer = Some(now);
        if ticket.deadline <= now {
            return Offer::Refused(Refusal::TooLate);
        }
        let Some(index) = self.lane_of(ticket.priority) else {
            return Offer::Refused(Refusal::QueueFull);
        };
        let free = self.is_free_for(index);
        let wait = if free { Duration::ZERO } else { self.expected_wait(index, ticket.caller, now) };
        if let Some(patience) = ticket.patience
            && wait + self.expected_run(ticket.usual, now) > patience
            && !(free && self.claim_trial(patience, ticket.idempotent, now))
        {
            return Offer::Refused(Refusal::Impatient);
        }
        if free {
            return Offer::Admitted(self.start(index, ticket.caller, ticket.usual, now));
        }
        self.enqueue(ticket, index, wait, now)
    }

    /// Time that a call would run that starts now.
    fn expected_run(&self, usual: Option<Duration>, now: Instant) -> Duration {
        let slowness_permille = self.estimate.slowness_permille(now);
        let Some(usual) = usual.filter(|_| slowness_permille > 0) else {
            return Duration::from_micros(self.estimate.live_us(now));
        };
        let usual_us = u64::try_from(usual.as_micros()).unwrap_or(u64::MAX);
        let nearly_full = (self.running + 1) * HUNDRED > self.slots() * NEARLY_FULL_PERCENT;
        let crowding_percent = if nearly_full { CROWDED_PERCENT } else { PERCENT };
        let slowness = slowness_permille.saturating_mul(crowding_percent);
        Duration::from_micros(usual_us.saturating_mul(slowness) / (PERMILLE * PERCENT))
    }

    /// Whether a call may try an upstream that looks worse than others, where nothing else tells how it is.
    fn claim_trial(&mut self, patience: Duration, idempotent: bool, now: Instant) -> bool {
        self.estimate.pace_is_older_than(PACE_INTEREST, now)
            && self.estimate.claim_trial(patience, idempotent, now)
    }

    fn enqueue(&mut self, ticket: Ticket, index: usize, wait: Duration, now: Instant) -> Offer {
        let objective = ticket.objective_at.map(|at| at.saturating_duration_since(now));
        let objective = objective.unwrap_or(self.lanes[index].rule().objective);
        let longest_wait = self.longest_wait(index, objective, ticket.caller);
        let lane = &mut self.lanes[index];
        let objective_at = now + objective;
        let lasts = if lane.rule().serve_late { ticket.usual.unwrap_or_default() } else { Duration::ZERO };
        // A slot that comes later would be held for an answer that nobody waits for.
        let useful_until = ticket.deadline.checked_sub(lasts).unwrap_or(now);
        let start_by = ticket.start_by.map_or(useful_until, |start_by| start_by.min(useful_until));
        if now + wait >= start_by {
            return Offer::Refused(Refusal::TooLate);
        }
        if wait > longest_wait && !lane.rule().serve_late {
            return Offer::Refused(Refusal::ObjectiveMissed);
        }
        if let Some(refusal) = lane.refuses(ticket.caller) {
            return Offer::Refused(refusal);
        }
        let key = TicketKey { start_by, sequence: self.next_sequence, lane: index };
        self.next_sequence += 1;
        lane.push(key, Waiter { caller: ticket.caller, objective_at, usual: ticket.usual });
        Offer::Queued(key)
    }

    /// Longest wait with which a call may join the queue of the lane.
    fn longest_wait(&self, index: usize, objective: Duration, caller: CallerKey) -> Duration {
        let lane = &self.lanes[index];
        let rule = lane.rule();
        let service_time = self.service_time();
        let usual = objective.saturating_sub(service_time) / WAIT_DIVISOR;
        let kept_slots = (rule.min_share_percent * self.slots()).div_ceil(100);
        if lane.ahead_of(caller) > kept_slots {
            return usual;
        }
        // Too short a queue runs empty between arrivals, and the priority loses its share.
        usual.max(objective.saturating_sub(service_time * 2))
    }

    /// Takes in the pace at which the upstream says that its VM works, 100 the usual.
    pub fn note_pace(&mut self, percent: u32, now: Instant) {
        self.estimate.note_pace(percent, now);
    }

    /// Whether calls come of late and the upstream's word on its pace is too old to decide them by.
    #[must_use]
    pub fn wants_pace(&self, now: Instant) -> bool {
        let called = self.last_offer.is_some_and(|at| now.saturating_duration_since(at) < PACE_INTEREST);
        called && self.running < self.slots() && self.estimate.pace_is_older_than(PACE_FRESH, now)
    }

    /// A call that was let through let go of its slot.
    pub fn release(&mut self, grant: Grant, ended: Ended, now: Instant) -> Vec<Verdict> {
        self.settle(now);
        self.running = self.running.saturating_sub(1);
        if let Some(lane) = self.lanes.get_mut(grant.lane) {
            lane.finish(grant.caller);
        }
        self.estimate.finish(grant.run, ended, now);
        if let Ended::Good(took) = ended
            && self.adaptive
        {
            self.limit.observe(took);
        }
        self.fill(now)
    }

    /// A waiting call was given up by its caller; true when it was still waiting.
    pub fn cancel(&mut self, key: TicketKey) -> bool {
        self.lanes.get_mut(key.lane).is_some_and(|lane| lane.remove(key))
    }

    /// The state as reported on answers.
    #[must_use]
    pub fn load(&self, now: Instant) -> LoadReport {
        let queued: usize = self.lanes.iter().map(PriorityLane::queued).sum();
        LoadReport {
            running: self.running,
            queued: u32::try_from(queued).unwrap_or(u32::MAX),
            limit: self.slots(),
            service_time_us: self.estimate.live_us(now),
            slowness_permille: self.estimate.slowness_permille(now),
        }
    }

    /// When a slot may be free for a call refused now, by the rate at which the queue drains.
    #[must_use]
    pub fn retry_hint(&self) -> Duration {
        let queued: usize = self.lanes.iter().map(PriorityLane::queued).sum();
        let queued = u32::try_from(queued).unwrap_or(u32::MAX);
        let drain = self.service_time() * queued.saturating_add(1) / self.slots().max(1);
        drain.clamp(RETRY_HINT_MIN, RETRY_HINT_MAX)
    }

    /// Slots that the gate grants at present.
    fn slots(&self) -> u32 {
        let limit = self.limit.current();
        limit.saturating_sub(self.withheld).max(limit.min(1))
    }

    fn lane_of(&self, priority: u8) -> Option<usize> {
        let last = self.lanes.len().checked_sub(1)?;
        Some(usize::from(priority).min(last))
    }

    /// Slots that calls of the lane may fill, whoever holds the others.
    fn slots_for(&self, index: usize) -> u32 {
        let slots = self.slots();
        (slots * self.lanes[index].rule().usable_slots_percent / HUNDRED).clamp(slots.min(1), slots)
    }

    /// Whether a call of the lane gets a slot at once.
    fn is_free_for(&self, index: usize) -> bool {
        let before = |lane: &PriorityLane| lane.has_waiting() && lane.rule().usable_slots_percent == HUNDRED;
        let (urgent, rest) = self.lanes.split_at(index + 1);
        self.running < self.slots_for(index)
            && !urgent.iter().any(PriorityLane::has_waiting)
            && !rest.iter().any(before)
    }

    fn service_time(&self) -> Duration {
        Duration::from_micros(self.estimate.mean_us())
    }

    /// Time until a call that joins the queue of the lane now gets a slot.
    fn expected_wait(&self, index: usize, caller: CallerKey, now: Instant) -> Duration {
        let ahead = u64::from(self.lanes[index].ahead_of(caller)) + 1;
        let slot_hundredths = self.slot_hundredths_for(index);
        Duration::from_micros(self.estimate.live_us(now).saturating_mul(ahead * PERCENT) / slot_hundredths)
    }

    /// Slots that the lane can count on, in hundredths.
    fn slot_hundredths_for(&self, index: usize) -> u64 {
        let limit = u64::from(self.slots());
        let kept = |lane: &PriorityLane| u64::from(lane.rule().min_share_percent) * limit;
        let own_kept = kept(&self.lanes[index]).max(LEAST_SHARE_PERCENT * limit).max(1);
        let (urgent, rest) = self.lanes.split_at(index);
        if urgent.iter().any(PriorityLane::has_waiting) {
            return own_kept;
        }
        let urgent_use: u64 = urgent.iter().map(|lane| u64::from(lane.running()) * PERCENT).sum();
        let others = rest.iter().skip(1).filter(|lane| lane.has_waiting());
        let others_keep: u64 = others.map(|lane| kept(lane).min(u64::from(lane.running()) * PERCENT)).sum();
        (limit * PERCENT).saturating_sub(urgent_use + others_keep).max(own_kept)
    }

    fn settle(&mut self, now: Instant) {
        let lanes = self.lanes.iter().map(|lane| LaneUse {
            running: lane.running(),
            waiting: lane.has_waiting(),
            share_percent: lane.rule().min_share_percent,
        });
        let service_time = Duration::from_micros(self.estimate.mean_us());
        self.shares.settle(lanes, self.slots(), service_time, now);
    }

    fn fill(&mut self, now: Instant) -> Vec<Verdict> {
        let service_time = self.service_time();
        let mut verdicts = Vec::new();
        while self.running < self.slots() {
            let Some(index) = self.next_lane(service_time, now) else {
                break;
            };
            let most_late = self.slots() as usize;
            let next = self.lanes[index].next(service_time, most_late, now, &mut verdicts);
            let Some((key, waiter)) = next else {
                continue;
            };
            let grant = self.start(index, waiter.caller, waiter.usual, now);
            verdicts.push(Verdict::Admit(key, grant));
        }
        verdicts
    }

    /// The most urgent lane that is owed slot time, else the most urgent that waits.
    ///
    /// Lanes with calls that can still be in time go before those with late calls only.
    fn next_lane(&self, service_time: Duration, now: Instant) -> Option<usize> {
        let open = |index: &usize| self.lanes[*index].has_waiting() && self.running < self.slots_for(*index);
        let in_time = |index: &usize| {
            let lane = &self.lanes[*index];
            !lane.rule().serve_late || lane.has_in_time(service_time, now)
        };
        let waiting: Vec<usize> = (0..self.lanes.len()).filter(open).collect();
        let first = waiting.iter().copied().filter(in_time);
        let first: Vec<usize> = first.collect();
        let candidates = if first.is_empty() { waiting } else { first };
        candidates.iter().find(|index| self.shares.is_owed(**index)).or(candidates.first()).copied()
    }

    fn start(&mut self, index: usize, caller: CallerKey, usual: Option<Duration>, now: Instant) -> Grant {
        let run = Run { started: now, usual, pace_percent: self.estimate.pace_percent(now) };
        self.running += 1;
        self.lanes[index].start(caller);
        self.estimate.start(run);
        Grant { lane: index, caller, run }
    }
}
