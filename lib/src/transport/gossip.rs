//! The socket and the exchanges under a node's view of the fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use prost::Message;
use rand_pcg::Pcg64Mcg;
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use yuccatray_proto::peer_v1 as wire;
use yuccatray_proto::peer_v1::peer_client::PeerClient;

use crate::coordination::applied_fleet::FleetApplied;
use crate::coordination::applied_report::AppliedReporter;
use crate::coordination::applied_report::ZoneCollector;
use crate::coordination::fleet_view::Action;
use crate::coordination::fleet_view::FleetView;
use crate::coordination::platform_role::PlatformRole;
use crate::coordination::platform_role::role_of;
use crate::coordination::platform_role::zone_readers;
use crate::protocol::member::Member;
use crate::protocol::member::MemberId;
use crate::protocol::member::MemberState;
use crate::protocol::member::UpstreamInfo;
use crate::protocol::published::Published;
use crate::state::config_table::ConfigTable;
use crate::state::control_metrics::UDP_HEAD_BYTES;
use crate::state::directory::Directory;
use crate::state::metrics::SharedMetrics;
use crate::transport::peer_channel::ControlChannels;
use crate::transport::peer_channel::ControlClient;
use crate::transport::peer_security::PeerSecurity;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);

/// Time for one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Exchanges that a node has under way at once.
const MAX_EXCHANGES: usize = 4;

/// Time that a node which knows of others gets to join them before it acts alone.
const JOIN_GRACE: Duration = Duration::from_secs(3);

/// Largest datagram taken in, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// What a gossip is made of.
#[derive(Debug)]
pub struct GossipParts {
    /// The node's view of the fleet.
    pub view: FleetView<Pcg64Mcg>,
    /// Configuration in force.
    pub config: Arc<ConfigTable>,
    /// Members as the rest of the node reads them.
    pub directory: Arc<Directory>,
    /// Where datagrams come and go.
    pub socket: Arc<UdpSocket>,
    /// What proves datagrams and connections.
    pub security: Arc<PeerSecurity>,
    /// Channels for questions about calls.
    pub channels: Arc<ControlChannels>,
    /// Counters.
    pub metrics: SharedMetrics,
}

#[derive(Debug)]
struct Inner {
    view: FleetView<Pcg64Mcg>,
    reporter: AppliedReporter,
    collector: ZoneCollector,
    fleet: FleetApplied,
}

/// Spreads what one node knows and takes in what the others know.
#[derive(Debug)]
pub struct Gossip {
    inner: Mutex<Inner>,
    config: Arc<ConfigTable>,
    directory: Arc<Directory>,
    socket: Arc<UdpSocket>,
    security: Arc<PeerSecurity>,
    channels: Arc<ControlChannels>,
    metrics: SharedMetrics,
    exchanges: Arc<Semaphore>,
    /// When the platform's rendezvous objects were read, or could not be.
    looked_up: Mutex<Option<Instant>>,
}

impl Gossip {
    /// Gossip over the given parts; nothing runs yet.
    #[must_use]
    pub fn new(parts: GossipParts) -> Self {
        let inner = Inner {
            view: parts.view,
            reporter: AppliedReporter::default(),
            collector: ZoneCollector::default(),
            fleet: FleetApplied::default(),
        };
        let gossip = Self {
            inner: Mutex::new(inner),
            config: parts.config,
            directory: parts.directory,
            socket: parts.socket,
            security: parts.security,
            channels: parts.channels,
            metrics: parts.metrics,
            exchanges: Arc::new(Semaphore::new(MAX_EXCHANGES)),
            looked_up: Mutex::new(None),
        };
        gossip.publish_directory();
        gossip
    }

    /// The node's own description.
    #[must_use]
    pub fn me(&self) -> Arc<Member> {
        Arc::clone(self.inner.lock().view.membership().me())
    }

    /// Whether this process is, or went by, the given name and incarnation.
    #[must_use]
    pub fn was_me(&self, id: &MemberId) -> bool {
        self.inner.lock().view.membership().was_me(id)
    }

    /// The node's upstream announced itself, changed or went.
    pub fn set_upstream(&self, upstream: Option<UpstreamInfo>) {
        let changed = self.inner.lock().view.set_upstream(upstream);
        if changed {
            self.publish_directory();
        }
    }

    /// Applies a configuration that the platform holds and tells the others.
    pub fn apply(&self, published: Published) -> bool {
        self.inner.lock().view.apply(published)
    }

    /// Takes over addresses to join through.
    pub fn add_contacts(&self, addrs: Vec<SocketAddr>) {
        self.inner.lock().view.add_contacts(addrs);
    }

