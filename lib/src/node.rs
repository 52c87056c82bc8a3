//! Assembly of a node: starts its servers and background tasks and shuts them down gracefully.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::coordination::fleet_view::FleetView;
use crate::coordination::routing::PowerOfTwoChoices;
use crate::coordination::routing::RoutingPolicy;
use crate::log_event;
use crate::protocol::call_id::CallIdGenerator;
use crate::protocol::member::Member;
use crate::protocol::member::MemberId;
use crate::protocol::member::MemberState;
use crate::protocol::settings::Settings;
use crate::state::burn_counts::BurnCounts;
use crate::state::config_table::ConfigTable;
use crate::state::decision_log::DecisionLog;
use crate::state::directory::Directory;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::transport::admin_server::AdminHandler;
use crate::transport::announce_server::AnnounceHandler;
use crate::transport::announce_server::UpstreamRegistration;
use crate::transport::check_in_server::CheckInHandler;
use crate::transport::config_watcher::ConfigWatcher;
use crate::transport::external_dialect::ExternalDialect;
use crate::transport::fleet_link::GossipLink;
use crate::transport::gate::Gate;
use crate::transport::gossip::Gossip;
use crate::transport::gossip::GossipDependencies;
use crate::transport::http_server::Handler;
use crate::transport::http_server::ServerLimits;
use crate::transport::http_server::serve;
use crate::transport::http_server::serve_peers;
use crate::transport::ingress::Ingress;
use crate::transport::ingress::IngressDependencies;
use crate::transport::ingress::IngressHandler;
use crate::transport::listeners::ListenError;
use crate::transport::listeners::Listeners;
use crate::transport::listeners::NodeAddrs;
use crate::transport::load_probe::LoadProbe;
use crate::transport::peer_channel::CallChannels;
use crate::transport::peer_channel::ControlChannels;
use crate::transport::peer_security::PeerSecurity;
use crate::transport::peer_security::SecurityError;
use crate::transport::peer_server::PeerHandler;
use crate::transport::platform_http::HttpPlatform;
use crate::transport::publisher::Publisher;
use crate::transport::routed_ingress::RoutedHandler;
use crate::transport::routes_watcher::RoutesWatcher;
use crate::transport::seed_registry::SeedRegistry;
use crate::transport::slowdown_probe::SlowdownProbe;

/// Result of starting a node.
pub type Result<T, E = NodeError> = std::result::Result<T, E>;

/// Interval at which a stopping node checks whether its gate is idle.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time for the announcement that the node is leaving to spread before the server for callers stops.
const LEAVE_NOTICE: Duration = Duration::from_millis(200);

/// Time before the end of a shutdown at which calls without a slot fail as not executed.
const SHUTDOWN_ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// Time that background tasks have to end after the servers have stopped.
const BACKGROUND_STOP_TIMEOUT: Duration = Duration::from_millis(200);

/// Error on starting a node.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// An address in the settings can't be bound.
    #[snafu(transparent)]
    Listen {
        /// Address and cause.
        source: ListenError,
    },
    /// The keys or certificates for peer authentication can't be loaded.
    #[snafu(display("/peer_security: {source}"), context(false))]
    Security {
        /// Cause of the error.
        source: SecurityError,
    },
}

/// A running node.
#[derive(Debug)]
pub struct Node<P = PowerOfTwoChoices> {
    addrs: NodeAddrs,
    gate: Arc<Gate>,
    metrics: SharedMetrics,
    gossip: Arc<Gossip>,
    registration: Arc<UpstreamRegistration>,
    ingress: Arc<Ingress<P>>,
    in_flight_counter: InFlightCounter,
    stopping: Arc<AtomicBool>,
    /// Time for which a stopping node reports that it is not ready before it drains.
    unready_notice: Duration,
    shutdown_timeout: Duration,
    /// Stops the server for callers.
    stop_callers: CancellationToken,
    /// Stops the other servers and the background tasks.
    stop_rest: CancellationToken,
    caller_server: JoinHandle<bool>,
    peer_server: JoinHandle<bool>,
    background_tasks: Vec<JoinHandle<()>>,
}

