//! The decision log behind traces: order of the steps of a call, eviction and the JSON form.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::advance;
use yuccatray::protocol::call_id::CallId;
use yuccatray::protocol::error_kind::ErrorKind;
use yuccatray::protocol::trace::Decision;
use yuccatray::protocol::trace::TraceStep;
use yuccatray::state::decision_log::DecisionLog;

/// Number of latest decisions that the log retains.
const CAPACITY: u64 = 16_384;

fn call(sequence: u64) -> CallId {
    CallId { node: Arc::from("vm-1"), incarnation: 1, sequence }
}

#[tokio::test(start_paused = true)]
async fn record_keeps_order_of_steps_of_one_call() {
    let log = DecisionLog::new(Instant::now());
    log.record(&call(1), TraceStep::Sent { to: Arc::from("vm-2") }, Instant::now());
    log.record(&call(9), TraceStep::Arrived, Instant::now());
    advance(Duration::from_millis(3)).await;
    log.record(&call(1), TraceStep::AttemptFailed { kind: ErrorKind::Overloaded }, Instant::now());
    let decisions = log.decisions(&call(1));
    let steps: Vec<&TraceStep> = decisions.iter().map(|decision| &decision.step).collect();
    assert_eq!(
        steps,
        [
            &TraceStep::Sent { to: Arc::from("vm-2") },
            &TraceStep::AttemptFailed { kind: ErrorKind::Overloaded }
        ]
    );
    assert_eq!(decisions[1].at_unix_us - decisions[0].at_unix_us, 3_000);
    assert_eq!(log.decisions(&call(2)), []);
}

#[tokio::test(start_paused = true)]
async fn record_evicts_oldest_decisions() {
    let log = DecisionLog::new(Instant::now());
    for sequence in 0..2 * CAPACITY {
        log.record(&call(sequence), TraceStep::Arrived, Instant::now());
    }
    let retained = (0..2 * CAPACITY).filter(|sequence| !log.decisions(&call(*sequence)).is_empty());
    let retained: Vec<u64> = retained.collect();
    assert_eq!(retained, (CAPACITY..2 * CAPACITY).collect::<Vec<u64>>());
}

#[tokio::test(start_paused = true)]
async fn remembered_without_eviction_is_age_of_log() {
    let log = DecisionLog::new(Instant::now());
    advance(Duration::from_secs(5)).await;
    assert_eq!(
        log.retention(&call(1), Instant::now()),
        Duration::from_secs(5),
        "no decision was evicted yet"
    );
}

#[test]
fn decision_json_names_step_and_kind() {
    let decision = Decision { at_unix_us: 7, step: TraceStep::Refused { kind: ErrorKind::Draining } };
    let json = serde_json::to_string(&decision).expect("the decision can be serialized");
    assert_eq!(json, r#"{"at_unix_us":7,"step":"refused","kind":"draining"}"#);
    assert_eq!(serde_json::from_str::<Decision>(&json).expect("the JSON form can be parsed"), decision);
    let unknown_kind = json.replace("draining", "tired");
    serde_json::from_str::<Decision>(&unknown_kind).expect_err("an unknown error kind is rejected");
}
