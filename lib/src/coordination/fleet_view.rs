//! One node's view of the fleet, maintained by probes, gossip and digest exchanges.
//!
//! A state machine without I/O: it takes datagrams, replies and the current time, and returns actions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use rand::RngExt;
use rand::seq::IteratorRandom;
use tokio::time::Instant;
use yuccatray_proto::peer_v1 as wire;

use crate::coordination::anti_entropy::Mismatch;
use crate::coordination::config_confirmation::ConfigConfirmation;
use crate::coordination::dissemination::GOSSIP_BURST_SECONDS;
use crate::coordination::gossip_queue::GossipQueue;
use crate::coordination::membership::MemberTimeouts;
use crate::coordination::membership::Membership;
use crate::coordination::membership::MergeOutcome;
use crate::coordination::probe::ProbeSchedule;
use crate::coordination::rejoin::INITIAL_JOIN_DELAY;
use crate::log_event_limited;
use crate::protocol::member::Member;
use crate::protocol::member::MemberState;
use crate::protocol::member::UpstreamInfo;
use crate::protocol::member::member_from_wire;
use crate::protocol::published::Published;
use crate::protocol::settings::GossipSettings;
use crate::state::config_table::ConfigTable;

/// Nodes to which a leaving node sends its state immediately.
const LEAVE_FANOUT: usize = 10;

/// Time after which a configuration that has not arrived is requested again.
const REQUEST_TTL: Duration = Duration::from_secs(1);

/// Action that the node has to take.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Address of the recipient.
        to: SocketAddr,
        /// Datagram to send.
        datagram: Box<wire::Datagram>,
    },
    /// Start an exchange with a peer.
    Exchange {
        /// Address of the peer.
        peer: SocketAddr,
        /// Whether to compare digests; otherwise only the wanted services are exchanged.
        compare: bool,
        /// Services whose configuration is requested.
        wanted_services: Vec<Arc<str>>,
    },
    /// Publish the changed members to the rest of the node.
    MembersChanged,
    /// Another process uses this node's name with a later incarnation.
    Superseded,
}

/// Membership, configuration and gossip state of one node.
#[derive(Debug)]
pub struct FleetView<R> {
    pub(super) membership: Membership,
    pub(super) config: Arc<ConfigTable>,
    pub(super) gossip_queue: GossipQueue,
    pub(super) settings: GossipSettings,
    pub(super) rng: R,
    pub(super) contacts: Vec<SocketAddr>,
    /// The contacts in the own zone that were not tried yet; joining through them costs no traffic between zones.
    pub(super) zone_contacts: Vec<SocketAddr>,
    pub(super) probes: ProbeSchedule,
    /// Absent in a fleet whose nodes need no confirmation of their configuration.
    pub(super) confirmation: Option<ConfigConfirmation>,
    pub(super) pending_requests: IndexMap<Arc<str>, (u64, Instant)>,
    pub(super) timers: Timers,
    pub(super) gossip_allowance_bytes: f64,
    superseded: bool,
}

#[derive(Debug)]
pub(super) struct Timers {
    pub(super) last_tick: Instant,
    pub(super) next_probe: Instant,
    pub(super) next_gossip: Instant,
    pub(super) next_rejoin: Instant,
    pub(super) join_delay: Duration,
    pub(super) next_exchange: Instant,
    pub(super) mismatch: Option<Mismatch>,
}

