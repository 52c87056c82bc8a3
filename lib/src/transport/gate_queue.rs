//! Admission state of a gate together with the channels to its queued calls.

use indexmap::IndexMap;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::coordination::admission::Admission;
use crate::coordination::admission::Grant;
use crate::coordination::admission::Refusal;
use crate::coordination::admission::TicketKey;
use crate::coordination::admission::Verdict;

/// Admission and the queued calls that wait for its outcome.
#[derive(Debug)]
pub(super) struct GateQueue {
    pub(super) admission: Admission,
    pub(super) waiters: IndexMap<TicketKey, oneshot::Sender<Result<Grant, Refusal>>>,
}

impl GateQueue {
    pub(super) fn new(now: Instant) -> Self {
        Self { admission: Admission::new(0, &[], now), waiters: IndexMap::new() }
    }

    /// Sends outcomes to the queued calls that they belong to.
    pub(super) fn deliver(&mut self, queue_outcomes: Vec<Verdict>) {
        for queue_outcome in queue_outcomes {
            let (key, outcome) = match queue_outcome {
                Verdict::Admit(key, grant) => (key, Ok(grant)),
                Verdict::Refuse(key, reason) => (key, Err(reason)),
            };
            if let Some(waiter) = self.waiters.swap_remove(&key) {
                // A queued call that is dropped before it reads the outcome releases the slot itself.
                let _sent = waiter.send(outcome);
            }
        }
    }
}
