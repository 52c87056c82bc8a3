//! Holding the lease, publishing what operators declared, writing status.

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

/// Time without renewal after which others take the lease.
const LEASE_TTL: Duration = Duration::from_secs(4);

/// Part of that time for which the holder itself relies on a renewal.
const SURE_FOR: Duration = Duration::from_millis(2_500);

const RENEW_INTERVAL: Duration = Duration::from_secs(1);
const CANDIDATE_INTERVAL: Duration = Duration::from_secs(1);
const STATUS_RESYNC: Duration = Duration::from_secs(30);
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// Statuses written in one round at most; the others wait for the next.
const MAX_STATUS_WRITES: usize = 20;

/// Publishes configurations while its node holds the lease.
#[derive(Debug)]
pub struct Publisher<P, F> {
    platform: P,
    fleet: F,
    metrics: SharedMetrics,
    lease: LeaseWatch,
}

/// A lease in hand and until when it is relied on.
#[derive(Debug)]
struct Held {
    value: LeaseValue,
    version: u64,
    sure_until: Instant,
}

/// What one read of the lease came to.
enum LeaseState {
    Mine(Held),
    Other(LeaseValue),
}

/// How a round of publishing ended.
enum Publishing {
    /// Nothing is due, or what failed was asked for again.
    Settled,
    /// The lease was no longer relied on; to be taken up when it is renewed.
    Interrupted,
    /// The lease is over.
    Over,
}

/// The objects that operators wrote, kept up by watches.
#[derive(Debug, Default)]
struct DeclaredWatch {
    declared: Mutex<DeclaredObjects>,
    listed: Mutex<Vec<ObjectKind>>,
    changed: Notify,
}

