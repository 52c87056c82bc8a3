//! A few machines of nodes on a clock of their own, joined by a network that misbehaves on demand.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;
use yuccatray::coordination::fleet_view::Action;
use yuccatray::coordination::fleet_view::FleetView;
use yuccatray::coordination::platform_role::role_of;
use yuccatray::protocol::member::Member;
use yuccatray::protocol::member::MemberId;
use yuccatray::protocol::member::MemberState;
use yuccatray::protocol::published::Published;
use yuccatray::protocol::settings::GossipSettings;
use yuccatray::state::config_table::ConfigTable;
use yuccatray_proto::peer_v1 as wire;

/// Virtual time between two looks of every node.
pub const STEP: Duration = Duration::from_millis(50);

/// What the network does to messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetFaults {
    /// Share of messages lost.
    pub loss_percent: u32,
    /// Share of datagrams delivered twice.
    pub duplicate_percent: u32,
    /// Longest delay; messages overtake one another within it.
    pub max_delay_ms: u64,
}

#[derive(Clone, Debug)]
enum Payload {
    Datagram(Box<wire::Datagram>),
    Request(wire::ExchangeRequest),
    Reply(wire::ExchangeReply),
}

#[derive(Clone, Debug)]
struct Packet {
    from: usize,
    to: SocketAddr,
    payload: Payload,
}

/// One life of a node.
#[derive(Debug)]
pub struct Life {
    /// Its machine.
    pub view: FleetView<Pcg64Mcg>,
    /// Its configuration.
    pub config: Arc<ConfigTable>,
    paused_until: Option<Instant>,
    inbox: Vec<Packet>,
    seen: IndexMap<Arc<str>, Seen>,
    revisions: IndexMap<Arc<str>, u64>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    incarnation: u64,
    dead: bool,
}

/// The nodes, the network and what the platform holds.
#[derive(Debug)]
pub struct Fleet {
    /// The clock.
    pub now: Instant,
    /// A life for each place that has one.
    pub lives: Vec<Option<Life>>,
    /// The network's misbehaviour.
    pub faults: NetFaults,
    /// Side of the cut on which each place stands.
    pub side: Vec<u8>,
    /// Whether the platform answers.
    pub platform_up: bool,
    /// Latest revision of each service in the platform.
    pub published: IndexMap<Arc<str>, u64>,
    /// Whether what must always hold is checked after each step, which costs the square of the size.
    pub checked: bool,
    /// Datagram bytes sent since the start.
    pub datagram_bytes: usize,
    /// Exchange bytes sent since the start.
    pub exchange_bytes: usize,
    settings: GossipSettings,
    rendezvous: IndexMap<String, SocketAddr>,
    packets: BTreeMap<(Instant, u64), Packet>,
    sequence: u64,
    incarnation: u64,
    zones: usize,
    rng: Pcg64Mcg,
}

impl Fleet {
    /// `places` for nodes in `zones` zones, none of them running.
    #[must_use]
    pub fn new(places: usize, zones: usize, seed: u64) -> Self {
        Self {
            now: Instant::now(),
            lives: (0..places).map(|_| None).collect(),
            faults: NetFaults::default(),
            side: vec![0; places],
            platform_up: true,
            published: IndexMap::new(),
            checked: true,
            datagram_bytes: 0,
            exchange_bytes: 0,
            settings: GossipSettings::default(),
            rendezvous: IndexMap::new(),
            packets: BTreeMap::new(),
            sequence: 0,
            incarnation: 100,
            zones,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Starts the node of a place; its clock may stand before that of its former life.
    pub fn start(&mut self, place: usize, clock_behind: bool) {
        self.incarnation += 10;
        let incarnation = if clock_behind { self.incarnation - 50 } else { self.incarnation };
        let local_member = Member {
            id: MemberId { name: name(place), incarnation },
            version: 1,
            state: MemberState::Alive,
            region: Arc::from("r"),
            zone: Arc::from(format!("z{}", place % self.zones)),
            peer_addr: addr(place),
            ingress_addr: addr(place),
            admin_addr: addr(place),
            upstream: None,
        };
        let config = Arc::new(ConfigTable::new());
        let rng = Pcg64Mcg::seed_from_u64(self.rng.random());
        let contacts = vec![addr(0), addr(1)];
        let view =
            FleetView::new(local_member, self.settings.clone(), contacts, Arc::clone(&config), rng, self.now);
        self.lives[place] = Some(Life {
            view,
            config,
            paused_until: None,
            inbox: Vec::new(),
            seen: IndexMap::new(),
            revisions: IndexMap::new(),
        });
    }

    /// Ends a node without a word.
    pub fn crash(&mut self, place: usize) {
        self.lives[place] = None;
    }

    /// Ends a node after it has announced its leave.
    pub fn leave(&mut self, place: usize) {
        if let Some(life) = self.lives[place].as_mut() {
            let actions = life.view.announce_leave();
            self.perform(place, actions);
        }
        self.lives[place] = None;
    }

    /// Stops a node's clock; what arrives meanwhile waits.
    pub fn pause(&mut self, place: usize, pause: Duration) {
        let until = self.now + pause;
        if let Some(life) = self.lives[place].as_mut() {
            life.paused_until = Some(until);
        }
    }

    /// A new revision of a service in the platform.
    pub fn publish(&mut self, service: &str) {
        *self.published.entry(Arc::from(service)).or_default() += 1;
    }

    /// Ends every fault.
    pub fn heal(&mut self) {
        self.faults = NetFaults::default();
        self.side.fill(0);
        self.platform_up = true;
        for life in self.lives.iter_mut().flatten() {
            life.paused_until = life.paused_until.map(|_| self.now);
        }
    }

    /// Lets time pass and checks after each step what must always hold.
    pub fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.step();
        }
    }

