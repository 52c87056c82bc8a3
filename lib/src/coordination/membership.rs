//! The members known to one node, and the rules that merge claims about a member into its latest record.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::protocol::member::Member;
use crate::protocol::member::MemberId;
use crate::protocol::member::MemberState;
use crate::protocol::member::UpstreamInfo;

/// Number of buckets in which anti-entropy compares digests of members.
pub const DIGEST_BUCKETS: usize = 128;

/// Time after which a member that announced that it is leaving is declared dead.
const LEAVING_TIMEOUT: Duration = Duration::from_mins(1);

/// A member's latest record and the time at which its state expires.
#[derive(Clone, Debug)]
pub struct KnownMember {
    /// The latest record.
    pub member: Arc<Member>,
    /// When a suspect or leaving member is declared dead, or a dead member is forgotten; `None` while alive.
    pub expires_at: Option<Instant>,
}

/// Outcome of merging a claim about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The claim is not newer than the record held, or declares an unknown member dead.
    Stale,
    /// The claim replaced the record held, or added a member.
    Accepted,
    /// The claim superseded this node's own record, so the node issued a newer one.
    Refuted,
    /// Another live process uses this node's name with a later incarnation.
    Superseded,
}

/// Durations of the states of a member.
#[derive(Clone, Copy, Debug)]
pub struct MemberTimeouts {
    /// Time to refute a suspicion in a fleet of up to ten nodes; it grows with the logarithm of the size.
    pub suspicion_timeout: Duration,
    /// Time after which a dead member is forgotten.
    pub forget_timeout: Duration,
}

/// The members known to one node, including itself.
#[derive(Debug)]
pub struct Membership {
    local_member: Arc<Member>,
    /// Every incarnation that this process has used.
    incarnations: Vec<u64>,
    timeouts: MemberTimeouts,
    other_members: IndexMap<Arc<str>, KnownMember>,
    buckets: [u64; DIGEST_BUCKETS],
}

impl Membership {
    /// Creates a membership that holds only the node itself.
    #[must_use]
    pub fn new(local_member: Member, timeouts: MemberTimeouts) -> Self {
        let local_member = Arc::new(local_member);
        let mut buckets = [0; DIGEST_BUCKETS];
        buckets[bucket_index(&local_member.id.name)] ^= fingerprint(&local_member);
        let incarnations = vec![local_member.id.incarnation];
        Self { local_member, incarnations, timeouts, other_members: IndexMap::new(), buckets }
    }

    /// Returns the node's own record.
    #[must_use]
    pub const fn local_member(&self) -> &Arc<Member> {
        &self.local_member
    }

    /// Returns whether this process uses, or has used, the given name and incarnation.
    #[must_use]
    pub fn is_own_identity(&self, id: &MemberId) -> bool {
        id.name == self.local_member.id.name && self.incarnations.contains(&id.incarnation)
    }

    /// Returns the other members by name, including dead ones.
    #[must_use]
    pub const fn other_members(&self) -> &IndexMap<Arc<str>, KnownMember> {
        &self.other_members
    }

    /// Iterates over all known members, the node itself first.
    pub fn members(&self) -> impl Iterator<Item = &Arc<Member>> {
        std::iter::once(&self.local_member).chain(self.other_members.values().map(|known| &known.member))
    }

