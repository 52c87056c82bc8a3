//! News that ride on datagrams, each a bounded number of times.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::protocol::member::Member;
use crate::protocol::member::MemberState;

/// Sendings of one piece of news per doubling of the fleet.
const SENDINGS_PER_DOUBLING: u32 = 2;

/// Room taken by a member's record beside its texts, in bytes.
const MEMBER_FIXED_BYTES: usize = 72;

/// Room taken by a revision beside the name of its service, in bytes.
const REVISION_FIXED_BYTES: usize = 8;

/// What a piece of news is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Subject {
    Member(Arc<str>),
    Service(Arc<str>),
}

#[derive(Clone, Debug)]
enum Content {
    Member(Arc<Member>),
    Revision(u64),
}

impl Content {
    fn is_settled_by_digest(&self) -> bool {
        let suspicion = matches!(self, Self::Member(member) if member.state == MemberState::Suspect);
        !suspicion && !self.is_urgent()
    }

    /// Whether the news takes work away from a node, which can't wait for an allowance.
    fn is_urgent(&self) -> bool {
        let Self::Member(member) = self else {
            return false;
        };
        let draining = member.upstream.as_ref().is_some_and(|upstream| upstream.draining);
        member.state == MemberState::Leaving || draining
    }
}

#[derive(Debug)]
struct Entry {
    content: Content,
    sendings: u32,
}

/// What fits into one datagram.
#[derive(Clone, Debug, Default)]
pub struct NewsBatch {
    /// Records of members.
    pub members: Vec<Arc<Member>>,
    /// Revisions by service.
    pub revisions: Vec<(Arc<str>, u64)>,
    /// Room that ordinary news takes, in bytes.
    pub ordinary_bytes: usize,
    /// Room that urgent news takes, in bytes.
    pub urgent_bytes: usize,
}

/// Room for news in one datagram.
#[derive(Clone, Copy, Debug)]
pub struct NewsRoom {
    /// For all of it, in bytes.
    pub total_bytes: usize,
    /// For ordinary news, which is held to an allowance, in bytes.
    pub ordinary_bytes: usize,
}

/// The latest news by subject; news sent least often goes first.
#[derive(Debug, Default)]
pub struct NewsQueue {
    entries: IndexMap<Subject, Entry>,
}

impl NewsQueue {
    /// Whether nothing waits to be sent.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether something waits that every node has to hear of soon: a revision, or that a member leaves.
    #[must_use]
    pub fn is_pressing(&self) -> bool {
        let pressing =
            |entry: &Entry| entry.content.is_urgent() || matches!(entry.content, Content::Revision(_));
        self.entries.values().any(pressing)
    }

    /// Queues a member's record in place of any older news about it.
    pub fn push_member(&mut self, member: Arc<Member>) {
        let subject = Subject::Member(Arc::clone(&member.id.name));
        self.entries.insert(subject, Entry { content: Content::Member(member), sendings: 0 });
    }

    /// Queues a service's revision in place of any older one.
    pub fn push_revision(&mut self, service: Arc<str>, revision: u64) {
        let entry = Entry { content: Content::Revision(revision), sendings: 0 };
        self.entries.insert(Subject::Service(service), entry);
    }

    /// A peer's digest agreed, so that it knows everything that digests cover: that counts as a sending.
    ///
    /// Suspicion leaves no trace in digests, and urgent news is sent in any case.
    pub fn note_agreement(&mut self, fleet_size: usize) {
        let limit = sending_limit(fleet_size);
        for entry in self.entries.values_mut().filter(|entry| entry.content.is_settled_by_digest()) {
            entry.sendings += 1;
        }
        self.entries.retain(|_, entry| entry.sendings < limit);
    }

    /// Takes what fits, urgent news first, for one of `fleet_size` nodes.
    pub fn take(&mut self, room: NewsRoom, fleet_size: usize) -> NewsBatch {
        if self.entries.is_empty() {
            return NewsBatch::default();
        }
        self.entries.sort_by_cached_key(|_, entry| (!entry.content.is_urgent(), entry.sendings));
        let limit = sending_limit(fleet_size);
        let mut batch = NewsBatch::default();
        for (subject, entry) in &mut self.entries {
            if batch.add(subject, &entry.content, room) {
                entry.sendings += 1;
            }
        }
        self.entries.retain(|_, entry| entry.sendings < limit);
        batch
    }
}

impl NewsBatch {
    /// Adds a piece of news if it fits.
    fn add(&mut self, subject: &Subject, content: &Content, room: NewsRoom) -> bool {
        let bytes = match (subject, content) {
            (Subject::Service(service), Content::Revision(_)) => service.len() + REVISION_FIXED_BYTES,
            (_, Content::Member(member)) => member_bytes(member),
            _ => return false,
        };
        let urgent = content.is_urgent();
        let full = self.ordinary_bytes + self.urgent_bytes + bytes > room.total_bytes;
        if full || (!urgent && self.ordinary_bytes + bytes > room.ordinary_bytes) {
            return false;
        }
        if urgent {
            self.urgent_bytes += bytes;
        } else {
            self.ordinary_bytes += bytes;
        }
        match (subject, content) {
            (Subject::Service(service), Content::Revision(revision)) => {
                self.revisions.push((Arc::clone(service), *revision));
            }
            (_, Content::Member(member)) => self.members.push(Arc::clone(member)),
            _ => {}
        }
        true
    }
}

/// Upper bound of a member's record on the wire, in bytes.
#[must_use]
pub fn member_bytes(member: &Member) -> usize {
    let service = member.upstream.as_ref().map_or(0, |upstream| upstream.service.len() + 12);
    MEMBER_FIXED_BYTES + member.id.name.len() + member.region.len() + member.zone.len() + service
}

/// How often each piece of news is sent by one of `fleet_size` nodes.
#[must_use]
pub fn sending_limit(fleet_size: usize) -> u32 {
    let doublings = usize::BITS - fleet_size.leading_zeros();
    SENDINGS_PER_DOUBLING * doublings.max(1)
}
