//! The members known to a node and the upstreams that run beside them, indexed for routing.

use std::sync::Arc;

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::protocol::member::Member;
use crate::state::upstream_stats::UpstreamStats;

/// Index of a member in one snapshot of the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberKey(u32);

/// A member and this node's statistics of its upstream.
#[derive(Clone, Debug)]
pub struct DirectoryEntry {
    /// Description that the member publishes of itself.
    pub member: Arc<Member>,
    /// Statistics of the upstream beside this incarnation of the member.
    pub stats: Arc<UpstreamStats>,
}

/// An immutable view of the directory.
#[derive(Debug, Default)]
pub struct DirectorySnapshot {
    entries: Vec<DirectoryEntry>,
    by_name: IndexMap<Arc<str>, MemberKey>,
    /// Members by the service of an upstream that accepts new work.
    by_service: IndexMap<Arc<str>, Vec<MemberKey>>,
}

/// Members by name and service, read without locks and replaced as a whole.
#[derive(Debug, Default)]
pub struct Directory {
    current: ArcSwap<DirectorySnapshot>,
}

impl DirectorySnapshot {
    /// Returns the entry of a key that this snapshot issued.
    ///
    /// # Panics
    ///
    /// May panic if the key was issued by another snapshot.
    #[must_use]
    pub fn entry(&self, key: MemberKey) -> &DirectoryEntry {
        &self.entries[key.0 as usize]
    }

    /// Returns the entry of the member with the given name.
    #[must_use]
    pub fn by_name(&self, name: &str) -> Option<&DirectoryEntry> {
        self.by_name.get(name).map(|key| self.entry(*key))
    }

    /// Returns the members whose upstream serves the service and accepts new work.
    #[must_use]
    pub fn members_serving(&self, service: &str) -> &[MemberKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns all entries in the order of their keys.
    pub fn entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries.iter()
    }
}

impl Directory {
    /// Returns the current directory without locking.
    #[must_use]
    pub fn snapshot(&self) -> Arc<DirectorySnapshot> {
        self.current.load_full()
    }

    /// Replaces all members, keeping the statistics of the incarnations that remain.
    pub fn replace<I>(&self, members: I, now: Instant)
    where
        I: IntoIterator<Item = Arc<Member>>,
    {
        let previous = self.current.load();
        let mut snapshot = DirectorySnapshot::default();
        for member in members {
            let stats =
                existing_stats(&previous, &member).unwrap_or_else(|| Arc::new(UpstreamStats::new(now)));
            snapshot.push(DirectoryEntry { member, stats });
        }
        self.current.store(Arc::new(snapshot));
    }
}

impl DirectorySnapshot {
    fn push(&mut self, entry: DirectoryEntry) {
        let key = MemberKey(u32::try_from(self.entries.len()).unwrap_or(u32::MAX));
        self.by_name.insert(Arc::clone(&entry.member.id.name), key);
        if let Some(upstream) = entry.member.upstream.as_ref().filter(|_| entry.member.accepts_calls()) {
            self.by_service.entry(Arc::clone(&upstream.service)).or_default().push(key);
        }
        self.entries.push(entry);
    }
}

/// Returns the previous statistics of a member if it is still the same incarnation.
fn existing_stats(previous: &DirectorySnapshot, member: &Member) -> Option<Arc<UpstreamStats>> {
    let entry = previous.by_name(&member.id.name)?;
    (entry.member.id == member.id).then(|| Arc::clone(&entry.stats))
}
