//! Who is in the fleet, as one node sees it.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::protocol::member::Member;
use crate::protocol::member::MemberState;
use crate::protocol::member::UpstreamInfo;

/// How long a silent member is believed in.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Silence after which a member is suspected.
    pub suspect_after: Duration,
    /// Silence after which it is taken for dead.
    pub dead_after: Duration,
    /// Time for which a dead member is remembered.
    pub forget_after: Duration,
}

#[derive(Debug)]
struct Known {
    member: Arc<Member>,
    heard_at: Instant,
}

/// The members that one node knows, itself included.
#[derive(Debug)]
pub struct Membership {
    me: Arc<Member>,
    patience: Patience,
    others: IndexMap<Arc<str>, Known>,
}

impl Membership {
    /// A membership of the node alone.
    #[must_use]
    pub fn new(me: Member, patience: Patience) -> Self {
        Self { me: Arc::new(me), patience, others: IndexMap::new() }
    }

    /// The node's own description.
    #[must_use]
    pub fn me(&self) -> Arc<Member> {
        Arc::clone(&self.me)
    }

    /// Every known member, the node itself first.
    #[must_use]
    pub fn members(&self) -> Vec<Arc<Member>> {
        let others = self.others.values().map(|known| Arc::clone(&known.member));
        std::iter::once(self.me()).chain(others).collect()
    }

    /// The node's upstream announced itself, changed or went.
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

    /// Raises the node's own version, which tells the others that it lives.
    /// True when the digest has changed.
    pub fn beat(&mut self, config_digest: u64) -> bool {
        let changed = self.me.config_digest != config_digest;
        self.change_me(|me| me.config_digest = config_digest);
        changed
    }

    /// Takes in what a peer said; true when anything but a heartbeat changed.
    pub fn merge(&mut self, said: Member, now: Instant) -> bool {
        if said.id.name == self.me.id.name {
            self.refute(&said);
            return false;
        }
        let Some(known) = self.others.get_mut(&said.id.name) else {
            if said.state == MemberState::Dead {
                return false;
            }
            self.others.insert(Arc::clone(&said.id.name), Known { member: Arc::new(said), heard_at: now });
            return true;
        };
        if !said.supersedes(&known.member) {
            return false;
        }
        let changed = !same_but_version(&said, &known.member);
        *known = Known { member: Arc::new(said), heard_at: now };
        changed
    }

    /// Judges silence; true when anything changed.
    pub fn tick(&mut self, now: Instant) -> bool {
        let patience = self.patience;
        let mut changed = false;
        for known in self.others.values_mut() {
            let state = judged(known, patience, now);
            if state != known.member.state {
                known.member = Arc::new(Member { state, ..Member::clone(&known.member) });
                changed = true;
            }
        }
        self.others.retain(|_, known| now - known.heard_at < patience.forget_after);
        changed
    }

    fn change_me<F>(&mut self, change: F)
    where
        F: FnOnce(&mut Member),
    {
        let mut me = Member::clone(&self.me);
        me.version += 1;
        change(&mut me);
        self.me = Arc::new(me);
    }

    fn refute(&mut self, said: &Member) {
        let same_life = said.id.incarnation == self.me.id.incarnation;
        if same_life && said.state != self.me.state && said.version >= self.me.version {
            self.change_me(|me| me.version = said.version + 1);
        }
    }
}

fn judged(known: &Known, patience: Patience, now: Instant) -> MemberState {
    let silence = now - known.heard_at;
    match known.member.state {
        MemberState::Dead => MemberState::Dead,
        _ if silence >= patience.dead_after => MemberState::Dead,
        MemberState::Alive if silence >= patience.suspect_after => MemberState::Suspect,
        state => state,
    }
}

fn same_but_version(left: &Member, right: &Member) -> bool {
    Member { version: right.version, ..left.clone() } == *right
}
