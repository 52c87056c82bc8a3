//! One node: its servers, its loops, and how they start and stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::coordination::fleet_view::FleetView;
use crate::coordination::routing::RoutingPolicy;
use crate::coordination::routing::TwoChoices;
use crate::log_event;
use crate::protocol::call_id::CallIdSource;
use crate::protocol::member::Member;
use crate::protocol::member::MemberId;
use crate::protocol::member::MemberState;
use crate::protocol::settings::Settings;
use crate::state::burn_counts::BurnCounts;
use crate::state::config_table::ConfigTable;
use crate::state::directory::Directory;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::transport::admin_server::AdminHandler;
use crate::transport::announce_server::AnnounceDesk;
use crate::transport::announce_server::AnnounceHandler;
use crate::transport::config_reader::ConfigReader;
use crate::transport::fleet_link::GossipLink;
use crate::transport::gate::Gate;
use crate::transport::gossip::Gossip;
use crate::transport::gossip::GossipParts;
use crate::transport::http_server::Handler;
use crate::transport::http_server::ServerLimits;
use crate::transport::http_server::serve;
use crate::transport::http_server::serve_secured;
use crate::transport::ingress::Ingress;
use crate::transport::ingress::IngressHandler;
use crate::transport::ingress::IngressParts;
use crate::transport::peer_channel::CallChannels;
use crate::transport::peer_channel::ControlChannels;
use crate::transport::peer_security::PeerSecurity;
use crate::transport::peer_security::SecurityError;
use crate::transport::peer_server::PeerHandler;
use crate::transport::platform_http::HttpPlatform;
use crate::transport::publisher::Publisher;
use crate::transport::rendezvous::Rendezvous;

/// Result of starting a node.
pub type Result<T, E = NodeError> = std::result::Result<T, E>;

/// Attempts to find one port that is free for both streams and datagrams.
const PORT_ATTEMPTS: u32 = 16;

/// Why a node did not start.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// An address of the settings can't be listened on.
    #[snafu(display("cannot listen on {addr} for {purpose}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The setting that names it.
        purpose: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
    /// The keys and certificates for peers can't be used.
    #[snafu(display("/peer_security: {source}"), context(false))]
    Security {
        /// Why.
        source: SecurityError,
    },
}

/// Where a node listens once it has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeAddrs {
    /// For callers.
    pub ingress: SocketAddr,
    /// For the other nodes.
    pub peer: SocketAddr,
    /// For the node's own upstream.
    pub announce: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

/// A running node.
#[derive(Debug)]
pub struct Node<P = TwoChoices> {
    addrs: NodeAddrs,
    gate: Arc<Gate>,
    metrics: SharedMetrics,
    gossip: Arc<Gossip>,
    desk: Arc<AnnounceDesk>,
    ingress: Arc<Ingress<P>>,
    stop_callers: CancellationToken,
    stop_rest: CancellationToken,
    caller_server: JoinHandle<bool>,
    peer_server: JoinHandle<bool>,
    loops: Vec<JoinHandle<()>>,
}

/// What a node was able to finish before it stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// Whether every call taken from callers was answered.
    pub callers_finished: bool,
    /// Whether every call taken from peers was answered.
    pub peers_finished: bool,
}

struct Listeners {
    ingress: TcpListener,
    peer: TcpListener,
    gossip: UdpSocket,
    announce: TcpListener,
    admin: TcpListener,
}

impl Node {
    /// Starts a node by its settings.
    ///
    /// # Errors
    ///
    /// When an address can't be listened on.
    pub async fn start(settings: &Settings) -> Result<Self> {
        Self::start_with(settings, TwoChoices).await
    }
}

