//! Admission control of a gate: which calls get a slot of the upstream, which wait, and in which order.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::concurrency_limit::ConcurrencyLimit;
use crate::coordination::execution_progress::Execution;
use crate::coordination::execution_progress::micros;
use crate::coordination::near_capacity::NEAR_CAPACITY_SLOWDOWN_PERCENT;
use crate::coordination::near_capacity::is_near_capacity;
use crate::coordination::priority_queue::CallerKey;
use crate::coordination::priority_queue::PriorityQueue;
use crate::coordination::priority_queue::PriorityRule;
use crate::coordination::priority_queue::QueuedCall;
use crate::coordination::priority_queue::StartLimits;
use crate::coordination::priority_queue::is_worth_starting;
use crate::coordination::service_estimate::ExecutionOutcome;
use crate::coordination::service_estimate::ServiceEstimate;
use crate::coordination::slot_balances::PrioritySlotUsage;
use crate::coordination::slot_balances::SlotBalances;
use crate::coordination::start_rate::StartRate;
use crate::protocol::call_head::CallOrigin;
use crate::protocol::load_report::LoadReport;
use crate::protocol::rate_limit::RateLimit;

const PERCENT: u64 = 100;
/// All slots, in percent.
const FULL_PERCENT: u32 = 100;
const PERMILLE: u64 = 1_000;
/// Minimum share of the slots assumed when estimating the wait of any priority, in percent.
const MIN_ASSUMED_SHARE_PERCENT: u64 = 2;
/// Divisor of the time between service time and objective that gives the longest acceptable wait.
///
/// The remainder covers service times above the mean. Without it, a call admitted just in time
/// would often occupy a slot and still miss its objective.
const MAX_WAIT_DIVISOR: u32 = 3;
/// Maximum age of a slowdown report from the upstream that admission relies on.
const MAX_SLOWDOWN_REPORT_AGE: Duration = Duration::from_millis(80);
/// Time after the last call during which slowdown probes keep the slowdown report recent for the next call.
const SLOWDOWN_PROBE_WINDOW: Duration = Duration::from_millis(500);
/// Time for which a lack of slots is expected to last, in mean service times.
const SHORTAGE_SERVICE_TIMES: u32 = 2;
/// Shortest retry delay suggested for rejected calls.
const MIN_RETRY_HINT: Duration = Duration::from_millis(10);
/// Longest retry delay suggested for rejected calls.
const MAX_RETRY_HINT: Duration = Duration::from_secs(5);

/// Key of a queued call; keys sort by the latest time at which the call may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueueKey {
    start_by: Instant,
    sequence: u64,
    queue_index: usize,
}

impl QueueKey {
    /// Returns the latest time at which the call may get a slot.
    #[must_use]
    pub const fn start_by(&self) -> Instant {
        self.start_by
    }
}

/// Admission request of one call.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Index of the priority; 0 is the most urgent one.
    pub priority: u8,
    /// Caller of the call.
    pub caller: CallerKey,
    /// Time after which the caller no longer waits for the answer.
    pub deadline: Instant,
    /// Latest time at which the call may get a slot, if its sender can't wait until the deadline.
    pub start_by: Option<Instant>,
    /// Time by which the call should be answered, if it differs from the objective of its priority.
    pub objective_at: Option<Instant>,
    /// Typical service time of such calls; if unknown, the mean of all calls at this gate applies.
    pub typical_time: Option<Duration>,
    /// Maximum expected latency, queueing included, above which the sender prefers another gate.
    pub max_gate_latency: Option<Duration>,
    /// Who makes the call.
    pub origin: CallOrigin,
    /// Whether the call may be executed more than once; such calls try a slow upstream first.
    pub idempotent: bool,
}

/// Reason for which a gate rejects a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The queue of the priority is full, or no priority is configured.
    QueueFull,
    /// The deadline has passed or will pass before a slot is free.
    TooLate,
    /// The latency objective can no longer be met.
    ObjectiveMissed,
    /// The expected latency exceeds the sender's limit for this gate.
    GateTooSlow,
    /// The caller already uses its share of the queue.
    CallerLimited,
    /// The gate is draining, or the priority was removed from the configuration.
    Draining,
}

/// Slot that an admitted call occupies until it is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotGrant {
    queue_index: usize,
    caller: CallerKey,
    execution: Execution,
}

impl SlotGrant {
    /// Returns the time at which the call got the slot.
    #[must_use]
    pub const fn started(&self) -> Instant {
        self.execution.started
    }

