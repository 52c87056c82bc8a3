//! Transport of the gossip protocol: the UDP socket and the peer exchanges that keep the fleet view current.
//!
//! The protocol logic is in [`FleetView`]; this module performs its actions and passes messages to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use prost::Message;
use rand_pcg::Pcg64Mcg;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use yuccatray_proto::peer_v1 as wire;
use yuccatray_proto::peer_v1::peer_client::PeerClient;

use crate::coordination::applied_fleet::FleetAppliedRevisions;
use crate::coordination::applied_report::AppliedReporter;
use crate::coordination::applied_report::ZoneCollector;
use crate::coordination::fleet_view::Action;
use crate::coordination::fleet_view::FleetView;
use crate::coordination::platform_role::PlatformRole;
use crate::coordination::platform_role::role_of;
use crate::coordination::platform_role::zone_platform_watchers;
use crate::log_event;
use crate::protocol::member::Member;
use crate::protocol::member::MemberId;
use crate::protocol::member::MemberState;
use crate::protocol::member::UpstreamInfo;
use crate::protocol::published::Published;
use crate::state::config_table::ConfigTable;
use crate::state::control_metrics::UDP_HEADER_BYTES;
use crate::state::directory::Directory;
use crate::state::metrics::SharedMetrics;
use crate::transport::peer_channel::ControlChannels;
use crate::transport::peer_channel::ControlClient;
use crate::transport::peer_security::PeerSecurity;
use crate::transport::quota_link::QuotaLink;

/// Time between two checks for gossip and reports that are due.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time limit of an exchange with its follow-up requests, and of sending a zone report.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest number of concurrent exchanges that a node initiates.
const MAX_EXCHANGES: usize = 4;

/// Time that a node with known contacts gets to join them before it assumes a platform role on its own.
const JOIN_GRACE: Duration = Duration::from_secs(3);

/// Size of the receive buffer for datagrams, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Components that [`Gossip`] is created from.
#[derive(Debug)]
pub struct GossipDependencies {
    /// The node's view of the fleet.
    pub view: FleetView<Pcg64Mcg>,
    /// Configuration in force.
    pub config: Arc<ConfigTable>,
    /// Directory in which members are published to the rest of the node.
    pub directory: Arc<Directory>,
    /// Socket for datagrams.
    pub socket: Arc<UdpSocket>,
    /// Keys and certificates that authenticate datagrams and connections.
    pub security: Arc<PeerSecurity>,
    /// Control connections to peers.
    pub channels: Arc<ControlChannels>,
    /// Metrics of the node.
    pub metrics: SharedMetrics,
    /// Quotas of tenants, whose datagrams share the socket.
    pub quotas: Arc<QuotaLink>,
}

/// State of the gossip behind its lock.
#[derive(Debug)]
struct Inner {
    view: FleetView<Pcg64Mcg>,
    /// Reports the configuration that this node has applied to the collector of its zone.
    reporter: AppliedReporter,
    /// Reports received from the nodes of the zone, if this node collects them.
    collector: ZoneCollector,
    /// Zone reports received from other collectors, if this node holds the lease.
    fleet: FleetAppliedRevisions,
}

/// Gossip of one node: exchanges members, configuration revisions and reports with the other nodes.
#[derive(Debug)]
pub struct Gossip {
    inner: Mutex<Inner>,
    config: Arc<ConfigTable>,
    directory: Arc<Directory>,
    socket: Arc<UdpSocket>,
    security: Arc<PeerSecurity>,
    channels: Arc<ControlChannels>,
    metrics: SharedMetrics,
    quotas: Arc<QuotaLink>,
    exchange_permits: Arc<Semaphore>,
    /// Whether the node has to read configurations from the platform itself.
    may_miss_configurations: watch::Sender<bool>,
    /// Notified each time that the node has read the latest configurations from the platform.
    configurations_read: Notify,
    /// Time of the first attempt to read the seed registry on the platform, successful or not.
    first_seed_lookup: Mutex<Option<Instant>>,
}

impl Gossip {
    /// Creates the gossip and publishes the members to the directory; [`Gossip::run`] starts the protocol.
    #[must_use]
    pub fn new(dependencies: GossipDependencies) -> Self {
        let inner = Inner {
            view: dependencies.view,
            reporter: AppliedReporter::default(),
            collector: ZoneCollector::default(),
            fleet: FleetAppliedRevisions::default(),
        };
        let gossip = Self {
            inner: Mutex::new(inner),
            config: dependencies.config,
            directory: dependencies.directory,
            socket: dependencies.socket,
            security: dependencies.security,
            channels: dependencies.channels,
            metrics: dependencies.metrics,
            quotas: dependencies.quotas,
            exchange_permits: Arc::new(Semaphore::new(MAX_EXCHANGES)),
            may_miss_configurations: watch::Sender::new(true),
            configurations_read: Notify::new(),
            first_seed_lookup: Mutex::new(None),
        };
        gossip.publish_directory();
        gossip
    }