impl<P> Node<P>
where
    P: RoutingPolicy + Send + Sync + 'static,
{
    /// Starts a node that chooses upstreams by the given policy.
    ///
    /// # Errors
    ///
    /// When an address can't be listened on.
    pub async fn start_with(settings: &Settings, policy: P) -> Result<Self> {
        Self::start_on(settings, policy, &Handle::current()).await
    }

    /// Starts a node whose calls run on a runtime of their own, apart from control.
    ///
    /// # Errors
    ///
    /// When an address can't be listened on.
    pub async fn start_on(settings: &Settings, policy: P, calls: &Handle) -> Result<Self> {
        let security = Arc::new(PeerSecurity::load(settings.peer_security.as_ref())?);
        if !security.is_on() {
            log_event!(Warn, "peers are not authenticated: /peer_security is not set, so any host may join");
        }
        let listeners = Listeners::bind(settings).await?;
        let addrs = listeners.addrs()?;
        let me = describe_me(settings, addrs);
        let metrics = SharedMetrics::new(Metrics::default());
        let config = Arc::new(ConfigTable::new());
        let directory = Arc::new(Directory::default());
        let burn = Arc::new(BurnCounts::new(Instant::now()));
        let gate = Arc::new(Gate::new(Arc::clone(&metrics)));
        let shared = SharedParts {
            config: Arc::clone(&config),
            directory: Arc::clone(&directory),
            metrics: Arc::clone(&metrics),
            security: Arc::clone(&security),
        };
        let gossip = Arc::new(gossip(settings, &me, listeners.gossip, &shared));
        let desk = Arc::new(AnnounceDesk::new(Arc::clone(&gate), Arc::clone(&gossip), Arc::clone(&config)));
        let ingress = Arc::new(Ingress::new(IngressParts {
            me: Arc::new(me.clone()),
            ids: CallIdSource::new(Arc::clone(&me.id.name), me.id.incarnation),
            directory: Arc::clone(&directory),
            config: Arc::clone(&config),
            gate: Arc::clone(&gate),
            channels: Arc::new(CallChannels::new(Arc::clone(&security))),
            control: Arc::clone(gossip.channels()),
            metrics: Arc::clone(&metrics),
            burn: Arc::clone(&burn),
            policy,
            max_replay_bytes: settings.limits.max_replay_bytes,
            max_header_bytes: settings.limits.max_header_bytes,
        }));
        let stop_callers = CancellationToken::new();
        let stop_rest = CancellationToken::new();
        let limits = server_limits(settings);
        let peer_handler = PeerHandler::new(Arc::clone(&gate), Arc::clone(&config), Arc::clone(&gossip));
        let admin_handler = AdminHandler {
            me: me.clone(),
            directory: Arc::clone(&directory),
            config: Arc::clone(&config),
            gate: Arc::clone(&gate),
            desk: Arc::clone(&desk),
            metrics: Arc::clone(&metrics),
            burn,
        };
        let caller_handler = IngressHandler::new(Arc::clone(&ingress));
        let caller_server = spawn_server(calls, listeners.ingress, limits, caller_handler, &stop_callers);
        let peer_limits = ServerLimits { max_connections: usize::from(u16::MAX), ..limits };
        let peer_server = calls.spawn(serve_secured(
            listeners.peer,
            peer_limits,
            peer_handler,
            Arc::clone(&security),
            stop_rest.clone(),
        ));
        let announce_handler = AnnounceHandler::new(Arc::clone(&desk));
        let control = Handle::current();
        let control_limits = ServerLimits::default();
        drop(spawn_server(&control, listeners.announce, control_limits, announce_handler, &stop_rest));
        drop(spawn_server(&control, listeners.admin, control_limits, admin_handler, &stop_rest));
        let mut loops = spawn_platform_loops(settings, &gossip, &shared, &stop_rest);
        loops.extend([
            tokio::spawn(Arc::clone(&gossip).run(stop_rest.clone())),
            tokio::spawn(Arc::clone(&desk).run(stop_rest.clone())),
            tokio::spawn(security.run(stop_rest.clone())),
        ]);
        log_started(&me, addrs);
        Ok(Self {
            addrs,
            gate,
            metrics,
            gossip,
            desk,
            ingress,
            stop_callers,
            stop_rest,
            caller_server,
            peer_server,
            loops,
        })
    }

    /// Where the node listens.
    #[must_use]
    pub const fn addrs(&self) -> NodeAddrs {
        self.addrs
    }

    /// The gate beside the node's upstream.
    #[must_use]
    pub const fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Counters of the node.
    #[must_use]
    pub const fn metrics(&self) -> &SharedMetrics {
        &self.metrics
    }

    /// Stops gracefully: announces it, takes nothing new, finishes what is under way.
    pub async fn stop(self) -> Shutdown {
        self.desk.drain();
        self.gossip.leave().await;
        self.ingress.drain();
        self.stop_callers.cancel();
        let callers_finished = self.caller_server.await.unwrap_or(false);
        self.stop_rest.cancel();
        let peers_finished = self.peer_server.await.unwrap_or(false);
        for task in self.loops {
            // A loop that panicked has already said so on standard error.
            let _ended = task.await;
        }
        Shutdown { callers_finished, peers_finished }
    }
}

impl Listeners {
    async fn bind(settings: &Settings) -> Result<Self> {
        let listen = &settings.listen;
        let (peer, gossip) = bind_peer(listen.peer_addr).await?;
        Ok(Self {
            ingress: bind(listen.ingress_addr, "/listen/ingress_addr").await?,
            peer,
            gossip,
            announce: bind(listen.announce_addr, "/listen/announce_addr").await?,
            admin: bind(listen.admin_addr, "/listen/admin_addr").await?,
        })
    }

    fn addrs(&self) -> Result<NodeAddrs> {
        Ok(NodeAddrs {
            ingress: local_addr(&self.ingress)?,
            peer: local_addr(&self.peer)?,
            announce: local_addr(&self.announce)?,
            admin: local_addr(&self.admin)?,
        })
    }
}

