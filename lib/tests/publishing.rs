//! Publishing through a platform that loses answers, under racing operators and paused holders.

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

const NODES: usize = 3;
const SERVICES: [&str; 3] = ["deposits", "orders", "proofs"];
const SPREAD: Duration = Duration::from_millis(200);
const FAULTY_TIME: Duration = Duration::from_mins(3);
const SETTLING_TIME: Duration = Duration::from_mins(2);

/// The tables of every node, and which content each revision was seen with.
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
        let nodes = (0..NODES).map(|_| Arc::new(ConfigTable::new())).collect();
        Arc::new(Self { nodes, contents: Mutex::default() })
    }

    fn apply(&self, node: usize, published: Published) {
        let key = (Arc::clone(&published.service), published.revision);
        let known = self.contents.lock().entry(key).or_insert_with(|| published.clone()).clone();
        assert_eq!(known, published, "one revision has one content everywhere");
        self.nodes[node].apply(published);
    }

    /// Every node learns what any node knows.
    fn spread(&self) {
        for from in 0..NODES {
            for published in self.nodes[from].snapshot().values() {
                for to in 0..NODES {
                    self.apply(to, Published::clone(published));
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
        self.tables.nodes[self.node].get(service).map_or(0, |held| held.revision)
    }

    fn apply(&self, published: Published) {
        self.tables.apply(self.node, published);
    }

    fn refresh(&self) {}

    fn live_nodes(&self) -> u32 {
        u32::try_from(NODES).expect("nodes are few")
    }

    fn ready_upstreams(&self, _service: &Arc<str>) -> u32 {
        0
    }

    fn progress(&self, service: &Arc<str>, revision: u64, _unix_ms: u64) -> RolloutProgress {
        let held = |table: &Arc<ConfigTable>| table.get(service).map_or(0, |held| held.revision);
        let applied = self.tables.nodes.iter().filter(|table| held(table) >= revision).count();
        let applied = u32::try_from(applied).expect("nodes are few");
        RolloutProgress { applied, lagging: self.live_nodes() - applied, lagging_nodes: Vec::new() }
    }

    async fn report_zone(&self, _lease: &LeaseValue) {}
}

fn service(token: u64) -> Value {
    json!({
        "priority_set": "two", "upstream_rule": "workers", "default_priority": "bulk",
        "default_timeout_ms": token,
    })
}

async fn prepare(platform: &FaultyPlatform) {
    let set =
        json!({ "priorities": { "urgent": { "objective_ms": 100 }, "bulk": { "objective_ms": 1000 } } });
    for (kind, name, value) in
        [(ObjectKind::PrioritySet, "two", set), (ObjectKind::UpstreamRule, "workers", json!({}))]
    {
        platform.put(kind, name, &value, Precondition::Absent).await.expect("nothing fails yet");
    }
}

/// Starts a publisher for each node; the clients, to pause them.
fn start_publishers(
    platform: &FaultyPlatform,
    tables: &Arc<Tables>,
    stop: &CancellationToken,
) -> Vec<FaultyPlatform> {
    let clients: Vec<FaultyPlatform> = (0..NODES).map(|_| platform.client()).collect();
    for (node, client) in clients.iter().enumerate() {
        let me = MemberId { name: Arc::from(format!("vm-{node}")), incarnation: 1 };
        let link = FakeLink { tables: Arc::clone(tables), node };
        let publisher = Publisher::new(client.clone(), link, SharedMetrics::default(), &me);
        tokio::spawn(publisher.run(stop.clone()));
    }
    let tables = Arc::clone(tables);
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(SPREAD).await;
            tables.spread();
        }
    });
    clients
}

/// An operator who changes, deletes and creates services at random.
async fn operate(platform: FaultyPlatform, operator: u64, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    for round in 0..40_u64 {
        let pause = Duration::from_millis(rng.random_range(50..6_000));
        tokio::time::sleep(pause).await;
        let name = SERVICES[rng.random_range(0..SERVICES.len())];
        let Ok(held) = platform.get(ObjectKind::Service, name).await else {
            continue;
        };
        let delete = rng.random_range(0..5) == 0;
        let version = held.map(|held| held.version);
        if let Some(version) = version.filter(|_| delete) {
            // Whether it took effect shows in the end state.
            let _unknown = platform.delete(ObjectKind::Service, name, version).await;
            continue;
        }
        let precondition = version.map_or(Precondition::Absent, Precondition::Version);
        let value = service(1 + operator * 1_000 + round);
        let _settled = write_resolved(&platform, ObjectKind::Service, name, &value, precondition).await;
    }
}