/// Result of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// Whether the server for callers completed every request in time.
    pub callers_finished: bool,
    /// Whether the gate became idle and the server for peers completed every request in time.
    pub peers_finished: bool,
    /// Calls that were still in flight at the end of the shutdown.
    pub in_flight: InFlightCounts,
}

/// Numbers of calls in flight at a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlightCounts {
    /// Calls that the node's callers wait for.
    pub of_callers: u32,
    /// Calls that the node's upstream is executing.
    pub running: u32,
    /// Calls queued at the node's gate.
    pub queued: u32,
}

/// Counter of the calls in flight at a node, usable while the node stops.
#[derive(Clone, Debug)]
pub struct InFlightCounter {
    gate: Arc<Gate>,
    directory: Arc<Directory>,
}

impl InFlightCounter {
    /// Returns the numbers of calls in flight now.
    #[must_use]
    pub fn in_flight(&self) -> InFlightCounts {
        let load = self.gate.load();
        let now = Instant::now();
        let snapshot = self.directory.snapshot();
        let of_callers = snapshot.entries().map(|entry| entry.stats.load(now).in_flight).sum();
        InFlightCounts { of_callers, running: load.running, queued: load.queued }
    }

    /// Waits until the node's upstream has finished every call.
    async fn wait_gate_idle(&self) {
        while self.gate.load().running > 0 {
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
    }
}

impl Node {
    /// Starts a node with the given settings and the default routing policy.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or the peer credentials can't be loaded.
    pub async fn start(settings: &Settings) -> Result<Self> {
        Self::start_with_policy(settings, PowerOfTwoChoices).await
    }
}

impl<P> Node<P>
where
    P: RoutingPolicy + Send + Sync + 'static,
{
    /// Starts a node that selects upstreams by the given policy.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or the peer credentials can't be loaded.
    pub async fn start_with_policy(settings: &Settings, policy: P) -> Result<Self> {
        Self::start_with_runtime(settings, policy, &Handle::current()).await
    }

    /// Starts a node that handles calls on `call_runtime` and its control tasks on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or the peer credentials can't be loaded.
    pub async fn start_with_runtime(settings: &Settings, policy: P, call_runtime: &Handle) -> Result<Self> {
        let security = Arc::new(PeerSecurity::load(settings.peer_security.as_ref())?);
        if !security.is_enabled() {
            log_event!(Warn, "peers are not authenticated: /peer_security is not set, so any host may join");
        }
        let listeners = Listeners::bind(settings).await?;
        let new_gate = Gate::new;
        let core = Core::new(settings, &listeners, security, new_gate)?;
        let ingress = Arc::new(core.ingress(settings, policy));
        let handlers = Handlers {
            callers: IngressHandler::new(Arc::clone(&ingress)),
            upstream: AnnounceHandler::new(Arc::clone(&core.registration)),
        };
        let stop_rest = CancellationToken::new();
        let mut platform_tasks = spawn_platform_tasks(settings, &core.gossip, &core.shared, &stop_rest);
        platform_tasks.push(tokio::spawn(core.load_probe().run(stop_rest.clone())));
        let parts = Parts { listeners, core, ingress, handlers, platform_tasks, stop_rest };
        Ok(Self::launch(settings, parts, call_runtime))
    }

    /// Starts a node whose callers, upstream and platform speak the external dialect `I`.
    ///
    /// Calls are handled on `call_runtime`, control tasks on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or the peer credentials can't be loaded.
    pub async fn start_external<I>(settings: &Settings, policy: P, call_runtime: &Handle) -> Result<Self>
    where
        I: ExternalDialect,
    {
        let security = Arc::new(PeerSecurity::load(settings.peer_security.as_ref())?);
        let listeners = Listeners::bind(settings).await?;
        let new_gate = |metrics| Gate::new(metrics).with_external_upstream(I::upstream_fields());
        let core = Core::new(settings, &listeners, security, new_gate)?;
        let ingress = Arc::new(core.ingress(settings, policy));
        let own_service = settings.upstream.as_ref().map(|upstream| upstream.service.as_ref());
        let handlers = Handlers {
            callers: RoutedHandler::<P, I>::new(Arc::clone(&ingress), own_service),
            upstream: CheckInHandler::<I>::new(Arc::clone(&core.registration)),
        };
        let stop_rest = CancellationToken::new();
        let mut platform_tasks =
            spawn_external_platform_tasks::<I>(settings, &core.gossip, &core.shared, &stop_rest);
        platform_tasks.push(tokio::spawn(core.slowdown_probe().run(stop_rest.clone())));
        let parts = Parts { listeners, core, ingress, handlers, platform_tasks, stop_rest };
        Ok(Self::launch(settings, parts, call_runtime))
    }

    /// Spawns the servers and background tasks of a node.
    fn launch<C, U>(settings: &Settings, parts: Parts<P, C, U>, call_runtime: &Handle) -> Self
    where
        C: Handler,
        U: Handler,
    {
        let Parts { listeners, core, ingress, handlers, platform_tasks, stop_rest } = parts;
        let addrs = core.addrs;
        let stop_callers = CancellationToken::new();
        let limits = server_limits(settings);
        let caller_server =
            spawn_server(call_runtime, listeners.ingress, limits, handlers.callers, &stop_callers);
        let peer_limits = ServerLimits { max_connections: usize::from(u16::MAX), ..limits };
        let peer_server = call_runtime.spawn(serve_peers(
            listeners.peer,
            peer_limits,
            core.peer_handler(),
            Arc::clone(&core.shared.security),
            stop_rest.clone(),
        ));
        let control = Handle::current();
        let control_limits = ServerLimits::default();
        drop(spawn_server(&control, listeners.announce, control_limits, handlers.upstream, &stop_rest));
        drop(spawn_server(&control, listeners.admin, control_limits, core.admin_handler(), &stop_rest));
        let mut background_tasks = core.spawn_tasks(&stop_rest);
        background_tasks.extend(platform_tasks);
        log_started(&core.local_member, addrs);
        let Core { gate, gossip, registration, shared, stopping, .. } = core;
        let SharedParts { directory, metrics, .. } = shared;
        let in_flight_counter = InFlightCounter { gate: Arc::clone(&gate), directory };
        Self {
            addrs,
            in_flight_counter,
            stopping,
            unready_notice: Duration::from_millis(settings.limits.unready_notice_ms),
            shutdown_timeout: limits.shutdown_timeout,
            gate,
            metrics,
            gossip,
            registration,
            ingress,
            stop_callers,
            stop_rest,
            caller_server,
            peer_server,
            background_tasks,
        }
    }

    /// Returns the name and incarnation of the node.
    #[must_use]
    pub fn member_id(&self) -> MemberId {
        self.gossip.local_member().id.clone()
    }

    /// Returns the addresses that the node listens on.
    #[must_use]
    pub const fn addrs(&self) -> NodeAddrs {
        self.addrs
    }

    /// Returns the gate of the node's upstream.
    #[must_use]
    pub const fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Returns the metrics of the node.
    #[must_use]
    pub const fn metrics(&self) -> &SharedMetrics {
        &self.metrics
    }

    /// Returns a counter of the calls in flight, usable while the node stops.
    #[must_use]
    pub fn in_flight_counter(&self) -> InFlightCounter {
        self.in_flight_counter.clone()
    }

    /// Shuts the node down gracefully.
    ///
    /// The node reports itself as not ready, drains its upstream, announces to its peers that it is leaving,
    /// and completes calls in flight. Shortly before the end, calls without a slot fail as not executed.
    ///
    /// The shutdown timeout in the settings limits all of this together.
    pub async fn stop(mut self) -> Shutdown {
        let stop_by = Instant::now() + self.shutdown_timeout;
        self.stopping.store(true, Ordering::Relaxed);
        self.ingress.set_slot_cutoff(stop_by.checked_sub(SHUTDOWN_ANSWER_MARGIN).unwrap_or(stop_by));
        tokio::time::sleep_until(stop_by.min(Instant::now() + self.unready_notice)).await;
        self.registration.drain();
        self.ingress.drain();
        // Peers that miss the announcement learn of the drain when the gate rejects their calls.
        let _announced = tokio::time::timeout_at(stop_by, self.gossip.leave()).await;
        tokio::time::sleep_until(stop_by.min(Instant::now() + LEAVE_NOTICE)).await;
        self.stop_callers.cancel();
        let callers_finished = finished_in_time(&mut self.caller_server, stop_by).await;
        // An ingress that lost the connection of a call requests the answer over a new one, so the server for
        // peers runs until the gate is idle.
        let gate_idle =
            tokio::time::timeout_at(stop_by, self.in_flight_counter.wait_gate_idle()).await.is_ok();
        self.stop_rest.cancel();
        let peers_finished = gate_idle && finished_in_time(&mut self.peer_server, stop_by).await;
        let in_flight = self.in_flight_counter.in_flight();
        end_background_tasks(self.background_tasks).await;
        Shutdown { callers_finished, peers_finished, in_flight }
    }
}

/// Returns whether a server completed every request by `stop_by`.
async fn finished_in_time(server: &mut JoinHandle<bool>, stop_by: Instant) -> bool {
    matches!(tokio::time::timeout_at(stop_by, server).await, Ok(Ok(true)))
}

/// Components from which a node is launched.
struct Parts<P, C, U> {
    listeners: Listeners,
    core: Core,
    ingress: Arc<Ingress<P>>,
    handlers: Handlers<C, U>,
    platform_tasks: Vec<JoinHandle<()>>,
    stop_rest: CancellationToken,
}

/// Handlers of the requests from callers and from the node's upstream.
struct Handlers<C, U> {
    callers: C,
    upstream: U,
}

/// State and services shared by the servers and tasks of one node.
#[derive(Debug)]
struct Core {
    local_member: Member,
    addrs: NodeAddrs,
    stopping: Arc<AtomicBool>,
    shared: SharedParts,
    burn: Arc<BurnCounts>,
    decisions: Arc<DecisionLog>,
    gate: Arc<Gate>,
    gossip: Arc<Gossip>,
    registration: Arc<UpstreamRegistration>,
}

impl Core {
    fn new<G>(
        settings: &Settings,
        listeners: &Listeners,
        security: Arc<PeerSecurity>,
        new_gate: G,
    ) -> Result<Self>
    where
        G: FnOnce(SharedMetrics) -> Gate,
    {
        let addrs = listeners.addrs()?;
        let socket = Arc::clone(&listeners.gossip);
        let local_member = new_local_member(settings, addrs);
        let shared = SharedParts {
            config: Arc::new(ConfigTable::new()),
            directory: Arc::new(Directory::default()),
            metrics: SharedMetrics::new(Metrics::default()),
            security,
        };
        let gate = Arc::new(new_gate(Arc::clone(&shared.metrics)));
        let gossip = Arc::new(new_gossip(settings, &local_member, socket, &shared));
        let registration =
            UpstreamRegistration::new(Arc::clone(&gate), Arc::clone(&gossip), Arc::clone(&shared.config));
        Ok(Self {
            local_member,
            addrs,
            stopping: Arc::default(),
            shared,
            burn: Arc::new(BurnCounts::new(Instant::now())),
            decisions: Arc::new(DecisionLog::new(Instant::now())),
            gate,
            gossip,
            registration: Arc::new(registration),
        })
    }

