//! Requests for admission at a gate, and the decisions on them.

use std::num::NonZeroU32;
use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::execution_progress::Execution;
use crate::coordination::priority_queue::CallerKey;
use crate::protocol::call_head::CallOrigin;

/// Key of a queued call; keys sort by the latest time at which the call may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueueKey {
    pub(super) start_by: Instant,
    pub(super) sequence: u64,
    pub(super) queue_index: usize,
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
    /// Weight of the caller against others that have one; `None` if callers don't share slots by weight.
    pub caller_weight: Option<NonZeroU32>,
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
    pub(super) queue_index: usize,
    pub(super) caller: CallerKey,
    pub(super) execution: Execution,
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
