//! Injects connection faults at each step of a call, from a table of cases, and checks the recorded history.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use yuccatray_testutils::call_history::CallRecord;
use yuccatray_testutils::call_history::find_violations;
use yuccatray_testutils::fault_relay::Fault;
use yuccatray_testutils::fault_relay::FaultPoint;
use yuccatray_testutils::fault_relay::FaultRelay;
use yuccatray_testutils::fault_relay::FaultTrigger;
use yuccatray_testutils::fleet::TestCall;
use yuccatray_testutils::fleet::TestFleet;
use yuccatray_testutils::fleet::call;

/// Number of concurrent callers.
const CALLERS: usize = 6;
/// Time for delayed bytes to reach their target before the history is checked.
const LATE_DELIVERY_WAIT: Duration = Duration::from_millis(200);

/// One test case, read from a JSON file in `tests/faults`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Row {
    /// Connections that the fault affects.
    link: Link,
    /// Step of the call at which the fault occurs.
    point: FaultPoint,
    /// Kind of fault.
    fault: Fault,
    /// Seed of the generated calls and of the choice of affected calls.
    seed: u64,
    /// Number of calls of each caller.
    calls: usize,
    /// Timeout of each call, in milliseconds.
    timeout_ms: u64,
    /// Whether each non-idempotent call must be answered or proved not executed.
    outcome_known: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Link {
    Peer,
    Upstream,
}

impl Row {
    fn relays<'a>(&self, fleet: &'a TestFleet) -> Vec<&'a FaultRelay> {
        let members_with_upstream = fleet.members.iter().filter(|member| member.upstream.is_some());
        let relays = members_with_upstream.map(|member| match self.link {
            Link::Peer => &member.peer_relay,
            Link::Upstream => &member.upstream_relay,
        });
        relays.collect()
    }

    fn call<R>(&self, caller: usize, index: usize, rng: &mut R) -> TestCall
    where
        R: Rng,
    {
        TestCall {
            idempotent: rng.random_ratio(1, 4),
            work_ms: rng.random_range(0..4),
            answer_bytes: if rng.random_ratio(1, 4) { 200_000 } else { 100 },
            timeout_ms: self.timeout_ms,
            ..TestCall::new(format!("call {caller}.{index}; "))
        }
    }
}

async fn run_caller(fleet: &TestFleet, row: &Row, caller: usize) -> Vec<CallRecord> {
    let mut rng = Pcg64Mcg::seed_from_u64(row.seed.wrapping_mul(1_000).wrapping_add(caller as u64));
    let relays = row.relays(fleet);
    let mut results = Vec::new();
    for index in 0..row.calls {
        let request = row.call(caller, index, &mut rng);
        if rng.random_ratio(1, 4) {
            let trigger = FaultTrigger {
                pattern: request.body.to_vec(),
                point: row.point,
                fault: row.fault,
                triggered: Arc::default(),
            };
            for relay in &relays {
                relay.add_trigger(trigger.clone());
            }
        }
        // The first node has no upstream, so each of its calls uses a peer connection.
        results.push(call(fleet.ingress(0), &request, &fleet.clock).await);
    }
    results
}

async fn run_row(row: Row) {
    let fleet = TestFleet::start(2).await;
    let callers = (0..CALLERS).map(|caller| run_caller(&fleet, &row, caller));
    let results: Vec<CallRecord> =
        futures_util::future::join_all(callers).await.into_iter().flatten().collect();
    let faults_injected: usize = row.relays(&fleet).iter().map(|relay| relay.fault_count()).sum();
    for relay in row.relays(&fleet) {
        relay.release_stalled();
    }
    tokio::time::sleep(LATE_DELIVERY_WAIT).await;
    fleet.wait_idle().await;
    let violations_found = find_violations(&results, &fleet.log.executions());
    let violations_found: Vec<String> = violations_found.iter().map(ToString::to_string).collect();
    assert_eq!(violations_found, Vec::<String>::new(), "violations of the call guarantees");
    assert!(faults_injected > 0, "at least one fault must be injected");
    let unknown_outcomes: Vec<String> = results
        .iter()
        .filter(|call| !call.idempotent && !call.outcome.is_known())
        .map(ToString::to_string)
        .collect();
    println!(
        "{faults_injected} faults injected into {} calls; {} outcomes are unknown",
        results.len(),
        unknown_outcomes.len()
    );
    if row.outcome_known {
        assert_eq!(unknown_outcomes, Vec::<String>::new(), "outcomes that must be known but are not");
    }
}

fn call_guarantees_hold(path: &Path) -> datatest_stable::Result<()> {
    let row: Row = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(run_row(row));
    Ok(())
}

datatest_stable::harness! {
    { test = call_guarantees_hold, root = "tests/faults", pattern = r"\.json$" },
}
