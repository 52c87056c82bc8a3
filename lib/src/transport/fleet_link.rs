//! Interface between the publisher and the fleet, with its implementation over gossip.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::coordination::applied_fleet::ZoneReporter;
use crate::coordination::delayed_count::DelayedCounts;
use crate::coordination::lease::LeaseValue;
use crate::protocol::member::MemberState;
use crate::protocol::published::LaggingNode;
use crate::protocol::published::Published;
use crate::state::config_table::ConfigTable;
use crate::state::directory::Directory;
use crate::transport::gossip::Gossip;

/// Rollout progress of a service's revision in the fleet, as far as this node knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutProgress {
    /// Nodes that have applied the revision or a later one.
    pub applied: u32,
    /// Nodes whose applied revision is earlier.
    pub lagging: u32,
    /// Some of the lagging nodes, with the time since which each has lagged.
    pub lagging_nodes: Vec<LaggingNode>,
}

/// The publisher's interface to the fleet.
pub trait FleetLink: Send + Sync + 'static {
    /// Returns whether this node leads its zone and may therefore try to acquire the lease.
    fn leads_zone(&self) -> bool;

    /// Returns the revision of a service that this node has applied, or 0 if none.
    fn revision(&self, service: &str) -> u64;

    /// Applies a configuration that is stored on the platform and gossips it.
    fn apply(&self, published: Published);

    /// Updates the progress with this zone's state and expires old zone reports.
    ///
    /// Has to be called before [`Self::progress`] for an up-to-date result.
    fn refresh(&self);

    /// Returns the number of live nodes.
    fn live_nodes(&self) -> u32;

    /// Returns the number of upstreams of a service that gossip has had time to spread to every node.
    fn ready_upstreams(&self, service: &Arc<str>) -> u32;

    /// Returns the rollout progress of a revision.
    ///
    /// `unix_ms` is the wall-clock time recorded for nodes that are found lagging for the first time.
    fn progress(&self, service: &Arc<str>, revision: u64, unix_ms: u64) -> RolloutProgress;

    /// Sends the revisions that this zone has applied to the holder of the lease, if a report is due.
    fn report_zone(&self, lease: &LeaseValue) -> impl Future<Output = ()> + Send;
}

/// The link of a running node, over gossip.
#[derive(Debug)]
pub struct GossipLink {
    gossip: Arc<Gossip>,
    config: Arc<ConfigTable>,
    directory: Arc<Directory>,
    zone_reporter: Mutex<ZoneReporter>,
    ready_counts: Mutex<DelayedCounts>,
}

impl GossipLink {
    /// Creates a link over a node's gossip, configuration and directory.
    #[must_use]
    pub fn new(gossip: Arc<Gossip>, config: Arc<ConfigTable>, directory: Arc<Directory>) -> Self {
        Self { gossip, config, directory, zone_reporter: Mutex::default(), ready_counts: Mutex::default() }
    }
}

impl FleetLink for GossipLink {
    fn leads_zone(&self) -> bool {
        self.gossip.role().leads_zone
    }

    fn revision(&self, service: &str) -> u64 {
        self.config.get(service).map_or(0, |published| published.revision)
    }

    fn apply(&self, published: Published) {
        self.gossip.apply(published);
    }

    fn refresh(&self) {
        let summary = self.gossip.zone_summary();
        self.gossip.with_fleet_applied_revisions(|fleet| {
            fleet.record_report(&summary, Instant::now());
            fleet.expire(Instant::now());
        });
    }

    fn live_nodes(&self) -> u32 {
        let snapshot = self.directory.snapshot();
        let is_live = |state| matches!(state, MemberState::Alive | MemberState::Suspect);
        saturating_u32(snapshot.entries().filter(|entry| is_live(entry.member.state)).count())
    }

    fn ready_upstreams(&self, service: &Arc<str>) -> u32 {
        let ready = self.directory.snapshot().members_serving(service).len();
        saturating_u32(self.ready_counts.lock().update(service, ready, Instant::now()))
    }

    fn progress(&self, service: &Arc<str>, revision: u64, unix_ms: u64) -> RolloutProgress {
        self.gossip.with_fleet_applied_revisions(|fleet| {
            let count = fleet.count(service, revision);
            let lagging_nodes = fleet.track_lagging_since(service, &count.named_lagging_nodes, unix_ms);
            RolloutProgress { applied: count.applied, lagging: count.lagging, lagging_nodes }
        })
    }

    async fn report_zone(&self, lease: &LeaseValue) {
        let snapshot = self.directory.snapshot();
        let Some(holder) = snapshot.by_name(lease.holder_name()) else {
            return;
        };
        let summary = self.gossip.zone_summary();
        let due_report = self.zone_reporter.lock().due_report(&lease.holder, &summary, Instant::now());
        let Some(report) = due_report else {
            return;
        };
        let accepted = self.gossip.send_zone_report(holder.member.peer_addr, report.clone()).await;
        let mut reporter = self.zone_reporter.lock();
        if accepted {
            reporter.mark_accepted(&report, Instant::now());
        } else {
            reporter.require_complete_report();
        }
    }
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
