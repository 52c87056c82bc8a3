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
use crate::coordination::gossip_queue::CONFIG_REVISION_BASE_BYTES;
use crate::coordination::gossip_queue::GossipQueue;
use crate::coordination::gossip_queue::GossipScope;
use crate::coordination::gossip_queue::GossipSpace;
use crate::coordination::membership::MemberTimeouts;
use crate::coordination::membership::Membership;
use crate::coordination::membership::MergeOutcome;
use crate::coordination::platform_role::role_of;
use crate::coordination::probe::ProbeSchedule;
use crate::log_event_limited;
use crate::protocol::member::Member;
use crate::protocol::member::MemberState;
use crate::protocol::member::UpstreamInfo;
use crate::protocol::member::member_from_wire;
use crate::protocol::published::Published;
use crate::protocol::settings::GossipSettings;
use crate::state::config_table::ConfigTable;

/// Nodes to which gossip is sent in one round.
const GOSSIP_FANOUT: usize = 3;

/// One in this many gossip targets of a relay, on average, is in another zone.
const CROSS_ZONE_GOSSIP_ONE_IN: u32 = 4;

/// The same for any node while an update must reach every node soon.
const FAST_CROSS_ZONE_GOSSIP_ONE_IN: u32 = 2;

/// Nodes to which a leaving node sends its state immediately.
const LEAVE_FANOUT: usize = 10;

/// Nodes requested to probe a member that did not answer a direct probe.
const INDIRECT_PROBE_COUNT: usize = 3;

/// Maximum size of gossip in one datagram, in bytes; header and authentication tag fit in the rest of 1,400.
pub(super) const MAX_GOSSIP_BYTES: usize = 1_100;

/// Maximum unused gossip allowance that accumulates, in seconds at the permitted rate.
const GOSSIP_BURST_SECONDS: f64 = 30.0;

/// Time after which a configuration that has not arrived is requested again.
const REQUEST_TTL: Duration = Duration::from_secs(1);

/// Initial time between join attempts of a node that knows no other live node.
pub(super) const INITIAL_JOIN_DELAY: Duration = Duration::from_millis(250);

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
    gossip_allowance_bytes: f64,
    superseded: bool,
}

#[derive(Debug)]
pub(super) struct Timers {
    last_tick: Instant,
    next_probe: Instant,
    next_gossip: Instant,
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

    /// Returns whether the address of another node to join through is known.
    pub fn has_contacts(&self) -> bool {
        let local_addr = self.membership.local_member().peer_addr;
        self.contacts.iter().any(|contact| *contact != local_addr)
    }

