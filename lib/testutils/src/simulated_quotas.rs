//! A simulated fleet that enforces quotas: the quota state machines of several nodes on virtual clocks.
//!
//! The simulated network loses, duplicates, delays and cuts messages on demand. Each process has a clock of its own
//! with another origin and speed, and may be paused, also between a decision and the message that tells it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yuccatray::coordination::quota::SHARE_VALIDITY;
use yuccatray::coordination::quota::allowance::QuotaAllowance;
use yuccatray::coordination::quota::client::QuotaRejection;
use yuccatray::coordination::quota::fleet_roles::FleetRoles;
use yuccatray::coordination::quota::quota_node::QuotaAction;
use yuccatray::coordination::quota::quota_node::QuotaNode;
use yuccatray::coordination::quota::roster::RosterRead;
use yuccatray::coordination::quota::roster::ShareRoster;
use yuccatray::coordination::quota::roster_keeper::RosterKeeper;
use yuccatray::coordination::quota::roster_keeper::RosterKnowledge;
use yuccatray::coordination::quota::tenant_limits::Group;
use yuccatray::coordination::quota::tenant_limits::TenantLimits;
use yuccatray::protocol::member::Member;
use yuccatray::protocol::member::MemberId;
use yuccatray::protocol::member::MemberState;
use yuccatray_proto::peer_v1 as wire;

/// Interval between two reads of the roster by the leading node of a zone.
const READ_INTERVAL: Duration = Duration::from_mins(1);

/// Time that a coarse step skips, in which no process runs.
const COARSE_GAP: Duration = Duration::from_secs(30);

/// Faults of the simulated network.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuotaNetFaults {
    /// Percentage of messages lost.
    pub loss_percent: u32,
    /// Percentage of messages delivered twice.
    pub duplicate_percent: u32,
    /// Maximum delay of a message beyond the usual one, in milliseconds; messages may be reordered within it.
    pub max_delay_ms: u64,
}

/// The store, as far as the roster needs it.
#[derive(Clone, Debug, Default)]
pub struct SimulatedStore {
    /// The stored roster.
    pub roster: Option<ShareRoster>,
    /// Number of times that the store was restored from a copy.
    pub epoch: u64,
    /// Whether no node reaches the store.
    pub is_down: bool,
    /// Nodes that the store refuses.
    pub refused: IndexSet<usize>,
    copy: Option<ShareRoster>,
}

/// A request that was admitted.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Tenant.
    pub tenant: Arc<str>,
    /// When the request came.
    pub arrived_at: Duration,
    /// When the ingress let it go on.
    pub started_at: Duration,
}

#[derive(Clone, Debug)]
struct Waiting {
    tenant: Arc<str>,
    arrived_at: Duration,
}

#[derive(Clone, Debug)]
enum Event {
    Message { from: usize, to: usize, message: Box<wire::QuotaMessage> },
    Start { tenant: Arc<str>, arrived_at: Duration },
}

/// One process and what the simulation knows of it.
#[derive(Debug)]
struct Process {
    node: QuotaNode,
    keeper: RosterKeeper,
    clock_origin: Duration,
    /// Deviation of the clock's speed, in millionths.
    clock_speed_ppm: u32,
    next_tick: Duration,
    next_read: Duration,
    paused_until: Duration,
    /// Length of a pause that begins before the next message is sent.
    pause_before_send: Option<Duration>,
    waiting: IndexMap<u64, Waiting>,
}

impl Process {
    fn clock(&self, now: Duration) -> Duration {
        self.clock_origin + now + now * self.clock_speed_ppm / 1_000_000
    }
}

