//! Publisher: acquires the lease, publishes the declared configuration and writes service statuses.

mod declared_watch;
mod held_lease;
mod statuses;

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::coordination::backoff::jittered;
use crate::coordination::lease::LeaseWatch;
use crate::coordination::publication_planner::PublicationPlanner;
use crate::coordination::publication_planner::PublicationStep;
use crate::protocol::member::MemberId;
use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::protocol::object::Precondition;
use crate::protocol::published::Published;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::transport::fleet_link::FleetLink;
use crate::transport::object_watch::platform_backoff;
use crate::transport::object_watch::watch_objects;
use crate::transport::platform::Platform;
use crate::transport::platform::PlatformError;
use crate::transport::platform::Result;
use crate::transport::publisher::declared_watch::DeclaredWatch;
use crate::transport::publisher::held_lease::HeldLease;
use crate::transport::publisher::held_lease::LEASE_TTL;
use crate::transport::publisher::held_lease::LeaseState;
use crate::transport::resolved_write::WriteOutcome;
use crate::transport::resolved_write::write_resolved;

/// Interval between renewals of a held lease.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Interval, before jitter, between attempts to acquire the lease.
const CANDIDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the lease holder reads all service statuses again.
const STATUS_RESYNC_INTERVAL: Duration = Duration::from_secs(30);

/// Interval between rounds of status writes.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// Publishes configurations and writes service statuses while its node holds the lease.
#[derive(Debug)]
pub struct Publisher<P, F> {
    platform: P,
    fleet: F,
    metrics: SharedMetrics,
    lease: LeaseWatch,
}

/// Outcome of a round of publishing.
enum PublishOutcome {
    /// No write is due, or a failed write was scheduled for another attempt.
    Completed,
    /// The lease was not renewed in time; publishing resumes once it is.
    Interrupted,
    /// A holder of a later epoch has published, so this node's lease has ended.
    LeaseEnded,
}

