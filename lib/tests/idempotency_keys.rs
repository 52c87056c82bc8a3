//! Calls that their callers send again, with keys that the system issued and with others.

use yuccatray_testutils::fleet::TestCall;
use yuccatray_testutils::fleet::TestFleet;
use yuccatray_testutils::fleet::call;
use yuccatray_testutils::fleet::issue_key;
use yuccatray_testutils::history::Outcome;
use yuccatray_testutils::history::violations;

const WORK_MS: u64 = 300;

fn payment(key: &str) -> TestCall {
    TestCall { key: Some(key.to_owned()), work_ms: WORK_MS, ..TestCall::new("payment") }
}

#[tokio::test(flavor = "multi_thread")]
async fn issued_key_sent_twice_at_once() {
    let fleet = TestFleet::start(2).await;
    let plan = payment(&issue_key(fleet.ingress(0)).await);
    let (first, second, third) = tokio::join!(
        call(fleet.ingress(0), &plan, &fleet.ticker),
        call(fleet.ingress(1), &plan, &fleet.ticker),
        call(fleet.ingress(2), &plan, &fleet.ticker),
    );
    assert!(matches!(first.outcome, Outcome::Answered(_)), "{first}");
    assert_eq!(first.outcome, second.outcome);
    assert_eq!(first.outcome, third.outcome);
    assert_eq!(violations(&[first, second, third], &fleet.log.runs()), Vec::new());
    assert_eq!(fleet.log.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn issued_key_sent_again_after_lost_answer() {
    let fleet = TestFleet::start(2).await;
    for ingress in 0..3 {
        let body = format!("payment {ingress}");
        let plan = TestCall { body: body.into(), ..payment(&issue_key(fleet.ingress(ingress)).await) };
        let lost = {
            let (addr, plan, ticker) = (fleet.ingress(ingress), plan.clone(), fleet.ticker.clone());
            tokio::spawn(async move { call(addr, &plan, &ticker).await })
        };
        while fleet.log.len() <= ingress {
            tokio::task::yield_now().await;
        }
        lost.abort();
        let again = call(fleet.ingress(ingress + 1), &plan, &fleet.ticker).await;
        assert!(matches!(again.outcome, Outcome::Answered(_)), "{again}");
    }
    assert_eq!(fleet.log.len(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn issued_key_of_another_request_refused() {
    let fleet = TestFleet::start(1).await;
    let plan = payment(&issue_key(fleet.ingress(0)).await);
    call(fleet.ingress(0), &plan, &fleet.ticker).await;
    let other = TestCall { body: "another payment".into(), ..plan };
    let seen = call(fleet.ingress(1), &other, &fleet.ticker).await;
    assert_eq!(seen.outcome, Outcome::Unknown("duplicate_call".to_owned()));
    assert_eq!(fleet.log.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn issued_key_of_a_gate_that_is_gone() {
    let mut fleet = TestFleet::start(1).await;
    let plan = payment(&issue_key(fleet.ingress(0)).await);
    let first = call(fleet.ingress(0), &plan, &fleet.ticker).await;
    assert!(matches!(first.outcome, Outcome::Answered(_)), "{first}");
    fleet.add(true).await;
    fleet.wait_ready().await;
    fleet.members.remove(1).stop().await;
    let again = call(fleet.ingress(0), &TestCall { timeout_ms: 2_000, ..plan }, &fleet.ticker).await;
    assert!(matches!(again.outcome, Outcome::Unknown(_)), "{again}");
    assert_eq!(fleet.log.len(), 1, "no other gate runs it");
}

#[tokio::test(flavor = "multi_thread")]
async fn key_of_the_callers_own_is_the_upstreams() {
    let fleet = TestFleet::start(1).await;
    let plan = payment("order-4711");
    call(fleet.ingress(0), &plan, &fleet.ticker).await;
    call(fleet.ingress(1), &plan, &fleet.ticker).await;
    assert_eq!(fleet.log.len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn issued_key_garbled_refused() {
    let fleet = TestFleet::start(1).await;
    for key in ["yuccatray-1.", "yuccatray-1.vm-1", "yuccatray-1.vm-1.zz.vm-0.1.1", "yuccatray-1.vm-1.1.vm-0"]
    {
        let seen = call(fleet.ingress(0), &payment(key), &fleet.ticker).await;
        assert_eq!(seen.outcome, Outcome::NotExecuted("malformed_request".to_owned()), "{key}");
    }
    assert!(fleet.log.is_empty());
}
