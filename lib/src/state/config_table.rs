//! The configuration that a node applies, by service.

use std::sync::Arc;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::protocol::published::Published;
use crate::state::route_table::RouteTable;

/// Services by name at one moment.
pub type ConfigSnapshot = IndexMap<Arc<str>, Arc<Published>>;

/// Published configurations; a revision never gives way to a lower one.
#[derive(Debug, Default)]
pub struct ConfigTable {
    current: ArcSwap<ConfigSnapshot>,
    routes: ArcSwapOption<RouteTable>,
}

impl ConfigTable {
    /// An empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The table as it stands; readers take no lock.
    #[must_use]
    pub fn snapshot(&self) -> Arc<ConfigSnapshot> {
        self.current.load_full()
    }

    /// The publication of a service, deleted ones included, or what the routes declare of it.
    #[must_use]
    pub fn get(&self, service: &str) -> Option<Arc<Published>> {
        if let Some(published) = self.current.load().get(service) {
            return Some(Arc::clone(published));
        }
        let routes = self.routes.load();
        routes.as_ref().and_then(|routes| routes.service(service)).map(Arc::clone)
    }

    /// The routes in force, once any are known.
    #[must_use]
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.load_full()
    }

    /// Digest of the services and revisions held, the same on nodes that hold the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let table = self.current.load();
        revisions_digest(table.iter().map(|(service, published)| (service.as_ref(), published.revision)))
    }

    /// Takes over a publication unless the table holds one at least as new.
    pub fn apply(&self, published: Published) -> bool {
        let published = Arc::new(published);
        let mut applied = false;
        self.current.rcu(|table| {
            applied = is_newer(table, &published);
            if !applied {
                return Arc::clone(table);
            }
            let mut next = ConfigSnapshot::clone(table);
            next.insert(Arc::clone(&published.service), Arc::clone(&published));
            Arc::new(next)
        });
        if applied && let Some(set) = &published.routes {
            self.use_routes(&Arc::new(RouteTable::new(
                set,
                published.revision,
                self.routes.load().as_deref(),
            )));
        }
        applied
    }

    fn use_routes(&self, table: &Arc<RouteTable>) {
        self.routes.rcu(|held| match held {
            Some(held) if held.revision() >= table.revision() => Some(Arc::clone(held)),
            _ => Some(Arc::clone(table)),
        });
    }
}

fn is_newer(table: &ConfigSnapshot, published: &Published) -> bool {
    table.get(&published.service).is_none_or(|held| held.revision < published.revision)
}

/// Digest of services and revisions, whatever their order.
pub fn revisions_digest<'a, I>(revisions: I) -> u64
where
    I: IntoIterator<Item = (&'a str, u64)>,
{
    let digests =
        revisions.into_iter().map(|(service, revision)| xxh3_64_with_seed(service.as_bytes(), revision));
    digests.fold(0, |digest, one| digest ^ one)
}
