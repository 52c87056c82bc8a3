//! Joint decisions of an ingress and the gates, over real sockets: hedging, rerouting and nested calls.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use yuccatray::protocol::headers;
use yuccatray_load::caller::CallOutcome;
use yuccatray_load::caller::CallPlan;
use yuccatray_load::caller::Caller;
use yuccatray_load::deployment::Deployment;
use yuccatray_load::deployment::ServiceLoad;
use yuccatray_load::embedded_fleet::EmbeddedFleet;
use yuccatray_standin::upstream::UpstreamBehaviour;
use yuccatray_testutils::http_client::send_request;

/// Slots of each upstream.
const SLOTS: u32 = 2;
/// Number of warm-up calls, from which the nodes learn typical service times, and of calls of a burst.
const WARM_UP_CALLS: u32 = 400;
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Polls of a condition until the test fails, 20 s in total.
const MAX_POLLS: u32 = 4_000;

fn deployment(upstreams: u32) -> Deployment {
    Deployment {
        region: Arc::from("test"),
        zones: vec![Arc::from("test-a")],
        objects: Arc::from("hedged.jsonc"),
        services: vec![ServiceLoad {
            name: Arc::from("history"),
            upstreams,
            slots: SLOTS,
            mean_service_us: 1_000,
            service_stages: 8,
            streams: Vec::new(),
        }],
        duration_ms: 100,
        seed: 1,
    }
}

async fn fleet(upstreams: u32) -> EmbeddedFleet {
    let objects = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/objects");
    EmbeddedFleet::start(&deployment(upstreams), &objects).await.expect("the fleet starts")
}

fn plan(method: Method) -> CallPlan {
    CallPlan {
        method,
        target: "/farm/1".to_owned(),
        service: "history".to_owned(),
        priority: "urgent".to_owned(),
        body: Bytes::new(),
    }
}

async fn get(caller: &Caller) -> CallOutcome {
    caller.call(&plan(Method::GET)).await.expect("the call is answered")
}

fn counter(fleet: &EmbeddedFleet, index: usize, name: &str) -> u64 {
    let text = fleet.members[index].node.metrics().encode();
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}

