//! The log behind traces: what it keeps of a call, and what it gives up first.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::advance;
use yuccatray::protocol::call_id::CallId;
use yuccatray::protocol::error_kind::ErrorKind;
use yuccatray::protocol::trace::Decision;
use yuccatray::protocol::trace::Step;
use yuccatray::state::decision_log::DecisionLog;

/// Decisions that the log promises to remember.
const KEPT: u64 = 16_384;

fn call(sequence: u64) -> CallId {
    CallId { node: Arc::from("vm-1"), incarnation: 1, sequence }
}

#[tokio::test(start_paused = true)]
async fn record_keeps_steps_of_a_call_in_order() {
    let log = DecisionLog::new(Instant::now());
    log.record(&call(1), Step::Sent { to: Arc::from("vm-2") }, Instant::now());
    log.record(&call(9), Step::Arrived, Instant::now());
    advance(Duration::from_millis(3)).await;
    log.record(&call(1), Step::AttemptFailed { kind: ErrorKind::Overloaded }, Instant::now());
    let decisions = log.of(&call(1));
    let steps: Vec<&Step> = decisions.iter().map(|decision| &decision.step).collect();
    assert_eq!(
        steps,
        [&Step::Sent { to: Arc::from("vm-2") }, &Step::AttemptFailed { kind: ErrorKind::Overloaded }]
    );
    assert_eq!(decisions[1].at_unix_us - decisions[0].at_unix_us, 3_000);
    assert_eq!(log.of(&call(2)), []);
}

#[tokio::test(start_paused = true)]
async fn record_gives_up_the_oldest() {
    let log = DecisionLog::new(Instant::now());
    for sequence in 0..2 * KEPT {
        log.record(&call(sequence), Step::Arrived, Instant::now());
    }
    let kept = (0..2 * KEPT).filter(|sequence| !log.of(&call(*sequence)).is_empty());
    let kept: Vec<u64> = kept.collect();
    assert_eq!(kept, (KEPT..2 * KEPT).collect::<Vec<u64>>());
}

#[tokio::test(start_paused = true)]
async fn remembered_reaches_back_to_the_oldest_decision() {
    let log = DecisionLog::new(Instant::now());
    advance(Duration::from_secs(5)).await;
    assert_eq!(log.remembered(&call(1), Instant::now()), Duration::from_secs(5), "nothing was given up yet");
}

#[test]
fn decision_json_names_step_and_kind() {
    let decision = Decision { at_unix_us: 7, step: Step::Refused { kind: ErrorKind::Draining } };
    let text = serde_json::to_string(&decision).expect("it can be written");
    assert_eq!(text, r#"{"at_unix_us":7,"step":"refused","kind":"draining"}"#);
    assert_eq!(serde_json::from_str::<Decision>(&text).expect("it can be read"), decision);
    let unknown = text.replace("draining", "tired");
    serde_json::from_str::<Decision>(&unknown).expect_err("the list of kinds is closed");
}
