//! Trace of a call: the decisions and events that a node recorded for it.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::protocol::error_kind::ErrorKind;

/// Decision or event in the processing of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum TraceStep {
    /// The ingress sent an attempt to a gate.
    Sent {
        /// Name of the gate's node.
        to: Arc<str>,
    },
    /// The ingress received the header section of an answer.
    Answered {
        /// Status of the answer.
        status: u16,
        /// Time that the call was queued at the gate, in microseconds.
        queued_us: u64,
    },
    /// An attempt failed from the point of view of the ingress.
    AttemptFailed {
        /// Kind of the error.
        kind: ErrorKind,
    },
    /// The ingress sent an error answer to the caller.
    CallFailed {
        /// Kind of the error.
        kind: ErrorKind,
    },
    /// The gate received the call from another node.
    Arrived,
    /// The gate forwarded the header section of the upstream's answer.
    Passed {
        /// Status of the answer.
        status: u16,
    },
    /// The gate sent an error answer, because it rejected the call or the call failed there.
    Refused {
        /// Kind of the error.
        kind: ErrorKind,
    },
}

impl fmt::Display for TraceStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Sent { to } => write!(f, "ingress sent it to {to}"),
            Self::Answered { status, queued_us } => {
                write!(f, "ingress got {status}, after {queued_us} us in the gate's queue")
            }
            Self::AttemptFailed { kind } => write!(f, "ingress saw the attempt fail: {kind}"),
            Self::CallFailed { kind } => write!(f, "ingress answered the caller: {kind}"),
            Self::Arrived => f.write_str("gate took it from the peer"),
            Self::Passed { status } => write!(f, "gate passed on {status}"),
            Self::Refused { kind } => write!(f, "gate answered the peer: {kind}"),
        }
    }
}

/// Step in the processing of a call, with its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Time by the node's wall clock, in microseconds since 1970.
    pub at_unix_us: u64,
    /// Decision or event.
    #[serde(flatten)]
    pub step: TraceStep,
}

/// Decisions about one call that a node still has in its log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceReport {
    /// Name of the node.
    pub node: Arc<str>,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Time that the node's log covers for calls like this one, in milliseconds.
    pub remembered_ms: u64,
    /// Decisions about the call, oldest first.
    pub decisions: Vec<Decision>,
}
