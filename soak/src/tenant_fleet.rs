//! A deployment with tenants: a store, node processes in two zones, and an upstream beside each.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use parking_lot::Mutex;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use yuccatray_platform_testutils::client::request_with_key;
use yuccatray_platform_testutils::client::try_send;
use yuccatray_platform_testutils::site::SERVICE;
use yuccatray_platform_testutils::site::instance_id;
use yuccatray_platform_testutils::store::Store;
use yuccatray_platform_testutils::store_link::StoreLink;
use yuccatray_platform_testutils::tenant_entries::DEPLOYMENT_BOUNDS;
use yuccatray_platform_testutils::worker::ReceivedRequest;
use yuccatray_platform_testutils::worker::Worker;
use yuccatray_platform_testutils::worker::WorkerMode;
use yuccatray_platform_testutils::worker_place::WorkerPlace;
use yuccatray_platform_testutils::worker_place::send_heartbeats;
use yuccatray_testutils::daemon_process::loopback_settings;
use yuccatray_testutils::fault_relay::Fault;

use crate::disturbance::Disturbance;
use crate::findings::Finding;
use crate::run_soak::SoakOptions;
use crate::run_soak::log_path;
use crate::soak_node::SoakNode;
use crate::soak_node::SoakNodeConfig;
use crate::tenant_record::Arrival;
use crate::tenant_record::Bounds;
use crate::tenant_record::Outage;

/// Zones of the nodes, in turn.
pub const ZONES: [&str; 2] = ["a", "b"];
/// Bounds of the deployment.
pub const BOUNDS: Bounds =
    Bounds { config_apply: Duration::from_millis(2_500), evacuation: Duration::from_secs(5), cold_per_s: 13 };
/// Time for which an upstream stays cold.
pub const COLD_TIME: Duration = Duration::from_secs(3);
/// Time within which a node must serve requests after its start, and after the faults.
const SERVED_TIMEOUT: Duration = Duration::from_secs(20);
const SERVED_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a probe is given up.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections to the store may take this long; other limits of the platform follow from the bounds.
const STORE_TIMEOUT_MS: u64 = 500;

/// A node, the upstream beside it, and the way of the node to the store.
#[derive(Debug)]
pub struct TenantMember {
    /// Index of the node.
    pub index: usize,
    /// Zone of the node and its upstream.
    pub zone: &'static str,
    /// The node.
    pub node: SoakNode,
    /// The upstream.
    pub worker: Worker,
    store_link: StoreLink,
    heartbeats: JoinHandle<()>,
}

impl Drop for TenantMember {
    fn drop(&mut self) {
        self.heartbeats.abort();
    }
}

/// The deployment, with the outages that were caused in it.
#[derive(Debug)]
pub struct TenantFleet {
    /// Store of the platform.
    pub store: Store,
    /// Nodes and upstreams.
    pub members: Vec<TenantMember>,
    /// Start of the run, from which the times of all records count.
    pub started: Instant,
    outages: Mutex<Vec<Outage>>,
}

impl TenantFleet {
    /// Starts the nodes and their upstreams, which are cold.
    pub async fn start(options: &SoakOptions) -> Self {
        let (store, _addr) = Store::start().await;
        let mut members = Vec::new();
        for index in 0..options.nodes {
            members.push(TenantMember::start(index, &store, options).await);
        }
        Self { store, members, started: Instant::now(), outages: Mutex::default() }
    }

    /// Probes a node until a request with the key succeeds; returns false if none does in time.
    pub async fn wait_until_serving(&self, member: &TenantMember, key: &str) -> bool {
        let deadline = Instant::now() + SERVED_TIMEOUT;
        while Instant::now() < deadline {
            let request = request_with_key(Method::GET, "/shop/1", "probe", key);
            let sent = try_send(member.node.status.ingress(), request, Bytes::new());
            let answer = tokio::time::timeout(PROBE_TIMEOUT, sent).await.ok().flatten();
            if answer.is_some_and(|answer| answer.status.is_success()) {
                return true;
            }
            tokio::time::sleep(SERVED_POLL_INTERVAL).await;
        }
        false
    }

