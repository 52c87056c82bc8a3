//! Queue of gossip updates that are attached to datagrams, each a bounded number of times.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::protocol::member::Member;
use crate::protocol::member::MemberState;

/// Transmissions of one update per binary digit of the fleet size.
const TRANSMISSIONS_PER_SIZE_BIT: u32 = 2;

/// Size of a member's record without its strings, in bytes.
const MEMBER_BASE_BYTES: usize = 72;

/// Size of the revision of a service's configuration without the name of the service, in bytes.
pub(super) const CONFIG_REVISION_BASE_BYTES: usize = 8;

/// Key of an update: the member or service that it is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Subject {
    Member(Arc<str>),
    Service(Arc<str>),
}

/// Payload of an update.
#[derive(Clone, Debug)]
enum Content {
    Member(Arc<Member>),
    ConfigRevision(u64),
}

impl Content {
    /// Returns whether an equal digest at a peer makes it needless to send this update to that peer.
    fn is_settled_by_equal_digest(&self) -> bool {
        let is_suspicion = matches!(self, Self::Member(member) if member.state == MemberState::Suspect);
        !is_suspicion && !self.is_urgent()
    }

    /// Returns whether the update must reach every node soon.
    fn spreads_fast(&self) -> bool {
        self.is_urgent() || matches!(self, Self::ConfigRevision(_))
    }

    /// Returns whether the update says that a node is leaving or draining.
    ///
    /// Such an update stops traffic to the node, and so is exempt from the bandwidth allowance.
    fn is_urgent(&self) -> bool {
        let Self::Member(member) = self else {
            return false;
        };
        let draining = member.upstream.as_ref().is_some_and(|upstream| upstream.draining);
        member.state == MemberState::Leaving || draining
    }
}

/// A queued update and the number of times that it was sent.
#[derive(Debug)]
struct QueuedUpdate {
    content: Content,
    transmissions: u32,
}

/// Updates chosen for one datagram.
#[derive(Clone, Debug, Default)]
pub struct GossipBatch {
    /// Records of members.
    pub members: Vec<Arc<Member>>,
    /// Pairs of a service's name and the revision of its configuration.
    pub revisions: Vec<(Arc<str>, u64)>,
    /// Size of the ordinary updates, in bytes.
    pub ordinary_bytes: usize,
    /// Size of the urgent updates, in bytes.
    pub urgent_bytes: usize,
}

/// Updates that a datagram may carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipScope {
    /// All updates.
    All,
    /// Updates that must reach every node soon: urgent ones and revisions of configurations.
    FastSpreading,
}

/// Space for updates in one datagram.
#[derive(Clone, Copy, Debug)]
pub struct GossipSpace {
    /// Space for all updates, in bytes.
    pub total_bytes: usize,
    /// Space for ordinary updates, which are limited by the bandwidth allowance, in bytes.
    pub ordinary_bytes: usize,
}

/// The latest update by subject; urgent updates are sent first, then those sent least often.
#[derive(Debug, Default)]
pub struct GossipQueue {
    entries: IndexMap<Subject, QueuedUpdate>,
}

impl GossipQueue {
    /// Returns whether no update is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether an update is queued that must reach every node soon.
    ///
    /// These are urgent updates and revisions of configurations.
    #[must_use]
    pub fn needs_fast_spread(&self) -> bool {
        self.entries.values().any(|entry| entry.content.spreads_fast())
    }

    /// Queues a member's record and replaces any older update about the member.
    pub fn push_member_update(&mut self, member: Arc<Member>) {
        let subject = Subject::Member(Arc::clone(&member.id.name));
        self.entries.insert(subject, QueuedUpdate { content: Content::Member(member), transmissions: 0 });
    }

    /// Queues the revision of a service's configuration and replaces any older one.
    pub fn push_revision(&mut self, service: Arc<str>, revision: u64) {
        let entry = QueuedUpdate { content: Content::ConfigRevision(revision), transmissions: 0 };
        self.entries.insert(Subject::Service(service), entry);
    }

    /// Records that a peer's digest equals this node's, and drops updates sent often enough.
    ///
    /// An equal digest counts as one transmission of each update that the digest contains.
    ///
    /// Suspicions are not part of digests, and urgent updates are sent regardless of them.
    pub fn record_digest_match(&mut self, fleet_size: usize) {
        let limit = transmission_limit(fleet_size);
        for entry in self.entries.values_mut().filter(|entry| entry.content.is_settled_by_equal_digest()) {
            entry.transmissions += 1;
        }
        self.entries.retain(|_, entry| entry.transmissions < limit);
    }

    /// Returns the updates for the next datagram as space allows, and drops those sent often enough.
    pub fn take(&mut self, scope: GossipScope, space: GossipSpace, fleet_size: usize) -> GossipBatch {
        if self.entries.is_empty() {
            return GossipBatch::default();
        }
        self.entries.sort_by_cached_key(|_, entry| (!entry.content.is_urgent(), entry.transmissions));
        let limit = transmission_limit(fleet_size);
        let mut batch = GossipBatch::default();
        for (subject, entry) in &mut self.entries {
            if scope == GossipScope::FastSpreading && !entry.content.spreads_fast() {
                continue;
            }
            if batch.add(subject, &entry.content, space) {
                entry.transmissions += 1;
            }
        }
        self.entries.retain(|_, entry| entry.transmissions < limit);
        batch
    }
}

impl GossipBatch {
    /// Adds an update if it fits, and returns whether it did.
    fn add(&mut self, subject: &Subject, content: &Content, space: GossipSpace) -> bool {
        let bytes = match (subject, content) {
            (Subject::Service(service), Content::ConfigRevision(_)) => {
                service.len() + CONFIG_REVISION_BASE_BYTES
            }
            (_, Content::Member(member)) => member_bytes(member),
            _ => return false,
        };
        let urgent = content.is_urgent();
        let exceeds_total = self.ordinary_bytes + self.urgent_bytes + bytes > space.total_bytes;
        if exceeds_total || (!urgent && self.ordinary_bytes + bytes > space.ordinary_bytes) {
            return false;
        }
        if urgent {
            self.urgent_bytes += bytes;
        } else {
            self.ordinary_bytes += bytes;
        }
        match (subject, content) {
            (Subject::Service(service), Content::ConfigRevision(revision)) => {
                self.revisions.push((Arc::clone(service), *revision));
            }
            (_, Content::Member(member)) => self.members.push(Arc::clone(member)),
            _ => {}
        }
        true
    }
}

/// Returns an upper bound of the size of a member's record on the wire, in bytes.
#[must_use]
pub fn member_bytes(member: &Member) -> usize {
    // 12 bytes hold the upstream's part of the record without the name of its service.
    let upstream_bytes = member.upstream.as_ref().map_or(0, |upstream| upstream.service.len() + 12);
    MEMBER_BASE_BYTES + member.id.name.len() + member.region.len() + member.zone.len() + upstream_bytes
}

/// Returns how many times a node sends each update in a fleet of `fleet_size` nodes.
#[must_use]
pub fn transmission_limit(fleet_size: usize) -> u32 {
    let size_bits = usize::BITS - fleet_size.leading_zeros();
    TRANSMISSIONS_PER_SIZE_BIT * size_bits.max(1)
}