    /// Adds addresses to join through, as found in the platform, and tries new ones at the next tick.
    pub fn add_contacts<I>(&mut self, addrs: I)
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        let known = self.contacts.len();
        for addr in addrs {
            if !self.contacts.contains(&addr) {
                self.contacts.push(addr);
            }
        }
        if self.contacts.len() > known {
            self.timers.join_delay = INITIAL_JOIN_DELAY;
            self.timers.next_rejoin = self.timers.last_tick;
        }
    }

    /// Replaces the contacts in the own zone, as found in the platform.
    pub fn set_zone_contacts(&mut self, addrs: Vec<SocketAddr>) {
        self.add_contacts(addrs.iter().copied());
        self.zone_contacts = addrs;
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

    fn answer_ping(
        &mut self,
        from: SocketAddr,
        ping: &wire::Datagram,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let mut ack = self.datagram(wire::DatagramKind::Ack, ping.sequence);
        self.add_confirmation(&mut ack, ping, now);
        if let Some(sender) = self.membership.get(&ping.name).filter(|sender| needs_own_record(sender, ping))
        {
            ack.members.push(wire::Member::from(sender.as_ref()));
        }
        let receiver = self.membership.get(&ping.name).map(Arc::clone);
        self.add_gossip(&mut ack, receiver.as_ref());
        actions.push(send(from, ack));
    }

    fn handle_ack(&mut self, ack: &wire::Datagram, actions: &mut Vec<Action>) {
        if let Some(relay) = self.probes.take_relayed_probe(ack.sequence) {
            let answer = self.datagram(wire::DatagramKind::Ack, relay.sequence);
            actions.push(send(relay.requester, answer));
        }
        let answered = self.probes.current().is_some_and(|probe| {
            let is_stale = *ack.name == *probe.target.name && ack.incarnation < probe.target.incarnation;
            probe.sequence == ack.sequence && !is_stale
        });
        if answered {
            self.probes.finish();
        }
        self.handle_confirmation(ack);
    }

    fn relay_probe(
        &mut self,
        from: SocketAddr,
        request: &wire::Datagram,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Ok(addr) = request.target_addr.parse() else {
            return;
        };
        let sequence = self.probes.record_relayed_probe(from, request.sequence, now);
        let mut ping = self.datagram(wire::DatagramKind::Ping, sequence);
        ping.target.clone_from(&request.target);
        actions.push(send(addr, ping));
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

    fn drive_probes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.request_indirect_probes(now, actions);
        if now < self.timers.next_probe {
            return;
        }
        self.timers.next_probe = now + Duration::from_millis(self.settings.probe_interval_ms);
        if let Some(failed) = self.probes.expire()
            && let Some(suspect) = self.membership.suspect(&failed.target.name, now)
        {
            log_event_limited!(Info, "member suspected", member = &suspect.id.name);
            self.gossip_queue.push_member_update(suspect);
            actions.push(Action::MembersChanged);
        }
        let Some(target) = self.probes.begin(&self.membership, &mut self.rng, now) else {
            return;
        };
        let sequence = self.probes.current().map_or(0, |probe| probe.sequence);
        let ping = self.ping(&target, sequence);
        actions.push(send(target.peer_addr, ping));
    }

    fn request_indirect_probes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let timeout = Duration::from_millis(self.settings.probe_timeout_ms);
        let Some(probe) = self.probes.current_mut() else {
            return;
        };
        if probe.indirect || now - probe.started < timeout {
            return;
        }
        probe.indirect = true;
        let name = Arc::clone(&probe.target.name);
        let sequence = probe.sequence;
        let Some(target) = self.membership.get(&name).map(Arc::clone) else {
            return;
        };
        for helper in self.random_live(INDIRECT_PROBE_COUNT, Some(&name)) {
            let mut request = self.datagram(wire::DatagramKind::PingRequest, sequence);
            request.target = name.to_string();
            request.target_addr = target.peer_addr.to_string();
            actions.push(send(helper.peer_addr, request));
        }
    }

    fn send_gossip(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.timers.next_gossip || self.gossip_queue.is_empty() {
            return;
        }
        self.timers.next_gossip = now + Duration::from_millis(self.settings.interval_ms);
        for member in self.gossip_targets() {
            let mut gossip = self.datagram(wire::DatagramKind::Gossip, 0);
            self.add_gossip(&mut gossip, Some(&member));
            if gossip.members.is_empty() && gossip.revisions.is_empty() {
                continue;
            }
            actions.push(send(member.peer_addr, gossip));
        }
    }

    /// Selects gossip targets: any live nodes for urgent updates, otherwise mostly nodes in the own zone.
    ///
    /// Traffic between zones is expensive, and each record is sent many times. Ordinary updates therefore leave a
    /// zone only through its relays.
    fn gossip_targets(&mut self) -> Vec<Arc<Member>> {
        let one_cross_zone_in = match (self.gossip_queue.needs_fast_spread(), self.is_relay()) {
            (true, _) => Some(FAST_CROSS_ZONE_GOSSIP_ONE_IN),
            (false, true) => Some(CROSS_ZONE_GOSSIP_ONE_IN),
            (false, false) => None,
        };
        let local_member = Arc::clone(self.membership.local_member());
        let mut targets = Vec::with_capacity(GOSSIP_FANOUT);
        for _ in 0..GOSSIP_FANOUT {
            let cross_zone = one_cross_zone_in.is_some_and(|one_in| self.rng.random_range(0..one_in) == 0);
            let live = self.membership.other_members().values().map(|known| &known.member);
            let candidates = live.filter(|member| {
                member.state != MemberState::Dead
                    && member.shares_zone_with(&local_member) != cross_zone
                    && !targets.contains(*member)
            });
            targets.extend(candidates.sample(&mut self.rng, 1).into_iter().map(Arc::clone));
        }
        if targets.is_empty() { self.random_live(GOSSIP_FANOUT, None) } else { targets }
    }

    /// Returns whether this node passes ordinary updates on to other zones.
    ///
    /// The nodes of a zone that watch the platform do so.
    pub(super) fn is_relay(&self) -> bool {
        role_of(self.membership.local_member(), self.membership.members()).watches_platform
    }

    /// Returns the updates that this node may send to a node with the given record, if it is known.
    fn gossip_scope(&self, receiver: Option<&Arc<Member>>) -> GossipScope {
        let is_in_zone =
            receiver.is_some_and(|receiver| receiver.shares_zone_with(self.membership.local_member()));
        if is_in_zone || self.is_relay() { GossipScope::All } else { GossipScope::FastSpreading }
    }

    /// Returns a ping; unless the target counts as alive, it carries the target's record for it to refute.
    pub(super) fn ping(&mut self, target: &Member, sequence: u32) -> wire::Datagram {
        let mut ping = self.datagram(wire::DatagramKind::Ping, sequence);
        ping.target = target.id.name.to_string();
        if target.state != MemberState::Alive {
            ping.members.push(wire::Member::from(target));
        }
        let receiver = self.membership.get(&target.id.name).map(Arc::clone);
        self.add_gossip(&mut ping, receiver.as_ref());
        ping
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

    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "sizes of datagrams are small and not negative"
    )]
    fn add_gossip(&mut self, datagram: &mut wire::Datagram, receiver: Option<&Arc<Member>>) {
        let space = GossipSpace {
            total_bytes: MAX_GOSSIP_BYTES - revisions_bytes(&datagram.revisions).min(MAX_GOSSIP_BYTES),
            ordinary_bytes: self.gossip_allowance_bytes.max(0.0) as usize,
        };
        let scope = self.gossip_scope(receiver);
        let batch = self.gossip_queue.take(scope, space, self.membership.live_count());
        self.gossip_allowance_bytes -= batch.ordinary_bytes as f64;
        datagram.members.extend(batch.members.iter().map(|member| wire::Member::from(member.as_ref())));
        let revisions = batch.revisions.iter();
        datagram.revisions.extend(
            revisions.map(|(service, revision)| wire::Revision {
                service: service.to_string(),
                revision: *revision,
            }),
        );
    }

    fn refill_allowance(&mut self, elapsed: Duration) {
        let rate = f64::from(self.settings.max_news_bytes_per_second);
        let max_allowance_bytes = rate * GOSSIP_BURST_SECONDS;
        self.gossip_allowance_bytes =
            elapsed.as_secs_f64().mul_add(rate, self.gossip_allowance_bytes).min(max_allowance_bytes);
    }

    fn random_live(&mut self, count: usize, excluded: Option<&str>) -> Vec<Arc<Member>> {
        let others = self.membership.other_members().values().map(|known| &known.member);
        let live = others.filter(|member| member.state != MemberState::Dead);
        let live = live.filter(|member| excluded.is_none_or(|excluded| *excluded != *member.id.name));
        live.sample(&mut self.rng, count).into_iter().map(Arc::clone).collect()
    }

    pub(super) fn jittered(&mut self, pause: Duration) -> Duration {
        pause.mul_f64(self.rng.random_range(0.5..1.5))
    }
}

/// Returns whether the sender of a ping should receive the record held of it, which it may have to refute.
fn needs_own_record(held: &Member, ping: &wire::Datagram) -> bool {
    let has_later_incarnation = held.id.incarnation > ping.incarnation;
    let is_not_alive = held.state != MemberState::Alive && held.id.incarnation == ping.incarnation;
    has_later_incarnation || is_not_alive
}

/// Returns the approximate size of revisions on the wire, in bytes.
pub(super) fn revisions_bytes(revisions: &[wire::Revision]) -> usize {
    revisions.iter().map(|revision| revision.service.len() + CONFIG_REVISION_BASE_BYTES).sum()
}

pub(super) fn send(to: SocketAddr, datagram: wire::Datagram) -> Action {
    Action::Send { to, datagram: Box::new(datagram) }
}
