//! Checks that the history checker reports a violation of each call guarantee.

use bytes::Bytes;
use yuccatray_testutils::history::CallSeen;
use yuccatray_testutils::history::Outcome;
use yuccatray_testutils::history::Violation;
use yuccatray_testutils::history::violations;
use yuccatray_testutils::logging_upstream::Run;
use yuccatray_testutils::logging_upstream::answer_to;

const DEPOSIT: &[u8] = b"deposit 1";

fn call(outcome: Outcome) -> CallSeen {
    CallSeen {
        request: Bytes::from_static(DEPOSIT),
        right_answer: answer_to(DEPOSIT, 0),
        idempotent: false,
        may_break: false,
        sent: 10,
        ended: 20,
        outcome,
    }
}

fn answered() -> Outcome {
    Outcome::Answered(answer_to(DEPOSIT, 0))
}

fn not_executed() -> Outcome {
    Outcome::NotExecuted("overloaded".to_owned())
}

fn unknown() -> Outcome {
    Outcome::Unknown("outcome_unknown".to_owned())
}

fn executions(ticks: &[u64]) -> Vec<Run> {
    ticks.iter().map(|tick| Run { request: Bytes::from_static(DEPOSIT), started: *tick }).collect()
}

fn is_not_linearizable(call: CallSeen, execution_ticks: &[u64]) -> bool {
    let violations_found = violations(&[call], &executions(execution_ticks));
    matches!(violations_found.as_slice(), [Violation::NotLinearizable { .. }])
}

#[test]
fn violations_none() {
    assert_eq!(violations(&[call(answered())], &executions(&[15])), Vec::new());
    assert_eq!(violations(&[call(not_executed())], &[]), Vec::new());
    assert_eq!(violations(&[call(unknown())], &[]), Vec::new());
    assert_eq!(violations(&[call(unknown())], &executions(&[25])), Vec::new());
}

#[test]
fn violations_executed_twice() {
    assert!(is_not_linearizable(call(answered()), &[15, 16]));
    assert!(is_not_linearizable(call(unknown()), &[15, 25]));
}

#[test]
fn violations_idempotent_executed_twice_allowed() {
    let idempotent_call = CallSeen { idempotent: true, ..call(answered()) };
    assert_eq!(violations(&[idempotent_call], &executions(&[15, 16])), Vec::new());
}

#[test]
fn violations_answer_of_another_call() {
    assert!(is_not_linearizable(call(Outcome::Answered(answer_to(b"deposit 2", 0))), &[15]));
}

#[test]
fn violations_truncated_answer() {
    assert!(is_not_linearizable(call(Outcome::Answered(answer_to(DEPOSIT, 0).slice(1..))), &[15]));
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
    let violations_found = violations(&[call(Outcome::Broken("closed".to_owned()))], &[]);
    assert!(matches!(violations_found.as_slice(), [Violation::Vanished { .. }]));
}

#[test]
fn violations_execution_without_call() {
    let violations_found = violations(&[], &executions(&[15]));
    assert!(matches!(violations_found.as_slice(), [Violation::RanUnasked { .. }]));
}
