//! What was seen, held against what callers were promised.

use std::fmt;
use std::time::Duration;

use yuccatray_testutils::call_history::CallOutcome;
use yuccatray_testutils::call_history::CallRecord;
use yuccatray_testutils::call_history::Violation;
use yuccatray_testutils::call_history::find_violations;
use yuccatray_testutils::logging_upstream::Execution;

use crate::callers::CALL_TIMEOUT;
use crate::callers::Seen;

/// Time past a call's own that an answer may take, pauses of processes aside.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// Something that should not have been.
#[derive(Clone, Debug)]
pub enum Finding {
    /// A promise to a caller is broken.
    Promise(Violation),
    /// A caller waited past the time of its call.
    Late {
        /// The call.
        call: CallRecord,
        /// How long it waited.
        took: Duration,
    },
    /// A process ended though nobody told it to.
    EndedByItself(usize),
    /// A process did not stop in its time.
    DidNotStop(usize),
    /// A node did not serve again once all was well.
    NotRecovered(usize),
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Promise(violation) => write!(f, "promise broken: {violation}"),
            Self::Late { call, took } => write!(f, "answered after {took:?}: {call}"),
            Self::EndedByItself(node) => write!(f, "node {node} ended by itself"),
            Self::DidNotStop(node) => write!(f, "node {node} did not stop in time"),
            Self::NotRecovered(node) => write!(f, "node {node} did not serve again"),
        }
    }
}

/// Everything wrong with the calls that were seen, where processes stood still for `paused` in all.
#[must_use]
pub fn findings(seen: &[Seen], runs: &[Execution], paused: Duration) -> Vec<Finding> {
    let calls: Vec<CallRecord> = seen.iter().map(|seen| excused(seen, runs)).collect();
    let late = seen.iter().filter(|seen| seen.took > CALL_TIMEOUT + ANSWER_MARGIN + paused);
    let late = late.map(|seen| Finding::Late { call: seen.call.clone(), took: seen.took });
    find_violations(&calls, runs).into_iter().map(Finding::Promise).chain(late).collect()
}

/// The call, allowed to break where its own node was killed, or stopped before the call had run.
fn excused(seen: &Seen, runs: &[Execution]) -> CallRecord {
    let (before, after) = seen.ends;
    let killed = before.killed_until(after);
    let stopped = before.stopped_until(after);
    let ran = || runs.iter().any(|run| run.request == seen.call.request);
    let broke = matches!(seen.call.outcome, CallOutcome::Disconnected(_));
    CallRecord { may_disconnect: broke && (killed || (stopped && !ran())), ..seen.call.clone() }
}
