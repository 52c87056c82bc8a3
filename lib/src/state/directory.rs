//! The members that a node knows and the upstreams beside them.

use std::sync::Arc;

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::protocol::member::Member;
use crate::state::upstream_stats::UpstreamStats;

/// Place of a member in one snapshot of the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberKey(u32);

/// A member and what this node learned about it.
#[derive(Clone, Debug)]
pub struct DirectoryEntry {
    /// The member's own description.
    pub member: Arc<Member>,
    /// Figures of this incarnation's upstream.
    pub stats: Arc<UpstreamStats>,
}

/// The directory at one moment.
#[derive(Debug, Default)]
pub struct DirectorySnapshot {
    entries: Vec<DirectoryEntry>,
    by_name: IndexMap<Arc<str>, MemberKey>,
    by_service: IndexMap<Arc<str>, Vec<MemberKey>>,
}

/// Members by name, read without locks and replaced as a whole.
#[derive(Debug, Default)]
pub struct Directory {
    current: ArcSwap<DirectorySnapshot>,
}

impl DirectorySnapshot {
    /// The entry at a key of this snapshot.
    ///
    /// # Panics
    ///
    /// When the key came from another, larger snapshot.
    #[must_use]
    pub fn entry(&self, key: MemberKey) -> &DirectoryEntry {
        &self.entries[key.0 as usize]
    }

    /// The entry of the member with that name.
    #[must_use]
    pub fn by_name(&self, name: &str) -> Option<&DirectoryEntry> {
        self.by_name.get(name).map(|key| self.entry(*key))
    }

    /// Members whose upstream takes new work for the service.
    #[must_use]
    pub fn upstreams_of(&self, service: &str) -> &[MemberKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Every entry, in the order of their keys.
    pub fn entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries.iter()
    }
}

impl Directory {
    /// The directory as it stands; readers take no lock.
    #[must_use]
    pub fn snapshot(&self) -> Arc<DirectorySnapshot> {
        self.current.load_full()
    }

    /// Replaces the directory, keeping the figures of incarnations that stay.
    pub fn replace<I>(&self, members: I, now: Instant)
    where
        I: IntoIterator<Item = Arc<Member>>,
    {
        let old = self.current.load();
        let mut next = DirectorySnapshot::default();
        for member in members {
            let stats = kept_stats(&old, &member).unwrap_or_else(|| Arc::new(UpstreamStats::new(now)));
            next.push(DirectoryEntry { member, stats });
        }
        self.current.store(Arc::new(next));
    }
}

impl DirectorySnapshot {
    fn push(&mut self, entry: DirectoryEntry) {
        let key = MemberKey(u32::try_from(self.entries.len()).unwrap_or(u32::MAX));
        self.by_name.insert(Arc::clone(&entry.member.id.name), key);
        if let Some(upstream) = entry.member.upstream.as_ref().filter(|_| entry.member.takes_work()) {
            self.by_service.entry(Arc::clone(&upstream.service)).or_default().push(key);
        }
        self.entries.push(entry);
    }
}

fn kept_stats(old: &DirectorySnapshot, member: &Member) -> Option<Arc<UpstreamStats>> {
    let entry = old.by_name(&member.id.name)?;
    (entry.member.id == member.id).then(|| Arc::clone(&entry.stats))
}
