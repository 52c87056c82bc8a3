//! The configuration that a node applies, by service.

use std::sync::Arc;

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::protocol::published::Published;

/// Services by name at one moment.
pub type ConfigSnapshot = IndexMap<Arc<str>, Arc<Published>>;

/// Published configurations; a revision never gives way to a lower one.
#[derive(Debug, Default)]
pub struct ConfigTable {
    current: ArcSwap<ConfigSnapshot>,
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

    /// The publication of a service, deleted ones included.
    #[must_use]
    pub fn get(&self, service: &str) -> Option<Arc<Published>> {
        self.current.load().get(service).map(Arc::clone)
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
        applied
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
