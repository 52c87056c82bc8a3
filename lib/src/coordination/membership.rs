//! The members that one node knows, and which of two claims about one is the later.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::protocol::member::Member;
use crate::protocol::member::MemberId;
use crate::protocol::member::MemberState;
use crate::protocol::member::UpstreamInfo;

/// Buckets in which digests of members are compared.
pub const BUCKETS: usize = 128;

/// Time after which a member that announced its leave is taken for gone.
const LEAVING_FOR: Duration = Duration::from_mins(1);

/// A member and when its present state ends.
#[derive(Clone, Debug)]
pub struct Known {
    /// The latest record.
    pub member: Arc<Member>,
    /// When a suspect is declared dead, or a dead member is forgotten.
    pub until: Option<Instant>,
}

/// What became of a claim about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// It was known already, or older than what is known.
    Old,
    /// It is news.
    New,
    /// It was about this node, which answers with a record of its own.
    Refuted,
    /// Another process lives under this node's name with a later incarnation.
    Superseded,
}

/// How long states last.
#[derive(Clone, Copy, Debug)]
pub struct StateTimes {
    /// Time to refute a suspicion among ten nodes.
    pub suspicion: Duration,
    /// Time for which a dead member is remembered.
    pub forget_after: Duration,
}

/// The members that one node knows, itself included.
#[derive(Debug)]
pub struct Membership {
    me: Arc<Member>,
    /// Every incarnation that this process has gone by.
    incarnations: Vec<u64>,
    times: StateTimes,
    others: IndexMap<Arc<str>, Known>,
    buckets: [u64; BUCKETS],
}

impl Membership {
    /// A membership of the node alone.
    #[must_use]
    pub fn new(me: Member, times: StateTimes) -> Self {
        let me = Arc::new(me);
        let mut buckets = [0; BUCKETS];
        buckets[bucket(&me.id.name)] ^= fingerprint(&me);
        let incarnations = vec![me.id.incarnation];
        Self { me, incarnations, times, others: IndexMap::new(), buckets }
    }

    /// The node's own record.
    #[must_use]
    pub const fn me(&self) -> &Arc<Member> {
        &self.me
    }

    /// Whether this process is, or went by, the given name and incarnation.
    #[must_use]
    pub fn was_me(&self, id: &MemberId) -> bool {
        id.name == self.me.id.name && self.incarnations.contains(&id.incarnation)
    }

    /// The other members, dead ones included.
    #[must_use]
    pub const fn others(&self) -> &IndexMap<Arc<str>, Known> {
        &self.others
    }

    /// Every known member, the node itself first.
    pub fn members(&self) -> impl Iterator<Item = &Arc<Member>> {
        std::iter::once(&self.me).chain(self.others.values().map(|known| &known.member))
    }

