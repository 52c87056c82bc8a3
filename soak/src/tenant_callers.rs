//! Callers that send keys over long-lived connections, and record what became of their requests.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Method;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;
use yuccatray_platform_testutils::client::request_with_key;
use yuccatray_platform_testutils::client_connection::ClientConnection;
use yuccatray_platform_testutils::client_connection::ExchangeEnd;
use yuccatray_platform_testutils::client_connection::empty_body;

use crate::soak_node::NodeStatus;
use crate::tenant_record::KeyedCall;

/// Time after which a caller gives a request up.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Upper bound of the pause between two requests of a caller.
const MAX_PAUSE_MS: u64 = 20;
/// One in this many requests is not safe to repeat.
const UNSAFE_ONE_IN: u32 = 3;

/// A key that callers send.
#[derive(Clone, Debug)]
pub struct SentKey {
    /// Text of the key.
    pub text: Arc<str>,
    /// Share of the requests that have it, relative to the other keys.
    pub weight: u32,
}

/// A caller that sends one request after the other to random nodes with random keys.
#[derive(Debug)]
pub struct TenantCaller {
    /// Number of the caller, which makes the ids of its requests unique.
    pub number: u64,
    /// Seed of the random choices, combined with the number of the caller.
    pub seed: u64,
    /// Nodes to call.
    pub nodes: Vec<Arc<NodeStatus>>,
    /// Keys to send.
    pub keys: Vec<SentKey>,
    /// Start of the run.
    pub started: Instant,
    /// Set when the caller must stop.
    pub stop: Arc<AtomicBool>,
}

impl TenantCaller {
    /// Sends requests until `stop` is set, and returns all of them.
    pub async fn run(self) -> Vec<KeyedCall> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ self.number);
        let mut connections: Vec<Option<ClientConnection>> = self.nodes.iter().map(|_| None).collect();
        let mut calls = Vec::new();
        while !self.stop.load(Ordering::SeqCst) {
            let node = rng.random_range(0..self.nodes.len());
            let key = self.random_key(&mut rng);
            let is_unsafe = rng.random_range(0..UNSAFE_ONE_IN) == 0;
            let id = format!("soak-{}-{}", self.number, calls.len());
            let sent_at = self.started.elapsed();
            let sent = self.send(&id, node, key, is_unsafe, &mut connections[node]);
            let status = tokio::time::timeout(CALL_TIMEOUT, sent).await.ok().flatten();
            if status.is_none() {
                connections[node] = None;
            }
            calls.push(KeyedCall { id, node, key, sent_at, status });
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
        }
        calls
    }

    fn random_key(&self, rng: &mut Pcg64Mcg) -> usize {
        let mut drawn = rng.random_range(0..self.keys.iter().map(|key| key.weight).sum());
        let is_drawn = |key: &SentKey| {
            let is_drawn = drawn < key.weight;
            drawn = drawn.saturating_sub(key.weight);
            is_drawn
        };
        self.keys.iter().position(is_drawn).unwrap_or_default()
    }

    /// Sends a request and returns the status of its answer, or `None` if there is no whole answer.
    async fn send(
        &self,
        id: &str,
        node: usize,
        key: usize,
        is_unsafe: bool,
        connection: &mut Option<ClientConnection>,
    ) -> Option<u16> {
        if connection.as_ref().is_none_or(ClientConnection::is_closed) {
            *connection = ClientConnection::open(self.nodes[node].ingress()).await.ok();
        }
        let (method, path) = if is_unsafe { (Method::POST, "/pay/1") } else { (Method::GET, "/shop/1") };
        let request = request_with_key(method, path, id, &self.keys[key].text);
        match connection.as_mut()?.send(request, empty_body()).await {
            ExchangeEnd::Answered(answer) => Some(answer.status.as_u16()),
            ExchangeEnd::NotSent | ExchangeEnd::Cut { .. } => None,
        }
    }
}