    /// The platform was asked for rendezvous objects, whatever came of it.
    pub fn note_lookup(&self) {
        self.looked_up.lock().get_or_insert_with(Instant::now);
    }

    /// Whether no other live member is known.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        self.inner.lock().view.membership().live_count() == 1
    }

    /// What this node does about the platform at present.
    #[must_use]
    pub fn role(&self) -> PlatformRole {
        let inner = self.inner.lock();
        let membership = inner.view.membership();
        let alone = membership.live_count() == 1;
        if inner.view.is_superseded() || (alone && !self.may_act_alone(inner.view.has_contacts())) {
            return PlatformRole::default();
        }
        role_of(membership.me(), membership.members())
    }

    /// Peer addresses of the nodes of this zone that talk to the platform.
    #[must_use]
    pub fn zone_reader_addrs(&self) -> Vec<SocketAddr> {
        let inner = self.inner.lock();
        let membership = inner.view.membership();
        let me = membership.me();
        let readers = zone_readers(membership.members(), &me.region, &me.zone);
        readers.iter().map(|reader| reader.peer_addr).collect()
    }

    /// Tells some peers that this node stops; they tell the others.
    pub async fn leave(self: &Arc<Self>) {
        let actions = self.inner.lock().view.leave();
        self.perform(actions).await;
    }

    /// Works until told to stop.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => self.tick().await,
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, from)) = received {
                        self.take_datagram(&buffer[..length], from).await;
                    }
                }
            }
        }
    }

    /// Answers an exchange that a peer began.
    pub async fn answer_exchange(self: &Arc<Self>, request: &wire::ExchangeRequest) -> wire::ExchangeReply {
        self.metrics.control.count("received", "exchange", request.encoded_len() as u64);
        let (reply, actions) = self.inner.lock().view.answer_exchange(request, Instant::now());
        self.metrics.control.count("sent", "exchange", reply.encoded_len() as u64);
        self.perform(actions).await;
        reply
    }

    /// Reads or changes what the fleet has applied, as far as this node was told.
    pub fn with_fleet_applied<F, T>(&self, work: F) -> T
    where
        F: FnOnce(&mut FleetApplied) -> T,
    {
        work(&mut self.inner.lock().fleet)
    }

    /// What the nodes of this zone have applied, as they reported.
    #[must_use]
    pub fn zone_summary(&self) -> wire::ZoneReport {
        let now = Instant::now();
        let config = self.config.snapshot();
        let mut inner = self.inner.lock();
        let Inner { view, collector, .. } = &mut *inner;
        let membership = view.membership();
        let me = membership.me();
        collector.take_own(&me.id.name, me.id.incarnation, &config, now);
        collector.expire(now);
        let live = |name: &str| membership.get(name).is_some_and(|member| is_live(member));
        collector.summary(&me.region, &me.zone, &config, live)
    }

    /// Sends a zone's report to the holder of the lease; whether it took it.
    pub async fn send_zone_report(&self, holder: SocketAddr, report: wire::ZoneReport) -> bool {
        self.metrics.control.count("sent", "exchange", report.encoded_len() as u64);
        let mut client = self.fresh_client(holder);
        let sent = tokio::time::timeout(EXCHANGE_TIMEOUT, client.report_zone(report)).await;
        matches!(sent, Ok(Ok(reply)) if reply.get_ref().complete)
    }

    /// Takes in a zone's report; false when the whole one is needed first.
    pub fn take_zone_report(&self, report: &wire::ZoneReport) -> bool {
        self.metrics.control.count("received", "exchange", report.encoded_len() as u64);
        self.with_fleet_applied(|fleet| fleet.take(report, Instant::now()))
    }

    fn may_act_alone(&self, has_contacts: bool) -> bool {
        let looked_up = *self.looked_up.lock();
        looked_up.is_some_and(|at| !has_contacts || at.elapsed() >= JOIN_GRACE)
    }

    async fn tick(self: &Arc<Self>) {
        let now = Instant::now();
        let actions = {
            let mut inner = self.inner.lock();
            let mut actions = inner.view.tick(now);
            actions.extend(self.report_due(&mut inner, now));
            actions
        };
        self.perform(actions).await;
    }

    /// The report to the zone's collector, if one is due.
    fn report_due(&self, inner: &mut Inner, now: Instant) -> Option<Action> {
        let Inner { view, reporter, .. } = inner;
        let membership = view.membership();
        let me = membership.me();
        let readers = zone_readers(membership.members(), &me.region, &me.zone);
        let collector = readers.first().filter(|collector| collector.id.name != me.id.name)?;
        let news = reporter.due(&collector.id.name, &self.config.snapshot(), now)?;
        let mut datagram = view.datagram(wire::DatagramKind::Report, 0);
        datagram.target = collector.id.name.to_string();
        datagram.revisions = news.revisions;
        datagram.complete = news.complete;
        Some(Action::Send { to: collector.peer_addr, datagram: Box::new(datagram) })
    }

    async fn take_datagram(self: &Arc<Self>, signed: &[u8], from: SocketAddr) {
        let read = self.security.keys().verified(signed).and_then(|bytes| wire::Datagram::decode(bytes).ok());
        let Some(datagram) = read else {
            self.metrics.control.refused_datagrams.inc();
            return;
        };
        self.metrics.control.count("received", "datagram", signed.len() as u64 + UDP_HEAD_BYTES);
        let actions = self.take_in(from, &datagram);
        self.perform(actions).await;
    }

    fn take_in(&self, from: SocketAddr, datagram: &wire::Datagram) -> Vec<Action> {
        let now = Instant::now();
        let mut inner = self.inner.lock();
        match datagram.kind() {
            wire::DatagramKind::Report => {
                if *datagram.target != *inner.view.membership().me().id.name {
                    return Vec::new();
                }
                let agrees = inner.collector.take(datagram, now);
                let mut ack = inner.view.datagram(wire::DatagramKind::ReportAck, 0);
                ack.config_digest = datagram.config_digest;
                ack.complete = agrees;
                vec![Action::Send { to: from, datagram: Box::new(ack) }]
            }
            wire::DatagramKind::ReportAck => {
                let config = self.config.snapshot();
                let (digest, agrees) = (datagram.config_digest, datagram.complete);
                inner.reporter.answered(&datagram.name, digest, agrees, &config);
                Vec::new()
            }
            _ => inner.view.receive(from, datagram, now),
        }
    }

    async fn perform(self: &Arc<Self>, actions: Vec<Action>) {
        if actions.contains(&Action::MembersChanged) {
            self.publish_directory();
        }
        for action in actions {
            match action {
                Action::Send { to, datagram } => self.send(to, &datagram).await,
                Action::Exchange { with, compare, wanted } => self.spawn_exchange(with, compare, wanted),
                Action::MembersChanged => {}
                Action::Superseded => log::error!("another process took over the name of this node"),
            }
        }
    }

    async fn send(&self, to: SocketAddr, datagram: &wire::Datagram) {
        let mut bytes = datagram.encode_to_vec();
        self.security.keys().sign(&mut bytes);
        match self.socket.send_to(&bytes, to).await {
            Ok(length) => {
                self.metrics.control.count("sent", "datagram", length as u64 + UDP_HEAD_BYTES);
            }
            Err(error) => log::debug!("datagram not sent; to={to} error={error}"),
        }
    }

    fn spawn_exchange(self: &Arc<Self>, with: SocketAddr, compare: bool, wanted: Vec<Arc<str>>) {
        let Ok(permit) = Arc::clone(&self.exchanges).try_acquire_owned() else {
            return;
        };
        let gossip = Arc::clone(self);
        tokio::spawn(async move {
            let exchanged = gossip.exchange(with, compare, &wanted);
            if tokio::time::timeout(EXCHANGE_TIMEOUT, exchanged).await.is_err() {
                log::debug!("exchange timed out; peer={with}");
            }
            drop(permit);
        });
    }

    async fn exchange(self: &Arc<Self>, with: SocketAddr, compare: bool, wanted: &[Arc<str>]) {
        let mut client = self.fresh_client(with);
        let mut next = Some(self.inner.lock().view.begin_exchange(compare, wanted));
        while let Some(request) = next.take() {
            self.metrics.control.count("sent", "exchange", request.encoded_len() as u64);
            let reply = match client.exchange(request).await {
                Ok(reply) => reply.into_inner(),
                Err(status) => {
                    log::debug!("exchange failed; peer={with} error={}", status.message());
                    return;
                }
            };
            self.metrics.control.count("received", "exchange", reply.encoded_len() as u64);
            let (follow_up, actions) = self.inner.lock().view.finish_exchange(&reply, Instant::now());
            // Boxed, since performing may begin exchanges in turn.
            Box::pin(self.perform(actions)).await;
            next = follow_up;
        }
    }

    /// A client whose connection ends with it: an idle one to every peer would cost more than its set-up.
    fn fresh_client(&self, peer: SocketAddr) -> PeerClient<ControlClient> {
        PeerClient::new(ControlClient::new(self.channels.fresh(peer)))
    }

    fn publish_directory(&self) {
        let inner = self.inner.lock();
        let members = inner.view.membership().members().map(Arc::clone);
        self.directory.replace(members, Instant::now());
    }
}

const fn is_live(member: &Member) -> bool {
    matches!(member.state, MemberState::Alive | MemberState::Suspect)
}
