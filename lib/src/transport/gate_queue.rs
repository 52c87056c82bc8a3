//! The queue of a gate and the calls that wait in it.

use indexmap::IndexMap;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::coordination::admission::Admission;
use crate::coordination::admission::Grant;
use crate::coordination::admission::Refusal;
use crate::coordination::admission::TicketKey;
use crate::coordination::admission::Verdict;

/// Admission and the calls that wait for its verdict.
#[derive(Debug)]
pub(super) struct GateQueue {
    pub(super) admission: Admission,
    pub(super) waiters: IndexMap<TicketKey, oneshot::Sender<Result<Grant, Refusal>>>,
}

impl GateQueue {
    pub(super) fn new(now: Instant) -> Self {
        Self { admission: Admission::new(0, &[], now), waiters: IndexMap::new() }
    }

    /// Tells the calls that wait what became of them.
    pub(super) fn deliver(&mut self, verdicts: Vec<Verdict>) {
        for verdict in verdicts {
            let (key, outcome) = match verdict {
                Verdict::Admit(key, grant) => (key, Ok(grant)),
                Verdict::Refuse(key, refusal) => (key, Err(refusal)),
            };
            if let Some(waiter) = self.waiters.swap_remove(&key) {
                // A waiter that is gone gives its slot back when it is dropped.
                let _delivered = waiter.send(outcome);
            }
        }
    }
}
