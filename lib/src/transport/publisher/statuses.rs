//! Service statuses: which are due, and their writes and deletions in rounds.

use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tokio::time::Instant;

use crate::coordination::publication::DeclaredObjects;
use crate::coordination::publication_planner::PublicationPlanner;
use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::protocol::published::FieldProblem;
use crate::protocol::published::ServiceStatus;
use crate::transport::fleet_link::FleetLink;
use crate::transport::platform::Platform;
use crate::transport::platform::PlatformError;
use crate::transport::platform::Result;
use crate::transport::publisher::Publisher;
use crate::transport::publisher::declared_watch::DeclaredWatch;
use crate::transport::publisher::held_lease::HeldLease;
use crate::transport::resolved_write::WriteOutcome;

/// Maximum number of statuses written in one round; the others wait for the next round.
const MAX_STATUS_WRITES: usize = 20;

impl<P, F> Publisher<P, F>
where
    P: Platform,
    F: FleetLink,
{
    /// Reads all statuses again, since a status write without a response may have taken effect late.
    pub(super) async fn reread_statuses(&self, planner: &mut PublicationPlanner) -> Result<()> {
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

    /// Writes statuses that are due and deletes those of services that are no longer declared.
    pub(super) async fn write_statuses(
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
