//! Assembly of a node: starts its servers and background tasks and shuts them down gracefully.

mod bounded_settings;
mod core_parts;
mod in_flight;
mod stop_log;
mod tasks;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use snafu::Snafu;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::coordination::routing::PowerOfTwoChoices;
use crate::coordination::routing::RoutingPolicy;
use crate::log_event;
use crate::node::bounded_settings::key_rules;
use crate::node::bounded_settings::quota_allowance;
use crate::node::core_parts::Core;
use crate::node::core_parts::SharedParts;
use crate::node::core_parts::log_started;
use crate::node::core_parts::max_slot_wait;
use crate::node::stop_log::StopLog;
use crate::node::stop_log::StopStep;
use crate::node::tasks::end_background_tasks;
use crate::node::tasks::server_limits;
use crate::node::tasks::spawn_external_platform_tasks;
use crate::node::tasks::spawn_platform_tasks;
use crate::node::tasks::spawn_server;
use crate::protocol::member::MemberId;
use crate::protocol::settings::LimitSettings;
use crate::protocol::settings::Settings;
use crate::state::metrics::SharedMetrics;
use crate::transport::announce_server::AnnounceHandler;
use crate::transport::announce_server::UpstreamRegistration;
use crate::transport::check_in_server::CheckInHandler;
use crate::transport::explainer::Explainer;
use crate::transport::external_dialect::ExternalDialect;
use crate::transport::gate::Gate;
use crate::transport::gossip::Gossip;
use crate::transport::http_server::Handler;
use crate::transport::http_server::ServerLimits;
use crate::transport::http_server::ServerStop;
use crate::transport::http_server::serve_peers;
use crate::transport::ingress::Ingress;
use crate::transport::ingress::IngressHandler;
use crate::transport::listeners::ListenError;
use crate::transport::listeners::Listeners;
use crate::transport::listeners::NodeAddrs;
use crate::transport::peer_security::PeerSecurity;
use crate::transport::peer_security::SecurityError;
use crate::transport::routed_ingress::RoutedHandler;

pub use crate::node::bounded_settings::apply_bounds;
pub use crate::node::in_flight::InFlightCounter;
pub use crate::node::in_flight::InFlightCounts;

/// Result of starting a node.
pub type Result<T, E = NodeError> = std::result::Result<T, E>;

/// Time for the announcement that the node is leaving to spread before the server for callers stops.
const LEAVE_NOTICE: Duration = Duration::from_millis(200);

/// Maximum size of a header section from another node, in bytes: the ingress of that node has limited it.
const MAX_PEER_HEADER_BYTES: u32 = u32::MAX;