async fn wait_until<F>(condition: &str, is_met: F)
where
    F: Fn() -> bool,
{
    for _ in 0..MAX_POLLS {
        if is_met() {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("condition not met: {condition}");
}

#[tokio::test(flavor = "multi_thread")]
async fn hedge_loser_cancelled_slot_freed() {
    let fleet = fleet(2).await;
    let caller = Caller::new(fleet.ingress_addr(0));
    for _ in 0..WARM_UP_CALLS {
        assert!(get(&caller).await.error.is_none());
    }
    let stuck = UpstreamBehaviour { mean_service_us: 600_000_000, ..UpstreamBehaviour::default() };
    let slow = &fleet.members[1].upstream.standin;
    slow.set_behaviour(stuck);
    let hedge_wins_before = counter(&fleet, 0, "yuccatray_hedge_outcomes_total{reason=\"copy_won\"}");
    for _ in 0..WARM_UP_CALLS {
        assert!(
            get(&caller).await.error.is_none(),
            "a hedged request is answered where the first attempt is stuck"
        );
    }
    let hedge_wins = counter(&fleet, 0, "yuccatray_hedge_outcomes_total{reason=\"copy_won\"}");
    assert!(hedge_wins > hedge_wins_before, "at least one hedged request won its race");
    wait_until("the loser's slot at the gate is free", || fleet.members[1].node.gate().load().running == 0)
        .await;
    wait_until("the loser's slot at the upstream is free", || slow.free_slots() == SLOTS as usize).await;
    assert!(fleet.stop().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn hedge_rejected_hedge_retried() {
    let fleet = fleet(2).await;
    let caller = Caller::new(fleet.ingress_addr(0));
    for _ in 0..WARM_UP_CALLS {
        assert!(get(&caller).await.error.is_none());
    }
    let stuck = UpstreamBehaviour { mean_service_us: 600_000_000, ..UpstreamBehaviour::default() };
    fleet.members[1].upstream.standin.set_behaviour(stuck);
    // The gate admits calls again after the upstream's next announcement.
    fleet.members[0].node.gate().drain();
    let answered = tokio::time::timeout(Duration::from_secs(20), get(&caller)).await;
    let outcome = answered.expect("a later hedged request is answered, though the first one was rejected");
    assert!(outcome.error.is_none(), "{outcome:?}");
    assert!(fleet.stop().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn hedge_not_idempotent_runs_once() {
    let fleet = fleet(2).await;
    let caller = Caller::new(fleet.ingress_addr(0));
    for _ in 0..WARM_UP_CALLS {
        let outcome = caller.call(&plan(Method::POST)).await.expect("the call is answered");
        assert!(outcome.error.is_none());
    }
    let executions: usize =
        fleet.members.iter().map(|member| member.upstream.standin.executions().len()).sum();
    assert_eq!(executions, WARM_UP_CALLS as usize);
    assert_eq!(counter(&fleet, 0, "yuccatray_hedges_total"), 0);
    assert!(fleet.stop().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn full_gate_call_rerouted() {
    let fleet = fleet(2).await;
    let caller = Arc::new(Caller::new(fleet.ingress_addr(0)));
    for _ in 0..WARM_UP_CALLS {
        let outcome = caller.call(&plan(Method::POST)).await.expect("the call is answered");
        assert!(outcome.error.is_none());
    }
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..WARM_UP_CALLS {
        let caller = Arc::clone(&caller);
        calls.spawn(async move { caller.call(&plan(Method::POST)).await });
    }
    let mut answered = 0;
    for outcome in calls.join_all().await {
        answered += usize::from(outcome.expect("the call is answered").error.is_none());
    }
    let reroutes = counter(&fleet, 0, "yuccatray_spills_total");
    assert!(reroutes > 0, "a burst fills one gate, and calls are rerouted to the other");
    let executions: usize =
        fleet.members.iter().map(|member| member.upstream.standin.executions().len()).sum();
    assert_eq!(
        executions,
        answered + WARM_UP_CALLS as usize,
        "each answered call was executed once, the others never"
    );
    assert!(fleet.stop().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn nested_call_limited_by_parent() {
    let fleet = fleet(1).await;
    let standin = &fleet.members[0].upstream.standin;
    standin.set_behaviour(UpstreamBehaviour { mean_service_us: 600_000_000, ..UpstreamBehaviour::default() });
    let request = |priority: &str, timeout_ms: u64| {
        Request::builder()
            .header(headers::SERVICE, "history")
            .header(headers::PRIORITY, priority)
            .header(headers::TIMEOUT_MS, timeout_ms)
    };
    let parent = request("bulk", 2_000).body(Bytes::new()).expect("the request is valid");
    let addr = fleet.ingress_addr(0);
    let parent = tokio::spawn(send_request(addr, parent));
    wait_until("the parent runs", || standin.executions().len() == 1).await;
    let call_id = standin.executions()[0].call.clone();
    let child = request("urgent", 60_000).header(headers::CALL, call_id).body(Bytes::new());
    let response = send_request(addr, child.expect("the request is valid")).await;
    assert_eq!(
        response.headers()[headers::ERROR],
        "deadline_while_running",
        "the nested call ends with its parent"
    );
    let parent = parent.await.expect("the parent is answered");
    assert_eq!(parent.headers()[headers::ERROR], "deadline_while_running");
    let text = fleet.members[0].node.metrics().encode();
    assert!(!text.contains("priority=\"0\""), "neither call ran with priority \"urgent\": {text}");
    wait_until("both slots are free again", || standin.free_slots() == SLOTS as usize).await;
    assert!(fleet.stop().await);
}
