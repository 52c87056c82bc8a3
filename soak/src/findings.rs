//! Checks the observed calls and executions against the guarantees given to callers.

use std::fmt;
use std::time::Duration;

use yuccatray_testutils::call_history::CallOutcome;
use yuccatray_testutils::call_history::CallRecord;
use yuccatray_testutils::call_history::Violation;
use yuccatray_testutils::call_history::find_violations;
use yuccatray_testutils::logging_upstream::Execution;

use crate::callers::CALL_TIMEOUT;
use crate::callers::ObservedCall;
use crate::tenant_checks::TenantViolation;

/// Time beyond the call timeout that an answer may take, in addition to the pauses of processes.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// Violation found by a soak run.
#[derive(Clone, Debug)]
pub enum Finding {
    /// A guarantee to a caller was violated.
    GuaranteeViolated(Violation),
    /// A promise on keys, quotas, evacuations or cold upstreams was violated.
    TenantViolated(TenantViolation),
    /// A caller waited longer than the call timeout and the allowed margin.
    LateOutcome {
        /// The call.
        call: CallRecord,
        /// Time that the caller waited.
        waited: Duration,
    },
    /// The process of this node exited without being stopped or killed.
    UnexpectedExit(usize),
    /// The process of this node did not stop within the stop timeout.
    DidNotStop(usize),
    /// This node did not serve calls again after all faults had ended.
    NotRecovered(usize),
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::GuaranteeViolated(violation) => write!(f, "guarantee violated: {violation}"),
            Self::TenantViolated(violation) => write!(f, "{violation}"),
            Self::LateOutcome { call, waited } => write!(f, "outcome only after {waited:?}: {call}"),
            Self::UnexpectedExit(node) => write!(f, "node {node} exited unexpectedly"),
            Self::DidNotStop(node) => write!(f, "node {node} did not stop in time"),
            Self::NotRecovered(node) => write!(f, "node {node} did not recover"),
        }
    }
}

/// Returns all violations in the observed calls and executions.
///
/// `paused` is the total time for which processes were suspended; calls may take that much longer.
#[must_use]
pub fn findings(calls: &[ObservedCall], executions: &[Execution], paused: Duration) -> Vec<Finding> {
    let checked: Vec<CallRecord> = calls.iter().map(|call| with_allowed_break(call, executions)).collect();
    let late = calls.iter().filter(|call| call.waited > CALL_TIMEOUT + ANSWER_MARGIN + paused);
    let late = late.map(|call| Finding::LateOutcome { call: call.call.clone(), waited: call.waited });
    find_violations(&checked, executions).into_iter().map(Finding::GuaranteeViolated).chain(late).collect()
}

/// Returns the call, with a broken connection allowed if a termination of its ingress node explains it.
///
/// That is when the node was killed, or when it was stopped and the call was not executed.
fn with_allowed_break(observed: &ObservedCall, executions: &[Execution]) -> CallRecord {
    let (before, after) = observed.terminations;
    let killed = before.killed_until(after);
    let stopped = before.stopped_until(after);
    let executed = || executions.iter().any(|execution| execution.request == observed.call.request);
    let broken = matches!(observed.call.outcome, CallOutcome::Disconnected(_));
    CallRecord { may_disconnect: broken && (killed || (stopped && !executed())), ..observed.call.clone() }
}
