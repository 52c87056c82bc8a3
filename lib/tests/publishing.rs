//! Publishing through a platform that loses answers, with concurrent operators and paused lease holders.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use serde_json::json;
use tokio_util::sync::CancellationToken;
use yuccatray::coordination::lease::LeaseValue;
use yuccatray::protocol::member::MemberId;
use yuccatray::protocol::object::Object;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::protocol::published::Published;
use yuccatray::protocol::published::ServiceStatus;
use yuccatray::state::config_table::ConfigTable;
use yuccatray::state::metrics::SharedMetrics;
use yuccatray::transport::fleet_link::FleetLink;
use yuccatray::transport::fleet_link::RolloutProgress;
use yuccatray::transport::platform::Platform;
use yuccatray::transport::publisher::Publisher;
use yuccatray::transport::resolved_write::write_resolved;
use yuccatray_testutils::faulty_platform::CallFaults;
use yuccatray_testutils::faulty_platform::FaultyPlatform;

const NODE_COUNT: usize = 3;
const SERVICES: [&str; 3] = ["deposits", "orders", "proofs"];
/// Interval at which the simulated nodes exchange their tables.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// Time during which faults are injected.
const FAULT_DURATION: Duration = Duration::from_mins(3);
/// Maximum time from the last fault until all declared services are published and applied.
const MAX_CONVERGENCE_TIME: Duration = Duration::from_mins(2);

/// Configuration tables of all nodes, and the first content applied for each revision.
#[derive(Debug)]
struct Tables {
    nodes: Vec<Arc<ConfigTable>>,
    contents: Mutex<IndexMap<(Arc<str>, u64), Published>>,
}

#[derive(Clone, Debug)]
struct FakeLink {
    tables: Arc<Tables>,
    node: usize,
}

impl Tables {
    fn new() -> Arc<Self> {
        let nodes = (0..NODE_COUNT).map(|_| Arc::new(ConfigTable::new())).collect();
        Arc::new(Self { nodes, contents: Mutex::default() })
    }

    fn apply(&self, node: usize, published: Published) {
        let key = (Arc::clone(&published.service), published.revision);
        let first_content = self.contents.lock().entry(key).or_insert_with(|| published.clone()).clone();
        assert_eq!(first_content, published, "a revision has the same content on every node");
        self.nodes[node].apply(published);
    }

    /// Applies the publications of each node on every node.
    fn gossip(&self) {
        for source in 0..NODE_COUNT {
            for published in self.nodes[source].snapshot().values() {
                for target in 0..NODE_COUNT {
                    self.apply(target, Published::clone(published));
                }
            }
        }
    }
}

impl FleetLink for FakeLink {
    fn leads_zone(&self) -> bool {
        true
    }

    fn revision(&self, service: &str) -> u64 {
        self.tables.nodes[self.node].get(service).map_or(0, |current| current.revision)
    }

    fn apply(&self, published: Published) {
        self.tables.apply(self.node, published);
    }

    fn refresh(&self) {}

    fn live_nodes(&self) -> u32 {
        u32::try_from(NODE_COUNT).expect("the number of nodes fits in 32 bits")
    }

    fn ready_upstreams(&self, _service: &Arc<str>) -> u32 {
        0
    }

    fn progress(&self, service: &Arc<str>, revision: u64, _unix_ms: u64) -> RolloutProgress {
        let revision_of = |table: &Arc<ConfigTable>| table.get(service).map_or(0, |current| current.revision);
        let applied_count = self.tables.nodes.iter().filter(|table| revision_of(table) >= revision).count();
        let applied = u32::try_from(applied_count).expect("the number of nodes fits in 32 bits");
        RolloutProgress { applied, lagging: self.live_nodes() - applied, lagging_nodes: Vec::new() }
    }

    async fn report_zone(&self, _lease: &LeaseValue) {}
}

fn service_spec(token: u64) -> Value {
    json!({
        "priority_set": "two", "upstream_rule": "workers", "default_priority": "bulk",
        "default_timeout_ms": token,
    })
}

async fn create_common_objects(platform: &FaultyPlatform) {
    let priority_set =
        json!({ "priorities": { "urgent": { "objective_ms": 100 }, "bulk": { "objective_ms": 1000 } } });
    for (kind, name, value) in
        [(ObjectKind::PrioritySet, "two", priority_set), (ObjectKind::UpstreamRule, "workers", json!({}))]
    {
        platform.put(kind, name, &value, Precondition::Absent).await.expect("no fault is injected yet");
    }
}

