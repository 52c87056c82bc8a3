//! Callers that make random calls over long-lived connections and record the outcomes.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;
use yuccatray_testutils::call_history::CallOutcome;
use yuccatray_testutils::call_history::CallRecord;
use yuccatray_testutils::fleet::ReusedConnection;
use yuccatray_testutils::fleet::TestCall;
use yuccatray_testutils::fleet::call_on_connection;
use yuccatray_testutils::logging_upstream::LogicalClock;

use crate::soak_node::NodeStatus;
use crate::soak_node::Terminations;

/// Timeout of each call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Upper bound of the work of a call at the upstream.
const MAX_WORK_MS: u64 = 60;
const MAX_ANSWER_BYTES: usize = 20_000;
/// Upper bound of the pause between two calls of a caller.
const MAX_PAUSE_MS: u64 = 30;
/// One in this many calls is idempotent, so that it may be executed more than once.
const IDEMPOTENT_ONE_IN: u32 = 3;
/// One in this many calls opens a new connection first.
const NEW_CONNECTION_ONE_IN: u32 = 5;

/// A completed call, with the terminations of its ingress node in the meantime.
#[derive(Clone, Debug)]
pub struct ObservedCall {
    /// The call and its outcome.
    pub call: CallRecord,
    /// Index of the ingress node.
    pub node: usize,
    /// Terminations of the ingress node when the connection was set up, and after the call.
    pub terminations: (Terminations, Terminations),
    /// Time that the caller waited for the outcome.
    pub waited: Duration,
}

/// A caller that makes one call after the other to random nodes.
#[derive(Debug)]
pub struct Caller {
    /// Number of the caller, which makes the bodies of its calls unique.
    pub number: u64,
    /// Seed of the random choices, combined with the number of the caller.
    pub seed: u64,
    /// Nodes to call.
    pub nodes: Vec<Arc<NodeStatus>>,
    /// Logical clock that orders calls and executions.
    pub ticker: LogicalClock,
    /// Set when the caller must stop.
    pub stop: Arc<AtomicBool>,
}

impl Caller {
    /// Makes calls until `stop` is set, and returns all of them.
    pub async fn run(self) -> Vec<ObservedCall> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ self.number);
        let mut connections: Vec<NodeConnection> =
            self.nodes.iter().map(|node| NodeConnection::new(node)).collect();
        let mut calls = Vec::new();
        while !self.stop.load(Ordering::SeqCst) {
            let node = rng.random_range(0..self.nodes.len());
            let idempotent = rng.random_range(0..IDEMPOTENT_ONE_IN) == 0;
            let call = TestCall {
                idempotent,
                work_ms: rng.random_range(0..MAX_WORK_MS),
                answer_bytes: rng.random_range(0..MAX_ANSWER_BYTES),
                timeout_ms: u64::try_from(CALL_TIMEOUT.as_millis()).unwrap_or(u64::MAX),
                ..TestCall::new(format!("soak {}.{}; ", self.number, calls.len()))
            };
            if rng.random_range(0..NEW_CONNECTION_ONE_IN) == 0 {
                connections[node] = NodeConnection::new(&self.nodes[node]);
            }
            calls.push(self.call(node, &call, &mut connections[node]).await);
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
        }
        calls
    }

    async fn call(&self, node: usize, call: &TestCall, connection: &mut NodeConnection) -> ObservedCall {
        let status = &self.nodes[node];
        let before = connection.terminations_at_setup;
        let started = Instant::now();
        let call = call_on_connection(&mut connection.connection, status.ingress(), call, &self.ticker).await;
        if !matches!(call.outcome, CallOutcome::Answered(_)) {
            *connection = NodeConnection::new(status);
        }
        ObservedCall { call, node, terminations: (before, status.terminations()), waited: started.elapsed() }
    }
}

/// Connection to a node, opened on first use, with the node's terminations when it was set up.
#[derive(Debug)]
struct NodeConnection {
    connection: ReusedConnection,
    terminations_at_setup: Terminations,
}

impl NodeConnection {
    fn new(status: &NodeStatus) -> Self {
        Self { connection: None, terminations_at_setup: status.terminations() }
    }
}
