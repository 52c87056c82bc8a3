//! Admission state of a gate together with the channels to its queued calls.

use std::sync::Arc;

use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::coordination::admission::Admission;
use crate::coordination::admission::QueueDecision;
use crate::coordination::admission::QueueKey;
use crate::coordination::admission::RejectReason;
use crate::coordination::admission::SlotGrant;
use crate::protocol::settings::Shedding;

/// Admission and the queued calls that wait for its outcome.
#[derive(Debug)]
pub(super) struct GateQueue {
    pub(super) admission: Admission,
    pub(super) waiters: IndexMap<QueueKey, oneshot::Sender<Result<SlotGrant, RejectReason>>>,
    /// Notified when a health response is needed to learn whether the upstream is cold.
    pub(super) cold_probe_due: Arc<Notify>,
    /// Whether the upstream drains.
    is_upstream_drained: bool,
    /// Whether the zone of the gate is evacuated.
    is_zone_evacuated: bool,
}

impl GateQueue {
    pub(super) fn new(shedding: Shedding, now: Instant) -> Self {
        Self {
            admission: Admission::new(0, &[], now).with_shedding(shedding),
            waiters: IndexMap::new(),
            cold_probe_due: Arc::default(),
            is_upstream_drained: false,
            is_zone_evacuated: false,
        }
    }

    /// Requests a probe if it is needed to learn whether the upstream is cold.
    pub(super) fn request_cold_probe(&self, now: Instant) {
        if self.needs_cold_probe(now) {
            self.cold_probe_due.notify_one();
        }
    }

    /// Returns whether a health response is needed to learn whether the upstream is cold.
    pub(super) fn needs_cold_probe(&self, now: Instant) -> bool {
        self.admission.cold_limit().needs_probe(!self.waiters.is_empty(), now)
    }

    /// Sets whether the upstream drains, and rejects queued calls if so.
    pub(super) fn set_upstream_drained(&mut self, is_upstream_drained: bool) {
        self.is_upstream_drained = is_upstream_drained;
        self.close_or_open();
    }

    /// Sets whether the zone of the gate is evacuated, and rejects queued calls if so.
    ///
    /// Ingresses would avoid an upstream that seemed slow before, and nothing would correct that. Its estimate is
    /// forgotten also when the gate closes, so that no later load report carries it.
    pub(super) fn set_zone_evacuated(&mut self, is_zone_evacuated: bool) {
        self.is_zone_evacuated = is_zone_evacuated;
        self.admission.reset_slowness();
        self.close_or_open();
    }

    pub(super) const fn is_zone_evacuated(&self) -> bool {
        self.is_zone_evacuated
    }

    /// Admits calls only if neither the upstream nor the zone stands against it.
    fn close_or_open(&mut self) {
        if self.is_upstream_drained || self.is_zone_evacuated {
            let outcomes = self.admission.drain();
            self.deliver(outcomes);
        } else {
            self.admission.resume();
        }
    }

    /// Sends outcomes to the queued calls that they belong to.
    pub(super) fn deliver(&mut self, queue_outcomes: Vec<QueueDecision>) {
        if !queue_outcomes.is_empty() {
            self.request_cold_probe(Instant::now());
        }
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
