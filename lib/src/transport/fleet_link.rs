//! What the publisher needs of the fleet, and how gossip gives it.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::coordination::applied_fleet::ZoneReporter;
use crate::coordination::lease::LeaseValue;
use crate::coordination::settled_count::SettledCounts;
use crate::protocol::member::MemberState;
use crate::protocol::published::LaggingNode;
use crate::protocol::published::Published;
use crate::state::config_table::ConfigTable;
use crate::state::directory::Directory;
use crate::transport::gossip::Gossip;

/// How far a service's revision is in the fleet, as far as this node knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Nodes that hold it.
    pub applied: u32,
    /// Nodes that hold less.
    pub lagging: u32,
    /// Some of those, and since when.
    pub lagging_nodes: Vec<LaggingNode>,
}

/// The fleet as the publisher sees it.
pub trait FleetLink: Send + Sync + 'static {
    /// Whether this node may try for the lease.
    fn leads_zone(&self) -> bool;

    /// The revision of a service that this node has applied, 0 for none.
    fn revision(&self, service: &str) -> u64;

    /// Applies a configuration that the platform holds and tells the others.
    fn apply(&self, published: Published);

    /// Takes stock before progress is asked for.
    fn refresh(&self);

    /// Live nodes.
    fn live_nodes(&self) -> u32;

    /// Upstreams of a service that every node may be expected to know.
    fn ready_upstreams(&self, service: &Arc<str>) -> u32;

    /// How far a revision is; `unix_ms` is the wall clock for nodes that are first seen to lag.
    fn progress(&self, service: &Arc<str>, revision: u64, unix_ms: u64) -> Progress;

    /// Tells the holder of the lease what this zone has applied, if that is due.
    fn report_zone(&self, lease: &LeaseValue) -> impl Future<Output = ()> + Send;
}

/// The link of a real node.
#[derive(Debug)]
pub struct GossipLink {
    gossip: Arc<Gossip>,
    config: Arc<ConfigTable>,
    directory: Arc<Directory>,
    zone_reporter: Mutex<ZoneReporter>,
    ready: Mutex<SettledCounts>,
}

impl GossipLink {
    /// A link over the parts of a node.
    #[must_use]
    pub fn new(gossip: Arc<Gossip>, config: Arc<ConfigTable>, directory: Arc<Directory>) -> Self {
        Self { gossip, config, directory, zone_reporter: Mutex::default(), ready: Mutex::default() }
    }
}

impl FleetLink for GossipLink {
    fn leads_zone(&self) -> bool {
        self.gossip.role().leads_zone
    }

    fn revision(&self, service: &str) -> u64 {
        self.config.get(service).map_or(0, |held| held.revision)
    }

    fn apply(&self, published: Published) {
        self.gossip.apply(published);
    }

    fn refresh(&self) {
        let summary = self.gossip.zone_summary();
        self.gossip.with_fleet_applied(|fleet| {
            fleet.take(&summary, Instant::now());
            fleet.expire(Instant::now());
        });
    }

    fn live_nodes(&self) -> u32 {
        let snapshot = self.directory.snapshot();
        let is_live = |state| matches!(state, MemberState::Alive | MemberState::Suspect);
        count(snapshot.entries().filter(|entry| is_live(entry.member.state)).count())
    }

    fn ready_upstreams(&self, service: &Arc<str>) -> u32 {
        let ready = self.directory.snapshot().upstreams_of(service).len();
        count(self.ready.lock().show(service, ready, Instant::now()))
    }

    fn progress(&self, service: &Arc<str>, revision: u64, unix_ms: u64) -> Progress {
        self.gossip.with_fleet_applied(|fleet| {
            let count = fleet.count(service, revision);
            let lagging_nodes = fleet.lagging_since(service, &count.lagging_named, unix_ms);
            Progress { applied: count.applied, lagging: count.lagging, lagging_nodes }
        })
    }

    async fn report_zone(&self, lease: &LeaseValue) {
        let snapshot = self.directory.snapshot();
        let Some(holder) = snapshot.by_name(lease.holder_name()) else {
            return;
        };
        let summary = self.gossip.zone_summary();
        let due = self.zone_reporter.lock().due(&lease.holder, &summary, Instant::now());
        let Some(report) = due else {
            return;
        };
        let taken = self.gossip.send_zone_report(holder.member.peer_addr, report.clone()).await;
        let mut reporter = self.zone_reporter.lock();
        if taken {
            reporter.taken(&report, Instant::now());
        } else {
            reporter.refused();
        }
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
