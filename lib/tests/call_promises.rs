//! Tests each guarantee for single calls on a small fleet over real sockets.

use std::time::Duration;

use yuccatray_testutils::call_history::CallOutcome;
use yuccatray_testutils::call_history::find_violations;
use yuccatray_testutils::fault_relay::Fault;
use yuccatray_testutils::fault_relay::FaultPoint;
use yuccatray_testutils::fault_relay::FaultTrigger;
use yuccatray_testutils::fleet::TestCall;
use yuccatray_testutils::fleet::TestFleet;
use yuccatray_testutils::fleet::TestMember;
use yuccatray_testutils::fleet::call;
use yuccatray_testutils::logging_upstream::LoggingUpstream;

const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Execution time of calls that must not finish during a test.
const LONG_WORK_MS: u64 = 60_000;
/// Time in which an upstream drops a request whose connection it has closed; far below the long work.
const DROP_TIMEOUT: Duration = Duration::from_secs(5);

fn upstream(member: &TestMember) -> &LoggingUpstream {
    member.upstream.as_ref().expect("the member has an upstream")
}

async fn wait_working(member: &TestMember, count: u64) {
    while upstream(member).executing() != count {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn trigger(pattern: &str, point: FaultPoint, fault: Fault) -> FaultTrigger {
    FaultTrigger { pattern: pattern.as_bytes().to_vec(), point, fault, triggered: std::sync::Arc::default() }
}

/// Sends a long call to the given ingress and disconnects the caller while the upstream executes it.
async fn disconnect_while_working(fleet: &TestFleet, ingress: usize, request: TestCall) {
    let request = TestCall { work_ms: LONG_WORK_MS, timeout_ms: LONG_WORK_MS, ..request };
    let addr = fleet.ingress(ingress);
    let clock = fleet.clock.clone();
    let caller = tokio::spawn(async move { call(addr, &request, &clock).await });
    wait_working(&fleet.members[1], 1).await;
    caller.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect_cancels_call() {
    let fleet = TestFleet::start(1).await;
    for ingress in [0, 1] {
        for idempotent in [false, true] {
            let request =
                TestCall { idempotent, ..TestCall::new(format!("left at {ingress}; {idempotent}")) };
            disconnect_while_working(&fleet, ingress, request).await;
            wait_working(&fleet.members[1], 0).await;
            fleet.wait_idle().await;
        }
    }
    assert_eq!(fleet.log.len(), 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn deadline_slot_busy_until_upstream_lets_go() {
    let fleet = TestFleet::start(1).await;
    let member = &fleet.members[1];
    // The relay does not forward the close of the connection, so the upstream continues the execution.
    member.upstream_relay.add_trigger(trigger("stuck", FaultPoint::RequestAfter, Fault::StallBoth));
    let request = TestCall { work_ms: LONG_WORK_MS, timeout_ms: 300, ..TestCall::new("stuck") };
    let result = call(fleet.ingress(0), &request, &fleet.clock).await;
    assert_eq!(result.outcome, CallOutcome::Unknown("deadline_while_running".to_owned()));
    assert_eq!(upstream(member).executing(), 1);
    assert_eq!(member.report().await.running, 1, "the slot is occupied while the upstream executes the call");
    member.upstream_relay.release_stalled();
    fleet.wait_idle().await;
    // The server of the upstream closes its socket before it drops the request.
    let dropped = tokio::time::timeout(DROP_TIMEOUT, async {
        while upstream(member).executing() > 0 {
            tokio::task::yield_now().await;
        }
    });
    assert!(dropped.await.is_ok(), "the upstream executes the call although its slot is free");
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_lost_answer_is_attached_to() {
    let fleet = TestFleet::start(1).await;
    let member = &fleet.members[1];
    member.peer_relay.add_trigger(trigger("payment", FaultPoint::RequestAfter, Fault::StallToClient));
    let request = TestCall { work_ms: 2_000, ..TestCall::new("payment") };
    let result = call(fleet.ingress(0), &request, &fleet.clock).await;
    assert!(matches!(result.outcome, CallOutcome::Answered(_)), "{result}");
    assert_eq!(find_violations(&[result], &fleet.log.executions()), Vec::new());
    let attached = member.counter_value("gate_decisions", "attached").await;
    // If a slow machine detects the stalled connection late, the answer is stored already and is fetched.
    assert_eq!(attached + member.counter_value("gate_decisions", "answer_fetched").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_lost_stored_answer_is_fetched() {
    let fleet = TestFleet::start(1).await;
    let member = &fleet.members[1];
    for (pattern, answer_bytes) in [("small", 100), ("large", 200_000)] {
        member.peer_relay.add_trigger(trigger(pattern, FaultPoint::AnswerMiddle, Fault::StallToClient));
        let request = TestCall { answer_bytes, ..TestCall::new(pattern) };
        let result = call(fleet.ingress(0), &request, &fleet.clock).await;
        assert!(matches!(result.outcome, CallOutcome::Answered(_)), "{result}");
    }
    assert_eq!(fleet.log.len(), 2);
    assert_eq!(member.counter_value("gate_decisions", "answer_fetched").await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_lost_undelivered_request_is_fenced() {
    let fleet = TestFleet::start(1).await;
    let member = &fleet.members[1];
    member.peer_relay.add_trigger(trigger("payment", FaultPoint::RequestBefore, Fault::StallToTarget));
    let result = call(fleet.ingress(0), &TestCall::new("payment"), &fleet.clock).await;
    assert_eq!(result.outcome, CallOutcome::NotExecuted("no_upstream".to_owned()));
    member.peer_relay.release_stalled();
    let later = call(fleet.ingress(0), &TestCall::new("later"), &fleet.clock).await;
    assert_eq!(find_violations(&[result, later], &fleet.log.executions()), Vec::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_cannot_resolve_call_of_another() {
    let fleet = TestFleet::start(1).await;
    let first = call(fleet.ingress(0), &TestCall::new("first"), &fleet.clock).await;
    assert!(matches!(first.outcome, CallOutcome::Answered(_)), "{first}");
    let resolve = http::Request::post("/")
        .header(yuccatray::protocol::headers::SERVICE, yuccatray_testutils::fleet::SERVICE)
        .header(yuccatray::protocol::headers::RESOLVE, "attach")
        .body(bytes::Bytes::from_static(b"second"))
        .expect("the request is valid");
    let answer = yuccatray_testutils::http_client::send_request(fleet.ingress(0), resolve).await;
    assert_eq!(answer.body().as_ref(), b"second");
}
