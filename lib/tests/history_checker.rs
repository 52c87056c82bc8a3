//! Checks that the history checker reports a violation of each call guarantee.

use bytes::Bytes;
use yuccatray_testutils::call_history::CallOutcome;
use yuccatray_testutils::call_history::CallRecord;
use yuccatray_testutils::call_history::Violation;
use yuccatray_testutils::call_history::find_violations;
use yuccatray_testutils::logging_upstream::Execution;
use yuccatray_testutils::logging_upstream::expected_answer_to;

const DEPOSIT: &[u8] = b"deposit 1";

fn call(outcome: CallOutcome) -> CallRecord {
    CallRecord {
        request: Bytes::from_static(DEPOSIT),
        expected_answer: expected_answer_to(DEPOSIT, 0),
        idempotent: false,
        may_disconnect: false,
        sent: 10,
        ended: 20,
        outcome,
    }
}

fn answered() -> CallOutcome {
    CallOutcome::Answered(expected_answer_to(DEPOSIT, 0))
}

fn not_executed() -> CallOutcome {
    CallOutcome::NotExecuted("overloaded".to_owned())
}

fn unknown() -> CallOutcome {
    CallOutcome::Unknown("outcome_unknown".to_owned())
}

fn executions(ticks: &[u64]) -> Vec<Execution> {
    ticks.iter().map(|tick| Execution { request: Bytes::from_static(DEPOSIT), started: *tick }).collect()
}

fn is_not_linearizable(call: CallRecord, execution_ticks: &[u64]) -> bool {
    let violations_found = find_violations(&[call], &executions(execution_ticks));
    matches!(violations_found.as_slice(), [Violation::NotLinearizable { .. }])
}

#[test]
fn violations_none() {
    assert_eq!(find_violations(&[call(answered())], &executions(&[15])), Vec::new());
    assert_eq!(find_violations(&[call(not_executed())], &[]), Vec::new());
    assert_eq!(find_violations(&[call(unknown())], &[]), Vec::new());
    assert_eq!(find_violations(&[call(unknown())], &executions(&[25])), Vec::new());
}

#[test]
fn violations_executed_twice() {
    assert!(is_not_linearizable(call(answered()), &[15, 16]));
    assert!(is_not_linearizable(call(unknown()), &[15, 25]));
}

#[test]
fn violations_idempotent_executed_twice_allowed() {
    let idempotent_call = CallRecord { idempotent: true, ..call(answered()) };
    assert_eq!(find_violations(&[idempotent_call], &executions(&[15, 16])), Vec::new());
}

#[test]
fn violations_answer_of_another_call() {
    assert!(is_not_linearizable(call(CallOutcome::Answered(expected_answer_to(b"deposit 2", 0))), &[15]));
}

#[test]
fn violations_truncated_answer() {
    assert!(is_not_linearizable(
        call(CallOutcome::Answered(expected_answer_to(DEPOSIT, 0).slice(1..))),
        &[15]
    ));
}

#[test]
fn violations_answer_without_execution() {
    assert!(is_not_linearizable(call(answered()), &[]));
    assert!(is_not_linearizable(call(answered()), &[25]));
}

#[test]
fn violations_executed_despite_not_executed() {
    assert!(is_not_linearizable(call(not_executed()), &[15]));
}

#[test]
fn violations_execution_after_not_executed() {
    assert!(is_not_linearizable(call(not_executed()), &[25]));
}

#[test]
fn violations_call_without_answer() {
    let violations_found = find_violations(&[call(CallOutcome::Disconnected("closed".to_owned()))], &[]);
    assert!(matches!(violations_found.as_slice(), [Violation::MissingAnswer { .. }]));
}

#[test]
fn violations_execution_without_call() {
    let violations_found = find_violations(&[], &executions(&[15]));
    assert!(matches!(violations_found.as_slice(), [Violation::UnexpectedExecution { .. }]));
}
