//! Every node is replaced under load; nothing is lost, doubled or refused.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use yuccatray_testutils::fleet::TestCall;
use yuccatray_testutils::fleet::TestFleet;
use yuccatray_testutils::fleet::call;
use yuccatray_testutils::history::CallSeen;
use yuccatray_testutils::history::Outcome;
use yuccatray_testutils::history::violations;
use yuccatray_testutils::logging_upstream::Ticker;

const UPSTREAMS: usize = 3;
const CALLERS: usize = 24;
const MIN_CALLS: usize = 200;
const CANNOT_CONNECT: &str = "cannot connect";

/// Nodes that callers know, the one that is about to stop included.
type KnownNodes = Arc<Mutex<Vec<SocketAddr>>>;

#[derive(Clone)]
struct Caller {
    number: usize,
    nodes: KnownNodes,
    ticker: Ticker,
    stop: Arc<AtomicBool>,
}

impl Caller {
    async fn run(self) -> Vec<CallSeen> {
        let mut seen = Vec::new();
        while !self.stop.load(Ordering::SeqCst) {
            let index = seen.len();
            let plan = TestCall {
                idempotent: index.is_multiple_of(4),
                work_ms: 5 + 20 * (index as u64 % 5),
                ..TestCall::new(format!("roll {}.{index}; ", self.number))
            };
            seen.push(self.call_any(&plan, index).await);
        }
        seen
    }

    /// A node that does not listen any more is passed over, as callers do.
    async fn call_any(&self, plan: &TestCall, first: usize) -> CallSeen {
        for offset in 0.. {
            let addr = {
                let nodes = self.nodes.lock();
                nodes[(first + offset) % nodes.len()]
            };
            let seen = call(addr, plan, &self.ticker).await;
            let gone = matches!(&seen.outcome, Outcome::NotExecuted(why) if why.starts_with(CANNOT_CONNECT));
            if !gone {
                return seen;
            }
        }
        unreachable!("there is always a node that listens")
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_replacement_of_every_node() {
    let mut fleet = TestFleet::start(UPSTREAMS).await;
    let addrs = |fleet: &TestFleet| fleet.members.iter().map(|member| member.node.addrs().ingress).collect();
    let nodes: KnownNodes = Arc::new(Mutex::new(addrs(&fleet)));
    let stop = Arc::new(AtomicBool::new(false));
    let callers = (0..CALLERS).map(|number| Caller {
        number,
        nodes: Arc::clone(&nodes),
        ticker: fleet.ticker.clone(),
        stop: Arc::clone(&stop),
    });
    let callers: Vec<_> = callers.map(|caller| tokio::spawn(caller.run())).collect();
    for _ in 0..=UPSTREAMS {
        let with_upstream = fleet.members[0].upstream.is_some();
        fleet.add(with_upstream).await;
        fleet.wait_ready().await;
        *nodes.lock() = addrs(&fleet);
        let leaving = fleet.members.remove(0);
        let shutdown = leaving.stop().await;
        assert!(shutdown.callers_finished && shutdown.peers_finished, "{shutdown:?}");
        *nodes.lock() = addrs(&fleet);
    }
    stop.store(true, Ordering::SeqCst);
    let mut seen = Vec::new();
    for caller in callers {
        seen.extend(caller.await.expect("a caller does not panic"));
    }
    fleet.wait_idle().await;
    let found: Vec<String> = violations(&seen, &fleet.log.runs()).iter().map(ToString::to_string).collect();
    assert_eq!(found, Vec::<String>::new(), "promises broken");
    let unanswered = seen.iter().filter(|call| !matches!(call.outcome, Outcome::Answered(_)));
    let unanswered: Vec<String> = unanswered.map(ToString::to_string).collect();
    println!("{} calls while {} nodes were replaced", seen.len(), UPSTREAMS + 1);
    assert_eq!(unanswered, Vec::<String>::new(), "calls that could have run");
    assert!(seen.len() >= MIN_CALLS, "the load was real");
}
