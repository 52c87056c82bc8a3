//! Admission control of a gate: which calls get a slot of the upstream, which wait, and in which order.

mod arrival;
mod decision;
mod shedding;
mod slots;

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::admission::shedding::RetrySpread;
use crate::coordination::admission::shedding::SlotPeak;
use crate::coordination::cold_limit::ColdLimit;
use crate::coordination::concurrency_limit::ConcurrencyLimit;
use crate::coordination::execution_progress::micros;
use crate::coordination::priority_queue::Pace;
use crate::coordination::priority_queue::PriorityQueue;
use crate::coordination::priority_queue::PriorityRule;
use crate::coordination::service_estimate::ExecutionOutcome;
use crate::coordination::service_estimate::ServiceEstimate;
use crate::coordination::slot_balances::SlotBalances;
use crate::coordination::start_rate::StartRate;
use crate::protocol::load_report::LoadReport;
use crate::protocol::rate_limit::RateLimit;
use crate::protocol::settings::Shedding;

pub use crate::coordination::admission::decision::AdmissionOutcome;
pub use crate::coordination::admission::decision::AdmissionRequest;
pub use crate::coordination::admission::decision::QueueDecision;
pub use crate::coordination::admission::decision::QueueKey;
pub use crate::coordination::admission::decision::RejectReason;
pub use crate::coordination::admission::decision::SlotGrant;

/// Maximum age of a slowdown report from the upstream that admission relies on.
const MAX_SLOWDOWN_REPORT_AGE: Duration = Duration::from_millis(80);
/// Time after the last call during which slowdown probes keep the slowdown report recent for the next call.
const SLOWDOWN_PROBE_WINDOW: Duration = Duration::from_millis(500);
/// Shortest retry delay suggested for rejected calls.
const MIN_RETRY_HINT: Duration = Duration::from_millis(10);
/// Longest retry delay suggested for rejected calls.
const MAX_RETRY_HINT: Duration = Duration::from_secs(5);

/// Admission state of a gate: slots in use and one queue per priority.
#[derive(Debug)]
pub struct Admission {
    limit: ConcurrencyLimit,
    shedding: Shedding,
    retry_spread: RetrySpread,
    /// Peaks of slots in use, by priority.
    slot_peaks: Vec<SlotPeak>,
    adaptive: bool,
    reserved_slots: u32,
    running: u32,
    draining: bool,
    next_sequence: u64,
    queues: Vec<PriorityQueue>,
    balances: SlotBalances,
    estimate: ServiceEstimate,
    start_rate: StartRate,
    cold_limit: ColdLimit,
    last_request_at: Option<Instant>,
}

impl Admission {
    /// Creates the state of a gate with `limit` slots and the given priorities, most urgent first.
    #[must_use]
    pub fn new(limit: u32, rules: &[PriorityRule], now: Instant) -> Self {
        Self {
            limit: ConcurrencyLimit::new(limit),
            shedding: Shedding::ByPriority,
            retry_spread: RetrySpread::default(),
            slot_peaks: vec![SlotPeak::default(); rules.len()],
            adaptive: true,
            reserved_slots: 0,
            running: 0,
            draining: false,
            next_sequence: 0,
            queues: rules.iter().map(|rule| PriorityQueue::new(*rule)).collect(),
            balances: SlotBalances::new(now),
            estimate: ServiceEstimate::new(now),
            start_rate: StartRate::new(now),
            cold_limit: ColdLimit::new(now),
            last_request_at: None,
        }
    }

    /// Sets by what calls are delayed or rejected while slots are short.
    #[must_use]
    pub fn with_shedding(self, shedding: Shedding) -> Self {
        Self { shedding, ..self }
    }

    /// Replaces the priority rules and rejects the calls queued for removed priorities.
    pub fn set_priority_rules(&mut self, rules: &[PriorityRule]) -> Vec<QueueDecision> {
        for (queue, rule) in self.queues.iter_mut().zip(rules) {
            queue.set_rule(*rule);
        }
        for rule in rules.iter().skip(self.queues.len()) {
            self.queues.push(PriorityQueue::new(*rule));
        }
        self.slot_peaks.resize(self.queues.len(), SlotPeak::default());
        let mut decisions = Vec::new();
        for queue in self.queues.iter_mut().skip(rules.len()) {
            decisions.extend(queue.reject_all(RejectReason::Draining));
        }
        decisions
    }

