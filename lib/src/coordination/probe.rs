//! Schedule of failure-detection probes: the next target, the pending probe, and those relayed for others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use rand::RngExt;
use rand::seq::SliceRandom;
use tokio::time::Instant;

use crate::coordination::membership::Membership;
use crate::protocol::member::Member;
use crate::protocol::member::MemberId;
use crate::protocol::member::MemberState;

/// One in this many probes, on average, is of a member in another zone.
const CROSS_ZONE_PROBE_ONE_IN: u32 = 4;

/// Time for which a relayed probe waits for its answer.
const RELAYED_PROBE_TTL: Duration = Duration::from_secs(2);

/// A pending probe.
#[derive(Clone, Debug)]
pub struct Probe {
    /// The member that is probed.
    pub target: MemberId,
    /// Sequence number that the answer repeats.
    pub sequence: u32,
    /// Time at which the probe was sent.
    pub started: Instant,
    /// Whether other nodes were requested to probe the target too.
    pub indirect: bool,
}

/// A probe sent on request of another node.
#[derive(Clone, Copy, Debug)]
pub struct RelayedProbe {
    /// Address of the node that requested it.
    pub requester: SocketAddr,
    /// Sequence number of the requester's own probe.
    pub sequence: u32,
    expires_at: Instant,
}

/// Schedule of one node's probes.
#[derive(Debug, Default)]
pub struct ProbeSchedule {
    /// Members still to be probed in this round, in the own zone and in all others.
    own_zone_round: Vec<Arc<str>>,
    other_zones_round: Vec<Arc<str>>,
    sequence: u32,
    current: Option<Probe>,
    relayed: IndexMap<u32, RelayedProbe>,
}

impl ProbeSchedule {
    /// Creates a schedule with the given first sequence number.
    ///
    /// The number should be random, so that answers to an earlier incarnation match no probe of this one.
    #[must_use]
    pub fn new(first_sequence: u32) -> Self {
        Self { sequence: first_sequence, ..Self::default() }
    }

    /// Returns the pending probe.
    #[must_use]
    pub const fn current(&self) -> Option<&Probe> {
        self.current.as_ref()
    }

    /// Returns the pending probe for changes.
    pub const fn current_mut(&mut self) -> Option<&mut Probe> {
        self.current.as_mut()
    }

    /// Ends the pending probe without an answer and returns it.
    pub const fn expire(&mut self) -> Option<Probe> {
        self.current.take()
    }

    /// Ends the pending probe, because it was answered or says nothing about its target.
    pub fn finish(&mut self) {
        self.current = None;
    }

    /// Returns a new sequence number, unique among this node's probes until it wraps around.
    pub const fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    /// Starts a probe of the next member and returns it.
    ///
    /// Members are probed in shuffled rounds: those of the own zone, and less often those of all other zones,
    /// since traffic between zones is expensive.
    pub fn begin<R>(&mut self, membership: &Membership, rng: &mut R, now: Instant) -> Option<Arc<Member>>
    where
        R: Rng,
    {
        let cross_zone = rng.random_range(0..CROSS_ZONE_PROBE_ONE_IN) == 0;
        let target = self
            .next_target(cross_zone, membership, rng)
            .or_else(|| self.next_target(!cross_zone, membership, rng))?;
        let sequence = self.next_sequence();
        self.current = Some(Probe { target: target.id.clone(), sequence, started: now, indirect: false });
        Some(target)
    }

    /// Records a probe to send for another node, and returns the sequence number to use for it.
    pub fn record_relayed_probe(&mut self, requester: SocketAddr, sequence: u32, now: Instant) -> u32 {
        self.relayed.retain(|_, relay| relay.expires_at > now);
        let own_sequence = self.next_sequence();
        self.relayed
            .insert(own_sequence, RelayedProbe { requester, sequence, expires_at: now + RELAYED_PROBE_TTL });
        own_sequence
    }

    /// Removes and returns the relayed probe that an answer with this sequence number belongs to.
    pub fn take_relayed_probe(&mut self, sequence: u32) -> Option<RelayedProbe> {
        self.relayed.swap_remove(&sequence)
    }

    /// Returns the next live member of the round; starts a new round once when this one is used up.
    fn next_target<R>(
        &mut self,
        cross_zone: bool,
        membership: &Membership,
        rng: &mut R,
    ) -> Option<Arc<Member>>
    where
        R: Rng,
    {
        let local_member = membership.local_member();
        let round = if cross_zone { &mut self.other_zones_round } else { &mut self.own_zone_round };
        for _round in 0..2 {
            while let Some(name) = round.pop() {
                let member = membership.other_members().get(&name).map(|known| &known.member);
                if let Some(member) = member.filter(|member| is_probe_target(member)) {
                    return Some(Arc::clone(member));
                }
            }
            let others = membership.other_members().values().map(|known| &known.member);
            let targets = others.filter(|member| {
                is_probe_target(member) && member.shares_zone_with(local_member) != cross_zone
            });
            *round = targets.map(|member| Arc::clone(&member.id.name)).collect();
            round.shuffle(rng);
        }
        None
    }
}

/// Returns whether the member is probed: dead and leaving members are not.
const fn is_probe_target(member: &Member) -> bool {
    matches!(member.state, MemberState::Alive | MemberState::Suspect)
}
