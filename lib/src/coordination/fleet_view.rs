//! What one node knows of the fleet, kept up by probes, news and digests.
//!
//! A pure machine: it takes datagrams, replies and readings of the clock, and returns what to do.

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
use crate::coordination::membership::Membership;
use crate::coordination::membership::Merged;
use crate::coordination::membership::StateTimes;
use crate::coordination::news_queue::NewsQueue;
use crate::coordination::news_queue::NewsRoom;
use crate::coordination::probe::ProbeSchedule;
use crate::protocol::member::Member;
use crate::protocol::member::MemberState;
use crate::protocol::member::UpstreamInfo;
use crate::protocol::member::member_from_wire;
use crate::protocol::published::Published;
use crate::protocol::settings::GossipSettings;
use crate::state::config_table::ConfigTable;

/// Nodes that news is sent to in one round.
const NEWS_FANOUT: usize = 3;

/// One in so many sendings of news goes to another zone.
const NEWS_ACROSS_EVERY: u32 = 4;

/// Nodes that a leaving node tells at once.
const LEAVE_FANOUT: usize = 10;

/// Nodes asked to probe a member that did not answer.
const INDIRECT_PROBES: usize = 3;

/// Room for news in one datagram, in bytes; the rest of a common path's 1,400 is for head and tag.
const MAX_NEWS_BYTES: usize = 1_100;

/// News that may be saved up, in seconds of the allowance.
const NEWS_BURST_SECONDS: f64 = 30.0;

/// Time after which a configuration asked for is asked for again.
const WANTED_TTL: Duration = Duration::from_secs(1);

/// Time between attempts of a node that knows nobody, at first.
pub(super) const FIRST_JOIN_PAUSE: Duration = Duration::from_millis(250);

/// What the node is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// To whom.
        to: SocketAddr,
        /// What.
        datagram: Box<wire::Datagram>,
    },
    /// Exchange digests and what differs.
    Exchange {
        /// With whom.
        with: SocketAddr,
        /// Whether digests are compared; otherwise only the wanted services travel.
        compare: bool,
        /// Services whose configuration is wanted.
        wanted: Vec<Arc<str>>,
    },
    /// Publish the members anew to the rest of the node.
    MembersChanged,
    /// Another process lives under this node's name with a later incarnation.
    Superseded,
}

/// The machine of one node.
#[derive(Debug)]
pub struct FleetView<R> {
    pub(super) membership: Membership,
    pub(super) config: Arc<ConfigTable>,
    pub(super) news: NewsQueue,
    pub(super) settings: GossipSettings,
    pub(super) rng: R,
    pub(super) contacts: Vec<SocketAddr>,
    pub(super) probes: ProbeSchedule,
    wanted: IndexMap<Arc<str>, (u64, Instant)>,
    pub(super) timers: Timers,
    news_allowance: f64,
    superseded: bool,
}

#[derive(Debug)]
pub(super) struct Timers {
    ticked: Instant,
    probe: Instant,
    news: Instant,
    pub(super) rejoin: Instant,
    pub(super) join_pause: Duration,
    pub(super) exchange: Instant,
    pub(super) mismatch: Option<Mismatch>,
}