    /// Returns the record of the member with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<Member>> {
        if *name == *self.local_member.id.name {
            return Some(&self.local_member);
        }
        self.other_members.get(name).map(|known| &known.member)
    }

    /// Returns the number of members that are not dead, including this node.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.members().filter(|member| member.state != MemberState::Dead).count()
    }

    /// Returns the digest of each bucket, in which dead members and the suspect state are left out.
    #[must_use]
    pub const fn buckets(&self) -> &[u64; DIGEST_BUCKETS] {
        &self.buckets
    }

    /// Returns one digest over all buckets.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.buckets.iter().fold(0, |digest, bucket| digest ^ bucket)
    }

    /// Replaces the upstream in the node's own record and returns whether it changed.
    pub fn set_own_upstream(&mut self, upstream: Option<UpstreamInfo>) -> bool {
        if self.local_member.upstream == upstream {
            return false;
        }
        self.update_own_record(|local_member| local_member.upstream = upstream);
        true
    }

    /// Marks this node as leaving, before it stops.
    pub fn mark_leaving(&mut self) {
        self.update_own_record(|local_member| local_member.state = MemberState::Leaving);
    }

    /// Merges a claim about a member.
    pub fn merge(&mut self, claim: Member, now: Instant) -> MergeOutcome {
        if claim.id.name == self.local_member.id.name {
            return self.merge_claim_about_self(&claim);
        }
        let known = self.other_members.get(&claim.id.name);
        let is_newer =
            known.map_or(claim.state != MemberState::Dead, |known| claim.supersedes(&known.member));
        if !is_newer {
            return MergeOutcome::Stale;
        }
        self.insert_record(claim, now);
        MergeOutcome::Accepted
    }

    /// Marks an alive member as suspect after a failed probe and returns its new record.
    ///
    /// Members in other states do not change, and the result is `None`.
    pub fn suspect(&mut self, name: &str, now: Instant) -> Option<Arc<Member>> {
        let member = Arc::clone(&self.other_members.get(name)?.member);
        if member.state != MemberState::Alive {
            return None;
        }
        self.insert_record(Member { state: MemberState::Suspect, ..Member::clone(&member) }, now);
        self.get(name).map(Arc::clone)
    }

    /// Extends all deadlines by `gap`, the time for which this process was paused and received nothing.
    pub fn extend_deadlines(&mut self, gap: Duration) {
        for expires_at in self.other_members.values_mut().filter_map(|known| known.expires_at.as_mut()) {
            *expires_at += gap;
        }
    }

    /// Applies the deadlines that have passed, and returns the members that are thereby declared dead.
    ///
    /// Suspect and leaving members are declared dead, and dead ones are forgotten.
    pub fn expire(&mut self, now: Instant) -> Vec<Arc<Member>> {
        let expired = self
            .other_members
            .values()
            .filter(|known| known.expires_at.is_some_and(|expires_at| expires_at <= now));
        let expired: Vec<Arc<Member>> = expired.map(|known| Arc::clone(&known.member)).collect();
        let mut dead = Vec::new();
        for member in expired {
            if member.state == MemberState::Dead {
                self.other_members.swap_remove(&member.id.name);
                continue;
            }
            self.insert_record(Member { state: MemberState::Dead, ..Member::clone(&member) }, now);
            dead.extend(self.get(&member.id.name).map(Arc::clone));
        }
        dead
    }

    fn insert_record(&mut self, member: Member, now: Instant) {
        let timeouts = self.timeouts;
        let expires_at = match member.state {
            MemberState::Alive => None,
            MemberState::Suspect => Some(now + timeouts.suspicion_timeout.mul_f64(self.suspicion_factor())),
            MemberState::Leaving => Some(now + LEAVING_TIMEOUT),
            MemberState::Dead => Some(now + timeouts.forget_timeout),
        };
        let name = Arc::clone(&member.id.name);
        let index = bucket_index(&name);
        self.buckets[index] ^= fingerprint(&member);
        let previous = self.other_members.insert(name, KnownMember { member: Arc::new(member), expires_at });
        if let Some(previous) = previous {
            self.buckets[index] ^= fingerprint(&previous.member);
        }
    }

    /// Returns the factor on the suspicion time, since a refutation takes longer to spread in a larger fleet.
    fn suspicion_factor(&self) -> f64 {
        let fleet_size = u32::try_from(self.other_members.len() + 1).unwrap_or(u32::MAX);
        f64::from(fleet_size).log10().max(1.0)
    }

    fn update_own_record<F>(&mut self, change: F)
    where
        F: FnOnce(&mut Member),
    {
        let mut local_member = Member::clone(&self.local_member);
        local_member.version += 1;
        change(&mut local_member);
        let index = bucket_index(&local_member.id.name);
        self.buckets[index] ^= fingerprint(&self.local_member) ^ fingerprint(&local_member);
        self.local_member = Arc::new(local_member);
    }

    /// Merges a claim about this node that another node made.
    fn merge_claim_about_self(&mut self, claim: &Member) -> MergeOutcome {
        if !claim.supersedes(&self.local_member) {
            return MergeOutcome::Stale;
        }
        if claim.id.incarnation == self.local_member.id.incarnation && claim.state != MemberState::Dead {
            self.update_own_record(|local_member| local_member.version = claim.version + 1);
            return MergeOutcome::Refuted;
        }
        let says_dead_or_leaving = matches!(claim.state, MemberState::Dead | MemberState::Leaving);
        // A claim with the address of this node comes from this process or one that has ended, since only one
        // process at a time can listen there.
        let same_incarnation_or_addr = claim.id.incarnation == self.local_member.id.incarnation
            || claim.peer_addr == self.local_member.peer_addr;
        if !says_dead_or_leaving && !same_incarnation_or_addr {
            return MergeOutcome::Superseded;
        }
        self.update_own_record(|local_member| {
            local_member.id.incarnation = claim.id.incarnation + 1;
            local_member.version = 1;
        });
        self.incarnations.push(self.local_member.id.incarnation);
        MergeOutcome::Refuted
    }
}

/// Returns the index of the bucket that a member's name belongs to.
#[must_use]
pub fn bucket_index(name: &str) -> usize {
    usize::try_from(xxh3_64_with_seed(name.as_bytes(), 0) % DIGEST_BUCKETS as u64).unwrap_or(0)
}

/// Returns a member's contribution to the digest of its bucket; 0 for a dead member.
fn fingerprint(member: &Member) -> u64 {
    if member.state == MemberState::Dead {
        return 0;
    }
    let leaving = u64::from(member.state == MemberState::Leaving);
    let id_hash = xxh3_64_with_seed(member.id.name.as_bytes(), member.id.incarnation);
    xxh3_64_with_seed(&id_hash.to_le_bytes(), member.version << 1 | leaving)
}
