//! News that ride on datagrams, each a bounded number of times.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::protocol::member::Member;

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
    /// Room that they take, in bytes.
    pub bytes: usize,
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

    /// Takes what fits into `max_bytes`, for one of `fleet_size` nodes.
    pub fn take(&mut self, max_bytes: usize, fleet_size: usize) -> NewsBatch {
        if self.entries.is_empty() {
            return NewsBatch::default();
        }
        self.entries.sort_by(|_, left, _, right| left.sendings.cmp(&right.sendings));
        let limit = sending_limit(fleet_size);
        let mut batch = NewsBatch::default();
        for (subject, entry) in &mut self.entries {
            if batch.add(subject, &entry.content, max_bytes) {
                entry.sendings += 1;
            }
        }
        self.entries.retain(|_, entry| entry.sendings < limit);
        batch
    }
}

impl NewsBatch {
    /// Adds a piece of news if it fits.
    fn add(&mut self, subject: &Subject, content: &Content, max_bytes: usize) -> bool {
        let bytes = match (subject, content) {
            (Subject::Service(service), Content::Revision(_)) => service.len() + REVISION_FIXED_BYTES,
            (_, Content::Member(member)) => member_bytes(member),
            _ => return false,
        };
        if self.bytes + bytes > max_bytes {
            return false;
        }
        self.bytes += bytes;
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
