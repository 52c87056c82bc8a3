//! A simulated fleet: the membership state machines of several nodes on a virtual clock.
//!
//! The simulated network loses, duplicates, delays and partitions messages on demand. Each node has an
//! index, which determines its name, zone and address and stays the same across its incarnations.

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
use yuccatray::coordination::platform_role::PlatformRole;
use yuccatray::coordination::platform_role::role_of;
use yuccatray::protocol::member::Member;
use yuccatray::protocol::member::MemberId;
use yuccatray::protocol::member::MemberState;
use yuccatray::protocol::published::Published;
use yuccatray::protocol::settings::GossipSettings;
use yuccatray::state::config_table::ConfigTable;
use yuccatray_proto::peer_v1 as wire;

/// Virtual time between two ticks of every node.
pub const STEP: Duration = Duration::from_millis(50);

/// Time after which the watch of a node that confirms configurations ends without changes.
pub const CONFIRMING_WATCH_WAIT: Duration = Duration::from_millis(900);

/// Faults of the simulated network.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetFaults {
    /// Percentage of messages lost.
    pub loss_percent: u32,
    /// Percentage of datagrams delivered twice.
    pub duplicate_percent: u32,
    /// Maximum delay of a message, in milliseconds; messages may be reordered within it.
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

/// One incarnation of a node.
#[derive(Debug)]
pub struct SimulatedNode {
    /// Its membership state machine.
    pub view: FleetView<Pcg64Mcg>,
    /// Its configuration.
    pub config: Arc<ConfigTable>,
    paused_until: Option<Instant>,
    /// Time at which the watch of a node that confirms configurations ends without changes.
    next_confirmation: Instant,
    inbox: Vec<Packet>,
    /// State of each member at the last invariant check.
    observed: IndexMap<Arc<str>, ObservedState>,
    /// Revision of each service at the last invariant check.
    revisions: IndexMap<Arc<str>, u64>,
}

#[derive(Clone, Copy, Debug)]
struct ObservedState {
    incarnation: u64,
    dead: bool,
}

/// The simulated nodes, network and platform.
#[derive(Debug)]
pub struct SimulatedFleet {
    /// Current virtual time.
    pub now: Instant,
    /// Running incarnation of each node, by index; `None` while the node does not run.
    pub nodes: Vec<Option<SimulatedNode>>,
    /// Faults of the network.
    pub faults: NetFaults,
    /// Network partition that each node is in; nodes reach only those of the same partition.
    pub partition_side: Vec<u8>,
    /// Whether the platform answers.
    pub platform_up: bool,
    /// Nodes, by index, that the platform can't be reached from.
    pub cut_from_platform: Vec<bool>,
    /// Age at which a confirmation of a node's configuration by another no longer counts; `None` for none at all.
    ///
    /// Applies to nodes that are started later.
    pub max_confirmation_age: Option<Duration>,
    /// Latest published revision of each service in the platform.
    pub published: IndexMap<Arc<str>, u64>,
    /// Whether the invariants are checked after each step, in time quadratic in the number of nodes.
    pub check_invariants: bool,
    /// Bytes of datagrams sent since the start, with the overhead of headers and encryption.
    pub datagram_bytes: usize,
    /// Bytes of anti-entropy exchanges sent since the start, without overhead.
    pub exchange_bytes: usize,
    /// Share of all these bytes that was sent to another zone.
    pub cross_zone_bytes: usize,
    settings: GossipSettings,
    /// Registered peer address of each zone's leader, by zone.
    seed_registry: IndexMap<String, SocketAddr>,
    /// Packets in flight, by delivery time and sequence number.
    packets: BTreeMap<(Instant, u64), Packet>,
    sequence: u64,
    /// Highest incarnation number given to a node whose clock has not gone back.
    incarnation: u64,
    zones: usize,
    rng: Pcg64Mcg,
}