    fn ingress<P>(&self, settings: &Settings, policy: P) -> Ingress<P>
    where
        P: RoutingPolicy + Send + Sync + 'static,
    {
        Ingress::new(IngressDependencies {
            local_member: Arc::new(self.local_member.clone()),
            ids: CallIdGenerator::new(
                Arc::clone(&self.local_member.id.name),
                self.local_member.id.incarnation,
            ),
            directory: Arc::clone(&self.shared.directory),
            config: Arc::clone(&self.shared.config),
            gate: Arc::clone(&self.gate),
            channels: Arc::new(CallChannels::new(Arc::clone(&self.shared.security))),
            metrics: Arc::clone(&self.shared.metrics),
            burn: Arc::clone(&self.burn),
            decisions: Arc::clone(&self.decisions),
            policy,
            max_replay_bytes: settings.limits.max_replay_bytes,
            max_header_bytes: settings.limits.max_header_bytes,
            max_slot_wait: Duration::from_millis(settings.limits.shutdown_timeout_ms)
                .saturating_sub(SHUTDOWN_ANSWER_MARGIN),
        })
    }

    fn peer_handler(&self) -> PeerHandler {
        PeerHandler::new(
            Arc::clone(&self.gate),
            Arc::clone(&self.shared.config),
            Arc::clone(&self.gossip),
            Arc::clone(&self.decisions),
        )
    }