/// Starts a publisher for each node; returns their platform clients, which can be paused.
fn start_publishers(
    platform: &FaultyPlatform,
    tables: &Arc<Tables>,
    stop: &CancellationToken,
) -> Vec<FaultyPlatform> {
    let clients: Vec<FaultyPlatform> = (0..NODE_COUNT).map(|_| platform.client()).collect();
    for (node, client) in clients.iter().enumerate() {
        let local_id = MemberId { name: Arc::from(format!("vm-{node}")), incarnation: 1 };
        let link = FakeLink { tables: Arc::clone(tables), node };
        let publisher = Publisher::new(client.clone(), link, SharedMetrics::default(), &local_id);
        tokio::spawn(publisher.run(stop.clone()));
    }
    let tables = Arc::clone(tables);
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(GOSSIP_INTERVAL).await;
            tables.gossip();
        }
    });
    clients
}

/// Creates, changes and deletes services at random.
async fn run_operator(platform: FaultyPlatform, operator: u64, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    for round in 0..40_u64 {
        let pause = Duration::from_millis(rng.random_range(50..6_000));
        tokio::time::sleep(pause).await;
        let name = SERVICES[rng.random_range(0..SERVICES.len())];
        let Ok(current) = platform.get(ObjectKind::Service, name).await else {
            continue;
        };
        let delete = rng.random_range(0..5) == 0;
        let version = current.map(|current| current.version);
        if let Some(version) = version.filter(|_| delete) {
            // The outcome is unknown here; the final state is checked instead.
            let _unknown = platform.delete(ObjectKind::Service, name, version).await;
            continue;
        }
        let precondition = version.map_or(Precondition::Absent, Precondition::Version);
        let value = service_spec(1 + operator * 1_000 + round);
        let _outcome = write_resolved(&platform, ObjectKind::Service, name, &value, precondition).await;
    }
}

async fn inject_faults(platform: FaultyPlatform, clients: Vec<FaultyPlatform>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    loop {
        platform.set_faults(CallFaults {
            unavailable: rng.random_range(0..5) == 0,
            lost_percent: rng.random_range(0..15),
            unanswered_percent: rng.random_range(0..25),
            late_write_percent: rng.random_range(0..15),
            throttled_percent: rng.random_range(0..10),
            max_delay_ms: rng.random_range(0..400),
        });
        for client in &clients {
            client.pause(rng.random_range(0..4) == 0);
        }
        let pause = Duration::from_millis(rng.random_range(500..9_000));
        tokio::time::sleep(pause).await;
    }
}

/// Checks that revisions and epochs of each service increase and that each published content was declared.
///
/// Revisions increase strictly; epochs may repeat. Returns the latest epoch and the number of publications.
fn check_history(written: &[Object]) -> (u64, usize) {
    let mut last_published: IndexMap<Arc<str>, Published> = IndexMap::new();
    let is_service = |object: &&Object| object.kind == ObjectKind::Service;
    let declared: Vec<&Object> = written.iter().filter(is_service).collect();
    for object in written.iter().filter(|object| object.kind == ObjectKind::Published) {
        let published: Published =
            serde_json::from_value(object.value.clone()).expect("the object is a publication");
        if let Some(config) = &published.config {
            let declaration =
                declared.iter().find(|declaration| declaration.version == config.sources.service_version);
            let declaration = declaration.expect("the published content was declared");
            assert_eq!(declaration.value["default_timeout_ms"], config.service.default_timeout_ms);
            assert_eq!(declaration.uid, config.sources.service_uid);
        }
        if let Some(previous) = last_published.insert(Arc::clone(&published.service), published.clone()) {
            assert!(published.revision > previous.revision, "{published:?} after {previous:?}");
            assert!(published.epoch >= previous.epoch, "{published:?} after {previous:?}");
        }
    }
    let publications = written.iter().filter(|object| object.kind == ObjectKind::Published).count();
    (last_published.values().map(|published| published.epoch).max().unwrap_or(0), publications)
}

/// Returns whether every declared service is applied on all nodes and its status reports so.
async fn is_converged(platform: &FaultyPlatform, tables: &Tables) -> bool {
    for name in SERVICES {
        let declared = platform.get(ObjectKind::Service, name).await.expect("no fault is injected any more");
        let status =
            platform.get(ObjectKind::ServiceStatus, name).await.expect("no fault is injected any more");
        let applied_version = |table: &Arc<ConfigTable>| {
            let current = table.get(name)?;
            current.config.as_ref().map(|config| config.sources.service_version)
        };
        let declared_version = declared.as_ref().map(|declared| declared.version);
        if tables.nodes.iter().any(|table| applied_version(table) != declared_version) {
            return false;
        }
        let status = status.and_then(|status| serde_json::from_value::<ServiceStatus>(status.value).ok());
        let observed_version = status.as_ref().map(|status| status.observed_version);
        if observed_version != declared_version
            || status.is_some_and(|status| !status.accepted || !status.applied)
        {
            return false;
        }
    }
    true
}