    /// Returns the node's own member record.
    #[must_use]
    pub fn local_member(&self) -> Arc<Member> {
        Arc::clone(self.inner.lock().view.membership().local_member())
    }

    /// Returns whether the given name and incarnation identify this process, now or earlier.
    #[must_use]
    pub fn is_own_identity(&self, id: &MemberId) -> bool {
        self.inner.lock().view.membership().is_own_identity(id)
    }

    /// Sets or removes the node's upstream and gossips the change.
    pub fn set_own_upstream(&self, upstream: Option<UpstreamInfo>) {
        let changed = self.inner.lock().view.set_own_upstream(upstream);
        if changed {
            self.publish_directory();
        }
    }

    /// Applies a configuration read from the platform and gossips its revision; returns whether it was newer.
    pub fn apply(&self, published: Published) -> bool {
        self.inner.lock().view.apply(published)
    }

    /// Adds addresses through which the node can join the fleet.
    pub fn add_contacts(&self, addrs: Vec<SocketAddr>) {
        self.inner.lock().view.add_contacts(addrs);
    }

    /// Replaces the addresses in the own zone through which the node can join the fleet.
    pub fn set_zone_contacts(&self, addrs: Vec<SocketAddr>) {
        self.inner.lock().view.set_zone_contacts(addrs);
    }

    /// Records that the node has tried to read the seed registry on the platform, successfully or not.
    pub fn record_seed_lookup(&self) {
        self.first_seed_lookup.lock().get_or_insert_with(Instant::now);
    }