    /// The record under a name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<Member>> {
        if *name == *self.me.id.name {
            return Some(&self.me);
        }
        self.others.get(name).map(|known| &known.member)
    }

    /// Members that are not dead, this node included.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.members().filter(|member| member.state != MemberState::Dead).count()
    }

    /// Digests by bucket; dead members and mere suspicion leave no trace in them.
    #[must_use]
    pub const fn buckets(&self) -> &[u64; BUCKETS] {
        &self.buckets
    }

    /// One digest over every bucket.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.buckets.iter().fold(0, |digest, bucket| digest ^ bucket)
    }

    /// The node's upstream announced itself, changed or went; true on a change.
    pub fn set_upstream(&mut self, upstream: Option<UpstreamInfo>) -> bool {
        if self.me.upstream == upstream {
            return false;
        }
        self.change_me(|me| me.upstream = upstream);
        true
    }

    /// The node is about to stop.
    pub fn leave(&mut self) {
        self.change_me(|me| me.state = MemberState::Leaving);
    }

    /// Takes in a claim about a member.
    pub fn merge(&mut self, said: Member, now: Instant) -> Merged {
        if said.id.name == self.me.id.name {
            return self.merge_about_me(&said);
        }
        let held = self.others.get(&said.id.name);
        let news = held.map_or(said.state != MemberState::Dead, |held| said.supersedes(&held.member));
        if !news {
            return Merged::Old;
        }
        self.put(said, now);
        Merged::New
    }

    /// A member did not answer; its record as a suspect unless it was suspected before.
    pub fn suspect(&mut self, name: &str, now: Instant) -> Option<Arc<Member>> {
        let held = Arc::clone(&self.others.get(name)?.member);
        if held.state != MemberState::Alive {
            return None;
        }
        self.put(Member { state: MemberState::Suspect, ..Member::clone(&held) }, now);
        self.get(name).map(Arc::clone)
    }

    /// This process stood still for `gap`, so nobody else's time has run out.
    pub fn postpone(&mut self, gap: Duration) {
        for until in self.others.values_mut().filter_map(|known| known.until.as_mut()) {
            *until += gap;
        }
    }

    /// Ends suspicions and memories whose time is over; the members declared dead.
    pub fn expire(&mut self, now: Instant) -> Vec<Arc<Member>> {
        let ended = self.others.values().filter(|known| known.until.is_some_and(|until| until <= now));
        let ended: Vec<Arc<Member>> = ended.map(|known| Arc::clone(&known.member)).collect();
        let mut dead = Vec::new();
        for member in ended {
            if member.state == MemberState::Dead {
                self.others.swap_remove(&member.id.name);
                continue;
            }
            self.put(Member { state: MemberState::Dead, ..Member::clone(&member) }, now);
            dead.extend(self.get(&member.id.name).map(Arc::clone));
        }
        dead
    }

    fn put(&mut self, member: Member, now: Instant) {
        let times = self.times;
        let until = match member.state {
            MemberState::Alive => None,
            MemberState::Suspect => Some(now + times.suspicion.mul_f64(self.suspicion_factor())),
            MemberState::Leaving => Some(now + LEAVING_FOR),
            MemberState::Dead => Some(now + times.forget_after),
        };
        let name = Arc::clone(&member.id.name);
        let at = bucket(&name);
        self.buckets[at] ^= fingerprint(&member);
        let held = self.others.insert(name, Known { member: Arc::new(member), until });
        if let Some(held) = held {
            self.buckets[at] ^= fingerprint(&held.member);
        }
    }

    /// Larger fleets need longer for a refutation to arrive.
    fn suspicion_factor(&self) -> f64 {
        let size = u32::try_from(self.others.len() + 1).unwrap_or(u32::MAX);
        f64::from(size).log10().max(1.0)
    }

    fn change_me<F>(&mut self, change: F)
    where
        F: FnOnce(&mut Member),
    {
        let mut me = Member::clone(&self.me);
        me.version += 1;
        change(&mut me);
        let at = bucket(&me.id.name);
        self.buckets[at] ^= fingerprint(&self.me) ^ fingerprint(&me);
        self.me = Arc::new(me);
    }

    fn merge_about_me(&mut self, said: &Member) -> Merged {
        if !said.supersedes(&self.me) {
            return Merged::Old;
        }
        if said.id.incarnation == self.me.id.incarnation && said.state != MemberState::Dead {
            self.change_me(|me| me.version = said.version + 1);
            return Merged::Refuted;
        }
        let ended = matches!(said.state, MemberState::Dead | MemberState::Leaving);
        let former_self =
            said.id.incarnation == self.me.id.incarnation || said.peer_addr == self.me.peer_addr;
        if !ended && !former_self {
            return Merged::Superseded;
        }
        self.change_me(|me| {
            me.id.incarnation = said.id.incarnation + 1;
            me.version = 1;
        });
        self.incarnations.push(self.me.id.incarnation);
        Merged::Refuted
    }
}

/// The bucket that a name belongs to.
#[must_use]
pub fn bucket(name: &str) -> usize {
    usize::try_from(xxh3_64_with_seed(name.as_bytes(), 0) % BUCKETS as u64).unwrap_or(0)
}

fn fingerprint(member: &Member) -> u64 {
    if member.state == MemberState::Dead {
        return 0;
    }
    let leaving = u64::from(member.state == MemberState::Leaving);
    let name = xxh3_64_with_seed(member.id.name.as_bytes(), member.id.incarnation);
    xxh3_64_with_seed(&name.to_le_bytes(), member.version << 1 | leaving)
}