impl<P, F> Publisher<P, F>
where
    P: Platform,
    F: FleetLink,
{
    /// A publisher on behalf of `me`; nothing runs yet.
    #[must_use]
    pub fn new(platform: P, fleet: F, metrics: SharedMetrics, me: &MemberId) -> Self {
        let holder = Arc::from(format!("{}.{:x}", me.name, me.incarnation));
        Self { platform, fleet, metrics, lease: LeaseWatch::new(holder, LEASE_TTL) }
    }

    /// Works until told to stop.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut backoff = platform_backoff();
        while !stop.is_cancelled() {
            let mut pause = jittered(CANDIDATE_INTERVAL, &mut rand::rng());
            if self.fleet.leads_zone() {
                match self.candidate_round(&stop).await {
                    Ok(()) => backoff.reset(),
                    Err(error) => {
                        self.count("failed");
                        log::debug!("platform round failed; error={error}");
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

    async fn candidate_round(&mut self, stop: &CancellationToken) -> Result<()> {
        match self.try_lease().await? {
            LeaseState::Mine(held) => self.hold(held, stop).await,
            LeaseState::Other(value) => {
                self.fleet.report_zone(&value).await;
                Ok(())
            }
        }
    }

    async fn try_lease(&mut self) -> Result<LeaseState> {
        self.count("lease");
        let object = self.platform.get(ObjectKind::Lease, PUBLISHER_LEASE).await?;
        let read = object.as_ref().map(read_value::<LeaseValue>).transpose()?;
        let decision = self.lease.decide(read.clone(), Instant::now());
        let LeaseDecision::Write(value) = decision else {
            let holder =
                read.ok_or_else(|| PlatformError::BadAnswer { reason: "no lease to wait for".to_owned() })?;
            return Ok(LeaseState::Other(holder));
        };
        let precondition =
            object.map_or(Precondition::Absent, |object| Precondition::Version(object.version));
        self.write_lease(value, precondition).await
    }

    async fn write_lease(&self, value: LeaseValue, precondition: Precondition) -> Result<LeaseState> {
        let sure_until = Instant::now() + SURE_FOR;
        match self.write(ObjectKind::Lease, PUBLISHER_LEASE, &value, precondition).await? {
            WriteOutcome::Written(version) => Ok(LeaseState::Mine(Held { value, version, sure_until })),
            WriteOutcome::Lost(current) | WriteOutcome::Overtaken(current) => {
                let current = current.as_deref().map(read_value::<LeaseValue>).transpose()?;
                Ok(LeaseState::Other(current.unwrap_or(value)))
            }
        }
    }

    /// Publishes and writes status for as long as the lease is renewed.
    async fn hold(&mut self, mut held: Held, stop: &CancellationToken) -> Result<()> {
        log::info!("lease held; epoch={}", held.value.epoch);
        let watch = Arc::new(DeclaredWatch::default());
        let _watchers = self.spawn_watchers(&watch);
        let mut planner = self.load_planner().await?;
        let mut renewals = tokio::time::interval(RENEW_INTERVAL);
        let mut status_rounds = tokio::time::interval(STATUS_INTERVAL);
        let mut resyncs = tokio::time::interval_at(Instant::now() + STATUS_RESYNC, STATUS_RESYNC);
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
                        Publishing::Settled => {}
                        Publishing::Interrupted => interrupted = true,
                        Publishing::Over => return Ok(()),
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
            watchers.spawn(watch_objects(platform, kind, metrics, move |event| watch.take(kind, event)));
        }
        watchers
    }

    async fn load_planner(&self) -> Result<PublicationPlanner> {
        self.count("list");
        let published = self.platform.list(ObjectKind::Published).await?;
        self.count("list");
        let statuses = self.platform.list(ObjectKind::ServiceStatus).await?;
        for object in &published.objects {
            self.learn(Some(object));
        }
        Ok(PublicationPlanner::new(&published.objects, &statuses.objects))
    }

    /// Applies a publication found in the platform, whose writer may be gone before it applied it.
    fn learn(&self, found: Option<&Object>) {
        if let Some(published) = found.and_then(|object| read_value::<Published>(object).ok()) {
            self.fleet.apply(published);
        }
    }

    /// The renewed lease, or nothing when it is another's, or this node no longer leads its zone.
    async fn renew(&self, held: &Held) -> Result<Option<Held>> {
        if !self.fleet.leads_zone() {
            log::info!("lease handed back, since another node leads the zone; epoch={}", held.value.epoch);
            self.release(held).await?;
            return Ok(None);
        }
        let value = LeaseValue { renewal: held.value.renewal + 1, ..held.value.clone() };
        match self.write_lease(value, Precondition::Version(held.version)).await {
            Ok(LeaseState::Mine(renewed)) => Ok(Some(renewed)),
            Ok(LeaseState::Other(value)) => {
                log::info!("lease lost; epoch={} holder={}", held.value.epoch, value.holder);
                Ok(None)
            }
            // The lease is still relied on for a while; the next tick tries again.
            Err(error) if Instant::now() < held.sure_until => {
                log::debug!("lease not renewed; error={error}");
                let value = held.value.clone();
                Ok(Some(Held { value, version: held.version, sure_until: held.sure_until }))
            }
            Err(error) => Err(error),
        }
    }

    async fn release(&self, held: &Held) -> Result<()> {
        let value = LeaseWatch::release_value(&held.value);
        self.write(ObjectKind::Lease, PUBLISHER_LEASE, &value, Precondition::Version(held.version)).await?;
        Ok(())
    }

    /// Reads every status again, since one written without an answer may have come late.
    async fn reread_statuses(&self, planner: &mut PublicationPlanner) -> Result<()> {
        self.count("list");
        match self.platform.list(ObjectKind::ServiceStatus).await {
            Ok(listing) => planner.replace_statuses(&listing.objects),
            Err(error) => {
                self.count("failed");
                log::debug!("statuses not read again; error={error}");
            }
        }
        Ok(())
    }

    /// Writes every publication that is due.
    async fn publish(
        &self,
        planner: &mut PublicationPlanner,
        watch: &DeclaredWatch,
        held: &Held,
    ) -> Result<Publishing> {
        let Some(declared) = watch.snapshot() else {
            return Ok(Publishing::Settled);
        };
        let epoch = held.value.epoch;
        let floor = |service: &str| self.fleet.revision(service);
        loop {
            if Instant::now() >= held.sure_until {
                return Ok(Publishing::Interrupted);
            }
            let publication = match planner.plan(&declared, floor, epoch) {
                PublicationStep::Publish(publication) => publication,
                PublicationStep::StepDown => return Ok(Publishing::Over),
                PublicationStep::UpToDate => return Ok(Publishing::Settled),
            };
            let name = Arc::clone(&publication.published.service);
            let settled =
                self.write(ObjectKind::Published, &name, &publication.published, publication.precondition);
            match settled.await {
                Ok(WriteOutcome::Written(version)) => {
                    log::info!(
                        "published; service={name} revision={} epoch={epoch}",
                        publication.published.revision
                    );
                    planner.record_published(publication.published.clone(), version);
                    self.fleet.apply(publication.published);
                }
                Ok(WriteOutcome::Lost(current) | WriteOutcome::Overtaken(current)) => {
                    planner.replace_published(&name, current.as_deref());
                    self.learn(current.as_deref());
                }
                Err(error) => {
                    log::debug!("not published; service={name} error={error}");
                    watch.changed.notify_one();
                    self.pause_after_failure().await;
                    return Ok(Publishing::Settled);
                }
            }
        }
    }

    /// Lets the platform breathe before the same write is tried again on the same condition.
    async fn pause_after_failure(&self) {
        self.count("failed");
        let pause = platform_backoff().next_delay(&mut rand::rng());
        tokio::time::sleep(pause).await;
    }

    async fn write_statuses(
        &self,
        planner: &mut PublicationPlanner,
        watch: &DeclaredWatch,
        held: &Held,
    ) -> Result<()> {
        let Some(declared) = watch.snapshot() else {
            return Ok(());
        };
        self.fleet.refresh();
        let mut writes = 0;
        for service in declared.services.values() {
            if writes >= MAX_STATUS_WRITES || Instant::now() >= held.sure_until {
                return Ok(());
            }
            if let Some(status) = self.due_status(planner, service, &declared, held.value.epoch) {
                self.write_status(planner, &service.name, status).await?;
                writes += 1;
            }
        }
        self.delete_obsolete(planner, &declared).await
    }

    /// The status to write, or nothing when the one written still says it.
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
        let mut status = self.status(service, revision, problems);
        status.epoch = epoch;
        status.written_unix_ms = unix_ms();
        let same = last.is_some_and(|last| says_the_same(last, &status));
        (!same).then_some(status)
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
            Ok(WriteOutcome::Lost(current) | WriteOutcome::Overtaken(current)) => {
                planner.replace_status(name, current.as_deref());
            }
            // A status is worth no more than its moment: the next round says what is so then.
            Err(error) => {
                self.count("failed");
                log::debug!("status not written; service={name} error={error}");
            }
        }
        Ok(())
    }

    async fn delete_obsolete(
        &self,
        planner: &mut PublicationPlanner,
        declared: &DeclaredObjects,
    ) -> Result<()> {
        for (name, version) in planner.obsolete_statuses(declared) {
            self.count("write");
            match self.platform.delete(ObjectKind::ServiceStatus, &name, version).await {
                Ok(()) | Err(PlatformError::Refused { status: 404, .. }) => {
                    planner.replace_status(&name, None);
                }
                Err(PlatformError::Conflict { current }) => planner.replace_status(&name, current.as_deref()),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn status(&self, service: &Object, revision: Option<u64>, problems: Vec<FieldProblem>) -> ServiceStatus {
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

    fn count(&self, reason: &'static str) {
        Metrics::count(&self.metrics.platform_calls, reason);
    }
}

impl DeclaredWatch {
    fn take(&self, kind: ObjectKind, event: ObjectEvent) {
        {
            let mut declared = self.declared.lock();
            let objects = objects_of(&mut declared, kind);
            match event {
                ObjectEvent::Listed(listed) => {
                    *objects = listed.into_iter().map(|object| (Arc::clone(&object.name), object)).collect();
                    self.note_listed(kind);
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

    fn note_listed(&self, kind: ObjectKind) {
        let mut listed = self.listed.lock();
        if !listed.contains(&kind) {
            listed.push(kind);
        }
    }

    /// What is declared, once every kind has been read.
    fn snapshot(&self) -> Option<DeclaredObjects> {
        let complete = self.listed.lock().len() == ObjectKind::WRITABLE.len();
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

/// Whether two statuses differ in nothing but who wrote them and when.
fn says_the_same(last: &ServiceStatus, next: &ServiceStatus) -> bool {
    let unsigned = |status: &ServiceStatus| ServiceStatus { epoch: 0, written_unix_ms: 0, ..status.clone() };
    unsigned(last) == unsigned(next)
}

/// The wall clock, for people who read a status.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

fn read_value<T>(object: &Object) -> Result<T>
where
    T: DeserializeOwned,
{
    serde_json::from_value(object.value.clone()).map_err(|error| PlatformError::BadAnswer {
        reason: format!("object {} {}: {error}", object.kind, object.name),
    })
}