impl<P, F> Publisher<P, F>
where
    P: Platform,
    F: FleetLink,
{
    /// Creates a publisher for the node `local_id`; [`Self::run`] starts its work.
    #[must_use]
    pub fn new(platform: P, fleet: F, metrics: SharedMetrics, local_id: &MemberId) -> Self {
        let holder = Arc::from(format!("{}.{:x}", local_id.name, local_id.incarnation));
        Self { platform, fleet, metrics, lease: LeaseWatch::new(holder, LEASE_TTL) }
    }

    /// Runs until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut backoff = platform_backoff();
        while !stop.is_cancelled() {
            let mut pause = jittered(CANDIDATE_INTERVAL, &mut rand::rng());
            if self.fleet.leads_zone() {
                match self.candidate_round(&stop).await {
                    Ok(()) => backoff.reset(),
                    Err(error) => {
                        self.count("failed");
                        log::debug!("lease or publishing round failed; error={error}");
                        pause = pause.max(backoff.next_delay(&mut rand::rng()));
                    }
                }
            }
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    /// Publishes if this node gets the lease; otherwise reports the zone's progress to the holder.
    async fn candidate_round(&mut self, stop: &CancellationToken) -> Result<()> {
        match self.try_acquire_lease().await? {
            LeaseState::Acquired(held) => self.publish_while_held(held, stop).await,
            LeaseState::HeldByOther(value) => {
                self.fleet.report_zone(&value).await;
                Ok(())
            }
        }
    }

    /// Publishes and writes statuses until the lease is lost or released.
    async fn publish_while_held(&mut self, mut held: HeldLease, stop: &CancellationToken) -> Result<()> {
        log::info!("publisher lease acquired; epoch={}", held.value.epoch);
        let watch = Arc::new(DeclaredWatch::default());
        let _watchers = self.spawn_watchers(&watch);
        let mut planner = self.load_planner().await?;
        let mut renewals = tokio::time::interval(RENEW_INTERVAL);
        let mut status_rounds = tokio::time::interval(STATUS_INTERVAL);
        let mut resyncs =
            tokio::time::interval_at(Instant::now() + STATUS_RESYNC_INTERVAL, STATUS_RESYNC_INTERVAL);
        let mut interrupted = false;
        renewals.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        status_rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        resyncs.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                () = stop.cancelled() => return self.release(&held).await,
                _ = renewals.tick() => match self.renew(&held).await? {
                    Some(renewed) => {
                        held = renewed;
                        if std::mem::take(&mut interrupted) {
                            watch.changed.notify_one();
                        }
                    }
                    None => return Ok(()),
                },
                () = watch.changed.notified() => {
                    match self.publish(&mut planner, &watch, &held).await? {
                        PublishOutcome::Completed => {}
                        PublishOutcome::Interrupted => interrupted = true,
                        PublishOutcome::LeaseEnded => return Ok(()),
                    }
                }
                _ = resyncs.tick() => self.reread_statuses(&mut planner).await?,
                _ = status_rounds.tick() => self.write_statuses(&mut planner, &watch, &held).await?,
            }
        }
    }

    fn spawn_watchers(&self, watch: &Arc<DeclaredWatch>) -> JoinSet<()> {
        let mut watchers = JoinSet::new();
        for kind in ObjectKind::WRITABLE {
            let watch = Arc::clone(watch);
            let platform = self.platform.clone();
            let metrics = Arc::clone(&self.metrics);
            watchers
                .spawn(watch_objects(platform, kind, metrics, move |event| watch.apply_event(kind, event)));
        }
        watchers
    }

    async fn load_planner(&self) -> Result<PublicationPlanner> {
        self.count("list");
        let published = self.platform.list(ObjectKind::Published).await?;
        self.count("list");
        let statuses = self.platform.list(ObjectKind::ServiceStatus).await?;
        for object in &published.objects {
            self.apply_stored(Some(object));
        }
        Ok(PublicationPlanner::new(&published.objects, &statuses.objects))
    }

    /// Applies a publication read from the platform, since its writer may have stopped before applying it.
    fn apply_stored(&self, stored: Option<&Object>) {
        if let Some(published) = stored.and_then(|object| parse_value::<Published>(object).ok()) {
            self.fleet.apply(published);
        }
    }

    /// Writes every publication that is due, for as long as the last renewal of the lease is valid.
    async fn publish(
        &self,
        planner: &mut PublicationPlanner,
        watch: &DeclaredWatch,
        held: &HeldLease,
    ) -> Result<PublishOutcome> {
        let Some(declared) = watch.snapshot() else {
            return Ok(PublishOutcome::Completed);
        };
        let epoch = held.value.epoch;
        let applied_revision = |service: &str| self.fleet.revision(service);
        loop {
            if Instant::now() >= held.valid_until {
                return Ok(PublishOutcome::Interrupted);
            }
            let publication = match planner.plan(&declared, applied_revision, epoch) {
                PublicationStep::Publish(publication) => publication,
                PublicationStep::StepDown => return Ok(PublishOutcome::LeaseEnded),
                PublicationStep::UpToDate => return Ok(PublishOutcome::Completed),
            };
            let name = Arc::clone(&publication.published.service);
            let write =
                self.write(ObjectKind::Published, &name, &publication.published, publication.precondition);
            match write.await {
                Ok(WriteOutcome::Written(version)) => {
                    log::info!(
                        "published configuration; service={name} revision={} epoch={epoch}",
                        publication.published.revision
                    );
                    planner.record_published(publication.published.clone(), version);
                    self.fleet.apply(publication.published);
                }
                Ok(WriteOutcome::Rejected(current) | WriteOutcome::Unknown(current)) => {
                    planner.replace_published(&name, current.as_deref());
                    self.apply_stored(current.as_deref());
                }
                Err(error) => {
                    log::debug!("configuration not published; service={name} error={error}");
                    watch.changed.notify_one();
                    self.pause_after_failure().await;
                    return Ok(PublishOutcome::Completed);
                }
            }
        }
    }

    /// Waits before a failed write is retried with the same precondition, to limit load on the platform.
    async fn pause_after_failure(&self) {
        self.count("failed");
        let pause = platform_backoff().next_delay(&mut rand::rng());
        tokio::time::sleep(pause).await;
    }

    /// Writes an object and resolves the outcome if the response is lost.
    async fn write<T>(
        &self,
        kind: ObjectKind,
        name: &str,
        value: &T,
        precondition: Precondition,
    ) -> Result<WriteOutcome>
    where
        T: Serialize + Sync,
    {
        self.count("write");
        let value = serde_json::to_value(value).unwrap_or(Value::Null);
        write_resolved(&self.platform, kind, name, &value, precondition).await
    }

    /// Counts a platform request under the metric label `reason`.
    fn count(&self, reason: &'static str) {
        Metrics::count(&self.metrics.platform_calls, reason);
    }
}

/// Parses the value of an object.
fn parse_value<T>(object: &Object) -> Result<T>
where
    T: DeserializeOwned,
{
    serde_json::from_value(object.value.clone()).map_err(|error| PlatformError::InvalidResponse {
        reason: format!("object {} {}: {error}", object.kind, object.name),
    })
}
