//! Holding the lease, publishing what operators declared, writing status.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::coordination::lease::LeaseStep;
use crate::coordination::lease::LeaseValue;
use crate::coordination::lease::LeaseWatch;
use crate::coordination::lease::PUBLISHER_LEASE;
use crate::coordination::publication::Declared;
use crate::coordination::publication::next_publication;
use crate::coordination::publication::resolve;
use crate::protocol::member::MemberId;
use crate::protocol::member::MemberState;
use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::protocol::object::Precondition;
use crate::protocol::published::FieldProblem;
use crate::protocol::published::Published;
use crate::protocol::published::PublishedConfig;
use crate::protocol::published::ServiceStatus;
use crate::state::config_table::ConfigTable;
use crate::state::directory::Directory;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::transport::platform::Platform;
use crate::transport::platform::PlatformError;
use crate::transport::platform::Result;

const LEASE_TTL: Duration = Duration::from_secs(3);
const HOLDER_INTERVAL: Duration = Duration::from_millis(500);
const OTHER_INTERVAL: Duration = Duration::from_secs(1);

/// Publishes configurations while its node holds the lease.
#[derive(Debug)]
pub struct Publisher<P> {
    platform: P,
    lease: LeaseWatch,
    config: Arc<ConfigTable>,
    directory: Arc<Directory>,
    metrics: SharedMetrics,
}

impl<P> Publisher<P>
where
    P: Platform,
{
    /// A publisher on behalf of `me`; nothing runs yet.
    #[must_use]
    pub fn new(
        platform: P,
        me: &MemberId,
        config: Arc<ConfigTable>,
        directory: Arc<Directory>,
        metrics: SharedMetrics,
    ) -> Self {
        let holder = Arc::from(format!("{}.{:x}", me.name, me.incarnation));
        Self { platform, lease: LeaseWatch::new(holder, LEASE_TTL), config, directory, metrics }
    }

    /// Works until told to stop.
    pub async fn run(mut self, stop: CancellationToken) {
        loop {
            let pause = match self.round().await {
                Ok(true) => HOLDER_INTERVAL,
                Ok(false) => OTHER_INTERVAL,
                Err(error) => {
                    Metrics::count(&self.metrics.platform_calls, "failed");
                    log::debug!("platform round failed; error={error}");
                    OTHER_INTERVAL
                }
            };
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    async fn round(&mut self) -> Result<bool> {
        let Some(lease) = self.hold_lease().await? else {
            return Ok(false);
        };
        let declared = self.declared().await?;
        let published = self.by_name(ObjectKind::Published).await?;
        let statuses = self.by_name(ObjectKind::ServiceStatus).await?;
        for service in declared.services.values() {
            self.publish_service(service, &declared, &published, &statuses, lease.epoch).await?;
        }
        for (name, object) in &published {
            if !declared.services.contains_key(name) {
                self.publish(name, None, Some(object), lease.epoch).await?;
            }
        }
        Ok(true)
    }

    async fn hold_lease(&mut self) -> Result<Option<LeaseValue>> {
        Metrics::count(&self.metrics.platform_calls, "lease");
        let object = self.platform.get(ObjectKind::Lease, PUBLISHER_LEASE).await?;
        let read = object.as_ref().map(read_value::<LeaseValue>).transpose()?;
        let LeaseStep::Write(value) = self.lease.step(read, Instant::now()) else {
            return Ok(None);
        };
        let written = self.write(ObjectKind::Lease, PUBLISHER_LEASE, &value, object.as_ref()).await;
        match written {
            Ok(_) => Ok(Some(value)),
            Err(PlatformError::Conflict { .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    async fn declared(&self) -> Result<Declared> {
        Ok(Declared {
            services: self.by_name(ObjectKind::Service).await?,
            priority_sets: self.by_name(ObjectKind::PrioritySet).await?,
            upstream_rules: self.by_name(ObjectKind::UpstreamRule).await?,
        })
    }

    async fn by_name(&self, kind: ObjectKind) -> Result<IndexMap<Arc<str>, Object>> {
        Metrics::count(&self.metrics.platform_calls, "list");
        let listing = self.platform.list(kind).await?;
        Ok(listing.objects.into_iter().map(|object| (Arc::clone(&object.name), object)).collect())
    }

    async fn publish_service(
        &self,
        service: &Object,
        declared: &Declared,
        published: &IndexMap<Arc<str>, Object>,
        statuses: &IndexMap<Arc<str>, Object>,
        epoch: u64,
    ) -> Result<()> {
        let name = &service.name;
        let last = published.get(name);
        let (revision, problems) = match resolve(service, declared) {
            Ok(config) => (self.publish(name, Some(config), last, epoch).await?, Vec::new()),
            Err(problems) => {
                (last.map(read_value::<Published>).transpose()?.map(|last| last.revision), problems)
            }
        };
        let status = self.status(service, revision, problems);
        let last = statuses.get(name);
        if last.is_some_and(|last| read_value::<ServiceStatus>(last).is_ok_and(|last| last == status)) {
            return Ok(());
        }
        self.write(ObjectKind::ServiceStatus, name, &status, last).await?;
        Ok(())
    }

    /// Publishes the configuration unless it is already; the revision that stands.
    async fn publish(
        &self,
        name: &Arc<str>,
        config: Option<PublishedConfig>,
        last: Option<&Object>,
        epoch: u64,
    ) -> Result<Option<u64>> {
        let last_published = last.map(read_value::<Published>).transpose()?;
        let Some(next) = next_publication(name, config, last_published.as_ref(), epoch) else {
            let revision = last_published.as_ref().map(|last| last.revision);
            if let Some(last) = last_published {
                self.config.apply(last);
            }
            return Ok(revision);
        };
        self.write(ObjectKind::Published, name, &next, last).await?;
        log::info!("published; service={name} revision={} epoch={epoch}", next.revision);
        let revision = next.revision;
        self.config.apply(next);
        Ok(Some(revision))
    }

    fn status(&self, service: &Object, revision: Option<u64>, problems: Vec<FieldProblem>) -> ServiceStatus {
        let snapshot = self.directory.snapshot();
        let digest = self.config.digest();
        let alive = || snapshot.entries().filter(|entry| entry.member.state != MemberState::Dead);
        let lagging = alive().filter(|entry| entry.member.config_digest != digest);
        let lagging_nodes: Vec<Arc<str>> = lagging.map(|entry| Arc::clone(&entry.member.id.name)).collect();
        let known = alive().count();
        let ready = snapshot.upstreams_of(&service.name).len();
        ServiceStatus {
            observed_version: service.version,
            accepted: problems.is_empty(),
            problems,
            revision,
            applied_nodes: count(known - lagging_nodes.len()),
            known_nodes: count(known),
            applied: revision.is_some() && lagging_nodes.is_empty(),
            lagging_nodes,
            ready_upstreams: count(ready),
        }
    }

    async fn write<T>(&self, kind: ObjectKind, name: &str, value: &T, last: Option<&Object>) -> Result<Object>
    where
        T: Serialize + Sync,
    {
        Metrics::count(&self.metrics.platform_calls, "write");
        let value = serde_json::to_value(value).unwrap_or(Value::Null);
        let precondition = last.map_or(Precondition::Absent, |last| Precondition::Version(last.version));
        self.platform.put(kind, name, &value, precondition).await
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn read_value<T>(object: &Object) -> Result<T>
where
    T: DeserializeOwned,
{
    serde_json::from_value(object.value.clone()).map_err(|error| PlatformError::BadAnswer {
        reason: format!("object {} {}: {error}", object.kind, object.name),
    })
}
