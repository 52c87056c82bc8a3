//! Replaces every node under load and checks that no call is lost, executed twice or rejected.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use yuccatray_testutils::call_history::CallOutcome;
use yuccatray_testutils::call_history::CallRecord;
use yuccatray_testutils::call_history::find_violations;
use yuccatray_testutils::fleet::TestCall;
use yuccatray_testutils::fleet::TestFleet;
use yuccatray_testutils::fleet::call;
use yuccatray_testutils::logging_upstream::LogicalClock;

const UPSTREAM_COUNT: usize = 3;
const CALLER_COUNT: usize = 24;
/// Minimum number of calls for the test to count as run under load.
const MIN_CALLS: usize = 200;
/// Prefix of the reason of a call whose node did not accept the connection.
const CANNOT_CONNECT: &str = "cannot connect";

/// Ingress addresses that callers use, including that of a node about to stop.
type KnownNodes = Arc<Mutex<Vec<SocketAddr>>>;

#[derive(Clone)]
struct Caller {
    number: usize,
    nodes: KnownNodes,
    clock: LogicalClock,
    stop: Arc<AtomicBool>,
}

impl Caller {
    async fn run(self) -> Vec<CallRecord> {
        let mut results = Vec::new();
        while !self.stop.load(Ordering::SeqCst) {
            let index = results.len();
            let request = TestCall {
                idempotent: index.is_multiple_of(4),
                work_ms: 5 + 20 * (index as u64 % 5),
                ..TestCall::new(format!("roll {}.{index}; ", self.number))
            };
            results.push(self.call_any(&request, index).await);
        }
        results
    }

    /// Calls the first node, from the given position on, that accepts the connection.
    async fn call_any(&self, request: &TestCall, start_index: usize) -> CallRecord {
        for offset in 0.. {
            let addr = {
                let nodes = self.nodes.lock();
                nodes[(start_index + offset) % nodes.len()]
            };
            let result = call(addr, request, &self.clock).await;
            let not_listening = matches!(&result.outcome, CallOutcome::NotExecuted(reason) if reason.starts_with(CANNOT_CONNECT));
            if !not_listening {
                return result;
            }
        }
        unreachable!("at least one node always listens")
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_replacement_of_every_node() {
    let mut fleet = TestFleet::start(UPSTREAM_COUNT).await;
    let addrs = |fleet: &TestFleet| fleet.members.iter().map(|member| member.node.addrs().ingress).collect();
    let nodes: KnownNodes = Arc::new(Mutex::new(addrs(&fleet)));
    let stop = Arc::new(AtomicBool::new(false));
    let callers = (0..CALLER_COUNT).map(|number| Caller {
        number,
        nodes: Arc::clone(&nodes),
        clock: fleet.clock.clone(),
        stop: Arc::clone(&stop),
    });
    let callers: Vec<_> = callers.map(|caller| tokio::spawn(caller.run())).collect();
    for _ in 0..=UPSTREAM_COUNT {
        let with_upstream = fleet.members[0].upstream.is_some();
        fleet.add(with_upstream).await;
        fleet.wait_ready().await;
        *nodes.lock() = addrs(&fleet);
        let replaced = fleet.members.remove(0);
        let shutdown = replaced.stop().await;
        assert!(shutdown.callers_finished && shutdown.peers_finished, "{shutdown:?}");
        *nodes.lock() = addrs(&fleet);
    }
    stop.store(true, Ordering::SeqCst);
    let mut results = Vec::new();
    for caller in callers {
        results.extend(caller.await.expect("a caller does not panic"));
    }
    fleet.wait_idle().await;
    let violations_found: Vec<String> =
        find_violations(&results, &fleet.log.executions()).iter().map(ToString::to_string).collect();
    assert_eq!(violations_found, Vec::<String>::new(), "violations of the call guarantees");
    let unanswered = results.iter().filter(|call| !matches!(call.outcome, CallOutcome::Answered(_)));
    let unanswered: Vec<String> = unanswered.map(ToString::to_string).collect();
    println!("{} calls while {} nodes were replaced", results.len(), UPSTREAM_COUNT + 1);
    assert_eq!(unanswered, Vec::<String>::new(), "calls without an answer although nodes were available");
    assert!(results.len() >= MIN_CALLS, "at least {MIN_CALLS} calls were sent");
}