    /// Lets time pass until `done` holds; the time that it took, or nothing when it took too long.
    pub fn run_until<F>(&mut self, longest: Duration, done: F) -> Option<Duration>
    where
        F: Fn(&Self) -> bool,
    {
        let started = self.now;
        while self.now - started < longest {
            if done(self) {
                return Some(self.now - started);
            }
            self.step();
        }
        done(self).then(|| self.now - started)
    }

    /// Whether every life sees exactly the lives that there are and holds what the platform holds.
    #[must_use]
    pub fn has_converged(&self) -> bool {
        let alive = self.alive();
        self.lives.iter().flatten().all(|life| seen_alive(life) == alive && self.holds_all(life))
    }

    /// Whether every other life has stopped sending work to the node of a place.
    #[must_use]
    pub fn is_out_of_use(&self, place: usize) -> bool {
        let in_use = |life: &Life| {
            if life.view.membership().local_member().id.name == name(place) {
                return false;
            }
            let record = life.view.membership().get(&name(place)).map(|member| member.state);
            matches!(record, Some(MemberState::Alive | MemberState::Suspect))
        };
        !self.lives.iter().flatten().any(in_use)
    }

    /// Whether every life knows as many live members as there are.
    #[must_use]
    pub fn all_know_all(&self) -> bool {
        let running = self.lives.iter().flatten().count();
        self.lives.iter().flatten().all(|life| life.view.membership().live_count() == running)
    }

    /// Whether every life holds the platform's latest revision of each service.
    #[must_use]
    pub fn all_hold_latest(&self) -> bool {
        self.lives.iter().flatten().all(|life| self.holds_all(life))
    }

    /// What each life sees, for the message of a failed check.
    #[must_use]
    pub fn describe(&self) -> String {
        let views: Vec<String> = self.lives.iter().flatten().map(describe_life).collect();
        format!("published {:?}\n{}", self.published, views.join("\n"))
    }

    fn alive(&self) -> Vec<MemberId> {
        let mut alive: Vec<MemberId> = self
            .lives
            .iter()
            .flatten()
            .map(|life| life.view.membership().local_member().id.clone())
            .collect();
        alive.sort();
        alive
    }

    fn holds_all(&self, life: &Life) -> bool {
        let held = |service: &str| life.config.get(service).map_or(0, |held| held.revision);
        self.published.iter().all(|(service, revision)| held(service) == *revision)
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for place in 0..self.lives.len() {
            self.wake(place);
        }
        self.read_platform();
        if self.checked {
            self.check();
        }
    }

    fn deliver(&mut self) {
        let later = self.packets.split_off(&(self.now, u64::MAX));
        let due = std::mem::replace(&mut self.packets, later);
        for packet in due.into_values() {
            let place = place_of(packet.to);
            let Some(life) = self.lives.get_mut(place).and_then(Option::as_mut) else {
                continue;
            };
            life.inbox.push(packet);
        }
    }

    fn wake(&mut self, place: usize) {
        let now = self.now;
        let Some(life) = self.lives[place].as_mut() else {
            return;
        };
        if life.paused_until.is_some_and(|until| now < until) {
            return;
        }
        life.paused_until = None;
        // As in the real loop, a due tick may come before what waits in the socket.
        let mut actions = life.view.tick(now);
        let mut replies = Vec::new();
        for packet in std::mem::take(&mut life.inbox) {
            let sender = addr(packet.from);
            match packet.payload {
                Payload::Datagram(datagram) => actions.extend(life.view.receive(sender, &datagram, now)),
                Payload::Request(request) => {
                    let (reply, more) = life.view.answer_exchange(&request, now);
                    actions.extend(more);
                    replies.push((sender, Payload::Reply(reply)));
                }
                Payload::Reply(reply) => {
                    let (next, more) = life.view.finish_exchange(&reply, now);
                    actions.extend(more);
                    replies.extend(next.map(|next| (sender, Payload::Request(next))));
                }
            }
        }
        self.perform(place, actions);
        for (to, payload) in replies {
            self.send(place, to, &payload);
        }
    }

