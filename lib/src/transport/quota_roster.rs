//! Reads the share roster from the store as the leading node of a zone, and maintains it as that of the fleet.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::coordination::backoff::Backoff;
use crate::coordination::backoff::jittered;
use crate::coordination::quota::quota_node::QuotaNode;
use crate::coordination::quota::roster::ROSTER_NAME;
use crate::coordination::quota::roster::RosterRead;
use crate::coordination::quota::roster::ShareRoster;
use crate::coordination::quota::roster_keeper::RosterKeeper;
use crate::coordination::quota::roster_keeper::RosterKnowledge;
use crate::log_event;
use crate::log_event_limited;
use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::protocol::object::Precondition;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::transport::gossip::Gossip;
use crate::transport::platform::Platform;
use crate::transport::platform::Result;
use crate::transport::quota_link::QuotaLink;
use crate::transport::resolved_write::WriteOutcome;
use crate::transport::resolved_write::write_resolved;

/// Interval at which the known nodes are observed.
const OBSERVATION_INTERVAL: Duration = Duration::from_secs(1);

/// Interval, before jitter, between two reads of a usable roster.
const READ_INTERVAL: Duration = Duration::from_mins(1);

/// Time between two reads while there is no usable roster, and the initial one while the store does not answer.
const MIN_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time between two reads while the store does not answer.
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// The roster as one node reads and maintains it.
#[derive(Debug)]
pub struct QuotaRosterTask<P> {
    platform: P,
    gossip: Arc<Gossip>,
    link: Arc<QuotaLink>,
    metrics: SharedMetrics,
    keeper: RosterKeeper,
    next_read_at: Instant,
    retry: Backoff,
}

impl<P> QuotaRosterTask<P>
where
    P: Platform,
{
    /// Creates the task; [`QuotaRosterTask::run`] starts it.
    pub fn new(platform: P, gossip: Arc<Gossip>, link: Arc<QuotaLink>, metrics: SharedMetrics) -> Self {
        let writer = Arc::from(gossip.local_member().id.to_string());
        let keeper = RosterKeeper::new(writer, link.now());
        let retry = Backoff::new(MIN_RETRY_INTERVAL, MAX_RETRY_INTERVAL);
        Self { platform, gossip, link, metrics, keeper, next_read_at: Instant::now(), retry }
    }

    /// Runs until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.run_repeatedly() => {}
        }
    }

    async fn run_repeatedly(&mut self) {
        let mut ticks = tokio::time::interval(OBSERVATION_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if self.link.with_node(|node, _| node.limits().limits.is_empty()) {
                continue;
            }
            let live = self.live_nodes();
            self.keeper.observe(&live, self.link.now());
            if self.gossip.role().leads_zone && Instant::now() >= self.next_read_at {
                self.synchronize(&live).await;
            }
        }
    }

    /// Reads the roster, changes it if that is due, and sets the time of the next read.
    async fn synchronize(&mut self, live: &[Arc<str>]) {
        let pause = match self.read_and_maintain(live).await {
            Ok(true) => {
                self.retry.reset();
                jittered(READ_INTERVAL, &mut rand::rng())
            }
            // Limited tenants get nothing before the first roster, so its reads are not delayed further.
            Ok(false) => {
                self.retry.reset();
                jittered(MIN_RETRY_INTERVAL, &mut rand::rng())
            }
            Err(error) => {
                Metrics::count(&self.metrics.platform_calls, "failed");
                log_event_limited!(Warn, "the share roster can't be read or written", error = error);
                self.retry.next_delay(&mut rand::rng())
            }
        };
        self.next_read_at = Instant::now() + pause;
    }

    /// Returns whether the store has a usable roster that did not have to change.
    async fn read_and_maintain(&mut self, live: &[Arc<str>]) -> Result<bool> {
        let read_at = self.link.now();
        Metrics::count(&self.metrics.platform_calls, "list");
        let listing = self.platform.list(ObjectKind::QuotaRoster).await?;
        let object = listing.objects.iter().find(|object| *object.name == *ROSTER_NAME);
        let read = RosterRead { epoch: listing.epoch, stored: object.and_then(parse), read_at };
        let confirmed = self.keeper.record_read(&read);
        let is_usable = confirmed.is_some();
        if let Some(confirmed) = confirmed {
            self.link.set_roster(confirmed);
        }
        if !self.link.with_node(|node, _| node.roles().leads_fleet()) {
            return Ok(is_usable);
        }
        let shares_in_use = self.link.with_node(QuotaNode::knows_shares);
        let knowledge = RosterKnowledge { live, shares_in_use };
        let Some(changed) = self.keeper.decide(&read, knowledge, self.link.now()) else {
            return Ok(is_usable);
        };
        self.write(&changed, object).await?;
        // The next read shows the result, and is due soon.
        Ok(false)
    }

    async fn write(&self, roster: &ShareRoster, current: Option<&Object>) -> Result<()> {
        let precondition =
            current.map_or(Precondition::Absent, |current| Precondition::Version(current.version));
        let value = serde_json::to_value(roster).unwrap_or_default();
        Metrics::count(&self.metrics.platform_calls, "write");
        let kind = ObjectKind::QuotaRoster;
        let outcome = write_resolved(&self.platform, kind, ROSTER_NAME, &value, precondition).await?;
        log_event!(
            Info,
            "share roster changed",
            is_written = matches!(outcome, WriteOutcome::Written(_)),
            epoch = roster.epoch,
            revision = roster.revision,
            nodes = roster.shares.len(),
            withdrawn = roster.withdrawn.len(),
        );
        Ok(())
    }

    fn live_nodes(&self) -> Vec<Arc<str>> {
        self.link.with_node(|node, _| node.roles().nodes().map(Arc::clone).collect())
    }
}

fn parse(object: &Object) -> Option<ShareRoster> {
    let roster = ShareRoster::parse(&object.value);
    if roster.is_none() {
        log_event_limited!(Error, "unreadable share roster ignored", version = object.version);
    }
    roster
}