async fn run_publishing(seed: u64) -> (u64, usize) {
    let platform = FaultyPlatform::new(seed);
    create_common_objects(&platform).await;
    let tables = Tables::new();
    let stop = CancellationToken::new();
    let clients = start_publishers(&platform, &tables, &stop);
    let faults = tokio::spawn(inject_faults(platform.clone(), clients.clone(), seed + 1));
    let operators =
        (0..3).map(|operator| tokio::spawn(run_operator(platform.client(), operator, seed + 10 + operator)));
    let operators: Vec<_> = operators.collect();
    tokio::time::sleep(FAULT_DURATION).await;
    faults.abort();
    platform.set_faults(CallFaults::default());
    for client in &clients {
        client.pause(false);
    }
    for operator in operators {
        operator.await.expect("an operator does not panic");
    }
    let deadline = tokio::time::Instant::now() + MAX_CONVERGENCE_TIME;
    while !is_converged(&platform, &tables).await {
        assert!(
            tokio::time::Instant::now() < deadline,
            "seed {seed}: not converged within {MAX_CONVERGENCE_TIME:?}"
        );
        tokio::time::sleep(GOSSIP_INTERVAL).await;
    }
    stop.cancel();
    check_history(&platform.written_objects())
}

#[tokio::test(start_paused = true)]
async fn publishing_under_faults_and_concurrent_operators() {
    let seeds = std::env::var("YUCCATRAY_FUZZ_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(6);
    let mut epochs = 0;
    let mut publications = 0;
    for seed in 0..seeds {
        let (epoch, count) = run_publishing(seed * 100).await;
        epochs += epoch;
        publications += count;
    }
    println!("{publications} publications in {epochs} epochs");
    assert!(epochs > seeds, "lease holders were replaced");
    assert!(publications > 100, "the operators caused publications");
}

#[tokio::test(start_paused = true)]
async fn recreated_service_is_not_replaced_by_old_revision() {
    let platform = FaultyPlatform::new(1);
    create_common_objects(&platform).await;
    let tables = Tables::new();
    let stop = CancellationToken::new();
    let _clients = start_publishers(&platform, &tables, &stop);
    let name = SERVICES[0];
    let created = platform.put(ObjectKind::Service, name, &service_spec(1), Precondition::Absent).await;
    let created = created.expect("no fault is injected");
    tokio::time::sleep(Duration::from_secs(8)).await;
    let first = tables.nodes[2].get(name).expect("the service is published");
    platform.delete(ObjectKind::Service, name, created.version).await.expect("no fault is injected");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let tombstone = tables.nodes[2].get(name).expect("the deletion is published");
    assert_eq!(tombstone.config, None);
    assert!(tombstone.revision > first.revision);
    platform
        .put(ObjectKind::Service, name, &service_spec(2), Precondition::Absent)
        .await
        .expect("no fault is injected");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let second = tables.nodes[2].get(name).expect("the service is published");
    assert!(second.revision > tombstone.revision);
    tables.nodes[2].apply(Published::clone(&first));
    assert_eq!(tables.nodes[2].get(name), Some(second), "an old revision is ignored");
    stop.cancel();
}

#[tokio::test(start_paused = true)]
async fn publication_lost_from_platform_gets_higher_revision() {
    let platform = FaultyPlatform::new(2);
    create_common_objects(&platform).await;
    let tables = Tables::new();
    let name = SERVICES[0];
    tables.nodes[0].apply(Published {
        service: Arc::from(name),
        revision: 41,
        epoch: 7,
        config: None,
        routes: None,
        evacuations: None,
    });
    tables.gossip();
    let stop = CancellationToken::new();
    let _clients = start_publishers(&platform, &tables, &stop);
    platform
        .put(ObjectKind::Service, name, &service_spec(3), Precondition::Absent)
        .await
        .expect("no fault is injected");
    tokio::time::sleep(Duration::from_secs(8)).await;
    let current = tables.nodes[1].get(name).expect("the service is published");
    assert!(
        current.config.is_some(),
        "the new publication replaces the higher revision that the nodes applied before"
    );
    assert!(current.revision > 41);
    stop.cancel();
}