    fn perform(&mut self, place: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, datagram } => self.send(place, to, &Payload::Datagram(datagram)),
                Action::Exchange { peer, compare, wanted_services } => {
                    let life = self.lives[place].as_ref();
                    let request = life.map(|life| life.view.begin_exchange(compare, &wanted_services));
                    if let Some(request) = request {
                        self.send(place, peer, &Payload::Request(request));
                    }
                }
                Action::MembersChanged | Action::Superseded => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, payload: &Payload) {
        let bytes = bytes_of(payload);
        let is_datagram = matches!(payload, Payload::Datagram(_));
        if is_datagram {
            self.datagram_bytes += bytes;
        } else {
            self.exchange_bytes += bytes;
        }
        let cut = self.side.get(place_of(to)).is_none_or(|side| *side != self.side[from]);
        if cut || self.rng.random_range(0..100) < self.faults.loss_percent {
            return;
        }
        let copies =
            if is_datagram && self.rng.random_range(0..100) < self.faults.duplicate_percent { 2 } else { 1 };
        for _copy in 0..copies {
            let delay = Duration::from_millis(self.rng.random_range(0..=self.faults.max_delay_ms));
            self.sequence += 1;
            let packet = Packet { from, to, payload: payload.clone() };
            self.packets.insert((self.now + delay, self.sequence), packet);
        }
    }

    /// What the readers and the leading nodes of each zone do with the platform.
    fn read_platform(&mut self) {
        if !self.platform_up {
            return;
        }
        for life in self.lives.iter_mut().flatten() {
            if life.paused_until.is_some() {
                continue;
            }
            let membership = life.view.membership();
            let local_member = Arc::clone(membership.local_member());
            let role = role_of(&local_member, membership.members());
            let alone = membership.live_count() == 1;
            if role.leads_zone || alone {
                life.view.add_contacts(self.rendezvous.values().copied());
                self.rendezvous.insert(local_member.zone.to_string(), local_member.peer_addr);
            }
            if role.watches_platform {
                for (service, revision) in &self.published {
                    life.view.apply(published(service, *revision));
                }
            }
        }
    }

    /// Revisions never go back, and neither does what is said of an incarnation.
    fn check(&mut self) {
        for life in self.lives.iter_mut().flatten() {
            for (service, held) in life.config.snapshot().iter() {
                let before = life.revisions.insert(Arc::clone(service), held.revision).unwrap_or(0);
                assert!(held.revision >= before, "{service} went from {before} to {}", held.revision);
                let issued = self.published.get(service).copied().unwrap_or(0);
                assert!(held.revision <= issued, "{service} at {} was never published", held.revision);
            }
            for member in life.view.membership().other_members().values().map(|known| &known.member) {
                let now =
                    Seen { incarnation: member.id.incarnation, dead: member.state == MemberState::Dead };
                let before = life.seen.insert(Arc::clone(&member.id.name), now);
                let Some(before) = before else {
                    continue;
                };
                assert!(now.incarnation >= before.incarnation, "{member:?} came after {before:?}");
                let revived = before.dead && !now.dead && now.incarnation == before.incarnation;
                assert!(!revived, "{member:?} was dead");
            }
        }
    }
}

/// Name of the node of a place.
#[must_use]
pub fn name(place: usize) -> Arc<str> {
    Arc::from(format!("vm-{place}"))
}

fn addr(place: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(place + 1).expect("places are few")))
}

fn place_of(addr: SocketAddr) -> usize {
    usize::from(addr.port()) - 1
}

fn describe_life(life: &Life) -> String {
    let members = life.view.membership().members().map(|member| {
        format!("{}.{}v{} {:?}", member.id.name, member.id.incarnation, member.version, member.state)
    });
    let members: Vec<String> = members.collect();
    let config = life.config.snapshot();
    let held: Vec<String> =
        config.values().map(|held| format!("{}={}", held.service, held.revision)).collect();
    format!("{} | {} | superseded {}", members.join(", "), held.join(", "), life.view.is_superseded())
}

fn published(service: &Arc<str>, revision: u64) -> Published {
    Published { service: Arc::clone(service), revision, epoch: 1, config: None, routes: None }
}

fn seen_alive(life: &Life) -> Vec<MemberId> {
    let members = life.view.membership().members();
    let alive = members.filter(|member| member.state == MemberState::Alive);
    let mut alive: Vec<MemberId> = alive.map(|member| member.id.clone()).collect();
    alive.sort();
    alive
}

fn bytes_of(payload: &Payload) -> usize {
    use prost::Message;
    match payload {
        Payload::Datagram(datagram) => datagram.encoded_len() + 28 + 16,
        Payload::Request(request) => request.encoded_len(),
        Payload::Reply(reply) => reply.encoded_len(),
    }
}