    /// Returns the conditions under which the call started.
    #[must_use]
    pub const fn execution(&self) -> Execution {
        self.execution
    }
}

/// Outcome of requesting admission for a new call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// The call has a slot.
    Admitted(SlotGrant),
    /// The call waits in the queue under this key.
    Queued(QueueKey),
    /// The call was not executed and is not queued.
    Rejected(RejectReason),
}

/// Decision on a queued call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// The call has a slot.
    Admit(QueueKey, SlotGrant),
    /// The call was not executed and has left the queue.
    Reject(QueueKey, RejectReason),
}

/// Admission state of a gate: slots in use and one queue per priority.
#[derive(Debug)]
pub struct Admission {
    limit: ConcurrencyLimit,
    adaptive: bool,
    reserved_slots: u32,
    running: u32,
    draining: bool,
    next_sequence: u64,
    queues: Vec<PriorityQueue>,
    balances: SlotBalances,
    estimate: ServiceEstimate,
    start_rate: StartRate,
    last_request_at: Option<Instant>,
}

impl Admission {
    /// Creates the state of a gate with `limit` slots and the given priorities, most urgent first.
    #[must_use]
    pub fn new(limit: u32, rules: &[PriorityRule], now: Instant) -> Self {
        Self {
            limit: ConcurrencyLimit::new(limit),
            adaptive: true,
            reserved_slots: 0,
            running: 0,
            draining: false,
            next_sequence: 0,
            queues: rules.iter().map(|rule| PriorityQueue::new(*rule)).collect(),
            balances: SlotBalances::new(now),
            estimate: ServiceEstimate::new(now),
            start_rate: StartRate::new(now),
            last_request_at: None,
        }
    }

