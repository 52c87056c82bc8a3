//! Which calls a gate lets through to its upstream, and in which order.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::concurrency_limit::ConcurrencyLimit;
use crate::coordination::service_estimate::Ended;
use crate::coordination::service_estimate::ServiceEstimate;
use crate::coordination::slot_shares::LaneUse;
use crate::coordination::slot_shares::SlotShares;
use crate::protocol::load_report::LoadReport;

const PERCENT: u64 = 100;
/// Least share that a wait is reckoned with, in percent, for a priority that keeps none.
const LEAST_SHARE_PERCENT: u64 = 2;
/// Service times that have to fit after the wait for a call to be worth queueing.
const SERVICE_TIMES_AFTER_WAIT: u32 = 2;
const RETRY_HINT_MIN: Duration = Duration::from_millis(10);
const RETRY_HINT_MAX: Duration = Duration::from_secs(5);

/// Names one call waiting at a gate, in the order of deadlines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TicketKey {
    deadline: Instant,
    sequence: u64,
    lane: usize,
}

/// How a gate treats one priority.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorityRule {
    /// Share of the slots that the priority keeps in any overload, in percent.
    pub min_share_percent: u32,
    /// Calls that may wait.
    pub max_queue: usize,
    /// Latency objective.
    pub objective: Duration,
}

/// A call that asks to be let through.
#[derive(Clone, Copy, Debug)]
pub struct Ticket {
    /// Position of the priority, 0 the most urgent.
    pub priority: u8,
    /// When the call is of no more use.
    pub deadline: Instant,
    /// Longest time in all for which it is worth staying here, when another gate may be better.
    pub patience: Option<Duration>,
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
    /// The gate takes no more work.
    Draining,
}

/// A slot that a call holds until it is given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    lane: usize,
    started: Instant,
}