async fn bind(addr: SocketAddr, purpose: &'static str) -> Result<TcpListener> {
    TcpListener::bind(addr).await.context(ListenSnafu { addr, purpose })
}

/// Streams and datagrams of peers share one port, so that members need to name only one.
async fn bind_peer(addr: SocketAddr) -> Result<(TcpListener, UdpSocket)> {
    let purpose = "/listen/peer_addr";
    let mut attempt = 1;
    loop {
        let listener = bind(addr, purpose).await?;
        let shared = local_addr(&listener)?;
        match UdpSocket::bind(shared).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(_) if addr.port() == 0 && attempt < PORT_ATTEMPTS => attempt += 1,
            Err(source) => return Err(NodeError::Listen { addr: shared, purpose, source }),
        }
    }
}

fn local_addr(listener: &TcpListener) -> Result<SocketAddr> {
    let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
    listener.local_addr().context(ListenSnafu { addr: unknown, purpose: "the address in use" })
}

fn describe_me(settings: &Settings, addrs: NodeAddrs) -> Member {
    Member {
        id: MemberId { name: Arc::clone(&settings.node.name), incarnation: incarnation_now() },
        version: 1,
        state: MemberState::Alive,
        region: Arc::clone(&settings.node.region),
        zone: Arc::clone(&settings.node.zone),
        peer_addr: addrs.peer,
        ingress_addr: addrs.ingress,
        upstream: None,
        admin_addr: addrs.admin,
    }
}

/// Microseconds of the wall clock: a later life of a name has a larger one.
fn incarnation_now() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}

/// Parts that gossip shares with the rest of the node.
struct SharedParts {
    config: Arc<ConfigTable>,
    directory: Arc<Directory>,
    metrics: SharedMetrics,
    security: Arc<PeerSecurity>,
}

fn gossip(settings: &Settings, me: &Member, socket: UdpSocket, shared: &SharedParts) -> Gossip {
    let view = FleetView::new(
        me.clone(),
        settings.gossip.clone(),
        settings.seeds.clone(),
        Arc::clone(&shared.config),
        Pcg64Mcg::from_rng(&mut rand::rng()),
        tokio::time::Instant::now(),
    );
    Gossip::new(GossipParts {
        view,
        config: Arc::clone(&shared.config),
        directory: Arc::clone(&shared.directory),
        socket,
        channels: Arc::new(ControlChannels::new(Arc::clone(&shared.security))),
        security: Arc::clone(&shared.security),
        metrics: Arc::clone(&shared.metrics),
    })
}

fn log_started(me: &Member, addrs: NodeAddrs) {
    log_event!(
        Info,
        "node started",
        node = &me.id.name,
        incarnation = format_args!("{:x}", me.id.incarnation),
        ingress = addrs.ingress,
        peer = addrs.peer,
        announce = addrs.announce,
        admin = addrs.admin,
    );
}

/// Starts what the node does about the platform while it has a role there.
fn spawn_platform_loops(
    settings: &Settings,
    gossip: &Arc<Gossip>,
    shared: &SharedParts,
    stop: &CancellationToken,
) -> Vec<JoinHandle<()>> {
    let timeout = Duration::from_millis(settings.platform.timeout_ms);
    let platform = HttpPlatform::new(settings.platform.addr, timeout);
    let metrics = &shared.metrics;
    let link = GossipLink::new(Arc::clone(gossip), Arc::clone(&shared.config), Arc::clone(&shared.directory));
    let publisher = Publisher::new(platform.clone(), link, Arc::clone(metrics), &gossip.me().id);
    let reader =
        ConfigReader { platform: platform.clone(), gossip: Arc::clone(gossip), metrics: Arc::clone(metrics) };
    let rendezvous = Rendezvous {
        platform,
        gossip: Arc::clone(gossip),
        has_seeds: !settings.seeds.is_empty(),
        metrics: Arc::clone(metrics),
    };
    vec![
        tokio::spawn(publisher.run(stop.clone())),
        tokio::spawn(reader.run(stop.clone())),
        tokio::spawn(rendezvous.run(stop.clone())),
    ]
}

fn server_limits(settings: &Settings) -> ServerLimits {
    ServerLimits {
        max_connections: settings.limits.max_caller_connections as usize,
        max_header_bytes: settings.limits.max_header_bytes,
        header_timeout: Duration::from_millis(settings.limits.header_timeout_ms),
        shutdown_timeout: Duration::from_millis(settings.limits.shutdown_timeout_ms),
    }
}

fn spawn_server<H>(
    runtime: &Handle,
    listener: TcpListener,
    limits: ServerLimits,
    handler: H,
    stop: &CancellationToken,
) -> JoinHandle<bool>
where
    H: Handler,
{
    runtime.spawn(serve(listener, limits, handler, stop.clone()))
}
