//! Admission of a new call: it gets a slot, joins a queue or is rejected.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::admission::Admission;
use crate::coordination::admission::SLOWDOWN_PROBE_WINDOW;
use crate::coordination::admission::decision::AdmissionOutcome;
use crate::coordination::admission::decision::AdmissionRequest;
use crate::coordination::admission::decision::QueueKey;
use crate::coordination::admission::decision::RejectReason;
use crate::coordination::admission::queued_calls;
use crate::coordination::admission::slots::FULL_PERCENT;
use crate::coordination::admission::slots::SHORTAGE_SERVICE_TIMES;
use crate::coordination::near_capacity::NEAR_CAPACITY_SLOWDOWN_PERCENT;
use crate::coordination::near_capacity::is_near_capacity;
use crate::coordination::priority_queue::CallerKey;
use crate::coordination::priority_queue::PriorityQueue;
use crate::coordination::priority_queue::QueuedCall;
use crate::coordination::priority_queue::is_worth_starting;
use crate::protocol::call_head::CallOrigin;
use crate::protocol::settings::Shedding;

const PERCENT: u64 = 100;
const PERMILLE: u64 = 1_000;
/// Minimum share of the slots assumed when estimating the wait of any priority, in percent.
const MIN_ASSUMED_SHARE_PERCENT: u64 = 2;
/// Divisor of the time between service time and objective that gives the longest acceptable wait.
///
/// The remainder covers service times above the mean. Without it, a call admitted just in time
/// would often occupy a slot and still miss its objective.
const MAX_WAIT_DIVISOR: u32 = 3;

impl Admission {
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
        let is_slot_free = self.is_slot_free_for(index, request.origin, now);
        let slot_wait =
            if is_slot_free { Duration::ZERO } else { self.expected_wait(index, request.caller, now) };
        let rate_delay = self.start_delay(self.queued_before(index), now);
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
        let pace = self.pace(now);
        let Some(objective_at) = request.objective_at.filter(|_| self.queues[index].rule().serve_late) else {
            return false;
        };
        let call = queued_call(request, objective_at);
        request.origin == CallOrigin::Caller
            && !call.can_meet_objective(pace, now)
            && self.queues[..=index]
                .iter()
                .any(|queue| queue.was_short_of_slots(pace.service_time * SHORTAGE_SERVICE_TIMES, now))
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
        let pace = self.pace(now);
        let superseded = self.queues[..=index].iter().any(|queue| queue.has_call_on_time(pace, now));
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
        queue.push(key, queued_call(&request, objective_at));
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

    /// Returns the number of queued calls that start before a call of the queue that joins now.
    fn queued_before(&self, index: usize) -> u32 {
        queued_calls(&self.queues[..=index])
    }

    fn queue_index_of(&self, priority: u8) -> Option<usize> {
        let last = self.queues.len().checked_sub(1)?;
        Some(usize::from(priority).min(last))
    }

    /// Returns whether a new call of the priority gets a slot immediately.
    ///
    /// Calls that are held while the VM is slow do not keep others waiting, and calls for which no slot is free don't
    /// keep nested calls waiting.
    fn is_slot_free_for(&self, index: usize, origin: CallOrigin, now: Instant) -> bool {
        let longest_call = self.estimate.longest_call_to_start(now);
        let waits = |queue: &PriorityQueue| queue.has_call_to_start(longest_call);
        let blocks =
            |queue: &PriorityQueue| waits(queue) && queue.rule().usable_slots_percent == FULL_PERCENT;
        let (same_or_more_urgent, less_urgent) = self.queues.split_at(index + 1);
        let goes_first = |(other, queue): (usize, &PriorityQueue)| {
            waits(queue)
                && (origin == CallOrigin::Caller
                    || self.shedding == Shedding::ByPriority
                    || self.may_start_from(other, longest_call, now))
        };
        self.running < self.slot_limit_for(index, origin, now)
            && !same_or_more_urgent.iter().enumerate().any(goes_first)
            && !less_urgent.iter().any(blocks)
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
}

const fn queued_call(request: &AdmissionRequest, objective_at: Instant) -> QueuedCall {
    QueuedCall {
        caller: request.caller,
        objective_at,
        typical_time: request.typical_time,
        caller_weight: request.caller_weight,
        origin: request.origin,
    }
}