impl SimulatedFleet {
    /// Creates a fleet of `node_count` nodes spread over `zones` zones, none of them running.
    #[must_use]
    pub fn new(node_count: usize, zones: usize, seed: u64) -> Self {
        Self {
            now: Instant::now(),
            nodes: (0..node_count).map(|_| None).collect(),
            faults: NetFaults::default(),
            partition_side: vec![0; node_count],
            platform_up: true,
            cut_from_platform: vec![false; node_count],
            max_confirmation_age: None,
            published: IndexMap::new(),
            check_invariants: true,
            datagram_bytes: 0,
            exchange_bytes: 0,
            cross_zone_bytes: 0,
            settings: GossipSettings::default(),
            seed_registry: IndexMap::new(),
            packets: BTreeMap::new(),
            sequence: 0,
            incarnation: 100,
            zones,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Starts a new incarnation of a node.
    ///
    /// With `clock_behind`, the VM's clock has gone back, so that the incarnation number may be lower than
    /// that of the node's previous incarnation.
    pub fn start(&mut self, index: usize, clock_behind: bool) {
        self.incarnation += 10;
        let incarnation = if clock_behind { self.incarnation - 50 } else { self.incarnation };
        let local_member = Member {
            id: MemberId { name: node_name(index), incarnation },
            version: 1,
            state: MemberState::Alive,
            region: Arc::from("r"),
            zone: Arc::from(format!("z{}", index % self.zones)),
            peer_addr: addr(index),
            ingress_addr: addr(index),
            admin_addr: addr(index),
            upstream: None,
        };
        let config = Arc::new(ConfigTable::new());
        let rng = Pcg64Mcg::seed_from_u64(self.rng.random());
        let contacts = vec![addr(0), addr(1)];
        let view =
            FleetView::new(local_member, self.settings.clone(), contacts, Arc::clone(&config), rng, self.now);
        let view = match self.max_confirmation_age {
            Some(max_age) => view.with_confirmations(max_age, self.now),
            None => view,
        };
        self.nodes[index] = Some(SimulatedNode {
            view,
            config,
            paused_until: None,
            next_confirmation: self.now,
            inbox: Vec::new(),
            observed: IndexMap::new(),
            revisions: IndexMap::new(),
        });
    }

    /// Stops a node without announcing its leave.
    pub fn crash(&mut self, index: usize) {
        self.nodes[index] = None;
    }

    /// Stops a node after it has announced its leave.
    pub fn leave(&mut self, index: usize) {
        if let Some(node) = self.nodes[index].as_mut() {
            let actions = node.view.announce_leave();
            self.perform(index, actions);
        }
        self.nodes[index] = None;
    }

    /// Suspends a node for `pause`; messages for it are queued meanwhile.
    pub fn pause(&mut self, index: usize, pause: Duration) {
        let resume_at = self.now + pause;
        if let Some(node) = self.nodes[index].as_mut() {
            node.paused_until = Some(resume_at);
        }
    }

    /// Publishes a new revision of a service in the platform.
    pub fn publish(&mut self, service: &str) {
        *self.published.entry(Arc::from(service)).or_default() += 1;
    }

    /// Ends all network faults, partitions, pauses and the outage of the platform.
    pub fn end_faults(&mut self) {
        self.faults = NetFaults::default();
        self.partition_side.fill(0);
        self.platform_up = true;
        for node in self.nodes.iter_mut().flatten() {
            node.paused_until = node.paused_until.map(|_| self.now);
        }
    }

    /// Advances the virtual clock by `duration`, and checks the invariants if `check_invariants` is set.
    pub fn run(&mut self, duration: Duration) {
        let deadline = self.now + duration;
        while self.now < deadline {
            self.step();
        }
    }

    /// Advances the clock until `condition` holds; returns the time elapsed, or `None` after `timeout`.
    pub fn run_until<F>(&mut self, timeout: Duration, condition: F) -> Option<Duration>
    where
        F: Fn(&Self) -> bool,
    {
        let started = self.now;
        while self.now - started < timeout {
            if condition(self) {
                return Some(self.now - started);
            }
            self.step();
        }
        condition(self).then(|| self.now - started)
    }

    /// Returns the running nodes, by index, that watch the platform on behalf of their zone.
    #[must_use]
    pub fn platform_watchers(&self) -> Vec<usize> {
        let running = self.nodes.iter().enumerate();
        let running = running.filter_map(|(index, node)| node.as_ref().map(|node| (index, node)));
        running.filter(|(_, node)| node_role(node).watches_platform).map(|(index, _)| index).collect()
    }

    /// Returns whether a node runs and leads its zone, according to its own view.
    #[must_use]
    pub fn leads_zone(&self, index: usize) -> bool {
        self.nodes[index].as_ref().is_some_and(|node| node_role(node).leads_zone)
    }

    /// Returns whether a node has the platform's latest revision of each service.
    #[must_use]
    pub fn is_up_to_date(&self, index: usize) -> bool {
        self.nodes[index].as_ref().is_some_and(|node| self.has_latest_revisions(node))
    }

    /// Returns whether every node lists exactly the running nodes as alive and has all latest revisions.
    #[must_use]
    pub fn has_converged(&self) -> bool {
        let alive = self.running_members();
        self.nodes
            .iter()
            .flatten()
            .all(|node| alive_members(node) == alive && self.has_latest_revisions(node))
    }

    /// Returns whether no other node lists the given node as alive or suspect, so that none sends it calls.
    #[must_use]
    pub fn is_unrouted(&self, index: usize) -> bool {
        let in_use = |node: &SimulatedNode| {
            if node.view.membership().local_member().id.name == node_name(index) {
                return false;
            }
            let record = node.view.membership().get(&node_name(index)).map(|member| member.state);
            matches!(record, Some(MemberState::Alive | MemberState::Suspect))
        };
        !self.nodes.iter().flatten().any(in_use)
    }

    /// Returns whether the number of live members at every node equals the number of running nodes.
    #[must_use]
    pub fn all_members_discovered(&self) -> bool {
        let running = self.nodes.iter().flatten().count();
        self.nodes.iter().flatten().all(|node| node.view.membership().live_count() == running)
    }

    /// Returns whether every node has the platform's latest revision of each service.
    #[must_use]
    pub fn all_nodes_up_to_date(&self) -> bool {
        self.nodes.iter().flatten().all(|node| self.has_latest_revisions(node))
    }

    /// Returns the members and revisions at each node, for the message of a failed assertion.
    #[must_use]
    pub fn describe(&self) -> String {
        let views: Vec<String> = self.nodes.iter().flatten().map(describe_node).collect();
        format!("published {:?}\n{}", self.published, views.join("\n"))
    }

    /// Returns the identities of the running nodes, sorted.
    fn running_members(&self) -> Vec<MemberId> {
        let mut alive: Vec<MemberId> = self
            .nodes
            .iter()
            .flatten()
            .map(|node| node.view.membership().local_member().id.clone())
            .collect();
        alive.sort();
        alive
    }

    /// Returns whether a node has the platform's latest revision of each service.
    fn has_latest_revisions(&self, node: &SimulatedNode) -> bool {
        let revision_of = |service: &str| node.config.get(service).map_or(0, |config| config.revision);
        self.published.iter().all(|(service, revision)| revision_of(service) == *revision)
    }

    /// Advances the clock by [`STEP`], delivers due packets and runs every node once.
    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for index in 0..self.nodes.len() {
            self.run_node(index);
        }
        self.read_platform();
        if self.check_invariants {
            self.assert_invariants();
        }
    }

    /// Moves due packets to the inboxes of running nodes; packets to other nodes are lost.
    fn deliver(&mut self) {
        let later = self.packets.split_off(&(self.now, u64::MAX));
        let due = std::mem::replace(&mut self.packets, later);
        for packet in due.into_values() {
            let index = index_of(packet.to);
            let Some(node) = self.nodes.get_mut(index).and_then(Option::as_mut) else {
                continue;
            };
            node.inbox.push(packet);
        }
    }

    /// Runs the tick of a node that is not paused and processes the messages in its inbox.
    fn run_node(&mut self, index: usize) {
        let now = self.now;
        let Some(node) = self.nodes[index].as_mut() else {
            return;
        };
        if node.paused_until.is_some_and(|deadline| now < deadline) {
            return;
        }
        node.paused_until = None;
        // As in the real event loop, a due tick may be processed before queued messages.
        let mut actions = node.view.tick(now);
        let mut replies = Vec::new();
        for packet in std::mem::take(&mut node.inbox) {
            let sender = addr(packet.from);
            match packet.payload {
                Payload::Datagram(datagram) => actions.extend(node.view.receive(sender, &datagram, now)),
                Payload::Request(request) => {
                    let (reply, more) = node.view.answer_exchange(&request, now);
                    actions.extend(more);
                    replies.push((sender, Payload::Reply(reply)));
                }
                Payload::Reply(reply) => {
                    let (next, more) = node.view.finish_exchange(&reply, now);
                    actions.extend(more);
                    replies.extend(next.map(|next| (sender, Payload::Request(next))));
                }
            }
        }
        self.perform(index, actions);
        for (to, payload) in replies {
            self.send(index, to, &payload);
        }
    }

    /// Performs the actions that the state machine of a node has returned.
    fn perform(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, datagram } => self.send(index, to, &Payload::Datagram(datagram)),
                Action::Exchange { peer, compare, wanted_services } => {
                    let node = self.nodes[index].as_ref();
                    let request = node.map(|node| node.view.begin_exchange(compare, &wanted_services));
                    if let Some(request) = request {
                        self.send(index, peer, &Payload::Request(request));
                    }
                }
                Action::MembersChanged | Action::Superseded => {}
            }
        }
    }

    /// Sends a message subject to the network faults; only datagrams can be duplicated.
    fn send(&mut self, from: usize, to: SocketAddr, payload: &Payload) {
        let bytes = encoded_bytes(payload);
        let is_datagram = matches!(payload, Payload::Datagram(_));
        if is_datagram {
            self.datagram_bytes += bytes;
        } else {
            self.exchange_bytes += bytes;
        }
        if index_of(to) % self.zones != from % self.zones {
            self.cross_zone_bytes += bytes;
        }
        let partitioned =
            self.partition_side.get(index_of(to)).is_none_or(|side| *side != self.partition_side[from]);
        if partitioned || self.rng.random_range(0..100) < self.faults.loss_percent {
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

    /// Simulates the accesses of the nodes to the platform.
    ///
    /// The leader of each zone, or a node that knows no other, reads the seed registry and registers its
    /// address; the platform watchers of each zone read the published configurations, and with confirmations also
    /// the nodes that may miss some.
    fn read_platform(&mut self) {
        if !self.platform_up {
            return;
        }
        let now = self.now;
        let confirms = self.max_confirmation_age.is_some();
        for (node, is_cut) in self.nodes.iter_mut().zip(&self.cut_from_platform) {
            let Some(node) = node.as_mut().filter(|node| node.paused_until.is_none() && !is_cut) else {
                continue;
            };
            let membership = node.view.membership();
            let local_member = Arc::clone(membership.local_member());
            let role = role_of(&local_member, membership.members());
            let is_alone = membership.live_count() == 1;
            if role.leads_zone || is_alone {
                let in_zone = self.seed_registry.get(&*local_member.zone).copied();
                node.view.set_zone_contacts(in_zone.into_iter().collect());
                node.view.add_contacts(self.seed_registry.values().copied());
                self.seed_registry.insert(local_member.zone.to_string(), local_member.peer_addr);
            }
            let may_miss = confirms && node.view.may_miss_configurations(now);
            if role.watches_platform || may_miss {
                for (service, revision) in &self.published {
                    node.view.apply(published(service, *revision));
                }
            }
            if (role.confirms_configurations || may_miss) && now >= node.next_confirmation {
                node.view.confirm_configurations(now);
                node.next_confirmation = now + CONFIRMING_WATCH_WAIT;
            }
        }
    }

    /// Checks that no revision and no incarnation decreases and that no dead incarnation is revived.
    ///
    /// # Panics
    ///
    /// When an invariant is violated.
    fn assert_invariants(&mut self) {
        for node in self.nodes.iter_mut().flatten() {
            for (service, published) in node.config.snapshot().iter() {
                let previous = node.revisions.insert(Arc::clone(service), published.revision).unwrap_or(0);
                assert!(
                    published.revision >= previous,
                    "the revision of {service} decreased from {previous} to {}",
                    published.revision
                );
                let latest = self.published.get(service).copied().unwrap_or(0);
                assert!(
                    published.revision <= latest,
                    "{service} has revision {}, which was never published",
                    published.revision
                );
            }
            for member in node.view.membership().other_members().values().map(|known| &known.member) {
                let now = ObservedState {
                    incarnation: member.id.incarnation,
                    dead: member.state == MemberState::Dead,
                };
                let previous = node.observed.insert(Arc::clone(&member.id.name), now);
                let Some(previous) = previous else {
                    continue;
                };
                assert!(
                    now.incarnation >= previous.incarnation,
                    "{member:?} replaced a later incarnation, {previous:?}"
                );
                let revived = previous.dead && !now.dead && now.incarnation == previous.incarnation;
                assert!(!revived, "{member:?} was revived in an incarnation that was dead");
            }
        }
    }
}

/// Returns the role of a node according to its own view.
fn node_role(node: &SimulatedNode) -> PlatformRole {
    let membership = node.view.membership();
    role_of(membership.local_member(), membership.members())
}

/// Returns the name of the node with the given index.
#[must_use]
pub fn node_name(index: usize) -> Arc<str> {
    Arc::from(format!("vm-{index}"))
}

/// Returns the address of the node with the given index, which is encoded in the port.
fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(index + 1).expect("the index fits into a port number")))
}