impl<R> FleetView<R>
where
    R: Rng,
{
    /// Creates a view that contains only this node and joins the fleet through `contacts`.
    pub fn new(
        local_member: Member,
        settings: GossipSettings,
        contacts: Vec<SocketAddr>,
        config: Arc<ConfigTable>,
        mut rng: R,
        now: Instant,
    ) -> Self {
        let timeouts = MemberTimeouts {
            suspicion_timeout: Duration::from_millis(settings.suspicion_ms),
            forget_timeout: Duration::from_millis(settings.forget_after_ms),
        };
        let probe_interval = Duration::from_millis(settings.probe_interval_ms);
        let timers = Timers {
            last_tick: now,
            next_probe: now + probe_interval.mul_f64(rng.random_range(0.0..1.0)),
            next_gossip: now,
            next_rejoin: now,
            join_delay: INITIAL_JOIN_DELAY,
            next_exchange: now,
            mismatch: None,
        };
        let gossip_allowance_bytes = f64::from(settings.max_news_bytes_per_second) * GOSSIP_BURST_SECONDS;
        let mut gossip_queue = GossipQueue::default();
        let membership = Membership::new(local_member, timeouts);
        gossip_queue.push_member_update(Arc::clone(membership.local_member()));
        Self {
            membership,
            config,
            gossip_queue,
            settings,
            probes: ProbeSchedule::new(rng.random()),
            confirmation: None,
            rng,
            contacts,
            zone_contacts: Vec::new(),
            pending_requests: IndexMap::new(),
            timers,
            gossip_allowance_bytes,
            superseded: false,
        }
    }

    /// Returns the known members.
    pub const fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns whether another process has taken over this node's name.
    pub const fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Sets or removes the node's upstream; returns whether it changed.
    pub fn set_own_upstream(&mut self, upstream: Option<UpstreamInfo>) -> bool {
        let changed = self.membership.set_own_upstream(upstream);
        if changed {
            self.gossip_queue.push_member_update(Arc::clone(self.membership.local_member()));
        }
        changed
    }

    /// Marks the node as leaving, and returns the actions that notify other nodes immediately.
    pub fn announce_leave(&mut self) -> Vec<Action> {
        self.membership.mark_leaving();
        self.gossip_queue.push_member_update(Arc::clone(self.membership.local_member()));
        let mut actions = vec![Action::MembersChanged];
        for member in self.random_live(LEAVE_FANOUT, None) {
            let mut datagram = self.datagram(wire::DatagramKind::Gossip, 0);
            datagram.members = vec![wire::Member::from(self.membership.local_member().as_ref())];
            actions.push(send(member.peer_addr, datagram));
        }
        actions
    }

    /// Applies a configuration and gossips its revision if it is newer; returns whether it was.
    pub fn apply(&mut self, published: Published) -> bool {
        let service = Arc::clone(&published.service);
        let revision = published.revision;
        let applied = self.config.apply(published);
        if applied {
            self.pending_requests.swap_remove(&service);
            self.gossip_queue.push_revision(service, revision);
        }
        applied
    }

    /// Performs the periodic work that is due.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let elapsed = now - self.timers.last_tick;
        self.timers.last_tick = now;
        self.refill_allowance(elapsed);
        // While this process was paused it could not receive answers, so timeouts of other nodes don't count.
        if elapsed >= Duration::from_millis(self.settings.probe_interval_ms) {
            self.membership.extend_deadlines(elapsed);
            self.probes.finish();
        }
        let mut actions = Vec::new();
        self.resolve_mismatch(now, &mut actions);
        self.expire(now, &mut actions);
        self.drive_probes(now, &mut actions);
        self.request_confirmation(now, &mut actions);
        self.contact_lost_members(now, &mut actions);
        self.send_gossip(now, &mut actions);
        actions
    }

    /// Processes a received datagram.
    pub fn receive(&mut self, from: SocketAddr, datagram: &wire::Datagram, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let target = datagram.target.as_str();
        let is_for_this_node = target.is_empty() || target == &*self.membership.local_member().id.name;
        self.merge_members(&datagram.members, now, &mut actions);
        // The source address of a datagram may differ from the address at which its sender receives.
        let sender_addr = self.membership.get(&datagram.name).map_or(from, |sender| sender.peer_addr);
        self.request_newer_revisions(sender_addr, &datagram.revisions, now, &mut actions);
        match datagram.kind() {
            wire::DatagramKind::Ping if is_for_this_node && !self.superseded => {
                self.answer_ping(from, datagram, now, &mut actions);
            }
            wire::DatagramKind::Ack => self.handle_ack(datagram, &mut actions),
            wire::DatagramKind::PingRequest => self.relay_probe(from, datagram, now, &mut actions),
            _ => {}
        }
        self.compare_digests(sender_addr, datagram, now, &mut actions);
        actions
    }

    pub(super) fn merge_members(
        &mut self,
        members: &[wire::Member],
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let mut changed = false;
        for member in members.iter().filter_map(member_from_wire) {
            let name = Arc::clone(&member.id.name);
            match self.membership.merge(member, now) {
                MergeOutcome::Stale => continue,
                MergeOutcome::Superseded => {
                    self.superseded = true;
                    actions.push(Action::Superseded);
                    continue;
                }
                MergeOutcome::Accepted => {}
                MergeOutcome::Refuted => self.superseded = false,
            }
            changed = true;
            if let Some(record) = self.membership.get(&name) {
                self.gossip_queue.push_member_update(Arc::clone(record));
            }
        }
        if changed {
            actions.push(Action::MembersChanged);
        }
    }

    fn request_newer_revisions(
        &mut self,
        from: SocketAddr,
        revisions: &[wire::Revision],
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let wanted_services: Vec<Arc<str>> =
            revisions.iter().filter_map(|revision| self.claim_request(revision, now)).collect();
        if !wanted_services.is_empty() {
            actions.push(Action::Exchange { peer: from, compare: false, wanted_services });
        }
    }

    /// Returns the service and marks it as requested, if the announced revision is newer and not requested yet.
    pub(super) fn claim_request(&mut self, announced: &wire::Revision, now: Instant) -> Option<Arc<str>> {
        let held = self.config.get(&announced.service).map_or(0, |held| held.revision);
        let pending = self.pending_requests.get(announced.service.as_str());
        let is_pending =
            pending.is_some_and(|(revision, until)| *revision >= announced.revision && *until > now);
        if announced.revision <= held || is_pending {
            return None;
        }
        let service = Arc::from(announced.service.as_str());
        self.pending_requests.insert(Arc::clone(&service), (announced.revision, now + REQUEST_TTL));
        Some(service)
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let dead = self.membership.expire(now);
        if dead.is_empty() {
            return;
        }
        for member in dead {
            log_event_limited!(Info, "member declared dead", member = &member.id.name);
            self.gossip_queue.push_member_update(member);
        }
        actions.push(Action::MembersChanged);
    }

    /// Returns a datagram without gossip.
    pub fn datagram(&self, kind: wire::DatagramKind, sequence: u32) -> wire::Datagram {
        let local_id = &self.membership.local_member().id;
        wire::Datagram {
            kind: kind.into(),
            name: local_id.name.to_string(),
            incarnation: local_id.incarnation,
            sequence,
            member_digest: self.membership.digest(),
            config_digest: self.config.digest(),
            ..wire::Datagram::default()
        }
    }

    pub(super) fn random_live(&mut self, count: usize, excluded: Option<&str>) -> Vec<Arc<Member>> {
        let others = self.membership.other_members().values().map(|known| &known.member);
        let live = others.filter(|member| member.state != MemberState::Dead);
        let live = live.filter(|member| excluded.is_none_or(|excluded| *excluded != *member.id.name));
        live.sample(&mut self.rng, count).into_iter().map(Arc::clone).collect()
    }

    pub(super) fn jittered(&mut self, pause: Duration) -> Duration {
        pause.mul_f64(self.rng.random_range(0.5..1.5))
    }
}

pub(super) fn send(to: SocketAddr, datagram: wire::Datagram) -> Action {
    Action::Send { to, datagram: Box::new(datagram) }
}