    fn admin_handler(&self) -> AdminHandler {
        AdminHandler {
            local_member: self.local_member.clone(),
            directory: Arc::clone(&self.shared.directory),
            config: Arc::clone(&self.shared.config),
            gate: Arc::clone(&self.gate),
            registration: Arc::clone(&self.registration),
            stopping: Arc::clone(&self.stopping),
            metrics: Arc::clone(&self.shared.metrics),
            burn: Arc::clone(&self.burn),
            decisions: Arc::clone(&self.decisions),
        }
    }

    fn load_probe(&self) -> LoadProbe {
        LoadProbe {
            local_member: Arc::new(self.local_member.clone()),
            gate: Arc::clone(&self.gate),
            directory: Arc::clone(&self.shared.directory),
            config: Arc::clone(&self.shared.config),
            metrics: Arc::clone(&self.shared.metrics),
        }
    }

    fn slowdown_probe(&self) -> SlowdownProbe {
        SlowdownProbe {
            gate: Arc::clone(&self.gate),
            config: Arc::clone(&self.shared.config),
            metrics: Arc::clone(&self.shared.metrics),
        }
    }

    fn spawn_tasks(&self, stop: &CancellationToken) -> Vec<JoinHandle<()>> {
        vec![
            tokio::spawn(Arc::clone(&self.gossip).run(stop.clone())),
            tokio::spawn(Arc::clone(&self.registration).run(stop.clone())),
            tokio::spawn(Arc::clone(&self.shared.security).run(stop.clone())),
        ]
    }
}

/// Waits for tasks that have been told to stop, and aborts those that do not end in time.
async fn end_background_tasks(tasks: Vec<JoinHandle<()>>) {
    let end_by = Instant::now() + BACKGROUND_STOP_TIMEOUT;
    for mut task in tasks {
        // The panic of a task has already been printed to standard error.
        if tokio::time::timeout_at(end_by, &mut task).await.is_err() {
            log_event!(Warn, "aborting a background task that did not stop in time");
            task.abort();
        }
    }
}

fn log_started(local_member: &Member, addrs: NodeAddrs) {
    log_event!(
        Info,
        "node started",
        node = &local_member.id.name,
        incarnation = format_args!("{:x}", local_member.id.incarnation),
        ingress = addrs.ingress,
        peer = addrs.peer,
        announce = addrs.announce,
        admin = addrs.admin,
    );
}

/// Returns the initial member record of this node.
fn new_local_member(settings: &Settings, addrs: NodeAddrs) -> Member {
    Member {
        id: MemberId { name: Arc::clone(&settings.node.name), incarnation: new_incarnation() },
        version: 1,
        state: MemberState::Alive,
        region: Arc::clone(&settings.node.region),
        zone: Arc::clone(&settings.node.zone),
        peer_addr: settings.listen.advertised_peer_addr.unwrap_or(addrs.peer),
        ingress_addr: addrs.ingress,
        admin_addr: addrs.admin,
        upstream: None,
    }
}

/// Returns the Unix time in microseconds, so that a later process of a node has a larger incarnation.
fn new_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}

