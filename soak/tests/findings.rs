//! Planted faults turn a soak red, and what is allowed does not.

use std::time::Duration;

use yuccatray_soak::callers::Seen;
use yuccatray_soak::findings::findings;
use yuccatray_soak::place::Ends;
use yuccatray_testutils::history::CallSeen;
use yuccatray_testutils::history::Outcome;
use yuccatray_testutils::logging_upstream::Run;

const UNTOUCHED: Ends = Ends { kills: 0, stops: 0 };

fn seen(outcome: Outcome, after: Ends) -> Seen {
    let call = CallSeen {
        request: "order".into(),
        right_answer: "done".into(),
        idempotent: false,
        may_break: false,
        sent: 1,
        ended: 5,
        outcome,
    };
    Seen { call, node: 0, ends: (UNTOUCHED, after), took: Duration::from_millis(20) }
}

fn ran_at(ticks: &[u64]) -> Vec<Run> {
    ticks.iter().map(|started| Run { request: "order".into(), started: *started }).collect()
}

fn count(seen: &Seen, runs: &[Run]) -> usize {
    findings(std::slice::from_ref(seen), runs, Duration::ZERO).len()
}

#[test]
fn answer_of_one_run_is_right() {
    assert_eq!(count(&seen(Outcome::Answered("done".into()), UNTOUCHED), &ran_at(&[2])), 0);
}

#[test]
fn planted_double_send_found() {
    assert_eq!(count(&seen(Outcome::Answered("done".into()), UNTOUCHED), &ran_at(&[2, 3])), 1);
}

#[test]
fn planted_crossed_answer_found() {
    assert_eq!(count(&seen(Outcome::Answered("another".into()), UNTOUCHED), &ran_at(&[2])), 1);
}

#[test]
fn planted_false_refusal_found() {
    assert_eq!(count(&seen(Outcome::NotExecuted("full".to_owned()), UNTOUCHED), &ran_at(&[2])), 1);
    assert_eq!(
        count(&seen(Outcome::NotExecuted("full".to_owned()), UNTOUCHED), &ran_at(&[9])),
        1,
        "later too"
    );
}

#[test]
fn planted_run_that_nobody_sent_found() {
    let mut runs = ran_at(&[2]);
    runs.push(Run { request: "smuggled".into(), started: 3 });
    assert_eq!(count(&seen(Outcome::Answered("done".into()), UNTOUCHED), &runs), 1);
}

#[test]
fn broken_connection_allowed_only_where_the_process_ended() {
    let broken = || Outcome::Broken("reset".to_owned());
    assert_eq!(count(&seen(broken(), UNTOUCHED), &[]), 1);
    assert_eq!(count(&seen(broken(), Ends { kills: 1, stops: 0 }), &ran_at(&[2])), 0, "it was killed");
    assert_eq!(count(&seen(broken(), Ends { kills: 0, stops: 2 }), &[]), 0, "it stopped before the call ran");
    assert_eq!(count(&seen(broken(), Ends { kills: 0, stops: 2 }), &ran_at(&[2])), 1, "a stop cuts no run");
}

#[test]
fn late_answer_found_unless_processes_stood_still() {
    let late = Seen { took: Duration::from_secs(5), ..seen(Outcome::Unknown("lost".to_owned()), UNTOUCHED) };
    assert_eq!(count(&late, &[]), 1);
    assert_eq!(findings(&[late], &[], Duration::from_secs(2)).len(), 0);
}
