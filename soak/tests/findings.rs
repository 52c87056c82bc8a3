//! Planted faults turn a soak red, and what is allowed does not.

use std::time::Duration;

use yuccatray_soak::callers::Seen;
use yuccatray_soak::findings::findings;
use yuccatray_soak::place::Ends;
use yuccatray_testutils::call_history::CallOutcome;
use yuccatray_testutils::call_history::CallRecord;
use yuccatray_testutils::logging_upstream::Execution;

const UNTOUCHED: Ends = Ends { kills: 0, stops: 0 };

fn seen(outcome: CallOutcome, after: Ends) -> Seen {
    let call = CallRecord {
        request: "order".into(),
        expected_answer: "done".into(),
        idempotent: false,
        may_disconnect: false,
        sent: 1,
        ended: 5,
        outcome,
    };
    Seen { call, node: 0, ends: (UNTOUCHED, after), took: Duration::from_millis(20) }
}

fn ran_at(ticks: &[u64]) -> Vec<Execution> {
    ticks.iter().map(|started| Execution { request: "order".into(), started: *started }).collect()
}

fn count(seen: &Seen, runs: &[Execution]) -> usize {
    findings(std::slice::from_ref(seen), runs, Duration::ZERO).len()
}

#[test]
fn answer_of_one_run_is_right() {
    assert_eq!(count(&seen(CallOutcome::Answered("done".into()), UNTOUCHED), &ran_at(&[2])), 0);
}

#[test]
fn planted_double_send_found() {
    assert_eq!(count(&seen(CallOutcome::Answered("done".into()), UNTOUCHED), &ran_at(&[2, 3])), 1);
}

#[test]
fn planted_crossed_answer_found() {
    assert_eq!(count(&seen(CallOutcome::Answered("another".into()), UNTOUCHED), &ran_at(&[2])), 1);
}

#[test]
fn planted_false_refusal_found() {
    assert_eq!(count(&seen(CallOutcome::NotExecuted("full".to_owned()), UNTOUCHED), &ran_at(&[2])), 1);
    assert_eq!(
        count(&seen(CallOutcome::NotExecuted("full".to_owned()), UNTOUCHED), &ran_at(&[9])),
        1,
        "later too"
    );
}

#[test]
fn planted_run_that_nobody_sent_found() {
    let mut runs = ran_at(&[2]);
    runs.push(Execution { request: "smuggled".into(), started: 3 });
    assert_eq!(count(&seen(CallOutcome::Answered("done".into()), UNTOUCHED), &runs), 1);
}

#[test]
fn broken_connection_allowed_only_where_the_process_ended() {
    let broken = || CallOutcome::Disconnected("reset".to_owned());
    assert_eq!(count(&seen(broken(), UNTOUCHED), &[]), 1);
    assert_eq!(count(&seen(broken(), Ends { kills: 1, stops: 0 }), &ran_at(&[2])), 0, "it was killed");
    assert_eq!(count(&seen(broken(), Ends { kills: 0, stops: 2 }), &[]), 0, "it stopped before the call ran");
    assert_eq!(count(&seen(broken(), Ends { kills: 0, stops: 2 }), &ran_at(&[2])), 1, "a stop cuts no run");
}

#[test]
fn late_answer_found_unless_processes_stood_still() {
    let late =
        Seen { took: Duration::from_secs(5), ..seen(CallOutcome::Unknown("lost".to_owned()), UNTOUCHED) };
    assert_eq!(count(&late, &[]), 1);
    assert_eq!(findings(&[late], &[], Duration::from_secs(2)).len(), 0);
}
