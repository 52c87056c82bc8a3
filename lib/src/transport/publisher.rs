//! Publisher: acquires the lease, publishes the declared configuration and writes service statuses.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::coordination::backoff::jittered;
use crate::coordination::lease::LeaseDecision;
use crate::coordination::lease::LeaseValue;
use crate::coordination::lease::LeaseWatch;
use crate::coordination::lease::PUBLISHER_LEASE;
use crate::coordination::publication::DeclaredObjects;
use crate::coordination::publication_planner::PublicationPlanner;
use crate::coordination::publication_planner::PublicationStep;
use crate::protocol::member::MemberId;
use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::protocol::object::Precondition;
use crate::protocol::published::FieldProblem;
use crate::protocol::published::Published;
use crate::protocol::published::ServiceStatus;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::transport::fleet_link::FleetLink;
use crate::transport::object_watch::ObjectEvent;
use crate::transport::object_watch::platform_backoff;
use crate::transport::object_watch::watch_objects;
use crate::transport::platform::Platform;
use crate::transport::platform::PlatformError;
use crate::transport::platform::Result;
use crate::transport::resolved_write::WriteOutcome;
use crate::transport::resolved_write::write_resolved;

/// Time without renewal after which another node may take the lease.
const LEASE_TTL: Duration = Duration::from_secs(4);

/// Part of [`LEASE_TTL`], counted from before the write, for which the holder relies on a renewal.
const RENEWAL_VALIDITY: Duration = Duration::from_millis(2_500);

/// Interval between renewals of a held lease.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Interval, before jitter, between attempts to acquire the lease.
const CANDIDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the lease holder reads all service statuses again.
const STATUS_RESYNC_INTERVAL: Duration = Duration::from_secs(30);

/// Interval between rounds of status writes.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of statuses written in one round; the others wait for the next round.
const MAX_STATUS_WRITES: usize = 20;

/// Publishes configurations and writes service statuses while its node holds the lease.
#[derive(Debug)]
pub struct Publisher<P, F> {
    platform: P,
    fleet: F,
    metrics: SharedMetrics,
    lease: LeaseWatch,
}

/// Lease held by this node, and the time until which the node may rely on it.
#[derive(Debug)]
struct HeldLease {
    value: LeaseValue,
    version: u64,
    valid_until: Instant,
}

/// Outcome of an attempt to acquire or renew the lease.
enum LeaseState {
    Acquired(HeldLease),
    HeldByOther(LeaseValue),
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

/// Objects written by operators, kept current by watches.
#[derive(Debug, Default)]
struct DeclaredWatch {
    declared: Mutex<DeclaredObjects>,
    /// Kinds that have been listed at least once.
    listed_kinds: Mutex<Vec<ObjectKind>>,
    changed: Notify,
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

    async fn try_acquire_lease(&mut self) -> Result<LeaseState> {
        self.count("lease");
        let object = self.platform.get(ObjectKind::Lease, PUBLISHER_LEASE).await?;
        let stored = object.as_ref().map(parse_value::<LeaseValue>).transpose()?;
        let decision = self.lease.decide(stored.clone(), Instant::now());
        let LeaseDecision::Write(value) = decision else {
            let holder = stored.ok_or_else(|| PlatformError::InvalidResponse {
                reason: "the lease object is missing".to_owned(),
            })?;
            return Ok(LeaseState::HeldByOther(holder));
        };
        let precondition =
            object.map_or(Precondition::Absent, |object| Precondition::Version(object.version));
        self.write_lease(value, precondition).await
    }

