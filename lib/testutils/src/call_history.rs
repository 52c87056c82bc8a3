//! Checks the outcomes of calls at their callers against the executions at the upstreams.
//!
//! Each call is a separate object with a sequential specification; the history of its operations must
//! be linearizable with respect to it.

use std::fmt;

use bytes::Bytes;
use todc_utils::Action;
use todc_utils::History;
use todc_utils::WGLChecker;
use todc_utils::specifications::Specification;

use crate::logging_upstream::Execution;

/// Outcome of a call at its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The whole answer of an upstream.
    Answered(Bytes),
    /// An error that guarantees that the call was not executed.
    NotExecuted(String),
    /// An error after which the call may or may not have been executed.
    Unknown(String),
    /// The answer ended early with an error; the call may or may not have been executed.
    Truncated(String),
    /// The connection failed before an answer began; the call may or may not have been executed.
    Disconnected(String),
}

impl CallOutcome {
    /// Returns whether the outcome determines if the call was executed.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        matches!(self, Self::Answered(_) | Self::NotExecuted(_))
    }
}

/// One call and its outcome at the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// Body of the request, unique to the call.
    pub request: Bytes,
    /// The only correct answer.
    pub expected_answer: Bytes,
    /// Whether the call may be executed more than once.
    pub idempotent: bool,
    /// Whether the caller's connection may fail because its node was killed.
    pub may_disconnect: bool,
    /// Tick at which the call was sent.
    pub sent: u64,
    /// Tick at which the caller had the outcome.
    pub ended: u64,
    /// Outcome at the caller.
    pub outcome: CallOutcome,
}

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// No order of the executions and the outcome satisfies the specification of a call.
    NotLinearizable {
        /// The call.
        call: CallRecord,
        /// Ticks at which the call was executed.
        executions: Vec<u64>,
    },
    /// The connection of a call failed without an answer although it may not fail.
    MissingAnswer {
        /// The call.
        call: CallRecord,
    },
    /// An upstream executed a request that no caller had sent.
    UnexpectedExecution {
        /// Body of the executed request.
        request: Bytes,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Operation {
    Execute { repeatable: bool },
    Answer { correct: bool },
    NotExecuted,
    Unknown,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct CallState {
    executed: bool,
    reported_unexecuted: bool,
}

/// Sequential specification of one call: what may be executed and answered, in which order.
struct CallSpecification;

impl Specification for CallSpecification {
    type State = CallState;
    type Operation = Operation;

    fn init() -> CallState {
        CallState::default()
    }

    fn apply(operation: &Operation, state: &CallState) -> (bool, CallState) {
        let (valid, next) = match operation {
            Operation::Execute { repeatable } => (
                !state.reported_unexecuted && (*repeatable || !state.executed),
                CallState { executed: true, ..*state },
            ),
            Operation::Answer { correct } => (*correct && state.executed, *state),
            Operation::NotExecuted => (!state.executed, CallState { reported_unexecuted: true, ..*state }),
            Operation::Unknown => (true, *state),
        };
        (valid, if valid { next } else { *state })
    }
}

/// Returns every violation of the guarantees by the calls and executions of a test.
#[must_use]
pub fn find_violations(calls: &[CallRecord], executions: &[Execution]) -> Vec<Violation> {
    let mut found = Vec::new();
    for call in calls {
        let call_executions = executions.iter().filter(|execution| execution.request == call.request);
        let call_executions: Vec<u64> = call_executions.map(|execution| execution.started).collect();
        if matches!(call.outcome, CallOutcome::Disconnected(_)) && !call.may_disconnect {
            found.push(Violation::MissingAnswer { call: call.clone() });
        }
        if !WGLChecker::<CallSpecification>::is_linearizable(history(call, &call_executions)) {
            found.push(Violation::NotLinearizable { call: call.clone(), executions: call_executions });
        }
    }
    let unsent =
        executions.iter().filter(|execution| !calls.iter().any(|call| call.request == execution.request));
    found.extend(
        unsent.map(|execution| Violation::UnexpectedExecution { request: execution.request.clone() }),
    );
    found
}

/// Builds the history of one call; at the same tick, invocations precede responses.
fn history(call: &CallRecord, executions: &[u64]) -> History<Operation> {
    let outcome = call.operation();
    let mut events: Vec<(u64, u8, usize, Action<Operation>)> =
        vec![(call.sent, 0, 0, Action::Call(outcome)), (call.ended, 1, 0, Action::Response(outcome))];
    for (index, started) in executions.iter().enumerate() {
        let execution = Operation::Execute { repeatable: call.idempotent };
        events.push((*started, 0, index + 1, Action::Call(execution)));
        events.push((*started, 1, index + 1, Action::Response(execution)));
    }
    events.sort_by_key(|(tick, order, _, _)| (*tick, *order));
    History::from_actions(events.into_iter().map(|(_, _, process, action)| (process, action)).collect())
}

impl CallRecord {
    fn operation(&self) -> Operation {
        match &self.outcome {
            CallOutcome::Answered(body) => Operation::Answer { correct: *body == self.expected_answer },
            CallOutcome::NotExecuted(_) => Operation::NotExecuted,
            CallOutcome::Unknown(_) | CallOutcome::Truncated(_) | CallOutcome::Disconnected(_) => {
                Operation::Unknown
            }
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLinearizable { call, executions } => {
                write!(f, "{call}; executed at {executions:?}")
            }
            Self::MissingAnswer { call } => write!(f, "no answer: {call}"),
            Self::UnexpectedExecution { request } => {
                write!(f, "executed without being sent: {:?}", excerpt(request))
            }
        }
    }
}

impl fmt::Display for CallRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let outcome = match &self.outcome {
            CallOutcome::Answered(body) => format!("answered {:?}", excerpt(body)),
            CallOutcome::NotExecuted(kind) => format!("not executed, {kind}"),
            CallOutcome::Unknown(kind) => format!("unknown, {kind}"),
            CallOutcome::Truncated(reason) => format!("cut short, {reason}"),
            CallOutcome::Disconnected(reason) => format!("broken, {reason}"),
        };
        let request = excerpt(&self.request);
        let idempotent = if self.idempotent { " (idempotent)" } else { "" };
        write!(f, "{request:?}{idempotent} sent at {} ended at {}: {outcome}", self.sent, self.ended)
    }
}

/// Returns the first 32 bytes as text.
fn excerpt(bytes: &Bytes) -> String {
    String::from_utf8_lossy(&bytes[..bytes.len().min(32)]).into_owned()
}
