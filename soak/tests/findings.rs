//! Tests that the soak reports violated guarantees and tolerates permitted outcomes.

use std::time::Duration;

use yuccatray_soak::callers::ObservedCall;
use yuccatray_soak::findings::findings;
use yuccatray_soak::soak_node::Terminations;
use yuccatray_testutils::call_history::CallOutcome;
use yuccatray_testutils::call_history::CallRecord;
use yuccatray_testutils::logging_upstream::Execution;

const NO_TERMINATION: Terminations = Terminations { kills: 0, stops: 0 };

fn observed(outcome: CallOutcome, after: Terminations) -> ObservedCall {
    let call = CallRecord {
        request: "order".into(),
        expected_answer: "done".into(),
        idempotent: false,
        may_disconnect: false,
        sent: 1,
        ended: 5,
        outcome,
    };
    ObservedCall { call, node: 0, terminations: (NO_TERMINATION, after), waited: Duration::from_millis(20) }
}

fn executions_at(ticks: &[u64]) -> Vec<Execution> {
    ticks.iter().map(|started| Execution { request: "order".into(), started: *started }).collect()
}

fn count_findings(call: &ObservedCall, executions: &[Execution]) -> usize {
    findings(std::slice::from_ref(call), executions, Duration::ZERO).len()
}

#[test]
fn answer_of_single_execution_allowed() {
    assert_eq!(
        count_findings(&observed(CallOutcome::Answered("done".into()), NO_TERMINATION), &executions_at(&[2])),
        0
    );
}

#[test]
fn second_execution_found() {
    assert_eq!(
        count_findings(
            &observed(CallOutcome::Answered("done".into()), NO_TERMINATION),
            &executions_at(&[2, 3])
        ),
        1
    );
}

#[test]
fn answer_of_another_call_found() {
    assert_eq!(
        count_findings(
            &observed(CallOutcome::Answered("another".into()), NO_TERMINATION),
            &executions_at(&[2])
        ),
        1
    );
}

#[test]
fn false_rejection_found() {
    assert_eq!(
        count_findings(
            &observed(CallOutcome::NotExecuted("full".to_owned()), NO_TERMINATION),
            &executions_at(&[2])
        ),
        1
    );
    assert_eq!(
        count_findings(
            &observed(CallOutcome::NotExecuted("full".to_owned()), NO_TERMINATION),
            &executions_at(&[9])
        ),
        1,
        "an execution after the rejection counts too"
    );
}

#[test]
fn execution_without_call_found() {
    let mut executions = executions_at(&[2]);
    executions.push(Execution { request: "smuggled".into(), started: 3 });
    assert_eq!(
        count_findings(&observed(CallOutcome::Answered("done".into()), NO_TERMINATION), &executions),
        1
    );
}

#[test]
fn broken_connection_allowed_only_after_termination() {
    let broken = || CallOutcome::Disconnected("reset".to_owned());
    assert_eq!(count_findings(&observed(broken(), NO_TERMINATION), &[]), 1);
    assert_eq!(
        count_findings(&observed(broken(), Terminations { kills: 1, stops: 0 }), &executions_at(&[2])),
        0,
        "the node was killed"
    );
    assert_eq!(
        count_findings(&observed(broken(), Terminations { kills: 0, stops: 2 }), &[]),
        0,
        "the node stopped before the execution"
    );
    assert_eq!(
        count_findings(&observed(broken(), Terminations { kills: 0, stops: 2 }), &executions_at(&[2])),
        1,
        "a stop must not interrupt an execution"
    );
}

#[test]
fn late_outcome_found_unless_processes_were_paused() {
    let late = ObservedCall {
        waited: Duration::from_secs(5),
        ..observed(CallOutcome::Unknown("lost".to_owned()), NO_TERMINATION)
    };
    assert_eq!(count_findings(&late, &[]), 1);
    assert_eq!(findings(&[late], &[], Duration::from_secs(2)).len(), 0);
}
