//! The published configuration of each service, as a node applies it.

use std::num::NonZeroU32;
use std::sync::Arc;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use indexmap::IndexMap;
use tokio::sync::watch;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::protocol::evacuation::EVACUATIONS_NAME;
use crate::protocol::evacuation::EvacuationSet;
use crate::protocol::published::Published;
use crate::protocol::route::ROUTES_NAME;
use crate::state::route_table::RouteTable;

/// An immutable view of the published configurations by service name.
pub type ConfigSnapshot = IndexMap<Arc<str>, Arc<Published>>;

/// Published configurations and routes; a publication is replaced only by one of a newer revision.
#[derive(Debug, Default)]
pub struct ConfigTable {
    current: ArcSwap<ConfigSnapshot>,
    routes: ArcSwapOption<RouteTable>,
    /// Latest time at which the table was known to hold the platform's latest configuration.
    confirmed_at: ArcSwapOption<Instant>,
    evacuations: ArcSwapOption<EvacuationSet>,
    /// Revision of the evacuations in force.
    evacuations_revision: watch::Sender<u64>,
}

impl ConfigTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current configurations without locking.
    #[must_use]
    pub fn snapshot(&self) -> Arc<ConfigSnapshot> {
        self.current.load_full()
    }

    /// Returns the publication of a service, or else the one that the routes declare.
    ///
    /// The publication of a deleted service is returned too.
    #[must_use]
    pub fn get(&self, service: &str) -> Option<Arc<Published>> {
        if let Some(published) = self.current.load().get(service) {
            return Some(Arc::clone(published));
        }
        let routes = self.routes.load();
        routes.as_ref().and_then(|routes| routes.service(service)).map(Arc::clone)
    }

    /// Returns the weight by which a caller shares slots with others, if it is a tenant with a limit.
    #[must_use]
    pub fn caller_weight(&self, caller: &str) -> Option<NonZeroU32> {
        let routes = self.routes.load();
        routes.as_ref()?.tenants()?.find_by_name(caller)?.weight()
    }

    /// Returns the routes in force, or `None` before the first ones are applied.
    #[must_use]
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.load_full()
    }

    /// Records a time at which the table was known to hold the platform's latest configuration.
    pub fn record_confirmation(&self, confirmed_at: Option<Instant>) {
        if self.confirmed_at() < confirmed_at {
            self.confirmed_at.store(confirmed_at.map(Arc::new));
        }
    }

    /// Returns the latest time at which the table was known to hold the platform's latest configuration.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at.load().as_deref().copied()
    }

    /// Returns the evacuated zones, or `None` as long as no zone has been evacuated.
    #[must_use]
    pub fn evacuations(&self) -> Option<Arc<EvacuationSet>> {
        self.evacuations.load_full()
    }

    /// Returns a receiver that is notified when the evacuated zones change.
    #[must_use]
    pub fn evacuations_changed(&self) -> watch::Receiver<u64> {
        self.evacuations_revision.subscribe()
    }

    /// Returns whether the node knows services or routes, so that it can serve calls.
    #[must_use]
    pub fn is_configured(&self) -> bool {
        self.current.load().keys().any(|name| **name != *EVACUATIONS_NAME)
    }

    /// Returns a digest of the services and their revisions; nodes with equal tables have equal digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let table = self.current.load();
        revisions_digest(table.iter().map(|(service, published)| (service.as_ref(), published.revision)))
    }

    /// Applies a publication if it is newer than the current one and returns whether it was applied.
    ///
    /// Evacuations without content are not applied: a node of a build that does not know them passes them on so.
    pub fn apply(&self, published: Published) -> bool {
        if *published.service == *EVACUATIONS_NAME && published.evacuations.is_none() {
            return false;
        }
        let published = Arc::new(published);
        let mut applied = false;
        self.current.rcu(|table| {
            applied = is_newer(table, &published);
            if !applied {
                return Arc::clone(table);
            }
            let mut updated = ConfigSnapshot::clone(table);
            updated.insert(Arc::clone(&published.service), Arc::clone(&published));
            Arc::new(updated)
        });
        if applied
            && *published.service == *ROUTES_NAME
            && let Some(route_set) = &published.routes
        {
            self.replace_routes(&Arc::new(RouteTable::new(
                route_set,
                published.revision,
                self.routes.load().as_deref(),
            )));
        }
        if applied
            && *published.service == *EVACUATIONS_NAME
            && let Some(evacuations) = &published.evacuations
        {
            self.replace_evacuations(evacuations, published.revision);
        }
        applied
    }

    /// Replaces the evacuated zones unless the current ones are at least as new.
    fn replace_evacuations(&self, evacuations: &EvacuationSet, revision: u64) {
        self.evacuations_revision.send_if_modified(|current| {
            if *current >= revision {
                return false;
            }
            *current = revision;
            self.evacuations.store(Some(Arc::new(evacuations.clone())));
            true
        });
    }

    /// Replaces the routes unless the current ones are at least as new.
    fn replace_routes(&self, table: &Arc<RouteTable>) {
        self.routes.rcu(|current| match current {
            Some(current) if current.revision() >= table.revision() => Some(Arc::clone(current)),
            _ => Some(Arc::clone(table)),
        });
    }
}

fn is_newer(table: &ConfigSnapshot, published: &Published) -> bool {
    table.get(&published.service).is_none_or(|current| current.revision < published.revision)
}

/// Returns a digest of services and revisions that does not depend on their order.
pub fn revisions_digest<'a, I>(revisions: I) -> u64
where
    I: IntoIterator<Item = (&'a str, u64)>,
{
    let digests =
        revisions.into_iter().map(|(service, revision)| xxh3_64_with_seed(service.as_bytes(), revision));
    digests.fold(0, |combined, digest| combined ^ digest)
}