    /// Replaces the priority rules and rejects the calls queued for removed priorities.
    pub fn set_priority_rules(&mut self, rules: &[PriorityRule]) -> Vec<QueueDecision> {
        for (queue, rule) in self.queues.iter_mut().zip(rules) {
            queue.set_rule(*rule);
        }
        for rule in rules.iter().skip(self.queues.len()) {
            self.queues.push(PriorityQueue::new(*rule));
        }
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

    /// Returns the time at which the rate limit lets a queued call start, if only that keeps it waiting.
    #[must_use]
    pub fn next_start_at(&self, now: Instant) -> Option<Instant> {
        let delay = self.start_rate.delay(0, now);
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

    /// Admits, queues or rejects a new call.
    pub fn request_admission(&mut self, request: AdmissionRequest, now: Instant) -> AdmissionOutcome {
        self.account_slot_time(now);
        if self.draining {
            return AdmissionOutcome::Rejected(RejectReason::Draining);
        }
        self.last_request_at = Some(now);
        if request.deadline <= now {
            return AdmissionOutcome::Rejected(RejectReason::TooLate);
        }
        let Some(index) = self.queue_index_of(request.priority) else {
            return AdmissionOutcome::Rejected(RejectReason::QueueFull);
        };
        if self.yields_to_calls_on_time(&request, index, now) {
            return AdmissionOutcome::Rejected(RejectReason::ObjectiveMissed);
        }
        let is_slot_free = self.is_slot_free_for(index, now);
        let slot_wait =
            if is_slot_free { Duration::ZERO } else { self.expected_wait(index, request.caller, now) };
        let rate_delay = self.start_rate.delay(self.queued_before(index), now);
        let wait = slot_wait.max(rate_delay);
        // A call may be held although a slot is free, see `ServiceEstimate::longest_call_to_start`.
        let longest_call = self.estimate.longest_call_to_start(now);
        let may_start =
            is_slot_free && rate_delay.is_zero() && is_worth_starting(request.typical_time, longest_call);
        if let Some(max_gate_latency) = request.max_gate_latency
            && wait + self.expected_service_time(request.typical_time, now) > max_gate_latency
            && !(may_start && self.claim_trial(&request, max_gate_latency, now))
        {
            return AdmissionOutcome::Rejected(RejectReason::GateTooSlow);
        }
        if may_start {
            return AdmissionOutcome::Admitted(self.start(index, request.caller, request.typical_time, now));
        }
        self.enqueue(request, index, slot_wait, rate_delay, now)
    }

    /// Returns whether a call that is late already would take a slot that calls on time lack.
    ///
    /// Under a lasting overload a free slot is needed by the next call on time. Calls that come back after a
    /// rejection are late more often than others, so without this they would displace them.
    fn yields_to_calls_on_time(&self, request: &AdmissionRequest, index: usize, now: Instant) -> bool {
        let service_time = self.service_time();
        let Some(objective_at) = request.objective_at.filter(|_| self.queues[index].rule().serve_late) else {
            return false;
        };
        let call = QueuedCall { caller: request.caller, objective_at, typical_time: request.typical_time };
        request.origin == CallOrigin::Caller
            && !call.can_meet_objective(service_time, now)
            && self.queues[..=index]
                .iter()
                .any(|queue| queue.was_short_of_slots(service_time * SHORTAGE_SERVICE_TIMES, now))
    }

    /// Returns the expected service time of a call that starts now.
    fn expected_service_time(&self, typical_time: Option<Duration>, now: Instant) -> Duration {
        let slowness_permille = self.estimate.slowness_permille(now);
        let Some(typical_time) = typical_time.filter(|_| slowness_permille > 0) else {
            return Duration::from_micros(self.estimate.current_service_us(now));
        };
        let typical_us = u64::try_from(typical_time.as_micros()).unwrap_or(u64::MAX);
        let near_capacity =
            is_near_capacity(self.running + 1, self.slots()) && self.running < self.usable_slots(now);
        let time_percent = if near_capacity { NEAR_CAPACITY_SLOWDOWN_PERCENT } else { PERCENT };
        let slowness = slowness_permille.saturating_mul(time_percent);
        Duration::from_micros(typical_us.saturating_mul(slowness) / (PERMILLE * PERCENT))
    }

    /// Claims a trial call of an upstream that appears slower than others.
    ///
    /// None is needed if only the reported slowdown of its VM makes it slow: the next report tells when that
    /// is over. Slow calls of its own are forgotten only with faster ones.
    fn claim_trial(&mut self, request: &AdmissionRequest, max_gate_latency: Duration, now: Instant) -> bool {
        let typical_time = request.typical_time.unwrap_or_default();
        let is_slow_by_itself = self.estimate.service_time_at_normal_speed(typical_time) > max_gate_latency;
        let is_report_old = self.estimate.slowdown_report_is_older_than(SLOWDOWN_PROBE_WINDOW, now);
        (is_slow_by_itself || is_report_old)
            && self.estimate.claim_trial(max_gate_latency, request.idempotent, now)
    }

    fn enqueue(
        &mut self,
        request: AdmissionRequest,
        index: usize,
        slot_wait: Duration,
        rate_delay: Duration,
        now: Instant,
    ) -> AdmissionOutcome {
        let wait = slot_wait.max(rate_delay);
        let objective = request.objective_at.map(|at| at.saturating_duration_since(now));
        let objective = objective.unwrap_or(self.queues[index].rule().objective);
        let max_wait = self.max_wait(index, objective, request.caller);
        let service_time = self.service_time();
        let superseded = self.queues[..=index].iter().any(|queue| queue.has_call_on_time(service_time, now));
        let queue = &mut self.queues[index];
        let objective_at = now + objective;
        let typical_execution =
            if queue.rule().serve_late { request.typical_time.unwrap_or_default() } else { Duration::ZERO };
        // A slot granted after this time would run a call whose caller has already timed out.
        let latest_useful_start = request.deadline.checked_sub(typical_execution).unwrap_or(now);
        let start_by =
            request.start_by.map_or(latest_useful_start, |start_by| start_by.min(latest_useful_start));
        if now + wait >= start_by {
            return AdmissionOutcome::Rejected(RejectReason::TooLate);
        }
        if queue.rule().serve_late {
            if request.origin == CallOrigin::Caller && slot_wait > max_wait && superseded {
                queue.record_shortage(now);
                return AdmissionOutcome::Rejected(RejectReason::ObjectiveMissed);
            }
        } else if wait > max_wait {
            return AdmissionOutcome::Rejected(RejectReason::ObjectiveMissed);
        }
        if let Some(reason) = queue.rejection_reason(request.caller) {
            return AdmissionOutcome::Rejected(reason);
        }
        let key = QueueKey { start_by, sequence: self.next_sequence, queue_index: index };
        self.next_sequence += 1;
        queue.push(
            key,
            QueuedCall { caller: request.caller, objective_at, typical_time: request.typical_time },
        );
        AdmissionOutcome::Queued(key)
    }

    /// Returns the longest expected wait with which a call may join the queue.
    fn max_wait(&self, index: usize, objective: Duration, caller: CallerKey) -> Duration {
        let queue = &self.queues[index];
        let rule = queue.rule();
        let service_time = self.service_time();
        let base_wait = objective.saturating_sub(service_time) / MAX_WAIT_DIVISOR;
        let guaranteed_slots = (rule.min_share_percent * self.slots()).div_ceil(100);
        if queue.calls_ahead_of(caller) > guaranteed_slots {
            return base_wait;
        }
        // A shorter queue would run empty between arrivals and leave a part of the guaranteed share unused.
        base_wait.max(objective.saturating_sub(service_time * 2))
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
            start_delay_us: micros(self.start_rate.delay(self.queued(), now)),
        }
    }

    /// Returns the time after which a rejected call may start.
    ///
    /// It follows from the drain rate of the queues, and from the rate limit if that is slower.
    #[must_use]
    pub fn retry_hint(&self, now: Instant) -> Duration {
        let queued = self.queued();
        let drain_time = self.service_time() * queued.saturating_add(1) / self.slots().max(1);
        drain_time.max(self.start_rate.delay(queued, now)).clamp(MIN_RETRY_HINT, MAX_RETRY_HINT)
    }

    /// Returns the number of queued calls of all priorities.
    fn queued(&self) -> u32 {
        queued_calls(&self.queues)
    }

    /// Returns the number of queued calls that start before a call of the queue that joins now.
    fn queued_before(&self, index: usize) -> u32 {
        queued_calls(&self.queues[..=index])
    }

    /// Returns the limit less the reserved slots, but at least 1 unless the limit is 0.
    fn slots(&self) -> u32 {
        let limit = self.limit.current();
        limit.saturating_sub(self.reserved_slots).max(limit.min(1))
    }

    fn queue_index_of(&self, priority: u8) -> Option<usize> {
        let last = self.queues.len().checked_sub(1)?;
        Some(usize::from(priority).min(last))
    }

    /// Returns the slots, less those near capacity if using them costs throughput.
    fn usable_slots(&self, now: Instant) -> u32 {
        self.estimate.usable_slots(self.slots(), now)
    }

    /// Returns the number of slots in use, by any priority, at which calls of this priority have to wait.
    fn slots_for(&self, index: usize, now: Instant) -> u32 {
        let slots = self.slots();
        let usable = self.usable_slots(now);
        (slots * self.queues[index].rule().usable_slots_percent / FULL_PERCENT).clamp(usable.min(1), usable)
    }

    /// Returns whether a new call of the priority gets a slot immediately.
    ///
    /// Calls that are held while the VM is slow do not keep others waiting.
    fn is_slot_free_for(&self, index: usize, now: Instant) -> bool {
        let longest_call = self.estimate.longest_call_to_start(now);
        let waits = |queue: &PriorityQueue| queue.has_call_to_start(longest_call);
        let blocks =
            |queue: &PriorityQueue| waits(queue) && queue.rule().usable_slots_percent == FULL_PERCENT;
        let (same_or_more_urgent, less_urgent) = self.queues.split_at(index + 1);
        self.running < self.slots_for(index, now)
            && !same_or_more_urgent.iter().any(waits)
            && !less_urgent.iter().any(blocks)
    }

    fn service_time(&self) -> Duration {
        Duration::from_micros(self.estimate.mean_service_us())
    }

    /// Returns the expected wait for a slot of a call that joins the queue now.
    fn expected_wait(&self, index: usize, caller: CallerKey, now: Instant) -> Duration {
        let calls_ahead = u64::from(self.queues[index].calls_ahead_of(caller)) + 1;
        let available_hundredths = self.available_slot_hundredths(index, now);
        Duration::from_micros(
            self.estimate.current_service_us(now).saturating_mul(calls_ahead * PERCENT)
                / available_hundredths,
        )
    }

    /// Returns the slots available to the queue while other queues use theirs, in hundredths of a slot.
    fn available_slot_hundredths(&self, index: usize, now: Instant) -> u64 {
        let limit = u64::from(self.usable_slots(now));
        let guaranteed = |queue: &PriorityQueue| u64::from(queue.rule().min_share_percent) * limit;
        let own_guaranteed = guaranteed(&self.queues[index]).max(MIN_ASSUMED_SHARE_PERCENT * limit).max(1);
        let (more_urgent, same_or_less_urgent) = self.queues.split_at(index);
        if more_urgent.iter().any(PriorityQueue::has_queued) {
            return own_guaranteed;
        }
        let more_urgent_use: u64 = more_urgent.iter().map(|queue| u64::from(queue.running()) * PERCENT).sum();
        let others = same_or_less_urgent.iter().skip(1).filter(|queue| queue.has_queued());
        let others_use: u64 =
            others.map(|queue| guaranteed(queue).min(u64::from(queue.running()) * PERCENT)).sum();
        (limit * PERCENT).saturating_sub(more_urgent_use + others_use).max(own_guaranteed)
    }

    /// Accounts the slot time used by each priority since the last change.
    fn account_slot_time(&mut self, now: Instant) {
        let uses = self.queues.iter().map(|queue| PrioritySlotUsage {
            running: queue.running(),
            has_queued_calls: queue.has_queued(),
            share_percent: queue.rule().min_share_percent,
        });
        let service_time = Duration::from_micros(self.estimate.mean_service_us());
        self.balances.update_balances(uses, self.slots(), service_time, now);
    }

    /// Grants free slots to queued calls, and returns the decisions.
    fn fill_slots(&mut self, now: Instant) -> Vec<QueueDecision> {
        let service_time = self.service_time();
        let longest_call = self.estimate.longest_call_to_start(now);
        let mut decisions = Vec::new();
        self.reject_superseded_calls(service_time, now, &mut decisions);
        while self.running < self.usable_slots(now) && self.start_rate.permits_start(now) {
            let Some(index) = self.next_queue(service_time, longest_call, now) else {
                break;
            };
            let limits = StartLimits { service_time, longest_call, max_late: self.slots() as usize };
            let next = self.queues[index].next(limits, now, &mut decisions);
            let Some((key, call)) = next else {
                continue;
            };
            let grant = self.start(index, call.caller, call.typical_time, now);
            decisions.push(QueueDecision::Admit(key, grant));
        }
        decisions
    }

    /// Rejects late calls while calls of the same or a more urgent priority that can be on time lack slots.
    ///
    /// Those start first, so under a lasting overload the late ones would wait until their deadlines in vain.
    /// Rejected now, they leave their callers time to come back.
    fn reject_superseded_calls(
        &mut self,
        service_time: Duration,
        now: Instant,
        rejections: &mut Vec<QueueDecision>,
    ) {
        let mut short_of_slots = false;
        for queue in self.queues.iter_mut().filter(|queue| queue.rule().serve_late) {
            short_of_slots |= queue.was_short_of_slots(service_time * SHORTAGE_SERVICE_TIMES, now)
                && queue.has_call_on_time(service_time, now);
            if short_of_slots {
                queue.reject_late(service_time, now, rejections);
            }
        }
    }

    /// Returns the most urgent waiting queue with a positive balance, otherwise the most urgent one.
    ///
    /// Queues with a call that can still meet its objective precede queues with only late calls.
    fn next_queue(
        &self,
        service_time: Duration,
        longest_call: Option<Duration>,
        now: Instant,
    ) -> Option<usize> {
        let is_eligible = |index: &usize| {
            self.queues[*index].has_call_to_start(longest_call) && self.running < self.slots_for(*index, now)
        };
        let has_call_on_time = |index: &usize| {
            let queue = &self.queues[*index];
            !queue.rule().serve_late || queue.has_call_on_time(service_time, now)
        };
        let waiting: Vec<usize> = (0..self.queues.len()).filter(is_eligible).collect();
        let on_time_queues = waiting.iter().copied().filter(has_call_on_time);
        let on_time_queues: Vec<usize> = on_time_queues.collect();
        let candidates = if on_time_queues.is_empty() { waiting } else { on_time_queues };
        candidates
            .iter()
            .find(|index| self.balances.has_positive_balance(**index))
            .or(candidates.first())
            .copied()
    }

    fn start(
        &mut self,
        index: usize,
        caller: CallerKey,
        typical_time: Option<Duration>,
        now: Instant,
    ) -> SlotGrant {
        self.running += 1;
        self.start_rate.record_start(now);
        let execution = Execution {
            started: now,
            typical_time,
            slowdown_percent: self.estimate.slowdown_percent(now),
            slots_in_use: self.running,
            near_capacity: is_near_capacity(self.running, self.slots()),
        };
        self.queues[index].start(caller);
        self.estimate.start(execution);
        SlotGrant { queue_index: index, caller, execution }
    }
}

/// Returns the number of calls in the queues, saturating.
fn queued_calls(queues: &[PriorityQueue]) -> u32 {
    let count: usize = queues.iter().map(PriorityQueue::queued).sum();
    u32::try_from(count).unwrap_or(u32::MAX)
}
