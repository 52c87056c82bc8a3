//! Whom to probe, what the probe waits for, and probes made for others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use rand::seq::SliceRandom;
use tokio::time::Instant;

use crate::coordination::membership::Membership;
use crate::protocol::member::Member;
use crate::protocol::member::MemberId;
use crate::protocol::member::MemberState;

/// Time for which a probe made for another node is remembered.
const RELAY_TTL: Duration = Duration::from_secs(2);

/// The probe under way.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Who is probed.
    pub target: MemberId,
    /// Number that the answer repeats.
    pub sequence: u32,
    /// When it began.
    pub started: Instant,
    /// Whether other nodes were asked to probe as well.
    pub indirect: bool,
}

/// A probe made because another node asked for it.
#[derive(Clone, Copy, Debug)]
pub struct Relay {
    /// Who asked.
    pub requester: SocketAddr,
    /// Number that the requester waits for.
    pub sequence: u32,
    until: Instant,
}

/// The schedule of one node's probes.
#[derive(Debug, Default)]
pub struct ProbeSchedule {
    order: Vec<Arc<str>>,
    sequence: u32,
    current: Option<Probe>,
    relays: IndexMap<u32, Relay>,
}

impl ProbeSchedule {
    /// A schedule whose numbers begin at a random one, so that a former life's answers count for nothing.
    #[must_use]
    pub fn new(first_sequence: u32) -> Self {
        Self { sequence: first_sequence, ..Self::default() }
    }

    /// The probe under way.
    #[must_use]
    pub const fn current(&self) -> Option<&Probe> {
        self.current.as_ref()
    }

    /// The probe under way, to note what was done about it.
    pub const fn current_mut(&mut self) -> Option<&mut Probe> {
        self.current.as_mut()
    }

    /// Ends the probe under way.
    pub const fn finish(&mut self) -> Option<Probe> {
        self.current.take()
    }

    /// A number that no other probe of this node has.
    pub const fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    /// Begins a probe of the next member in a shuffled round over all of them.
    pub fn begin<R>(&mut self, membership: &Membership, rng: &mut R, now: Instant) -> Option<Arc<Member>>
    where
        R: Rng,
    {
        let target = self.next_target(membership, rng)?;
        let sequence = self.next_sequence();
        self.current = Some(Probe { target: target.id.clone(), sequence, started: now, indirect: false });
        Some(target)
    }

    /// Notes a probe made for another node; the number to use for it.
    pub fn relay(&mut self, requester: SocketAddr, sequence: u32, now: Instant) -> u32 {
        self.relays.retain(|_, relay| relay.until > now);
        let own = self.next_sequence();
        self.relays.insert(own, Relay { requester, sequence, until: now + RELAY_TTL });
        own
    }

    /// The request that an answer with this number belongs to.
    pub fn take_relay(&mut self, sequence: u32) -> Option<Relay> {
        self.relays.swap_remove(&sequence)
    }

    fn next_target<R>(&mut self, membership: &Membership, rng: &mut R) -> Option<Arc<Member>>
    where
        R: Rng,
    {
        for _round in 0..2 {
            while let Some(name) = self.order.pop() {
                let member = membership.others().get(&name).map(|known| &known.member);
                if let Some(member) = member.filter(|member| is_probed(member)) {
                    return Some(Arc::clone(member));
                }
            }
            let probed = membership.others().values().filter(|known| is_probed(&known.member));
            self.order = probed.map(|known| Arc::clone(&known.member.id.name)).collect();
            self.order.shuffle(rng);
        }
        None
    }
}

const fn is_probed(member: &Member) -> bool {
    matches!(member.state, MemberState::Alive | MemberState::Suspect)
}
