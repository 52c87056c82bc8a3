//! Repeated calls with idempotency keys, both issued by the system and chosen by the caller.

use yuccatray_testutils::call_history::CallOutcome;
use yuccatray_testutils::call_history::find_violations;
use yuccatray_testutils::fleet::TestCall;
use yuccatray_testutils::fleet::TestFleet;
use yuccatray_testutils::fleet::call;
use yuccatray_testutils::fleet::issue_key;

/// Execution time of each payment, long enough for concurrent calls to overlap.
const WORK_MS: u64 = 300;

fn payment(key: &str) -> TestCall {
    TestCall { key: Some(key.to_owned()), work_ms: WORK_MS, ..TestCall::new("payment") }
}

#[tokio::test(flavor = "multi_thread")]
async fn issued_key_concurrent_calls_execute_once() {
    let fleet = TestFleet::start(2).await;
    let request = payment(&issue_key(fleet.ingress(0)).await);
    let (first, second, third) = tokio::join!(
        call(fleet.ingress(0), &request, &fleet.clock),
        call(fleet.ingress(1), &request, &fleet.clock),
        call(fleet.ingress(2), &request, &fleet.clock),
    );
    assert!(matches!(first.outcome, CallOutcome::Answered(_)), "{first}");
    assert_eq!(first.outcome, second.outcome);
    assert_eq!(first.outcome, third.outcome);
    assert_eq!(find_violations(&[first, second, third], &fleet.log.executions()), Vec::new());
    assert_eq!(fleet.log.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn issued_key_retry_after_lost_answer_executes_once() {
    let fleet = TestFleet::start(2).await;
    for ingress in 0..3 {
        let body = format!("payment {ingress}");
        let request = TestCall { body: body.into(), ..payment(&issue_key(fleet.ingress(ingress)).await) };
        let abandoned = {
            let (addr, request, clock) = (fleet.ingress(ingress), request.clone(), fleet.clock.clone());
            tokio::spawn(async move { call(addr, &request, &clock).await })
        };
        while fleet.log.len() <= ingress {
            tokio::task::yield_now().await;
        }
        abandoned.abort();
        let retry = call(fleet.ingress(ingress + 1), &request, &fleet.clock).await;
        assert!(matches!(retry.outcome, CallOutcome::Answered(_)), "{retry}");
    }
    assert_eq!(fleet.log.len(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn issued_key_reused_for_another_request_rejected() {
    let fleet = TestFleet::start(1).await;
    let request = payment(&issue_key(fleet.ingress(0)).await);
    call(fleet.ingress(0), &request, &fleet.clock).await;
    let other_request = TestCall { body: "another payment".into(), ..request };
    let result = call(fleet.ingress(1), &other_request, &fleet.clock).await;
    assert_eq!(result.outcome, CallOutcome::Unknown("duplicate_call".to_owned()));
    assert_eq!(fleet.log.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn issued_key_of_stopped_gate_has_unknown_outcome() {
    let mut fleet = TestFleet::start(1).await;
    let request = payment(&issue_key(fleet.ingress(0)).await);
    let first = call(fleet.ingress(0), &request, &fleet.clock).await;
    assert!(matches!(first.outcome, CallOutcome::Answered(_)), "{first}");
    fleet.add(true).await;
    fleet.wait_ready().await;
    fleet.members.remove(1).stop().await;
    let retry = call(fleet.ingress(0), &TestCall { timeout_ms: 2_000, ..request }, &fleet.clock).await;
    assert!(matches!(retry.outcome, CallOutcome::Unknown(_)), "{retry}");
    assert_eq!(fleet.log.len(), 1, "no other gate executes the call");
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_own_key_does_not_deduplicate() {
    let fleet = TestFleet::start(1).await;
    let request = payment("order-4711");
    call(fleet.ingress(0), &request, &fleet.clock).await;
    call(fleet.ingress(1), &request, &fleet.clock).await;
    assert_eq!(fleet.log.len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn issued_key_malformed_rejected() {
    let fleet = TestFleet::start(1).await;
    for key in ["yuccatray-1.", "yuccatray-1.vm-1", "yuccatray-1.vm-1.zz.vm-0.1.1", "yuccatray-1.vm-1.1.vm-0"]
    {
        let result = call(fleet.ingress(0), &payment(key), &fleet.clock).await;
        assert_eq!(result.outcome, CallOutcome::NotExecuted("malformed_request".to_owned()), "{key}");
    }
    assert!(fleet.log.is_empty());
}
