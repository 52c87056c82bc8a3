//! The checker of histories turns red for each promise broken on purpose.

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

fn runs(ticks: &[u64]) -> Vec<Run> {
    ticks.iter().map(|tick| Run { request: Bytes::from_static(DEPOSIT), started: *tick }).collect()
}

fn is_red(call: CallSeen, ran_at: &[u64]) -> bool {
    let found = violations(&[call], &runs(ran_at));
    matches!(found.as_slice(), [Violation::NotLinearizable { .. }])
}

#[test]
fn violations_none() {
    assert_eq!(violations(&[call(answered())], &runs(&[15])), Vec::new());
    assert_eq!(violations(&[call(not_executed())], &[]), Vec::new());
    assert_eq!(violations(&[call(unknown())], &[]), Vec::new());
    assert_eq!(violations(&[call(unknown())], &runs(&[25])), Vec::new());
}

#[test]
fn violations_double_send() {
    assert!(is_red(call(answered()), &[15, 16]));
    assert!(is_red(call(unknown()), &[15, 25]));
}

#[test]
fn violations_double_send_idempotent() {
    let twice = CallSeen { idempotent: true, ..call(answered()) };
    assert_eq!(violations(&[twice], &runs(&[15, 16])), Vec::new());
}

#[test]
fn violations_crossed_answer() {
    assert!(is_red(call(Outcome::Answered(answer_to(b"deposit 2", 0))), &[15]));
}

#[test]
fn violations_truncated_answer() {
    assert!(is_red(call(Outcome::Answered(answer_to(DEPOSIT, 0).slice(1..))), &[15]));
}

#[test]
fn violations_answer_without_run() {
    assert!(is_red(call(answered()), &[]));
    assert!(is_red(call(answered()), &[25]));
}

#[test]
fn violations_false_not_executed() {
    assert!(is_red(call(not_executed()), &[15]));
}

#[test]
fn violations_late_run_after_not_executed() {
    assert!(is_red(call(not_executed()), &[25]));
}

#[test]
fn violations_vanished() {
    let found = violations(&[call(Outcome::Broken("closed".to_owned()))], &[]);
    assert!(matches!(found.as_slice(), [Violation::Vanished { .. }]));
}

#[test]
fn violations_ran_unasked() {
    let found = violations(&[], &runs(&[15]));
    assert!(matches!(found.as_slice(), [Violation::RanUnasked { .. }]));
}
