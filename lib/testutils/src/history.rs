//! Checks what callers saw against what upstreams ran.
//!
//! Each call is an object of its own with a sequential specification; the history of its
//! operations has to be linearizable by it.

use std::fmt;

use bytes::Bytes;
use todc_utils::Action;
use todc_utils::History;
use todc_utils::WGLChecker;
use todc_utils::specifications::Specification;

use crate::logging_upstream::Run;

/// What a caller saw of its call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An upstream's answer, read to its end.
    Answered(Bytes),
    /// An error that proves that the call did not run.
    NotExecuted(String),
    /// An error that proves nothing.
    Unknown(String),
    /// The answer began and ended in an error, which proves nothing.
    CutShort(String),
    /// The connection broke before any answer.
    Broken(String),
}

impl Outcome {
    /// Whether the caller knows if its call ran.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        matches!(self, Self::Answered(_) | Self::NotExecuted(_))
    }
}

/// One call as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallSeen {
    /// Body of the request, unique to the call.
    pub request: Bytes,
    /// The only right answer.
    pub right_answer: Bytes,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether the caller's connection may break, since its node was stopped hard.
    pub may_break: bool,
    /// When it was sent.
    pub sent: u64,
    /// When the caller knew the outcome.
    pub ended: u64,
    /// The outcome.
    pub outcome: Outcome,
}

/// A promise that was not kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The outcome does not agree with the runs in any order.
    NotLinearizable {
        /// The call.
        call: CallSeen,
        /// When it ran.
        runs: Vec<u64>,
    },
    /// An accepted call got no answer.
    Vanished {
        /// The call.
        call: CallSeen,
    },
    /// Something ran that nobody sent.
    RanUnasked {
        /// Body of the request.
        request: Bytes,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Operation {
    Run { repeatable: bool },
    Answer { right: bool },
    NotExecuted,
    Unknown,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct CallObject {
    ran: bool,
    refused: bool,
}

struct CallSpecification;

impl Specification for CallSpecification {
    type State = CallObject;
    type Operation = Operation;

    fn init() -> CallObject {
        CallObject::default()
    }

    fn apply(operation: &Operation, state: &CallObject) -> (bool, CallObject) {
        let (valid, next) = match operation {
            Operation::Run { repeatable } => {
                (!state.refused && (*repeatable || !state.ran), CallObject { ran: true, ..*state })
            }
            Operation::Answer { right } => (*right && state.ran, *state),
            Operation::NotExecuted => (!state.ran, CallObject { refused: true, ..*state }),
            Operation::Unknown => (true, *state),
        };
        (valid, if valid { next } else { *state })
    }
}

/// Every promise broken by the history.
#[must_use]
pub fn violations(calls: &[CallSeen], runs: &[Run]) -> Vec<Violation> {
    let mut found = Vec::new();
    for call in calls {
        let own_runs = runs.iter().filter(|run| run.request == call.request);
        let own_runs: Vec<u64> = own_runs.map(|run| run.started).collect();
        if matches!(call.outcome, Outcome::Broken(_)) && !call.may_break {
            found.push(Violation::Vanished { call: call.clone() });
        }
        if !WGLChecker::<CallSpecification>::is_linearizable(history(call, &own_runs)) {
            found.push(Violation::NotLinearizable { call: call.clone(), runs: own_runs });
        }
    }
    let unasked = runs.iter().filter(|run| !calls.iter().any(|call| call.request == run.request));
    found.extend(unasked.map(|run| Violation::RanUnasked { request: run.request.clone() }));
    found
}

fn history(call: &CallSeen, runs: &[u64]) -> History<Operation> {
    let outcome = call.operation();
    let mut events: Vec<(u64, u8, usize, Action<Operation>)> =
        vec![(call.sent, 0, 0, Action::Call(outcome)), (call.ended, 1, 0, Action::Response(outcome))];
    for (index, started) in runs.iter().enumerate() {
        let run = Operation::Run { repeatable: call.idempotent };
        events.push((*started, 0, index + 1, Action::Call(run)));
        events.push((*started, 1, index + 1, Action::Response(run)));
    }
    events.sort_by_key(|(tick, order, _, _)| (*tick, *order));
    History::from_actions(events.into_iter().map(|(_, _, process, action)| (process, action)).collect())
}

impl CallSeen {
    fn operation(&self) -> Operation {
        match &self.outcome {
            Outcome::Answered(body) => Operation::Answer { right: *body == self.right_answer },
            Outcome::NotExecuted(_) => Operation::NotExecuted,
            Outcome::Unknown(_) | Outcome::CutShort(_) | Outcome::Broken(_) => Operation::Unknown,
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLinearizable { call, runs } => {
                write!(f, "{call}; it ran at {runs:?}")
            }
            Self::Vanished { call } => write!(f, "no answer: {call}"),
            Self::RanUnasked { request } => write!(f, "nobody sent {:?}", start_of(request)),
        }
    }
}

impl fmt::Display for CallSeen {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let outcome = match &self.outcome {
            Outcome::Answered(body) => format!("answered {:?}", start_of(body)),
            Outcome::NotExecuted(kind) => format!("not executed, {kind}"),
            Outcome::Unknown(kind) => format!("unknown, {kind}"),
            Outcome::CutShort(reason) => format!("cut short, {reason}"),
            Outcome::Broken(reason) => format!("broken, {reason}"),
        };
        let request = start_of(&self.request);
        let idempotent = if self.idempotent { " (idempotent)" } else { "" };
        write!(f, "{request:?}{idempotent} sent at {} ended at {}: {outcome}", self.sent, self.ended)
    }
}

fn start_of(bytes: &Bytes) -> String {
    String::from_utf8_lossy(&bytes[..bytes.len().min(32)]).into_owned()
}
