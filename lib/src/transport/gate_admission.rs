//! Admission of calls at a gate: the wait for a slot, and the answers to rejected calls.

use std::sync::Arc;

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::coordination::admission::AdmissionOutcome;
use crate::coordination::admission::AdmissionRequest;
use crate::coordination::admission::QueueKey;
use crate::coordination::admission::RejectReason;
use crate::coordination::admission::SlotGrant;
use crate::coordination::service_estimate::ExecutionOutcome;
use crate::protocol::answer::ErrorAnswer;
use crate::protocol::call_id::CallId;
use crate::protocol::error_kind::ErrorKind;
use crate::transport::call_guard::SlotGuard;
use crate::transport::gate::EVACUATED_RETRY_AFTER;
use crate::transport::gate::Gate;
use crate::transport::gate::GateCall;
use crate::transport::gate::Result;
use crate::transport::gate_log::log_given_up;
use crate::transport::gate_log::log_rejection;
use crate::transport::upstream_pool::UpstreamPool;

impl Gate {
    /// Waits for a slot and stores it in `slot`; returns an error if the call is rejected.
    pub(super) async fn admit(self: &Arc<Self>, call: &GateCall, slot: &mut SlotGuard) -> Result<()> {
        if self.stop_state().may_outlast(call.deadline) {
            return Err(self.rejection(call, RejectReason::Draining));
        }
        let (key, receiver) = match self.request_admission(call)? {
            AdmissionState::Granted(grant) => {
                slot.grant(grant);
                self.count("admitted");
                return Ok(());
            }
            AdmissionState::Queued(key, receiver) => (key, receiver),
        };
        let mut queued = QueuedCall { gate: self, id: &call.id, key, receiver, resolved: false };
        let outcome = tokio::time::timeout_at(key.start_by(), queued.outcome()).await;
        match outcome {
            Ok(Ok(grant)) => {
                slot.grant(grant);
                self.count("admitted_after_wait");
                Ok(())
            }
            Ok(Err(reason)) => Err(self.rejection(call, reason)),
            Err(_) => Err(self.rejection(call, RejectReason::TooLate)),
        }
    }

    fn request_admission(&self, call: &GateCall) -> Result<AdmissionState> {
        let request = AdmissionRequest {
            priority: call.priority,
            caller: call.caller,
            caller_weight: call.caller_weight,
            deadline: call.deadline,
            start_by: call.start_by,
            objective_at: call.objective_at,
            typical_time: call.typical_time,
            max_gate_latency: call.max_gate_latency,
            origin: call.origin,
            idempotent: call.idempotent,
        };
        let now = Instant::now();
        let mut queue = self.queue.lock();
        match queue.admission.request_admission(request, now) {
            AdmissionOutcome::Admitted(grant) => {
                queue.request_cold_probe(now);
                Ok(AdmissionState::Granted(grant))
            }
            AdmissionOutcome::Queued(key) => {
                let (sender, receiver) = oneshot::channel();
                queue.waiters.insert(key, sender);
                queue.request_cold_probe(now);
                if queue.admission.next_start_at(now).is_some() {
                    self.next_start_changed.notify_one();
                }
                Ok(AdmissionState::Queued(key, receiver))
            }
            AdmissionOutcome::Rejected(reason) => {
                drop(queue);
                Err(self.rejection(call, reason))
            }
        }
    }

    /// Returns whether a call that got its slot earlier may still be sent to the upstream behind `pool`.
    pub(super) fn may_still_send(&self, pool: &UpstreamPool) -> bool {
        self.is_current(pool) && !self.queue.lock().admission.is_draining()
    }

    /// Counts and logs a rejected call, and returns the error for it.
    pub(super) fn rejection(&self, call: &GateCall, reject_reason: RejectReason) -> ErrorAnswer {
        let (kind, reason, message) = match reject_reason {
            RejectReason::QueueFull => {
                (ErrorKind::Overloaded, "queue_full", "the queue of this priority is full")
            }
            RejectReason::TooLate => (ErrorKind::DeadlineBeforeStart, "too_late", "no slot was free in time"),
            RejectReason::ObjectiveMissed => {
                (ErrorKind::ObjectiveMissed, "objective_missed", "the objective could not be met any more")
            }
            RejectReason::GateTooSlow => (ErrorKind::Overloaded, "impatient", "another gate may be faster"),
            RejectReason::CallerLimited => {
                (ErrorKind::CallerLimited, "caller_limited", "this caller has its share of the queue already")
            }
            RejectReason::Draining if self.is_zone_evacuated() => {
                (ErrorKind::ZoneEvacuated, "evacuated", "the zone of the upstream is evacuated")
            }
            RejectReason::Draining => (ErrorKind::Draining, "draining", "the upstream takes no new work"),
        };
        self.count(reason);
        let (load, hint) = {
            let mut queue = self.queue.lock();
            let now = Instant::now();
            (queue.admission.load(now), queue.admission.next_retry_delay(now))
        };
        let hint = if kind == ErrorKind::ZoneEvacuated { EVACUATED_RETRY_AFTER } else { hint };
        log_rejection(call, reason, load);
        ErrorAnswer::new(kind, message).retry_after(hint).with_load(load)
    }
}

/// State of a call after it has requested admission.
enum AdmissionState {
    Granted(SlotGrant),
    Queued(QueueKey, oneshot::Receiver<Result<SlotGrant, RejectReason>>),
}

/// Queued call, removed from the queue if dropped before its outcome was received.
#[derive(Debug)]
struct QueuedCall<'a> {
    gate: &'a Gate,
    id: &'a CallId,
    key: QueueKey,
    receiver: oneshot::Receiver<Result<SlotGrant, RejectReason>>,
    resolved: bool,
}

impl QueuedCall<'_> {
    async fn outcome(&mut self) -> Result<SlotGrant, RejectReason> {
        let outcome = (&mut self.receiver).await.unwrap_or(Err(RejectReason::Draining));
        self.resolved = true;
        outcome
    }
}

impl Drop for QueuedCall<'_> {
    fn drop(&mut self) {
        if self.resolved {
            return;
        }
        log_given_up(self.id, "waiting", self.gate.stop_state());
        let was_queued = {
            let mut queue = self.gate.queue.lock();
            queue.waiters.swap_remove(&self.key);
            queue.admission.cancel(self.key)
        };
        if !was_queued && let Ok(Ok(grant)) = self.receiver.try_recv() {
            self.gate.release(grant, ExecutionOutcome::Abandoned);
        }
    }
}
