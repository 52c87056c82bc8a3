//! Faults at every step of a call, from a table, judged by the history that they leave.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use yuccatray_testutils::fault_relay::Fault;
use yuccatray_testutils::fault_relay::FaultRelay;
use yuccatray_testutils::fault_relay::Point;
use yuccatray_testutils::fault_relay::Trap;
use yuccatray_testutils::fleet::TestCall;
use yuccatray_testutils::fleet::TestFleet;
use yuccatray_testutils::fleet::call;
use yuccatray_testutils::history::CallSeen;
use yuccatray_testutils::history::violations;

const CALLERS: usize = 6;
const LATE_DELIVERY: Duration = Duration::from_millis(200);

/// One row of the table.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Row {
    /// Which connections break.
    link: Link,
    /// Where.
    point: Point,
    /// How.
    fault: Fault,
    /// Fixes which calls are hit and what they are.
    seed: u64,
    /// Calls of each caller.
    calls: usize,
    /// Time that each call has, in milliseconds.
    timeout_ms: u64,
    /// Whether a call that may run only once has to be answered or proved not executed.
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
        let with_upstream = fleet.members.iter().filter(|member| member.upstream.is_some());
        let relays = with_upstream.map(|member| match self.link {
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

async fn run_caller(fleet: &TestFleet, row: &Row, caller: usize) -> Vec<CallSeen> {
    let mut rng = Pcg64Mcg::seed_from_u64(row.seed.wrapping_mul(1_000).wrapping_add(caller as u64));
    let relays = row.relays(fleet);
    let mut seen = Vec::new();
    for index in 0..row.calls {
        let plan = row.call(caller, index, &mut rng);
        if rng.random_ratio(1, 4) {
            let trap =
                Trap { mark: plan.body.to_vec(), point: row.point, fault: row.fault, sprung: Arc::default() };
            for relay in &relays {
                relay.set(trap.clone());
            }
        }
        // The first node has no upstream, so that each of its calls crosses a peer connection.
        seen.push(call(fleet.ingress(0), &plan, &fleet.ticker).await);
    }
    seen
}

async fn run_row(row: Row) {
    let fleet = TestFleet::start(2).await;
    let callers = (0..CALLERS).map(|caller| run_caller(&fleet, &row, caller));
    let seen: Vec<CallSeen> = futures_util::future::join_all(callers).await.into_iter().flatten().collect();
    let struck: usize = row.relays(&fleet).iter().map(|relay| relay.struck()).sum();
    for relay in row.relays(&fleet) {
        relay.heal();
    }
    tokio::time::sleep(LATE_DELIVERY).await;
    fleet.wait_idle().await;
    let found = violations(&seen, &fleet.log.runs());
    let found: Vec<String> = found.iter().map(ToString::to_string).collect();
    assert_eq!(found, Vec::<String>::new(), "promises broken");
    assert!(struck > 0, "no fault struck");
    let lost: Vec<String> = seen
        .iter()
        .filter(|call| !call.idempotent && !call.outcome.is_known())
        .map(ToString::to_string)
        .collect();
    println!("{struck} faults struck {} calls; the outcome of {} was lost", seen.len(), lost.len());
    if row.outcome_known {
        assert_eq!(lost, Vec::<String>::new(), "outcomes that could have been known");
    }
}

fn promises_hold(path: &Path) -> datatest_stable::Result<()> {
    let row: Row = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(run_row(row));
    Ok(())
}

datatest_stable::harness! {
    { test = promises_hold, root = "tests/faults", pattern = r"\.json$" },
}
