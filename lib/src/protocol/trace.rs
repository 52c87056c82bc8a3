//! What a node decided about single calls.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::protocol::error_kind::ErrorKind;

/// One decision or event in the life of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum Step {
    /// The ingress sent an attempt to the gate of a node.
    Sent {
        /// Name of that node.
        to: Arc<str>,
    },
    /// The header section of an answer reached the ingress.
    Answered {
        /// Status of the answer.
        status: u16,
        /// Time in the gate's queue, in microseconds.
        queued_us: u64,
    },
    /// An attempt failed, as the ingress saw it.
    AttemptFailed {
        /// Why.
        kind: ErrorKind,
    },
    /// The ingress told the caller that the call failed.
    CallFailed {
        /// Why.
        kind: ErrorKind,
    },
    /// The call reached a gate from another node.
    Arrived,
    /// The gate passed the upstream's header section on.
    Passed {
        /// Status of the answer.
        status: u16,
    },
    /// The gate refused the call, or lost it.
    Refused {
        /// Why.
        kind: ErrorKind,
    },
}

impl fmt::Display for Step {
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

/// A step with its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Time by the wall clock of the node, in microseconds since 1970.
    pub at_unix_us: u64,
    /// What happened.
    #[serde(flatten)]
    pub step: Step,
}

/// What one node remembers of one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceReport {
    /// Name of the node.
    pub node: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Age of the oldest decision that it still remembers, in milliseconds.
    pub remembered_ms: u64,
    /// Its decisions about the call, the oldest first.
    pub decisions: Vec<Decision>,
}
