//! Which calls a gate lets through to its upstream, and in which order.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::protocol::load_report::LoadReport;

/// Names one call waiting at a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TicketKey(pub u64);

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
}

/// Why a gate refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The queue of the priority is full.
    QueueFull,
    /// The deadline passed, or will before a slot is free.
    TooLate,
    /// The gate takes no more work.
    Draining,
}

/// What a gate says to a call that has just come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It has a slot.
    Admitted,
    /// It waits under this key.
    Queued(TicketKey),
    /// It has not run and never will here.
    Refused(Refusal),
}

/// What a gate says to a call that was waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has a slot now.
    Admit(TicketKey),
    /// It has not run and never will here.
    Refuse(TicketKey, Refusal),
}

#[derive(Debug)]
struct Lane {
    rule: PriorityRule,
    waiting: BTreeMap<(Instant, TicketKey), Instant>,
    running: u32,
}

/// Exact state of a gate: slots in use and the queue of each priority.
#[derive(Debug)]
pub struct Admission {
    limit: u32,
    running: u32,
    draining: bool,
    next_key: u64,
    lanes: Vec<Lane>,
}

impl Admission {
    /// A gate with the given slots and priorities, the most urgent first.
    #[must_use]
    pub fn new(limit: u32, rules: &[PriorityRule]) -> Self {
        let lanes = rules.iter().map(|rule| Lane::new(*rule)).collect();
        Self { limit, running: 0, draining: false, next_key: 0, lanes }
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

    /// Replaces the number of slots.
    pub fn set_limit(&mut self, limit: u32, now: Instant) -> Vec<Verdict> {
        self.limit = limit;
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
        if self.draining {
            return Offer::Refused(Refusal::Draining);
        }
        if ticket.deadline <= now {
            return Offer::Refused(Refusal::TooLate);
        }
        let index = usize::from(ticket.priority).min(self.lanes.len().saturating_sub(1));
        let nobody_waits = self.lanes.iter().all(|lane| lane.waiting.is_empty());
        if nobody_waits && self.running < self.limit {
            self.start(index);
            return Offer::Admitted;
        }
        let key = TicketKey(self.next_key);
        let Some(lane) = self.lanes.get_mut(index) else {
            return Offer::Refused(Refusal::QueueFull);
        };
        if lane.waiting.len() >= lane.rule.max_queue {
            return Offer::Refused(Refusal::QueueFull);
        }
        self.next_key += 1;
        lane.waiting.insert((ticket.deadline, key), now);
        Offer::Queued(key)
    }

    /// A call that was let through let go of its slot.
    pub fn release(&mut self, priority: u8, now: Instant) -> Vec<Verdict> {
        let index = usize::from(priority).min(self.lanes.len().saturating_sub(1));
        self.running = self.running.saturating_sub(1);
        if let Some(lane) = self.lanes.get_mut(index) {
            lane.running = lane.running.saturating_sub(1);
        }
        self.fill(now)
    }

    /// A waiting call was given up by its caller; true when it was still waiting.
    pub fn cancel(&mut self, key: TicketKey) -> bool {
        self.lanes.iter_mut().any(|lane| lane.remove(key))
    }

    /// The state as reported on answers.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        let queued: usize = self.lanes.iter().map(|lane| lane.waiting.len()).sum();
        LoadReport {
            running: self.running,
            queued: u32::try_from(queued).unwrap_or(u32::MAX),
            limit: self.limit,
        }
    }

    fn fill(&mut self, now: Instant) -> Vec<Verdict> {
        let mut verdicts: Vec<Verdict> =
            self.lanes.iter_mut().flat_map(|lane| lane.refuse_late(now)).collect();
        while self.running < self.limit {
            let Some(index) = self.next_lane() else {
                break;
            };
            let Some(key) = self.lanes[index].pop() else {
                break;
            };
            self.start(index);
            verdicts.push(Verdict::Admit(key));
        }
        verdicts
    }

    /// The first lane below its share, else the most urgent that waits.
    fn next_lane(&self) -> Option<usize> {
        let waiting = || self.lanes.iter().enumerate().filter(|(_, lane)| !lane.waiting.is_empty());
        let below_share =
            waiting().find(|(_, lane)| lane.running * 100 < lane.rule.min_share_percent * self.limit);
        below_share.or_else(|| waiting().next()).map(|(index, _)| index)
    }

    fn start(&mut self, index: usize) {
        self.running += 1;
        if let Some(lane) = self.lanes.get_mut(index) {
            lane.running += 1;
        }
    }
}

impl Lane {
    const fn new(rule: PriorityRule) -> Self {
        Self { rule, waiting: BTreeMap::new(), running: 0 }
    }

    fn pop(&mut self) -> Option<TicketKey> {
        self.waiting.pop_first().map(|((_, key), _)| key)
    }

    fn remove(&mut self, key: TicketKey) -> bool {
        let found = self.waiting.keys().find(|(_, held)| *held == key).copied();
        found.is_some_and(|entry| self.waiting.remove(&entry).is_some())
    }

    fn refuse_late(&mut self, now: Instant) -> Vec<Verdict> {
        let mut late = Vec::new();
        while let Some(entry) = self.waiting.first_entry() {
            if entry.key().0 > now {
                break;
            }
            late.push(Verdict::Refuse(entry.key().1, Refusal::TooLate));
            entry.remove();
        }
        late
    }

    fn refuse_all(&mut self, refusal: Refusal) -> Vec<Verdict> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_keys().map(|(_, key)| Verdict::Refuse(key, refusal)).collect()
    }
}
