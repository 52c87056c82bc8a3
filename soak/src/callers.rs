//! Callers that keep their connections for as long as the process at the other end lives.

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

use crate::place::Ends;
use crate::place::Reach;

/// Time that each call has.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const LONGEST_WORK_MS: u64 = 60;
const LARGEST_ANSWER_BYTES: usize = 20_000;
const LONGEST_PAUSE_MS: u64 = 30;
/// One call in so many may run more than once.
const IDEMPOTENT_EVERY: u32 = 3;
/// One call in so many is made over a connection of its own.
const FRESH_EVERY: u32 = 5;

/// A call, and what became of the node that took it meanwhile.
#[derive(Clone, Debug)]
pub struct Seen {
    /// What the caller saw.
    pub call: CallRecord,
    /// Position of the node that took it.
    pub node: usize,
    /// Ends of that node's processes when the connection was opened, and after the call.
    pub ends: (Ends, Ends),
    /// How long the caller waited.
    pub took: Duration,
}

/// One caller.
#[derive(Debug)]
pub struct Caller {
    /// Number of the caller, which makes its calls unique.
    pub number: u64,
    /// Seed of all its choices.
    pub seed: u64,
    /// The nodes.
    pub nodes: Vec<Arc<Reach>>,
    /// Orders what is seen.
    pub ticker: LogicalClock,
    /// Set when the caller is to end.
    pub stop: Arc<AtomicBool>,
}

impl Caller {
    /// Calls until told to stop.
    pub async fn run(self) -> Vec<Seen> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ self.number);
        let mut kept: Vec<Kept> = self.nodes.iter().map(|node| Kept::new(node)).collect();
        let mut seen = Vec::new();
        while !self.stop.load(Ordering::SeqCst) {
            let node = rng.random_range(0..self.nodes.len());
            let idempotent = rng.random_range(0..IDEMPOTENT_EVERY) == 0;
            let plan = TestCall {
                idempotent,
                work_ms: rng.random_range(0..LONGEST_WORK_MS),
                answer_bytes: rng.random_range(0..LARGEST_ANSWER_BYTES),
                timeout_ms: u64::try_from(CALL_TIMEOUT.as_millis()).unwrap_or(u64::MAX),
                ..TestCall::new(format!("soak {}.{}; ", self.number, seen.len()))
            };
            if rng.random_range(0..FRESH_EVERY) == 0 {
                kept[node] = Kept::new(&self.nodes[node]);
            }
            seen.push(self.call(node, &plan, &mut kept[node]).await);
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..LONGEST_PAUSE_MS))).await;
        }
        seen
    }

    async fn call(&self, node: usize, plan: &TestCall, kept: &mut Kept) -> Seen {
        let reach = &self.nodes[node];
        let before = kept.opened_at;
        let started = Instant::now();
        let call = call_on_connection(&mut kept.connection, reach.ingress(), plan, &self.ticker).await;
        if !matches!(call.outcome, CallOutcome::Answered(_)) {
            *kept = Kept::new(reach);
        }
        Seen { call, node, ends: (before, reach.ends()), took: started.elapsed() }
    }
}

/// A connection to a node, and the ends of its processes when it was to be opened.
#[derive(Debug)]
struct Kept {
    connection: ReusedConnection,
    opened_at: Ends,
}

impl Kept {
    fn new(reach: &Reach) -> Self {
        Self { connection: None, opened_at: reach.ends() }
    }
}