    /// Returns whether no other live member is known.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        self.inner.lock().view.membership().live_count() == 1
    }

    /// Returns the node's current role towards the platform.
    ///
    /// A node has no role once another process has taken over its name, or while it is alone but may still
    /// join others.
    #[must_use]
    pub fn role(&self) -> PlatformRole {
        let inner = self.inner.lock();
        let membership = inner.view.membership();
        let alone = membership.live_count() == 1;
        if inner.view.is_superseded() || (alone && !self.may_act_alone(inner.view.has_contacts())) {
            return PlatformRole::default();
        }
        role_of(membership.local_member(), membership.members())
    }

    /// Records that the node has read the latest configurations from the platform, as of `current_at`.
    pub fn confirm_configurations(&self, current_at: Instant) {
        self.inner.lock().view.confirm_configurations(current_at);
        self.configurations_read.notify_waiters();
    }

    /// Waits until the node next reads configurations from the platform.
    pub async fn configurations_read(&self) {
        self.configurations_read.notified().await;
    }

    /// Returns whether the node has to read configurations from the platform itself, as of the last tick.
    #[must_use]
    pub fn may_miss_configurations(&self) -> watch::Receiver<bool> {
        self.may_miss_configurations.subscribe()
    }

    /// Returns the peer addresses of the nodes of this zone that communicate with the platform.
    #[must_use]
    pub fn zone_platform_watcher_addrs(&self) -> Vec<SocketAddr> {
        let inner = self.inner.lock();
        let membership = inner.view.membership();
        let local_member = membership.local_member();
        let watchers = zone_platform_watchers(membership.members(), &local_member.region, &local_member.zone);
        watchers.iter().map(|watcher| watcher.peer_addr).collect()
    }

    /// Announces to some peers that this node is leaving; they relay it to the others.
    pub async fn leave(self: &Arc<Self>) {
        let actions = self.inner.lock().view.announce_leave();
        self.perform(actions).await;
    }

    /// Runs the gossip protocol until `stop` is cancelled.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => self.tick().await,
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, from)) = received {
                        self.receive_datagram(&buffer[..length], from).await;
                    }
                }
            }
        }
    }

    /// Answers an exchange that a peer initiated.
    pub async fn answer_exchange(self: &Arc<Self>, request: &wire::ExchangeRequest) -> wire::ExchangeReply {
        self.metrics.control.count("received", "exchange", request.encoded_len() as u64);
        let (reply, actions) = self.inner.lock().view.answer_exchange(request, Instant::now());
        self.metrics.control.count("sent", "exchange", reply.encoded_len() as u64);
        self.perform(actions).await;
        reply
    }

    /// Runs `operation` on the configuration state of the fleet, as reported to this node.
    pub fn with_fleet_applied_revisions<F, T>(&self, operation: F) -> T
    where
        F: FnOnce(&mut FleetAppliedRevisions) -> T,
    {
        operation(&mut self.inner.lock().fleet)
    }

    /// Returns a summary of the configuration that the nodes of this zone report as applied.
    #[must_use]
    pub fn zone_summary(&self) -> wire::ZoneReport {
        let now = Instant::now();
        let config = self.config.snapshot();
        let mut inner = self.inner.lock();
        let Inner { view, collector, .. } = &mut *inner;
        let membership = view.membership();
        let local_member = membership.local_member();
        collector.record_own(&local_member.id.name, local_member.id.incarnation, &config, now);
        collector.expire(now);
        let live = |name: &str| membership.get(name).is_some_and(|member| is_live(member));
        collector.summary(&local_member.region, &local_member.zone, &config, live)
    }

    /// Sends a zone's report to the holder of the lease.
    ///
    /// Returns `true` if the holder accepted it, `false` if it needs a complete report or did not answer.
    pub async fn send_zone_report(&self, holder: SocketAddr, report: wire::ZoneReport) -> bool {
        self.metrics.control.count("sent", "exchange", report.encoded_len() as u64);
        let mut client = self.new_client(holder);
        let sent = tokio::time::timeout(EXCHANGE_TIMEOUT, client.report_zone(report)).await;
        matches!(sent, Ok(Ok(reply)) if reply.get_ref().complete)
    }

    /// Applies a zone's report; returns `false` if a complete report is needed first.
    pub fn apply_zone_report(&self, report: &wire::ZoneReport) -> bool {
        self.metrics.control.count("received", "exchange", report.encoded_len() as u64);
        self.with_fleet_applied_revisions(|fleet| fleet.record_report(report, Instant::now()))
    }

    /// Returns whether a node without live peers may assume a platform role.
    fn may_act_alone(&self, has_contacts: bool) -> bool {
        let first_lookup = *self.first_seed_lookup.lock();
        first_lookup.is_some_and(|at| !has_contacts || at.elapsed() >= JOIN_GRACE)
    }

    async fn tick(self: &Arc<Self>) {
        let now = Instant::now();
        let actions = {
            let mut inner = self.inner.lock();
            let mut actions = inner.view.tick(now);
            actions.extend(self.due_report(&mut inner, now));
            self.update_may_miss_configurations(&inner.view, now);
            actions
        };
        self.perform(actions).await;
    }

    /// Tells those that wait for it whether the node has to read configurations from the platform itself.
    fn update_may_miss_configurations(&self, view: &FleetView<Pcg64Mcg>, now: Instant) {
        let may_miss = view.may_miss_configurations(now);
        let changed = self
            .may_miss_configurations
            .send_if_modified(|current| std::mem::replace(current, may_miss) != may_miss);
        if changed {
            let confirmed_ms_ago = view.config_age_ms(now);
            log_event!(
                Info,
                "reliance on others for configurations changed",
                may_miss = may_miss,
                confirmed_ms_ago = format_args!("{confirmed_ms_ago:?}"),
            );
        }
    }

    /// Returns the datagram with the report to the zone's collector, if one is due.
    fn due_report(&self, inner: &mut Inner, now: Instant) -> Option<Action> {
        let Inner { view, reporter, .. } = inner;
        let membership = view.membership();
        let local_member = membership.local_member();
        let watchers = zone_platform_watchers(membership.members(), &local_member.region, &local_member.zone);
        let collector = watchers.first().filter(|collector| collector.id.name != local_member.id.name)?;
        let report = reporter.due_report(&collector.id.name, &self.config.snapshot(), now)?;
        let mut datagram = view.datagram(wire::DatagramKind::Report, 0);
        datagram.target = collector.id.name.to_string();
        datagram.revisions = report.revisions;
        datagram.complete = report.complete;
        Some(Action::Send { to: collector.peer_addr, datagram: Box::new(datagram) })
    }

    async fn receive_datagram(self: &Arc<Self>, signed: &[u8], from: SocketAddr) {
        let decoded =
            self.security.keys().verify(signed).and_then(|bytes| wire::Datagram::decode(bytes).ok());
        let Some(datagram) = decoded else {
            self.metrics.control.rejected_datagrams.inc();
            return;
        };
        let is_quota = datagram.kind() == wire::DatagramKind::Quota;
        let carrier = if is_quota { "quota" } else { "datagram" };
        self.metrics.control.count("received", carrier, signed.len() as u64 + UDP_HEADER_BYTES);
        if is_quota {
            self.quotas.receive(&datagram, from).await;
            return;
        }
        let actions = self.handle_datagram(from, &datagram);
        self.perform(actions).await;
    }

    /// Updates the state with a verified datagram and returns the actions that follow.
    fn handle_datagram(&self, from: SocketAddr, datagram: &wire::Datagram) -> Vec<Action> {
        let now = Instant::now();
        let mut inner = self.inner.lock();
        match datagram.kind() {
            wire::DatagramKind::Report => {
                if *datagram.target != *inner.view.membership().local_member().id.name {
                    return Vec::new();
                }
                let in_sync = inner.collector.record_report(datagram, now);
                let mut ack = inner.view.datagram(wire::DatagramKind::ReportAck, 0);
                ack.config_digest = datagram.config_digest;
                ack.complete = in_sync;
                vec![Action::Send { to: from, datagram: Box::new(ack) }]
            }
            wire::DatagramKind::ReportAck => {
                let config = self.config.snapshot();
                let (digest, in_sync) = (datagram.config_digest, datagram.complete);
                inner.reporter.handle_ack(&datagram.name, digest, in_sync, &config);
                Vec::new()
            }
            _ => inner.view.receive(from, datagram, now),
        }
    }

    /// Carries out the actions that the fleet view requested.
    async fn perform(self: &Arc<Self>, actions: Vec<Action>) {
        if actions.contains(&Action::MembersChanged) {
            self.publish_directory();
        }
        for action in actions {
            match action {
                Action::Send { to, datagram } => self.send(to, &datagram).await,
                Action::Exchange { peer, compare, wanted_services } => {
                    self.spawn_exchange(peer, compare, wanted_services);
                }
                Action::MembersChanged => {}
                Action::Superseded => log::error!("another process has taken over this node's name"),
            }
        }
    }

    async fn send(&self, to: SocketAddr, datagram: &wire::Datagram) {
        let mut bytes = datagram.encode_to_vec();
        self.security.keys().sign(&mut bytes);
        match self.socket.send_to(&bytes, to).await {
            Ok(length) => {
                self.metrics.control.count("sent", "datagram", length as u64 + UDP_HEADER_BYTES);
            }
            Err(error) => log::debug!("cannot send datagram; to={to} error={error}"),
        }
    }

    /// Starts an exchange in the background unless too many are running.
    fn spawn_exchange(self: &Arc<Self>, peer: SocketAddr, compare: bool, wanted_services: Vec<Arc<str>>) {
        let Ok(permit) = Arc::clone(&self.exchange_permits).try_acquire_owned() else {
            return;
        };
        let gossip = Arc::clone(self);
        tokio::spawn(async move {
            let exchange = gossip.exchange(peer, compare, &wanted_services);
            if tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await.is_err() {
                log::debug!("exchange timed out; peer={peer}");
            }
            drop(permit);
        });
    }

    async fn exchange(self: &Arc<Self>, peer: SocketAddr, compare: bool, wanted_services: &[Arc<str>]) {
        let mut client = self.new_client(peer);
        let mut next = Some(self.inner.lock().view.begin_exchange(compare, wanted_services));
        while let Some(request) = next.take() {
            self.metrics.control.count("sent", "exchange", request.encoded_len() as u64);
            let reply = match client.exchange(request).await {
                Ok(reply) => reply.into_inner(),
                Err(status) => {
                    log::debug!("exchange failed; peer={peer} error={}", status.message());
                    return;
                }
            };
            self.metrics.control.count("received", "exchange", reply.encoded_len() as u64);
            let (follow_up, actions) = self.inner.lock().view.finish_exchange(&reply, Instant::now());
            // Boxed because `perform` may start exchanges, which makes the future recursive.
            Box::pin(self.perform(actions)).await;
            next = follow_up;
        }
    }

    /// Returns a client with a connection of its own, closed when the client is dropped.
    ///
    /// Keeping an idle connection to every peer would cost more than setting one up for each exchange.
    fn new_client(&self, peer: SocketAddr) -> PeerClient<ControlClient> {
        PeerClient::new(ControlClient::new(self.channels.unshared(peer)))
    }

    /// Replaces the members in the directory with the current ones.
    fn publish_directory(&self) {
        let inner = self.inner.lock();
        let members = inner.view.membership().members().map(Arc::clone);
        self.directory.replace(members, Instant::now());
    }
}

const fn is_live(member: &Member) -> bool {
    matches!(member.state, MemberState::Alive | MemberState::Suspect)
}