async fn misbehave(platform: FaultyPlatform, clients: Vec<FaultyPlatform>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    loop {
        platform.set_faults(CallFaults {
            down: rng.random_range(0..5) == 0,
            lost_percent: rng.random_range(0..15),
            unanswered_percent: rng.random_range(0..25),
            late_percent: rng.random_range(0..15),
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

/// Revisions and epochs of each name only grow, and every content was declared at some time.
///
/// Returns the latest epoch and the number of publications.
fn check_history(written: &[Object]) -> (u64, usize) {
    let mut last: IndexMap<Arc<str>, Published> = IndexMap::new();
    let declared = |object: &&Object| object.kind == ObjectKind::Service;
    let declared: Vec<&Object> = written.iter().filter(declared).collect();
    for object in written.iter().filter(|object| object.kind == ObjectKind::Published) {
        let published: Published = serde_json::from_value(object.value.clone()).expect("it is a publication");
        if let Some(config) = &published.config {
            let source = declared.iter().find(|source| source.version == config.sources.service_version);
            let source = source.expect("it was declared");
            assert_eq!(source.value["default_timeout_ms"], config.service.default_timeout_ms);
            assert_eq!(source.uid, config.sources.service_uid);
        }
        if let Some(before) = last.insert(Arc::clone(&published.service), published.clone()) {
            assert!(published.revision > before.revision, "{published:?} after {before:?}");
            assert!(published.epoch >= before.epoch, "{published:?} after {before:?}");
        }
    }
    let publications = written.iter().filter(|object| object.kind == ObjectKind::Published).count();
    (last.values().map(|published| published.epoch).max().unwrap_or(0), publications)
}

/// Whether what is declared is published, applied on every node and said to be so.
async fn is_settled(platform: &FaultyPlatform, tables: &Tables) -> bool {
    for name in SERVICES {
        let declared = platform.get(ObjectKind::Service, name).await.expect("nothing fails any more");
        let status = platform.get(ObjectKind::ServiceStatus, name).await.expect("nothing fails any more");
        let source = |table: &Arc<ConfigTable>| {
            let held = table.get(name)?;
            held.config.as_ref().map(|config| config.sources.service_version)
        };
        let wanted = declared.as_ref().map(|declared| declared.version);
        if tables.nodes.iter().any(|table| source(table) != wanted) {
            return false;
        }
        let status = status.and_then(|status| serde_json::from_value::<ServiceStatus>(status.value).ok());
        let said = status.as_ref().map(|status| status.observed_version);
        if said != wanted || status.is_some_and(|status| !status.accepted || !status.applied) {
            return false;
        }
    }
    true
}

async fn run_publishing(seed: u64) -> (u64, usize) {
    let platform = FaultyPlatform::new(seed);
    prepare(&platform).await;
    let tables = Tables::new();
    let stop = CancellationToken::new();
    let clients = start_publishers(&platform, &tables, &stop);
    let faults = tokio::spawn(misbehave(platform.clone(), clients.clone(), seed + 1));
    let operators =
        (0..3).map(|operator| tokio::spawn(operate(platform.client(), operator, seed + 10 + operator)));
    let operators: Vec<_> = operators.collect();
    tokio::time::sleep(FAULTY_TIME).await;
    faults.abort();
    platform.set_faults(CallFaults::default());
    for client in &clients {
        client.pause(false);
    }
    for operator in operators {
        operator.await.expect("an operator does not panic");
    }
    let until = tokio::time::Instant::now() + SETTLING_TIME;
    while !is_settled(&platform, &tables).await {
        assert!(tokio::time::Instant::now() < until, "seed {seed}: not settled");
        tokio::time::sleep(SPREAD).await;
    }
    stop.cancel();
    check_history(&platform.written())
}

#[tokio::test(start_paused = true)]
async fn publishing_under_faults_and_races() {
    let seeds = std::env::var("YUCCATRAY_FUZZ_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(6);
    let mut epochs = 0;
    let mut publications = 0;
    for seed in 0..seeds {
        let (epoch, count) = run_publishing(seed * 100).await;
        epochs += epoch;
        publications += count;
    }
    println!("{publications} publications in {epochs} epochs");
    assert!(epochs > seeds, "holders were replaced");
    assert!(publications > 100, "there was something to publish");
}

#[tokio::test(start_paused = true)]
async fn recreated_service_does_not_revive_the_old_one() {
    let platform = FaultyPlatform::new(1);
    prepare(&platform).await;
    let tables = Tables::new();
    let stop = CancellationToken::new();
    let _clients = start_publishers(&platform, &tables, &stop);
    let name = SERVICES[0];
    let created = platform.put(ObjectKind::Service, name, &service(1), Precondition::Absent).await;
    let created = created.expect("nothing fails");
    tokio::time::sleep(Duration::from_secs(8)).await;
    let first = tables.nodes[2].get(name).expect("it is published");
    platform.delete(ObjectKind::Service, name, created.version).await.expect("nothing fails");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let tombstone = tables.nodes[2].get(name).expect("a deletion is published as well");
    assert_eq!(tombstone.config, None);
    assert!(tombstone.revision > first.revision);
    platform.put(ObjectKind::Service, name, &service(2), Precondition::Absent).await.expect("nothing fails");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let second = tables.nodes[2].get(name).expect("it is published");
    assert!(second.revision > tombstone.revision);
    tables.nodes[2].apply(Published::clone(&first));
    assert_eq!(tables.nodes[2].get(name), Some(second), "an old revision changes nothing");
    stop.cancel();
}

#[tokio::test(start_paused = true)]
async fn publication_lost_from_platform_does_not_revert() {
    let platform = FaultyPlatform::new(2);
    prepare(&platform).await;
    let tables = Tables::new();
    let name = SERVICES[0];
    tables.nodes[0].apply(Published {
        service: Arc::from(name),
        revision: 41,
        epoch: 7,
        config: None,
        routes: None,
    });
    tables.spread();
    let stop = CancellationToken::new();
    let _clients = start_publishers(&platform, &tables, &stop);
    platform.put(ObjectKind::Service, name, &service(3), Precondition::Absent).await.expect("nothing fails");
    tokio::time::sleep(Duration::from_secs(8)).await;
    let held = tables.nodes[1].get(name).expect("it is published");
    assert!(held.config.is_some(), "the nodes' own revision does not keep the new one out");
    assert!(held.revision > 41);
    stop.cancel();
}