/// The simulated fleet.
#[derive(Debug)]
pub struct QuotaFleet {
    /// Time since the start of the simulation.
    pub now: Duration,
    /// Faults of the network.
    pub faults: QuotaNetFaults,
    /// The store.
    pub store: SimulatedStore,
    /// Requests admitted so far.
    pub admissions: Vec<Admission>,
    /// Requests rejected so far, by tenant.
    pub rejections: Vec<(Arc<str>, QuotaRejection)>,
    /// Messages sent so far.
    pub sent_messages: u64,
    processes: Vec<Option<Process>>,
    zones: usize,
    /// Directed pairs of nodes between which all messages are lost.
    cuts: IndexSet<(usize, usize)>,
    /// Nodes that an observer regards as dead.
    dead_views: IndexSet<(usize, usize)>,
    limits: TenantLimits,
    allowance: Option<QuotaAllowance>,
    events: BTreeMap<(Duration, u64), Event>,
    next_event: u64,
    next_waiter: u64,
    rng: Pcg64Mcg,
}

impl QuotaFleet {
    /// Starts `nodes` nodes in `zones` zones.
    #[must_use]
    pub fn new(nodes: usize, zones: usize, limits: TenantLimits, seed: u64) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            faults: QuotaNetFaults::default(),
            store: SimulatedStore::default(),
            admissions: Vec::new(),
            rejections: Vec::new(),
            sent_messages: 0,
            processes: (0..nodes).map(|_| None).collect(),
            zones,
            cuts: IndexSet::new(),
            dead_views: IndexSet::new(),
            limits,
            allowance: None,
            events: BTreeMap::new(),
            next_event: 0,
            next_waiter: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        for index in 0..nodes {
            fleet.start(index);
        }
        fleet
    }

    /// Returns the name of a node.
    #[must_use]
    pub fn name(index: usize) -> Arc<str> {
        Arc::from(format!("node-{index}"))
    }

    /// Stores a roster with equal shares, as a fleet has it that runs for long.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has more nodes than there are parts.
    pub fn store_equal_roster(&mut self) {
        let count = u32::try_from(self.processes.len()).expect("the fleet is small");
        let shares = (0..self.processes.len()).map(|index| (Self::name(index), 1_000_000 / count));
        self.store.roster =
            Some(ShareRoster { revision: 1, shares: shares.collect(), ..ShareRoster::default() });
    }

    /// Starts a process of a node, which replaces the one that ran before.
    pub fn start(&mut self, index: usize) {
        let clock_origin = SHARE_VALIDITY * 2 + Duration::from_millis(self.rng.random_range(0..100_000_000));
        let mut process = Process {
            node: QuotaNode::new(Self::name(index), self.rng.random(), clock_origin),
            keeper: RosterKeeper::new(Self::name(index), clock_origin),
            clock_origin,
            clock_speed_ppm: self.rng.random_range(0..4_000),
            next_tick: self.now,
            next_read: self.now,
            paused_until: self.now,
            pause_before_send: None,
            waiting: IndexMap::new(),
        };
        let clock = process.clock(self.now);
        process.node = QuotaNode::new(Self::name(index), self.rng.random(), clock);
        process.keeper = RosterKeeper::new(Self::name(index), clock);
        process.node.set_limits(self.limits.clone(), clock);
        process.node.set_allowance(self.allowance);
        self.processes[index] = Some(process);
        self.update_roles(index);
    }

    /// Ends a process at once.
    pub fn kill(&mut self, index: usize) {
        self.processes[index] = None;
    }

    /// Returns whether a process of the node runs.
    #[must_use]
    pub fn runs(&self, index: usize) -> bool {
        self.processes[index].is_some()
    }

    /// Suspends a process; its clock continues.
    pub fn pause(&mut self, index: usize, duration: Duration) {
        if let Some(process) = &mut self.processes[index] {
            process.paused_until = self.now + duration;
        }
    }

    /// Suspends a process before it sends its next message or lets its next request go on.
    pub fn pause_before_send(&mut self, index: usize, duration: Duration) {
        if let Some(process) = &mut self.processes[index] {
            process.pause_before_send = Some(duration);
        }
    }

    /// Loses all messages from one node to another, or delivers them again.
    pub fn set_cut(&mut self, from: usize, to: usize, is_cut: bool) {
        if is_cut {
            self.cuts.insert((from, to));
        } else {
            self.cuts.swap_remove(&(from, to));
        }
    }

    /// Delivers all messages again.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Sets whether `observer` regards `node` as dead.
    pub fn set_view(&mut self, observer: usize, node: usize, is_dead: bool) {
        if is_dead && observer != node {
            self.dead_views.insert((observer, node));
        } else {
            self.dead_views.swap_remove(&(observer, node));
        }
        self.update_roles(observer);
    }

    /// Lets every node see which processes run and can be reached in both directions.
    pub fn correct_views(&mut self) {
        self.dead_views.clear();
        for observer in 0..self.processes.len() {
            for node in 0..self.processes.len() {
                let is_cut = self.cuts.contains(&(observer, node)) || self.cuts.contains(&(node, observer));
                if observer != node && (is_cut || !self.runs(node)) {
                    self.dead_views.insert((observer, node));
                }
            }
        }
        for observer in 0..self.processes.len() {
            self.update_roles(observer);
        }
    }

    /// Applies a configuration at the given nodes; processes that start later have it, too.
    pub fn set_limits<I>(&mut self, limits: TenantLimits, nodes: I)
    where
        I: IntoIterator<Item = usize>,
    {
        for index in nodes {
            if let Some(process) = &mut self.processes[index] {
                let clock = process.clock(self.now);
                process.node.set_limits(limits.clone(), clock);
            }
        }
        self.limits = limits;
    }

    /// Sets what the deployment allows beyond the limits; processes that start later have it, too.
    pub fn set_allowance(&mut self, allowance: Option<QuotaAllowance>) {
        for process in self.processes.iter_mut().flatten() {
            process.node.set_allowance(allowance);
        }
        self.allowance = allowance;
    }

    /// Keeps a copy of the store.
    pub fn copy_store(&mut self) {
        self.store.copy.clone_from(&self.store.roster);
    }

    /// Restores the store from its copy, which loses the history since.
    pub fn restore_store(&mut self) {
        self.store.roster.clone_from(&self.store.copy);
        self.store.epoch += 1;
    }

    /// Sends a request of a tenant to a node; it is lost if no process runs there.
    pub fn request(&mut self, index: usize, tenant: &Arc<str>, patience: Duration) {
        let Some(process) = &mut self.processes[index] else {
            return;
        };
        if self.now < process.paused_until {
            return;
        }
        self.next_waiter += 1;
        let waiter = self.next_waiter;
        let waiting = Waiting { tenant: Arc::clone(tenant), arrived_at: self.now };
        process.waiting.insert(waiter, waiting);
        let clock = process.clock(self.now);
        let actions = process.node.admit(waiter, tenant, clock + patience, clock);
        self.perform(index, actions);
    }

    /// Advances the time by `duration` in steps of a millisecond.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += Duration::from_millis(1);
            self.deliver_due();
            for index in 0..self.processes.len() {
                self.tick_if_due(index);
            }
        }
    }

    /// Advances the time by long gaps, between which the processes run long enough to exchange a few messages.
    pub fn run_coarsely(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += COARSE_GAP;
            self.run(Duration::from_millis(120));
        }
    }

    /// Returns the parts that all processes together may spend, for the group with the most.
    ///
    /// What nodes may spend by themselves counts for every group.
    #[must_use]
    pub fn spendable_parts(&self) -> u32 {
        let mut parts: IndexMap<Group, u32> = IndexMap::new();
        let mut local_parts = 0;
        for process in self.processes.iter().flatten() {
            local_parts += process.node.status(process.clock(self.now)).local_parts;
            for (group, held) in process.node.spendable_parts(process.clock(self.now)) {
                *parts.entry(group).or_default() += held;
            }
        }
        local_parts + parts.into_values().max().unwrap_or(0)
    }

    /// Returns the tokens that the running processes have given out of their own shares.
    #[must_use]
    pub fn local_tokens(&self) -> u64 {
        let running = self.processes.iter().flatten();
        running.map(|process| process.node.status(process.clock(self.now)).local_tokens).sum()
    }

    /// Returns the shares that all processes together may spend or lend.
    #[must_use]
    pub fn usable_shares(&self) -> u32 {
        let statuses =
            self.processes.iter().flatten().map(|process| process.node.status(process.clock(self.now)));
        statuses.map(|status| status.share_parts).sum()
    }

    /// Returns the preferred server of a group, as the first running node sees it.
    ///
    /// # Panics
    ///
    /// Panics if no process runs.
    #[must_use]
    pub fn server_of(&self, group: Group) -> usize {
        let process = self.processes.iter().flatten().next().expect("a process runs");
        self.index_of(&process.node.roles().servers(group)[0])
    }

    /// Returns the leading node of a zone, as the first running node sees it.
    ///
    /// # Panics
    ///
    /// Panics if no process runs or there is no such zone.
    #[must_use]
    pub fn leader_of_zone(&self, zone: usize) -> usize {
        let process = self.processes.iter().flatten().next().expect("a process runs");
        self.index_of(&process.node.roles().zone_rankings()[zone][0])
    }

    fn index_of(&self, name: &Arc<str>) -> usize {
        let index = (0..self.processes.len()).find(|index| Self::name(*index) == *name);
        index.expect("the node belongs to the fleet")
    }

    fn tick_if_due(&mut self, index: usize) {
        let now = self.now;
        let Some(process) = &mut self.processes[index] else {
            return;
        };
        if now < process.next_tick || now < process.paused_until {
            return;
        }
        process.next_tick = now + process.node.tick_interval();
        let clock = process.clock(now);
        let actions = process.node.tick(clock);
        self.perform(index, actions);
        self.read_store_if_due(index);
    }

    /// Reads the roster, and changes it if the node leads the fleet, as the node's task does.
    fn read_store_if_due(&mut self, index: usize) {
        let live = self.live_view(index);
        let Some(process) = &mut self.processes[index] else {
            return;
        };
        let clock = process.clock(self.now);
        process.keeper.observe(&live, clock);
        let is_refused = self.store.is_down || self.store.refused.contains(&index);
        if self.now < process.next_read || is_refused || process.node.roles().own_rank() != Some(0) {
            return;
        }
        let is_known = self.store.roster.as_ref().is_some_and(|roster| roster.epoch == self.store.epoch);
        process.next_read = self.now + if is_known { READ_INTERVAL } else { Duration::from_secs(1) };
        let read = RosterRead { epoch: self.store.epoch, stored: self.store.roster.clone(), read_at: clock };
        if let Some(confirmed) = process.keeper.record_read(&read) {
            process.node.set_roster(confirmed);
        }
        if !process.node.roles().leads_fleet() {
            return;
        }
        let knowledge = RosterKnowledge { live: &live, shares_in_use: process.node.knows_shares(clock) };
        if let Some(changed) = process.keeper.decide(&read, knowledge, clock) {
            assert!(changed.all_parts() <= 1_000_000, "a roster never exceeds the whole");
            self.store.roster = Some(changed);
        }
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Event::Start { tenant, arrived_at } => {
                    self.admissions.push(Admission { tenant, arrived_at, started_at: self.now });
                }
                Event::Message { from, to, message } => self.deliver(from, to, message),
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: Box<wire::QuotaMessage>) {
        let now = self.now;
        let Some(process) = &mut self.processes[to] else {
            return;
        };
        if now < process.paused_until {
            let resumed_at = process.paused_until;
            self.schedule(resumed_at, Event::Message { from, to, message });
            return;
        }
        let clock = process.clock(now);
        let actions = process.node.receive(&Self::name(from), peer_addr(from), &message, clock);
        self.perform(to, actions);
    }

    fn perform(&mut self, index: usize, actions: Vec<QuotaAction>) {
        let now = self.now;
        let mut send_at = now;
        if let Some(process) = self.processes[index].as_mut().filter(|_| !actions.is_empty())
            && let Some(pause) = process.pause_before_send.take()
        {
            send_at = now + pause;
            process.paused_until = send_at;
        }
        for action in actions {
            match action {
                QuotaAction::Send { target, message, .. } => self.send(index, &target, &message, send_at),
                QuotaAction::Resolve(resolution) => {
                    let Some(process) = &mut self.processes[index] else {
                        continue;
                    };
                    let Some(waiting) = process.waiting.swap_remove(&resolution.waiter) else {
                        panic!("request {} was decided twice", resolution.waiter);
                    };
                    let Waiting { tenant, arrived_at } = waiting;
                    match resolution.result {
                        Ok(()) if send_at > now => {
                            self.schedule(send_at, Event::Start { tenant, arrived_at });
                        }
                        Ok(()) => self.admissions.push(Admission { tenant, arrived_at, started_at: now }),
                        Err(rejection) => self.rejections.push((tenant, rejection)),
                    }
                }
            }
        }
    }

    fn send(&mut self, from: usize, target: &Arc<str>, message: &wire::QuotaMessage, send_at: Duration) {
        self.sent_messages += 1;
        let to = self.index_of(target);
        let faults = self.faults;
        let copies = 1 + u32::from(self.rng.random_range(0..100) < faults.duplicate_percent);
        for _ in 0..copies {
            let is_lost = self.rng.random_range(0..100) < faults.loss_percent;
            if is_lost || self.cuts.contains(&(from, to)) {
                continue;
            }
            let delay = Duration::from_millis(1 + self.rng.random_range(0..=faults.max_delay_ms));
            let event = Event::Message { from, to, message: Box::new(message.clone()) };
            self.schedule(send_at + delay, event);
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn live_view(&self, observer: usize) -> Vec<Arc<str>> {
        let live = (0..self.processes.len()).filter(|node| !self.dead_views.contains(&(observer, *node)));
        live.map(Self::name).collect()
    }

    fn update_roles(&mut self, observer: usize) {
        let members: Vec<Arc<Member>> = (0..self.processes.len())
            .map(|node| {
                let is_dead = self.dead_views.contains(&(observer, node));
                Arc::new(self.member(node, if is_dead { MemberState::Dead } else { MemberState::Alive }))
            })
            .collect();
        if let Some(process) = &mut self.processes[observer] {
            process.node.set_roles(FleetRoles::new(&members[observer], &members));
        }
    }

    fn member(&self, index: usize, state: MemberState) -> Member {
        let addr = peer_addr(index);
        Member {
            id: MemberId { name: Self::name(index), incarnation: 1 },
            version: 1,
            state,
            region: Arc::from("region"),
            zone: Arc::from(format!("zone-{}", index % self.zones)),
            peer_addr: addr,
            ingress_addr: addr,
            admin_addr: addr,
            upstream: None,
        }
    }
}

fn peer_addr(index: usize) -> SocketAddr {
    let port = u16::try_from(index + 1).expect("the fleet is small");
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns a window in which more requests were both sent and started than the limit allows, if there is one.
///
/// The window is given by its length, the requests in it and the requests allowed.
#[must_use]
pub fn exceeded_window(
    admissions: &[Admission],
    tenant: &str,
    rate_per_s: f64,
    burst: f64,
) -> Option<(Duration, usize, f64)> {
    exceeded_window_up_to(admissions, tenant, rate_per_s, burst, Duration::MAX)
}

/// The same for windows of at most a length.
#[must_use]
pub fn exceeded_window_up_to(
    admissions: &[Admission],
    tenant: &str,
    rate_per_s: f64,
    burst: f64,
    max_length: Duration,
) -> Option<(Duration, usize, f64)> {
    let mut spans: Vec<(Duration, Duration)> = admissions
        .iter()
        .filter(|admission| *admission.tenant == *tenant)
        .map(|admission| (admission.arrived_at, admission.started_at))
        .collect();
    spans.sort_unstable_by_key(|(_, started_at)| *started_at);
    let mut window_starts: Vec<Duration> = spans.iter().map(|(arrived_at, _)| *arrived_at).collect();
    window_starts.dedup();
    for window_start in window_starts {
        let inside = spans.iter().filter(|(arrived_at, _)| *arrived_at >= window_start);
        for (index, (_, started_at)) in inside.enumerate() {
            let length = started_at.saturating_sub(window_start);
            if length > max_length {
                break;
            }
            let allowed = rate_per_s * length.as_secs_f64() + burst;
            let count = index + 1;
            if f64::from(u32::try_from(count).unwrap_or(u32::MAX)) > allowed {
                return Some((length, count, allowed));
            }
        }
    }
    None
}