impl<R> FleetView<R>
where
    R: Rng,
{
    /// A view of the node alone, which joins through the contacts.
    pub fn new(
        me: Member,
        settings: GossipSettings,
        contacts: Vec<SocketAddr>,
        config: Arc<ConfigTable>,
        mut rng: R,
        now: Instant,
    ) -> Self {
        let state_times = StateTimes {
            suspicion: Duration::from_millis(settings.suspicion_ms),
            forget_after: Duration::from_millis(settings.forget_after_ms),
        };
        let probe_interval = Duration::from_millis(settings.probe_interval_ms);
        let timers = Timers {
            ticked: now,
            probe: now + probe_interval.mul_f64(rng.random_range(0.0..1.0)),
            news: now,
            rejoin: now,
            join_pause: FIRST_JOIN_PAUSE,
            exchange: now,
            mismatch: None,
        };
        let news_allowance = f64::from(settings.max_news_bytes_per_second) * NEWS_BURST_SECONDS;
        let mut news = NewsQueue::default();
        let membership = Membership::new(me, state_times);
        news.push_member(Arc::clone(membership.me()));
        Self {
            membership,
            config,
            news,
            settings,
            probes: ProbeSchedule::new(rng.random()),
            rng,
            contacts,
            wanted: IndexMap::new(),
            timers,
            news_allowance,
            superseded: false,
        }
    }

    /// The members as known.
    pub const fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Whether another process has taken over this node's name.
    pub const fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Whether there is an address of another node to join through.
    pub fn has_contacts(&self) -> bool {
        let me = self.membership.me().peer_addr;
        self.contacts.iter().any(|contact| *contact != me)
    }

    /// Takes over addresses to join through, as found in the platform.
    pub fn add_contacts<I>(&mut self, addrs: I)
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        for addr in addrs {
            if !self.contacts.contains(&addr) {
                self.contacts.push(addr);
            }
        }
    }

    /// The node's upstream announced itself, changed or went.
    pub fn set_upstream(&mut self, upstream: Option<UpstreamInfo>) -> bool {
        let changed = self.membership.set_upstream(upstream);
        if changed {
            self.news.push_member(Arc::clone(self.membership.me()));
        }
        changed
    }

    /// The node is about to stop; the others are told at once.
    pub fn leave(&mut self) -> Vec<Action> {
        self.membership.leave();
        self.news.push_member(Arc::clone(self.membership.me()));
        let mut actions = vec![Action::MembersChanged];
        for member in self.random_live(LEAVE_FANOUT, None) {
            let mut datagram = self.datagram(wire::DatagramKind::Gossip, 0);
            datagram.members = vec![wire::Member::from(self.membership.me().as_ref())];
            actions.push(send(member.peer_addr, datagram));
        }
        actions
    }

    /// Applies a configuration and tells others of it; true when it was newer.
    pub fn apply(&mut self, published: Published) -> bool {
        let service = Arc::clone(&published.service);
        let revision = published.revision;
        let applied = self.config.apply(published);
        if applied {
            self.wanted.swap_remove(&service);
            self.news.push_revision(service, revision);
        }
        applied
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let gap = now - self.timers.ticked;
        self.timers.ticked = now;
        self.refill(gap);
        if gap >= Duration::from_millis(self.settings.probe_interval_ms) {
            self.membership.postpone(gap);
            self.probes.finish();
        }
        let mut actions = Vec::new();
        self.settle_mismatch(now, &mut actions);
        self.expire(now, &mut actions);
        self.drive_probe(now, &mut actions);
        self.rejoin(now, &mut actions);
        self.send_news(now, &mut actions);
        actions
    }

    /// Takes in a datagram.
    pub fn receive(&mut self, from: SocketAddr, datagram: &wire::Datagram, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let target = datagram.target.as_str();
        let about_me = target.is_empty() || target == &*self.membership.me().id.name;
        self.take_members(&datagram.members, now, &mut actions);
        // A host may send datagrams from another address than the one where it is reached.
        let reached_at = self.membership.get(&datagram.name).map_or(from, |sender| sender.peer_addr);
        self.take_revisions(reached_at, &datagram.revisions, now, &mut actions);
        match datagram.kind() {
            wire::DatagramKind::Ping if about_me && !self.superseded => {
                self.answer_ping(from, datagram, &mut actions);
            }
            wire::DatagramKind::Ack => self.take_ack(datagram, &mut actions),
            wire::DatagramKind::PingRequest => self.relay(from, datagram, now, &mut actions),
            _ => {}
        }
        self.compare_digests(reached_at, datagram, now, &mut actions);
        actions
    }

    pub(super) fn take_members(&mut self, members: &[wire::Member], now: Instant, actions: &mut Vec<Action>) {
        let mut changed = false;
        for member in members.iter().filter_map(member_from_wire) {
            let name = Arc::clone(&member.id.name);
            match self.membership.merge(member, now) {
                Merged::Old => continue,
                Merged::Superseded => {
                    self.superseded = true;
                    actions.push(Action::Superseded);
                    continue;
                }
                Merged::New => {}
                Merged::Refuted => self.superseded = false,
            }
            changed = true;
            if let Some(record) = self.membership.get(&name) {
                self.news.push_member(Arc::clone(record));
            }
        }
        if changed {
            actions.push(Action::MembersChanged);
        }
    }

    fn take_revisions(
        &mut self,
        from: SocketAddr,
        revisions: &[wire::Revision],
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let wanted: Vec<Arc<str>> = revisions.iter().filter_map(|said| self.want(said, now)).collect();
        if !wanted.is_empty() {
            actions.push(Action::Exchange { with: from, compare: false, wanted });
        }
    }

    /// The service, if what is said is newer than what is held and not asked for yet.
    pub(super) fn want(&mut self, said: &wire::Revision, now: Instant) -> Option<Arc<str>> {
        let held = self.config.get(&said.service).map_or(0, |held| held.revision);
        let asked = self.wanted.get(said.service.as_str());
        let asked = asked.is_some_and(|(revision, until)| *revision >= said.revision && *until > now);
        if said.revision <= held || asked {
            return None;
        }
        let service = Arc::from(said.service.as_str());
        self.wanted.insert(Arc::clone(&service), (said.revision, now + WANTED_TTL));
        Some(service)
    }

    fn answer_ping(&mut self, from: SocketAddr, ping: &wire::Datagram, actions: &mut Vec<Action>) {
        let mut ack = self.datagram(wire::DatagramKind::Ack, ping.sequence);
        if let Some(sender) = self.membership.get(&ping.name).filter(|sender| needs_telling(sender, ping)) {
            ack.members.push(wire::Member::from(sender.as_ref()));
        }
        self.add_news(&mut ack);
        actions.push(send(from, ack));
    }

    fn take_ack(&mut self, ack: &wire::Datagram, actions: &mut Vec<Action>) {
        if let Some(relay) = self.probes.take_relay(ack.sequence) {
            let answer = self.datagram(wire::DatagramKind::Ack, relay.sequence);
            actions.push(send(relay.requester, answer));
        }
        let answered = self.probes.current().is_some_and(|probe| {
            let former_life = *ack.name == *probe.target.name && ack.incarnation < probe.target.incarnation;
            probe.sequence == ack.sequence && !former_life
        });
        if answered {
            self.probes.finish();
        }
    }

    fn relay(&mut self, from: SocketAddr, request: &wire::Datagram, now: Instant, actions: &mut Vec<Action>) {
        let Ok(addr) = request.target_addr.parse() else {
            return;
        };
        let sequence = self.probes.relay(from, request.sequence, now);
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
            self.news.push_member(member);
        }
        actions.push(Action::MembersChanged);
    }

    fn drive_probe(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.ask_others(now, actions);
        if now < self.timers.probe {
            return;
        }
        self.timers.probe = now + Duration::from_millis(self.settings.probe_interval_ms);
        if let Some(failed) = self.probes.finish()
            && let Some(suspect) = self.membership.suspect(&failed.target.name, now)
        {
            self.news.push_member(suspect);
            actions.push(Action::MembersChanged);
        }
        let Some(target) = self.probes.begin(&self.membership, &mut self.rng, now) else {
            return;
        };
        let sequence = self.probes.current().map_or(0, |probe| probe.sequence);
        let ping = self.ping(&target, sequence);
        actions.push(send(target.peer_addr, ping));
    }

    fn ask_others(&mut self, now: Instant, actions: &mut Vec<Action>) {
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
        for helper in self.random_live(INDIRECT_PROBES, Some(&name)) {
            let mut request = self.datagram(wire::DatagramKind::PingRequest, sequence);
            request.target = name.to_string();
            request.target_addr = target.peer_addr.to_string();
            actions.push(send(helper.peer_addr, request));
        }
    }

    fn send_news(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.timers.news || self.news.is_empty() {
            return;
        }
        self.timers.news = now + Duration::from_millis(self.settings.interval_ms);
        for member in self.news_targets() {
            let mut gossip = self.datagram(wire::DatagramKind::Gossip, 0);
            self.add_news(&mut gossip);
            if gossip.members.is_empty() && gossip.revisions.is_empty() {
                return;
            }
            actions.push(send(member.peer_addr, gossip));
        }
    }

    /// Whom to tell: anybody of what is pressing, else mostly members of the own zone.
    ///
    /// Bytes between zones are dear, and each record goes out many times.
    fn news_targets(&mut self) -> Vec<Arc<Member>> {
        if self.news.is_pressing() {
            return self.random_live(NEWS_FANOUT, None);
        }
        let me = Arc::clone(self.membership.me());
        let mut targets = Vec::with_capacity(NEWS_FANOUT);
        for _ in 0..NEWS_FANOUT {
            let across = self.rng.random_range(0..NEWS_ACROSS_EVERY) == 0;
            let live = self.membership.others().values().map(|known| &known.member);
            let wanted = live.filter(|member| {
                member.state != MemberState::Dead
                    && member.shares_zone_with(&me) != across
                    && !targets.contains(*member)
            });
            targets.extend(wanted.sample(&mut self.rng, 1).into_iter().map(Arc::clone));
        }
        if targets.is_empty() { self.random_live(NEWS_FANOUT, None) } else { targets }
    }

    /// A ping that tells a suspect or dead member what is said of it.
    pub(super) fn ping(&mut self, target: &Member, sequence: u32) -> wire::Datagram {
        let mut ping = self.datagram(wire::DatagramKind::Ping, sequence);
        ping.target = target.id.name.to_string();
        if target.state != MemberState::Alive {
            ping.members.push(wire::Member::from(target));
        }
        self.add_news(&mut ping);
        ping
    }

    /// A datagram without news.
    pub fn datagram(&self, kind: wire::DatagramKind, sequence: u32) -> wire::Datagram {
        let me = &self.membership.me().id;
        wire::Datagram {
            kind: kind.into(),
            name: me.name.to_string(),
            incarnation: me.incarnation,
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
    fn add_news(&mut self, datagram: &mut wire::Datagram) {
        let room =
            NewsRoom { total_bytes: MAX_NEWS_BYTES, ordinary_bytes: self.news_allowance.max(0.0) as usize };
        let batch = self.news.take(room, self.membership.live_count());
        self.news_allowance -= batch.ordinary_bytes as f64;
        datagram.members.extend(batch.members.iter().map(|member| wire::Member::from(member.as_ref())));
        let revisions = batch.revisions.iter();
        datagram.revisions.extend(
            revisions.map(|(service, revision)| wire::Revision {
                service: service.to_string(),
                revision: *revision,
            }),
        );
    }

    fn refill(&mut self, gap: Duration) {
        let rate = f64::from(self.settings.max_news_bytes_per_second);
        let full = rate * NEWS_BURST_SECONDS;
        self.news_allowance = gap.as_secs_f64().mul_add(rate, self.news_allowance).min(full);
    }

    fn random_live(&mut self, count: usize, but: Option<&str>) -> Vec<Arc<Member>> {
        let others = self.membership.others().values().map(|known| &known.member);
        let live = others.filter(|member| member.state != MemberState::Dead);
        let live = live.filter(|member| but.is_none_or(|but| *but != *member.id.name));
        live.sample(&mut self.rng, count).into_iter().map(Arc::clone).collect()
    }

    pub(super) fn jittered(&mut self, pause: Duration) -> Duration {
        pause.mul_f64(self.rng.random_range(0.5..1.5))
    }
}

/// Whether the sender of a ping does not know what is said of it.
fn needs_telling(held: &Member, ping: &wire::Datagram) -> bool {
    let later_life = held.id.incarnation > ping.incarnation;
    let doubted = held.state != MemberState::Alive && held.id.incarnation == ping.incarnation;
    later_life || doubted
}

pub(super) fn send(to: SocketAddr, datagram: wire::Datagram) -> Action {
    Action::Send { to, datagram: Box::new(datagram) }
}