    /// Applies a disturbance and waits for its end.
    pub async fn apply(&self, disturbance: Disturbance, index: usize) -> Option<Finding> {
        let member = &self.members[index];
        match disturbance {
            Disturbance::ColdRestart => member.restart_cold(),
            Disturbance::HistoryLost => self.store.compact_history(),
            Disturbance::PlatformDown(duration) => {
                let set_down = |is_down| self.store.set_down(is_down);
                self.interrupt(None, duration, set_down).await;
            }
            Disturbance::StoreCut(duration) => {
                let set_cut = |is_cut| member.store_link.set_cut(is_cut);
                self.interrupt(Some(index), duration, set_cut).await;
            }
            Disturbance::Pause(_) => {
                let from = self.started.elapsed();
                let finding = member.node.apply(disturbance, index).await;
                self.record_outage(Some(index), from);
                return finding;
            }
            of_the_node => return member.node.apply(of_the_node, index).await,
        }
        None
    }

    async fn interrupt<F>(&self, node: Option<usize>, duration: Duration, set_interrupted: F)
    where
        F: Fn(bool) + Send,
    {
        let from = self.started.elapsed();
        set_interrupted(true);
        tokio::time::sleep(duration).await;
        set_interrupted(false);
        self.record_outage(node, from);
    }

    fn record_outage(&self, node: Option<usize>, from: Duration) {
        self.outages.lock().push(Outage { node, from, until: self.started.elapsed() });
    }

    /// Returns the outages so far.
    #[must_use]
    pub fn outages(&self) -> Vec<Outage> {
        self.outages.lock().clone()
    }

    /// Returns the requests that reached upstreams since the start of the run.
    #[must_use]
    pub fn arrivals(&self, keys: &[Arc<str>]) -> Vec<Arrival> {
        self.members.iter().flat_map(|member| member.arrivals(self.started, keys)).collect()
    }
}

impl TenantMember {
    async fn start(index: usize, store: &Store, options: &SoakOptions) -> Self {
        let zone = ZONES[index % ZONES.len()];
        let worker = Worker::start().await;
        worker.set_mode(WorkerMode::ServeSlowly);
        worker.set_cold_for(COLD_TIME);
        let store_link = StoreLink::open(store).await;
        let name = format!("vm-{index}");
        let mut settings = loopback_settings(&name, zone, store_link.addr, &[]);
        settings["dialect"] = json!("platform");
        settings["upstream"] = json!({ "service": SERVICE });
        settings["platform"]["timeout_ms"] = json!(STORE_TIMEOUT_MS);
        settings["platform"]["bounds"] = json!(DEPLOYMENT_BOUNDS);
        let config = SoakNodeConfig {
            binary: options.binary.clone(),
            log: log_path(&options.logs, options.seed, &name),
            settings,
            repeat_signals: options.repeat_signals,
        };
        let node = SoakNode::start(config, worker.addr).await;
        let place = WorkerPlace { instance_id: instance_id(index), zone, addr: node.upstream_addr() };
        let status = Arc::clone(&node.status);
        let heartbeats = tokio::spawn(send_heartbeats(worker.clone(), place, move || status.announce()));
        Self { index, zone, node, worker, store_link, heartbeats }
    }

    /// Resets the connections to the upstream, which is cold from then on under the same instance id.
    pub fn restart_cold(&self) {
        self.worker.set_cold_for(COLD_TIME);
        self.node.break_upstream_connections(Fault::Cut);
    }

    fn arrivals(&self, started: Instant, keys: &[Arc<str>]) -> Vec<Arrival> {
        let arrival = |request: ReceivedRequest| Arrival {
            id: request.id(),
            node: self.index,
            tenant: request.tenant(),
            has_key: request.has_key(keys),
            while_cold: request.while_cold,
            at: request.received_at.saturating_duration_since(started),
        };
        let requests = self.worker.received_requests().into_iter();
        requests.filter(|request| request.received_at >= started).map(arrival).collect()
    }
}