/// Maximum time for which the end of a stop waits until the connections that it cut are closed.
const CUT_TIMEOUT: Duration = Duration::from_millis(100);

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
    /// The bounds of the deployment are invalid.
    #[snafu(display("/platform/bounds: {problem}"))]
    Bounds {
        /// Description of the invalid bound.
        problem: String,
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
    /// Closes the connections of callers and peers that are left at the end of a stop.
    cut: CancellationToken,
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
        let bounds = I::parse_bounds(&settings.platform.bounds);
        let bounds = bounds.map_err(|problem| NodeError::Bounds { problem })?;
        let rules = key_rules(&settings.platform, &bounds);
        core.quotas.set_allowance(quota_allowance(&bounds));
        let own_service = settings.upstream.as_ref().map(|upstream| upstream.service.as_ref());
        let handlers = Handlers {
            callers: RoutedHandler::<P, I>::new(Arc::clone(&ingress), own_service, rules),
            upstream: CheckInHandler::<I>::new(Arc::clone(&core.registration)),
        };
        let stop_rest = CancellationToken::new();
        let mut platform_tasks = spawn_external_platform_tasks::<I>(
            settings,
            &core.gossip,
            &core.quotas,
            &core.shared,
            &stop_rest,
        );
        platform_tasks.push(tokio::spawn(core.slowdown_probe().run(stop_rest.clone())));
        platform_tasks.push(tokio::spawn(core.cold_probe().run(stop_rest.clone())));
        let gate = Arc::clone(&core.gate);
        platform_tasks.push(tokio::spawn(gate.start_rate_limited_calls(stop_rest.clone())));
        let parts = Parts { listeners, core, ingress, handlers, platform_tasks, stop_rest };
        Ok(Self::launch(settings, parts, call_runtime))
    }

    /// Spawns the servers and background tasks of a node.
    fn launch<C, U>(settings: &Settings, parts: Parts<P, C, U>, call_runtime: &Handle) -> Self
    where
        C: Handler + Explainer,
        U: Handler,
    {
        let Parts { listeners, core, ingress, handlers, platform_tasks, stop_rest } = parts;
        let addrs = core.addrs;
        let stop_callers = CancellationToken::new();
        let cut = CancellationToken::new();
        let limits = server_limits(settings);
        let callers_stop = ServerStop { graceful: stop_callers.clone(), cut: cut.clone() };
        let admin_handler = core.admin_handler(handlers.callers.clone());
        let caller_server =
            spawn_server(call_runtime, listeners.ingress, limits, handlers.callers, callers_stop);
        let peer_limits = ServerLimits {
            max_connections: usize::from(u16::MAX),
            max_header_bytes: MAX_PEER_HEADER_BYTES,
            ..limits
        };
        let peer_server = call_runtime.spawn(serve_peers(
            listeners.peer,
            peer_limits,
            core.peer_handler(),
            Arc::clone(&core.shared.security),
            ServerStop { graceful: stop_rest.clone(), cut: cut.clone() },
        ));
        let control = Handle::current();
        let control_limits = ServerLimits::default();
        drop(spawn_server(
            &control,
            listeners.announce,
            control_limits,
            handlers.upstream,
            stop_rest.clone(),
        ));
        drop(spawn_server(&control, listeners.admin, control_limits, admin_handler, stop_rest.clone()));
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
            shutdown_timeout: Duration::from_millis(settings.limits.shutdown_timeout_ms),
            gate,
            metrics,
            gossip,
            registration,
            ingress,
            stop_callers,
            stop_rest,
            cut,
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

    /// Replaces the time limits of a later stop by those of `limits`; the other limits stay as they are.
    pub fn set_stop_limits(&mut self, limits: &LimitSettings) {
        self.unready_notice = Duration::from_millis(limits.unready_notice_ms);
        self.shutdown_timeout = Duration::from_millis(limits.shutdown_timeout_ms);
        self.ingress.set_max_slot_wait(max_slot_wait(limits));
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
        self.ingress.set_stop_by(stop_by);
        let closing = [self.stop_callers.clone(), self.stop_rest.clone(), self.cut.clone()];
        let log = StopLog::begin(stop_by, self.in_flight_counter.clone(), closing);
        tokio::time::sleep_until(stop_by.min(Instant::now() + self.unready_notice)).await;
        self.registration.drain_for_stop();
        self.ingress.drain();
        log.reached(StopStep::Draining);
        // Peers that miss the announcement learn of the drain when the gate rejects their calls.
        let _announced = tokio::time::timeout_at(stop_by, self.gossip.leave()).await;
        log.reached(StopStep::LeaveAnnounced);
        tokio::time::sleep_until(stop_by.min(Instant::now() + LEAVE_NOTICE)).await;
        log.reached(StopStep::CallersClosing);
        self.stop_callers.cancel();
        let callers_finished = finished_in_time(&mut self.caller_server, stop_by).await;
        log.reached(if callers_finished { StopStep::CallersFinished } else { StopStep::CallersUnfinished });
        // An ingress that lost the connection of a call requests the answer over a new one, so the server for
        // peers runs until the gate is idle.
        let gate_idle =
            tokio::time::timeout_at(stop_by, self.in_flight_counter.wait_gate_idle()).await.is_ok();
        log.reached(if gate_idle { StopStep::GateIdle } else { StopStep::GateBusy });
        self.stop_rest.cancel();
        let peers_finished = gate_idle && finished_in_time(&mut self.peer_server, stop_by).await;
        log.reached(if peers_finished { StopStep::PeersFinished } else { StopStep::PeersUnfinished });
        let in_flight = self.in_flight_counter.in_flight();
        end_background_tasks(self.background_tasks).await;
        log.end();
        wait_until_closed([self.caller_server, self.peer_server]).await;
        Shutdown { callers_finished, peers_finished, in_flight }
    }
}

/// Returns whether a server completed every request by `stop_by`.
async fn finished_in_time(server: &mut JoinHandle<bool>, stop_by: Instant) -> bool {
    matches!(tokio::time::timeout_at(stop_by, server).await, Ok(Ok(true)))
}

/// Waits until the servers have closed the connections that were cut.
async fn wait_until_closed(servers: [JoinHandle<bool>; 2]) {
    let close_by = Instant::now() + CUT_TIMEOUT;
    for server in servers {
        if !server.is_finished() && tokio::time::timeout_at(close_by, server).await.is_err() {
            log_event!(Warn, "connections were not closed in time at the end of the node");
        }
    }
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