    /// Sets the number of slots declared by the upstream, and returns decisions on queued calls.
    pub fn set_limit(&mut self, declared: u32, now: Instant) -> Vec<QueueDecision> {
        self.account_slot_time(now);
        self.limit.set_declared(declared);
        self.fill_slots(now)
    }

    /// Sets or removes the rate limit of the upstream, and returns decisions on queued calls.
    pub fn set_rate_limit(&mut self, limit: Option<RateLimit>, now: Instant) -> Vec<QueueDecision> {
        self.account_slot_time(now);
        self.start_rate.set_limit(limit, now);
        self.fill_slots(now)
    }

    /// Holds calls back until `start_at`, and then lets them start at the given rate.
    pub const fn hold_starts(&mut self, limit: RateLimit, start_at: Instant) {
        self.start_rate.hold(limit, start_at);
    }

    /// Returns the limit that applies while the upstream is cold or may be.
    #[must_use]
    pub const fn cold_limit(&self) -> &ColdLimit {
        &self.cold_limit
    }

    /// Returns the cold limit, to record what is learned of the upstream.
    ///
    /// Calls that it permits afterwards start with [`Self::start_held_calls`].
    pub const fn cold_limit_mut(&mut self) -> &mut ColdLimit {
        &mut self.cold_limit
    }

    /// Returns the time at which the rate limit lets a queued call start, if only that keeps it waiting.
    #[must_use]
    pub fn next_start_at(&self, now: Instant) -> Option<Instant> {
        let delay = self.start_delay(0, now);
        (!delay.is_zero() && self.queued() > 0 && self.running < self.usable_slots(now)).then(|| now + delay)
    }

    /// Sets whether the concurrency limit adapts to the upstream's latency.
    pub const fn set_adaptive(&mut self, adaptive: bool) {
        self.adaptive = adaptive;
    }

    /// Reserves slots for upstream work that does not pass this gate; returns decisions on queued calls.
    pub fn reserve_slots(&mut self, slots: u32, now: Instant) -> Vec<QueueDecision> {
        self.account_slot_time(now);
        self.reserved_slots = slots;
        self.fill_slots(now)
    }