/// Returns the index of the node with the given address.
fn index_of(addr: SocketAddr) -> usize {
    usize::from(addr.port()) - 1
}

fn describe_node(node: &SimulatedNode) -> String {
    let members = node.view.membership().members().map(|member| {
        format!("{}.{}v{} {:?}", member.id.name, member.id.incarnation, member.version, member.state)
    });
    let members: Vec<String> = members.collect();
    let config = node.config.snapshot();
    let revisions: Vec<String> =
        config.values().map(|published| format!("{}={}", published.service, published.revision)).collect();
    format!("{} | {} | superseded {}", members.join(", "), revisions.join(", "), node.view.is_superseded())
}

fn published(service: &Arc<str>, revision: u64) -> Published {
    Published {
        service: Arc::clone(service),
        revision,
        epoch: 1,
        config: None,
        routes: None,
        evacuations: None,
    }
}

/// Returns the identities of the members that a node lists as alive, sorted.
fn alive_members(node: &SimulatedNode) -> Vec<MemberId> {
    let members = node.view.membership().members();
    let alive = members.filter(|member| member.state == MemberState::Alive);
    let mut alive: Vec<MemberId> = alive.map(|member| member.id.clone()).collect();
    alive.sort();
    alive
}

/// Returns the size of a message in bytes; a datagram has 28 bytes of IP and UDP headers and a 16-byte tag.
fn encoded_bytes(payload: &Payload) -> usize {
    use prost::Message;
    match payload {
        Payload::Datagram(datagram) => datagram.encoded_len() + 28 + 16,
        Payload::Request(request) => request.encoded_len(),
        Payload::Reply(reply) => reply.encoded_len(),
    }
}