impl Grant {
    /// When the call got the slot.
    #[must_use]
    pub const fn started(&self) -> Instant {
        self.started
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

#[derive(Debug)]
struct Lane {
    rule: PriorityRule,
    /// Waiting calls with the moments at which their objectives pass.
    waiting: BTreeMap<TicketKey, Instant>,
    running: u32,
}

/// Exact state of a gate: slots in use and the queue of each priority.
#[derive(Debug)]
pub struct Admission {
    limit: ConcurrencyLimit,
    adaptive: bool,
    running: u32,
    draining: bool,
    next_sequence: u64,
    lanes: Vec<Lane>,
    shares: SlotShares,
    estimate: ServiceEstimate,
}

impl Admission {
    /// A gate with the given slots and priorities, the most urgent first.
    #[must_use]
    pub fn new(limit: u32, rules: &[PriorityRule], now: Instant) -> Self {
        Self {
            limit: ConcurrencyLimit::new(limit),
            adaptive: true,
            running: 0,
            draining: false,
            next_sequence: 0,
            lanes: rules.iter().map(|rule| Lane::new(*rule)).collect(),
            shares: SlotShares::new(now),
            estimate: ServiceEstimate::new(now),
        }
    }

    /// Replaces the rules; calls waiting under a priority that is gone are refused.
    pub fn set_rules(&mut self, rules: &[PriorityRule]) -> Vec<Verdict> {
        for (lane, rule) in self.lanes.iter_mut().zip(rules) {
            lane.rule = *rule;
        }
        for rule in rules.iter().skip(self.lanes.len()) {
            self.lanes.push(Lane::new(*rule));
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
        if ticket.deadline <= now {
            return Offer::Refused(Refusal::TooLate);
        }
        let Some(index) = self.lane_of(ticket.priority) else {
            return Offer::Refused(Refusal::QueueFull);
        };
        let free = self.free_for_all();
        let wait = if free { Duration::ZERO } else { self.expected_wait(index, now) };
        let service_time = Duration::from_micros(self.estimate.live_us(now));
        let impatient = ticket.patience.is_some_and(|patience| wait + service_time > patience);
        if impatient && !(free && self.estimate.claim_trial(now)) {
            return Offer::Refused(Refusal::Impatient);
        }
        if free {
            return Offer::Admitted(self.start(index, now));
        }
        self.enqueue(ticket, index, wait, now)
    }

    fn enqueue(&mut self, ticket: Ticket, index: usize, wait: Duration, now: Instant) -> Offer {
        let service_time = self.service_time();
        let lane = &mut self.lanes[index];
        let objective_at = now + lane.rule.objective;
        if now + wait >= ticket.deadline {
            return Offer::Refused(Refusal::TooLate);
        }
        if now + wait + service_time * SERVICE_TIMES_AFTER_WAIT > objective_at {
            return Offer::Refused(Refusal::ObjectiveMissed);
        }
        if lane.waiting.len() >= lane.rule.max_queue {
            return Offer::Refused(Refusal::QueueFull);
        }
        let key = TicketKey { deadline: ticket.deadline, sequence: self.next_sequence, lane: index };
        self.next_sequence += 1;
        lane.waiting.insert(key, objective_at);
        Offer::Queued(key)
    }

    /// A call that was let through let go of its slot.
    pub fn release(&mut self, grant: Grant, ended: Ended, now: Instant) -> Vec<Verdict> {
        self.settle(now);
        self.running = self.running.saturating_sub(1);
        if let Some(lane) = self.lanes.get_mut(grant.lane) {
            lane.running = lane.running.saturating_sub(1);
        }
        self.estimate.finish(grant.started, ended, now);
        if let Ended::Good(took) = ended
            && self.adaptive
        {
            self.limit.observe(took);
        }
        self.fill(now)
    }

    /// A waiting call was given up by its caller; true when it was still waiting.
    pub fn cancel(&mut self, key: TicketKey) -> bool {
        self.lanes.get_mut(key.lane).is_some_and(|lane| lane.waiting.remove(&key).is_some())
    }

    /// The state as reported on answers.
    #[must_use]
    pub fn load(&self, now: Instant) -> LoadReport {
        let queued: usize = self.lanes.iter().map(|lane| lane.waiting.len()).sum();
        LoadReport {
            running: self.running,
            queued: u32::try_from(queued).unwrap_or(u32::MAX),
            limit: self.limit.current(),
            service_time_us: self.estimate.live_us(now),
        }
    }

    /// When a slot may be free for a call refused now, by the rate at which the queue drains.
    #[must_use]
    pub fn retry_hint(&self) -> Duration {
        let queued: usize = self.lanes.iter().map(|lane| lane.waiting.len()).sum();
        let queued = u32::try_from(queued).unwrap_or(u32::MAX);
        let drain = self.service_time() * queued.saturating_add(1) / self.limit.current().max(1);
        drain.clamp(RETRY_HINT_MIN, RETRY_HINT_MAX)
    }

    fn lane_of(&self, priority: u8) -> Option<usize> {
        let last = self.lanes.len().checked_sub(1)?;
        Some(usize::from(priority).min(last))
    }

    fn free_for_all(&self) -> bool {
        self.running < self.limit.current() && self.lanes.iter().all(|lane| lane.waiting.is_empty())
    }

    fn service_time(&self) -> Duration {
        Duration::from_micros(self.estimate.mean_us())
    }

    /// Time until a call that joins the queue of the lane now gets a slot.
    fn expected_wait(&self, index: usize, now: Instant) -> Duration {
        let ahead = self.lanes[index].waiting.len() as u64 + 1;
        let slot_hundredths = self.slot_hundredths_for(index);
        Duration::from_micros(self.estimate.live_us(now).saturating_mul(ahead * PERCENT) / slot_hundredths)
    }

    /// Slots that the lane can count on, in hundredths.
    fn slot_hundredths_for(&self, index: usize) -> u64 {
        let limit = u64::from(self.limit.current());
        let kept = |lane: &Lane| u64::from(lane.rule.min_share_percent) * limit;
        let own_kept = kept(&self.lanes[index]).max(LEAST_SHARE_PERCENT * limit).max(1);
        let (urgent, rest) = self.lanes.split_at(index);
        if urgent.iter().any(|lane| !lane.waiting.is_empty()) {
            return own_kept;
        }
        let urgent_use: u64 = urgent.iter().map(|lane| u64::from(lane.running) * PERCENT).sum();
        let others = rest.iter().skip(1).filter(|lane| !lane.waiting.is_empty());
        let others_keep: u64 = others.map(|lane| kept(lane).min(u64::from(lane.running) * PERCENT)).sum();
        (limit * PERCENT).saturating_sub(urgent_use + others_keep).max(own_kept)
    }

    fn settle(&mut self, now: Instant) {
        let lanes = self.lanes.iter().map(|lane| LaneUse {
            running: lane.running,
            waiting: !lane.waiting.is_empty(),
            share_percent: lane.rule.min_share_percent,
        });
        let service_time = Duration::from_micros(self.estimate.mean_us());
        self.shares.settle(lanes, self.limit.current(), service_time, now);
    }

    fn fill(&mut self, now: Instant) -> Vec<Verdict> {
        let service_time = self.service_time();
        let mut verdicts = Vec::new();
        while self.running < self.limit.current() {
            for lane in &mut self.lanes {
                lane.refuse_hopeless(service_time, now, &mut verdicts);
            }
            let Some(index) = self.next_lane() else {
                break;
            };
            let Some((key, _)) = self.lanes[index].waiting.pop_first() else {
                break;
            };
            let grant = self.start(index, now);
            verdicts.push(Verdict::Admit(key, grant));
        }
        verdicts
    }

    /// The most urgent lane that is owed slot time, else the most urgent that waits.
    fn next_lane(&self) -> Option<usize> {
        let mut waiting = (0..self.lanes.len()).filter(|index| !self.lanes[*index].waiting.is_empty());
        let first = waiting.clone().next();
        waiting.find(|index| self.shares.is_owed(*index)).or(first)
    }

    fn start(&mut self, index: usize, now: Instant) -> Grant {
        self.running += 1;
        self.lanes[index].running += 1;
        self.estimate.start(now);
        Grant { lane: index, started: now }
    }
}

impl Lane {
    const fn new(rule: PriorityRule) -> Self {
        Self { rule, waiting: BTreeMap::new(), running: 0 }
    }

    /// Refuses the calls at the head that can't be answered in time any more.
    fn refuse_hopeless(&mut self, service_time: Duration, now: Instant, verdicts: &mut Vec<Verdict>) {
        while let Some(entry) = self.waiting.first_entry() {
            let refusal = if entry.key().deadline <= now {
                Refusal::TooLate
            } else if *entry.get() < now + service_time {
                Refusal::ObjectiveMissed
            } else {
                return;
            };
            verdicts.push(Verdict::Refuse(*entry.key(), refusal));
            entry.remove();
        }
    }

    fn refuse_all(&mut self, refusal: Refusal) -> Vec<Verdict> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_keys().map(|key| Verdict::Refuse(key, refusal)).collect()
    }
}