    /// Returns whether calls are rejected because the gate drains.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.draining
    }

    /// Starts draining: new calls are rejected from now on, and the queued calls with the returned decisions.
    pub fn drain(&mut self) -> Vec<QueueDecision> {
        self.draining = true;
        self.queues.iter_mut().flat_map(|queue| queue.reject_all(RejectReason::Draining)).collect()
    }

    /// Accepts calls again after a cancelled drain.
    pub const fn resume(&mut self) {
        self.draining = false;
    }

    /// Records a slowdown report: service times on the VM in percent of the typical ones, so 400 is slow.
    ///
    /// Returns decisions on queued calls, which may have been held while the VM was slow.
    pub fn record_slowdown(&mut self, percent: u32, now: Instant) -> Vec<QueueDecision> {
        self.estimate.record_slowdown(percent, now);
        self.start_held_calls(now)
    }

    /// Returns decisions on queued calls that were held while the VM was slow and may start now.
    pub fn start_held_calls(&mut self, now: Instant) -> Vec<QueueDecision> {
        self.account_slot_time(now);
        self.fill_slots(now)
    }

    /// Returns whether calls are queued or recent, a slot is free and no slowdown report is recent.
    #[must_use]
    pub fn needs_slowdown_probe(&self, now: Instant) -> bool {
        let recently_called =
            self.last_request_at.is_some_and(|at| now.saturating_duration_since(at) < SLOWDOWN_PROBE_WINDOW);
        (recently_called || self.queues.iter().any(PriorityQueue::has_queued))
            && self.running < self.usable_slots(now)
            && self.estimate.slowdown_report_is_older_than(MAX_SLOWDOWN_REPORT_AGE, now)
    }

    /// Forgets how slow and how often failing the upstream was, since that no longer holds after a time without calls.
    pub const fn reset_slowness(&mut self) {
        self.estimate.reset_slowness();
    }

    /// Releases the slot of a call that ended, and returns decisions on queued calls.
    pub fn release(
        &mut self,
        grant: SlotGrant,
        outcome: ExecutionOutcome,
        now: Instant,
    ) -> Vec<QueueDecision> {
        self.account_slot_time(now);
        self.running = self.running.saturating_sub(1);
        if let Some(queue) = self.queues.get_mut(grant.queue_index) {
            queue.finish(grant.caller);
        }
        self.estimate.finish(grant.execution, outcome, now);
        if let ExecutionOutcome::Succeeded(service_time) = outcome
            && self.adaptive
        {
            self.limit.observe(service_time);
        }
        self.fill_slots(now)
    }

    /// Removes a queued call that its caller abandoned; returns whether it was still queued.
    pub fn cancel(&mut self, key: QueueKey) -> bool {
        self.queues.get_mut(key.queue_index).is_some_and(|queue| queue.remove(key))
    }

    /// Returns the load report that is sent with answers.
    #[must_use]
    pub fn load(&self, now: Instant) -> LoadReport {
        LoadReport {
            running: self.running,
            queued: self.queued(),
            limit: self.slots(),
            service_time_us: self.estimate.current_service_us(now),
            slowness_permille: self.estimate.slowness_permille(now),
            start_delay_us: micros(self.start_delay(self.queued(), now)),
        }
    }

    /// Returns the time after which a rejected call may start.
    ///
    /// It follows from the drain rate of the queues, and from the rate limit if that is slower.
    #[must_use]
    pub fn retry_hint(&self, now: Instant) -> Duration {
        let queued = self.queued();
        let drain_time = self.service_time() * queued.saturating_add(1) / self.slots().max(1);
        drain_time.max(self.start_delay(queued, now)).clamp(MIN_RETRY_HINT, MAX_RETRY_HINT)
    }

    /// Returns the retry delay for the next rejected call.
    ///
    /// Calls that are rejected together get different delays, so that their callers don't return together.
    pub fn next_retry_delay(&mut self, now: Instant) -> Duration {
        let hint = self.retry_hint(now);
        match self.shedding {
            Shedding::ByPriority => hint,
            Shedding::ByCost => self.retry_spread.next(hint).min(MAX_RETRY_HINT),
        }
    }

    /// Returns the time until the upstream's limits let a call start after `calls_ahead` others.
    fn start_delay(&self, calls_ahead: u32, now: Instant) -> Duration {
        self.start_rate.delay(calls_ahead, now).max(self.cold_limit.delay(calls_ahead, now))
    }

    /// Returns the number of queued calls of all priorities.
    fn queued(&self) -> u32 {
        queued_calls(&self.queues)
    }

    /// Returns the limit less the reserved slots, but at least 1 unless the limit is 0.
    fn slots(&self) -> u32 {
        let limit = self.limit.current();
        limit.saturating_sub(self.reserved_slots).max(limit.min(1))
    }

    /// Returns the slots, less those near capacity if using them costs throughput.
    fn usable_slots(&self, now: Instant) -> u32 {
        self.estimate.usable_slots(self.slots(), now)
    }

    /// Returns the service times by which calls are judged to be on time.
    fn pace(&self, now: Instant) -> Pace {
        let service_time = self.service_time();
        match self.shedding {
            Shedding::ByPriority => Pace::normal(service_time),
            Shedding::ByCost => {
                Pace { service_time, slowdown_percent: self.estimate.lasting_slowdown_percent(now) }
            }
        }
    }

    fn service_time(&self) -> Duration {
        Duration::from_micros(self.estimate.mean_service_us())
    }
}

/// Returns the number of calls in the queues, saturating.
fn queued_calls(queues: &[PriorityQueue]) -> u32 {
    let count: usize = queues.iter().map(PriorityQueue::queued).sum();
    u32::try_from(count).unwrap_or(u32::MAX)
}
