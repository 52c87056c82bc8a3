//! Admission state of a gate together with the channels to its queued calls.

use indexmap::IndexMap;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::coordination::admission::Admission;
use crate::coordination::admission::QueueDecision;
use crate::coordination::admission::QueueKey;
use crate::coordination::admission::RejectReason;
use crate::coordination::admission::SlotGrant;

/// Admission and the queued calls that wait for its outcome.
#[derive(Debug)]
pub(super) struct GateQueue {
    pub(super) admission: Admission,
    pub(super) waiters: IndexMap<QueueKey, oneshot::Sender<Result<SlotGrant, RejectReason>>>,
}

impl GateQueue {
    pub(super) fn new(now: Instant) -> Self {
        Self { admission: Admission::new(0, &[], now), waiters: IndexMap::new() }
    }

    /// Sends outcomes to the queued calls that they belong to.
    pub(super) fn deliver(&mut self, queue_outcomes: Vec<QueueDecision>) {
        for queue_outcome in queue_outcomes {
            let (key, outcome) = match queue_outcome {
                QueueDecision::Admit(key, grant) => (key, Ok(grant)),
                QueueDecision::Reject(key, reason) => (key, Err(reason)),
            };
            if let Some(waiter) = self.waiters.swap_remove(&key) {
                // A queued call that is dropped before it reads the outcome releases the slot itself.
                let _sent = waiter.send(outcome);
            }
        }
    }
}