    async fn write_lease(&self, value: LeaseValue, precondition: Precondition) -> Result<LeaseState> {
        let valid_until = Instant::now() + RENEWAL_VALIDITY;
        match self.write(ObjectKind::Lease, PUBLISHER_LEASE, &value, precondition).await? {
            WriteOutcome::Written(version) => {
                Ok(LeaseState::Acquired(HeldLease { value, version, valid_until }))
            }
            WriteOutcome::Rejected(current) | WriteOutcome::Unknown(current) => {
                let current = current.as_deref().map(parse_value::<LeaseValue>).transpose()?;
                Ok(LeaseState::HeldByOther(current.unwrap_or(value)))
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

    /// Renews the lease; returns `None` if another node holds it or this node no longer leads its zone.
    async fn renew(&self, held: &HeldLease) -> Result<Option<HeldLease>> {
        if !self.fleet.leads_zone() {
            log::info!("publisher lease released: another node leads the zone; epoch={}", held.value.epoch);
            self.release(held).await?;
            return Ok(None);
        }
        let value = LeaseValue { renewal: held.value.renewal + 1, ..held.value.clone() };
        match self.write_lease(value, Precondition::Version(held.version)).await {
            Ok(LeaseState::Acquired(renewed)) => Ok(Some(renewed)),
            Ok(LeaseState::HeldByOther(value)) => {
                log::info!("publisher lease lost; epoch={} holder={}", held.value.epoch, value.holder);
                Ok(None)
            }
            // The last renewal is still valid; the next tick tries again.
            Err(error) if Instant::now() < held.valid_until => {
                log::debug!("publisher lease not renewed; error={error}");
                let value = held.value.clone();
                Ok(Some(HeldLease { value, version: held.version, valid_until: held.valid_until }))
            }
            Err(error) => Err(error),
        }
    }

    /// Releases the lease, so that another node can take it before it expires.
    async fn release(&self, held: &HeldLease) -> Result<()> {
        let value = LeaseWatch::release_value(&held.value);
        self.write(ObjectKind::Lease, PUBLISHER_LEASE, &value, Precondition::Version(held.version)).await?;
        Ok(())
    }

    /// Reads all statuses again, since a status write without a response may have taken effect late.
    async fn reread_statuses(&self, planner: &mut PublicationPlanner) -> Result<()> {
        self.count("list");
        match self.platform.list(ObjectKind::ServiceStatus).await {
            Ok(listing) => planner.replace_statuses(&listing.objects),
            Err(error) => {
                self.count("failed");
                log::debug!("service statuses not read again; error={error}");
            }
        }
        Ok(())
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

    /// Writes statuses that are due and deletes those of services that are no longer declared.
    async fn write_statuses(
        &self,
        planner: &mut PublicationPlanner,
        watch: &DeclaredWatch,
        held: &HeldLease,
    ) -> Result<()> {
        let Some(declared) = watch.snapshot() else {
            return Ok(());
        };
        self.fleet.refresh();
        let mut writes = 0;
        for service in declared.services.values() {
            if writes >= MAX_STATUS_WRITES || Instant::now() >= held.valid_until {
                return Ok(());
            }
            if let Some(status) = self.due_status(planner, service, &declared, held.value.epoch) {
                self.write_status(planner, &service.name, status).await?;
                writes += 1;
            }
        }
        self.delete_obsolete(planner, &declared).await
    }

    /// Returns the status to write, or `None` if the stored one is current or has a later epoch.
    ///
    /// A service that is accepted but not published yet has no status to write either.
    fn due_status(
        &self,
        planner: &mut PublicationPlanner,
        service: &Object,
        declared: &DeclaredObjects,
        epoch: u64,
    ) -> Option<ServiceStatus> {
        let (revision, problems) = planner.validation_result(service, declared)?;
        let last = planner.status(&service.name).and_then(|last| last.value.as_ref());
        if last.is_some_and(|last| last.epoch > epoch) {
            return None;
        }
        let mut status = self.current_status(service, revision, problems);
        status.epoch = epoch;
        status.written_unix_ms = unix_ms();
        let unchanged = last.is_some_and(|last| has_same_content(last, &status));
        (!unchanged).then_some(status)
    }

    async fn write_status(
        &self,
        planner: &mut PublicationPlanner,
        name: &Arc<str>,
        status: ServiceStatus,
    ) -> Result<()> {
        let precondition = planner.status_precondition(name);
        match self.write(ObjectKind::ServiceStatus, name, &status, precondition).await {
            Ok(WriteOutcome::Written(version)) => planner.record_status(name, status, version),
            Ok(WriteOutcome::Rejected(current) | WriteOutcome::Unknown(current)) => {
                planner.replace_status(name, current.as_deref());
            }
            // Not retried: the next round writes the status that is current then.
            Err(error) => {
                self.count("failed");
                log::debug!("service status not written; service={name} error={error}");
            }
        }
        Ok(())
    }

    /// Deletes the statuses of services that are no longer declared.
    async fn delete_obsolete(
        &self,
        planner: &mut PublicationPlanner,
        declared: &DeclaredObjects,
    ) -> Result<()> {
        for (name, version) in planner.obsolete_statuses(declared) {
            self.count("write");
            match self.platform.delete(ObjectKind::ServiceStatus, &name, version).await {
                Ok(()) | Err(PlatformError::Rejected { status: 404, .. }) => {
                    planner.replace_status(&name, None);
                }
                Err(PlatformError::Conflict { current }) => planner.replace_status(&name, current.as_deref()),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn current_status(
        &self,
        service: &Object,
        revision: Option<u64>,
        problems: Vec<FieldProblem>,
    ) -> ServiceStatus {
        let known_nodes = self.fleet.live_nodes();
        let progress = revision
            .map(|revision| self.fleet.progress(&service.name, revision, unix_ms()))
            .unwrap_or_default();
        let behind = progress.lagging > 0 || progress.applied < known_nodes;
        ServiceStatus {
            observed_version: service.version,
            accepted: problems.is_empty(),
            problems,
            revision,
            applied_nodes: progress.applied,
            known_nodes,
            unknown_nodes: known_nodes.saturating_sub(progress.applied + progress.lagging),
            applied: revision.is_some() && !behind,
            lagging_nodes: progress.lagging_nodes,
            ready_upstreams: self.fleet.ready_upstreams(&service.name),
            epoch: 0,
            written_unix_ms: 0,
        }
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

impl DeclaredWatch {
    fn apply_event(&self, kind: ObjectKind, event: ObjectEvent) {
        {
            let mut declared = self.declared.lock();
            let objects = objects_of(&mut declared, kind);
            match event {
                ObjectEvent::Listed(listed) => {
                    *objects = listed.into_iter().map(|object| (Arc::clone(&object.name), object)).collect();
                    self.mark_listed(kind);
                }
                ObjectEvent::Changed(changes) => {
                    for change in changes {
                        let name = Arc::clone(&change.object.name);
                        if change.deleted {
                            objects.shift_remove(&name);
                        } else {
                            objects.insert(name, change.object);
                        }
                    }
                }
            }
        }
        self.changed.notify_one();
    }

    fn mark_listed(&self, kind: ObjectKind) {
        let mut listed_kinds = self.listed_kinds.lock();
        if !listed_kinds.contains(&kind) {
            listed_kinds.push(kind);
        }
    }

    /// Returns the declared objects, or `None` until every kind has been listed.
    fn snapshot(&self) -> Option<DeclaredObjects> {
        let complete = self.listed_kinds.lock().len() == ObjectKind::WRITABLE.len();
        complete.then(|| self.declared.lock().clone())
    }
}

fn objects_of(declared: &mut DeclaredObjects, kind: ObjectKind) -> &mut IndexMap<Arc<str>, Object> {
    match kind {
        ObjectKind::PrioritySet => &mut declared.priority_sets,
        ObjectKind::UpstreamRule => &mut declared.upstream_rules,
        _ => &mut declared.services,
    }
}

/// Returns whether two statuses are equal except for their epoch and time of writing.
fn has_same_content(last: &ServiceStatus, next: &ServiceStatus) -> bool {
    let without_origin =
        |status: &ServiceStatus| ServiceStatus { epoch: 0, written_unix_ms: 0, ..status.clone() };
    without_origin(last) == without_origin(next)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, for people who read a status.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
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