/// Components that the gossip shares with the rest of the node.
#[derive(Debug)]
struct SharedParts {
    config: Arc<ConfigTable>,
    directory: Arc<Directory>,
    metrics: SharedMetrics,
    security: Arc<PeerSecurity>,
}

fn new_gossip(
    settings: &Settings,
    local_member: &Member,
    socket: Arc<UdpSocket>,
    shared: &SharedParts,
) -> Gossip {
    let view = FleetView::new(
        local_member.clone(),
        settings.gossip.clone(),
        settings.seeds.clone(),
        Arc::clone(&shared.config),
        Pcg64Mcg::from_rng(&mut rand::rng()),
        tokio::time::Instant::now(),
    );
    Gossip::new(GossipDependencies {
        view,
        config: Arc::clone(&shared.config),
        directory: Arc::clone(&shared.directory),
        socket,
        channels: Arc::new(ControlChannels::new(Arc::clone(&shared.security))),
        security: Arc::clone(&shared.security),
        metrics: Arc::clone(&shared.metrics),
    })
}

/// Spawns the tasks that communicate with the platform as the current role of the node requires.
fn spawn_platform_tasks(
    settings: &Settings,
    gossip: &Arc<Gossip>,
    shared: &SharedParts,
    stop: &CancellationToken,
) -> Vec<JoinHandle<()>> {
    let timeout = Duration::from_millis(settings.platform.timeout_ms);
    let platform = HttpPlatform::new(settings.platform.addr, timeout);
    let metrics = &shared.metrics;
    let link = GossipLink::new(Arc::clone(gossip), Arc::clone(&shared.config), Arc::clone(&shared.directory));
    let publisher = Publisher::new(platform.clone(), link, Arc::clone(metrics), &gossip.local_member().id);
    let watcher = ConfigWatcher {
        platform: platform.clone(),
        gossip: Arc::clone(gossip),
        metrics: Arc::clone(metrics),
    };
    let seed_registry = SeedRegistry {
        platform,
        gossip: Arc::clone(gossip),
        has_seeds: !settings.seeds.is_empty(),
        metrics: Arc::clone(metrics),
    };
    vec![
        tokio::spawn(publisher.run(stop.clone())),
        tokio::spawn(watcher.run(stop.clone())),
        tokio::spawn(seed_registry.run(stop.clone())),
    ]
}

/// Spawns the tasks that communicate with a platform that speaks the external dialect `I`.
fn spawn_external_platform_tasks<I>(
    settings: &Settings,
    gossip: &Arc<Gossip>,
    shared: &SharedParts,
    stop: &CancellationToken,
) -> Vec<JoinHandle<()>>
where
    I: ExternalDialect,
{
    let platform = I::new_store(&settings.platform);
    let metrics = &shared.metrics;
    let watcher = RoutesWatcher::<I>::new(&settings.platform, Arc::clone(gossip), Arc::clone(metrics));
    let seed_registry = SeedRegistry {
        platform,
        gossip: Arc::clone(gossip),
        has_seeds: !settings.seeds.is_empty(),
        metrics: Arc::clone(metrics),
    };
    vec![tokio::spawn(watcher.run(stop.clone())), tokio::spawn(seed_registry.run(stop.clone()))]
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
