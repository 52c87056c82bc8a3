//! Transport of quotas: datagrams of the gossip socket, the requests that wait for a token, and timers.
//!
//! The protocol logic is in [`QuotaNode`]; this module performs its actions and passes messages to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use yuccatray_proto::peer_v1 as wire;

use crate::coordination::quota::BootTime;
use crate::coordination::quota::allowance::QuotaAllowance;
use crate::coordination::quota::client::QuotaRejection;
use crate::coordination::quota::client::QuotaRejectionKind;
use crate::coordination::quota::client::Resolution;
use crate::coordination::quota::client::WaiterId;
use crate::coordination::quota::fleet_roles::FleetRoles;
use crate::coordination::quota::quota_node::QuotaAction;
use crate::coordination::quota::quota_node::QuotaNode;
use crate::coordination::quota::quota_node::QuotaStatus;
use crate::coordination::quota::roster::ConfirmedRoster;
use crate::coordination::quota::tenant_limits::TenantLimit;
use crate::coordination::quota::tenant_limits::TenantLimits;
use crate::log_event;
use crate::log_event_limited;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::member::Member;
use crate::protocol::member::MemberId;
use crate::protocol::published::Published;
use crate::protocol::route::ROUTES_NAME;
use crate::protocol::tenant::TenantSpec;
use crate::state::config_table::ConfigTable;
use crate::state::control_metrics::UDP_HEADER_BYTES;
use crate::state::directory::Directory;
use crate::state::directory::DirectorySnapshot;
use crate::state::metrics::SharedMetrics;
use crate::transport::boot_clock::BootClock;
use crate::transport::boot_clock::SystemBootClock;
use crate::transport::peer_security::PeerSecurity;

/// Interval at which the gauges are updated.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// Additional time for the decision that a request may wait no longer.
const DECISION_MARGIN: Duration = Duration::from_millis(100);

/// Time after which a request may come again if its decision was lost.
const LOST_DECISION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Components that [`QuotaLink`] is created from.
#[derive(Debug)]
pub struct QuotaLinkDependencies<C> {
    /// Name and incarnation of this node.
    pub local_id: MemberId,
    /// Clock by which shares are lent and spent.
    pub clock: C,
    /// Configuration in force.
    pub config: Arc<ConfigTable>,
    /// Members of the fleet.
    pub directory: Arc<Directory>,
    /// Socket for datagrams, shared with the gossip.
    pub socket: Arc<UdpSocket>,
    /// Keys that authenticate datagrams.
    pub security: Arc<PeerSecurity>,
    /// Metrics of the node.
    pub metrics: SharedMetrics,
}

/// Result of asking for a token.
type AdmissionResult = Result<(), QuotaRejection>;

#[derive(Debug)]
struct Inner {
    node: QuotaNode,
    waiting: IndexMap<WaiterId, oneshot::Sender<AdmissionResult>>,
    next_waiter: WaiterId,
    /// Directory and publication from which the node's roles and limits were derived.
    directory: Option<Arc<DirectorySnapshot>>,
    routes: Option<Arc<Published>>,
    last_status: Option<QuotaStatus>,
    status_due_at: BootTime,
}

/// Quotas of one node.
#[derive(Debug)]
pub struct QuotaLink<C = SystemBootClock> {
    inner: Mutex<Inner>,
    dependencies: QuotaLinkDependencies<C>,
    /// Notified when a request begins to wait, so that the next tick is soon.
    waiting_began: Notify,
}

impl<C> QuotaLink<C>
where
    C: BootClock,
{
    /// Creates the quotas of a process that has just started; [`QuotaLink::run`] starts the protocol.
    #[must_use]
    pub fn new(dependencies: QuotaLinkDependencies<C>) -> Self {
        let now = dependencies.clock.now();
        let inner = Inner {
            node: QuotaNode::new(Arc::clone(&dependencies.local_id.name), rand::random(), now),
            waiting: IndexMap::new(),
            next_waiter: 0,
            directory: None,
            routes: None,
            last_status: None,
            status_due_at: now,
        };
        Self { inner: Mutex::new(inner), dependencies, waiting_began: Notify::new() }
    }

    /// Takes a token for a request of a tenant, or for a further attempt of one; waits until `give_up_at` at the
    /// latest.
    ///
    /// A tenant without a limit needs no token.
    ///
    /// # Errors
    ///
    /// Returns a rejection if the tenant has used up its limit, or if no quota server answers in time.
    pub async fn admit(&self, tenant: &Arc<str>, give_up_at: Instant) -> AdmissionResult {
        let (decision, actions, guard) = {
            let mut inner = self.inner.lock();
            let now = self.dependencies.clock.now();
            self.refresh(&mut inner, now);
            if !inner.node.limits().limits.contains_key(tenant) {
                return Ok(());
            }
            let (waiter, decision) = inner.add_waiter();
            let give_up_in = give_up_at.saturating_duration_since(Instant::now());
            let actions = inner.node.admit(waiter, tenant, now + give_up_in, now);
            let actions = inner.resolve(actions, &self.dependencies.metrics);
            (decision, actions, WaiterGuard { link: self, tenant: Arc::clone(tenant), waiter })
        };
        self.waiting_began.notify_one();
        self.send_all(actions).await;
        let decided = tokio::time::timeout_at(give_up_at + DECISION_MARGIN, decision).await;
        drop(guard);
        let lost =
            QuotaRejection { kind: QuotaRejectionKind::Unavailable, retry_after: LOST_DECISION_RETRY_AFTER };
        decided.unwrap_or(Ok(Err(lost))).unwrap_or(Err(lost))
    }

    /// Processes a verified datagram from `addr` that carries a quota message to this node.
    pub async fn receive(&self, datagram: &wire::Datagram, addr: SocketAddr) {
        let Some(message) = &datagram.quota else {
            return;
        };
        if *datagram.target != *self.dependencies.local_id.name {
            return;
        }
        let from: Arc<str> = Arc::from(datagram.name.as_str());
        let actions = {
            let mut inner = self.inner.lock();
            // Read while holding the lock, so that readings and messages are in the same order.
            let now = self.dependencies.clock.now();
            self.refresh(&mut inner, now);
            let actions = inner.node.receive(&from, addr, message, now);
            inner.resolve(actions, &self.dependencies.metrics)
        };
        self.send_all(actions).await;
    }

    /// Runs the protocol until `stop` is cancelled.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.tick_repeatedly() => {}
        }
    }

    /// Sets what the deployment allows beyond the limits of tenants.
    pub fn set_allowance(&self, allowance: Option<QuotaAllowance>) {
        self.inner.lock().node.set_allowance(allowance);
    }

    /// Replaces the roster by one that was read from the store later.
    pub fn set_roster(&self, roster: ConfirmedRoster) {
        self.inner.lock().node.set_roster(roster);
    }

    /// Runs `operation` on the state of the quotas at the current time.
    pub fn with_node<F, T>(&self, operation: F) -> T
    where
        F: FnOnce(&QuotaNode, BootTime) -> T,
    {
        let inner = self.inner.lock();
        operation(&inner.node, self.dependencies.clock.now())
    }

    /// Returns the current reading of the clock.
    #[must_use]
    pub fn now(&self) -> BootTime {
        self.dependencies.clock.now()
    }

    async fn tick_repeatedly(&self) {
        loop {
            let (actions, pause) = self.tick();
            self.send_all(actions).await;
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.waiting_began.notified() => self.pause_after_notice().await,
            }
        }
    }

    /// Waits until the first repetition of an ask may be due.
    async fn pause_after_notice(&self) {
        let pause = self.inner.lock().node.tick_interval();
        tokio::time::sleep(pause).await;
    }

    fn tick(&self) -> (Vec<QuotaAction>, Duration) {
        let mut inner = self.inner.lock();
        let now = self.dependencies.clock.now();
        self.refresh(&mut inner, now);
        let actions = inner.node.tick(now);
        let actions = inner.resolve(actions, &self.dependencies.metrics);
        inner.update_status(&self.dependencies.metrics, now);
        (actions, inner.node.tick_interval())
    }

    /// Applies changes of the members and of the configuration.
    fn refresh(&self, inner: &mut Inner, now: BootTime) {
        let routes = self.dependencies.config.get(ROUTES_NAME);
        if !is_same(inner.routes.as_ref(), routes.as_ref()) {
            inner.node.set_limits(routes.as_deref().map(tenant_limits).unwrap_or_default(), now);
            inner.routes = routes;
        }
        if inner.node.limits().limits.is_empty() {
            return;
        }
        let directory = self.dependencies.directory.snapshot();
        if !is_same(inner.directory.as_ref(), Some(&directory)) {
            if let Some(roles) = self.roles(&directory) {
                inner.node.set_roles(roles);
            }
            inner.directory = Some(directory);
        }
    }

    fn roles(&self, directory: &DirectorySnapshot) -> Option<FleetRoles> {
        let members: Vec<Arc<Member>> = directory.entries().map(|entry| Arc::clone(&entry.member)).collect();
        let local_member = &directory.by_name(&self.dependencies.local_id.name)?.member;
        Some(FleetRoles::new(local_member, &members))
    }

    async fn send_all(&self, actions: Vec<QuotaAction>) {
        for action in actions {
            if let QuotaAction::Send { to, target, message } = action {
                let datagram = self.datagram(&target, *message);
                let mut bytes = datagram.encode_to_vec();
                self.dependencies.security.keys().sign(&mut bytes);
                match self.dependencies.socket.send_to(&bytes, to).await {
                    Ok(length) => {
                        let bytes = length as u64 + UDP_HEADER_BYTES;
                        self.dependencies.metrics.control.count("sent", "quota", bytes);
                    }
                    Err(error) => log::debug!("cannot send quota datagram; to={to} error={error}"),
                }
            }
        }
    }

    fn datagram(&self, target: &Arc<str>, message: wire::QuotaMessage) -> wire::Datagram {
        wire::Datagram {
            kind: wire::DatagramKind::Quota.into(),
            name: self.dependencies.local_id.name.to_string(),
            target: target.to_string(),
            quota: Some(message),
            ..wire::Datagram::default()
        }
    }
}

impl Inner {
    fn add_waiter(&mut self) -> (WaiterId, oneshot::Receiver<AdmissionResult>) {
        let waiter = self.next_waiter;
        self.next_waiter += 1;
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(waiter, sender);
        (waiter, receiver)
    }

    /// Passes decisions to the requests that wait for them, and returns the other actions.
    fn resolve(&mut self, actions: Vec<QuotaAction>, metrics: &SharedMetrics) -> Vec<QuotaAction> {
        let mut others = Vec::with_capacity(actions.len());
        for action in actions {
            match action {
                QuotaAction::Resolve(resolution) => self.pass_on(resolution, metrics),
                QuotaAction::Send { .. } => others.push(action),
            }
        }
        others
    }

    fn pass_on(&mut self, resolution: Resolution, metrics: &SharedMetrics) {
        let Resolution { waiter, tenant, result } = resolution;
        let outcome =
            result.as_ref().map_or_else(|rejection| error_kind(rejection.kind).name(), |()| "granted");
        metrics.quota.count(&tenant, outcome);
        let waiting = self.waiting.swap_remove(&waiter);
        if waiting.is_none_or(|sender| sender.send(result).is_err()) {
            log::debug!("a quota decision came after its request had ended; tenant={tenant}");
        }
    }

    /// Updates the gauges, and logs changes of the roles of this node.
    fn update_status(&mut self, metrics: &SharedMetrics, now: BootTime) {
        if now < self.status_due_at || self.node.limits().limits.is_empty() {
            return;
        }
        self.status_due_at = now + STATUS_INTERVAL;
        let status = self.node.status(now);
        metrics.quota.set_parts("share", status.share_parts);
        metrics.quota.set_parts("lent", status.lent_parts);
        metrics.quota.set_parts("local", status.local_parts);
        metrics.quota.set_parts("zone", status.zone_parts);
        metrics.quota.set_parts("server", status.served_parts);
        metrics.quota.zone_leases.set(i64::try_from(status.zone_leases).unwrap_or(i64::MAX));
        metrics.quota.served_groups.set(i64::try_from(status.served_groups).unwrap_or(i64::MAX));
        let known_changes = self.last_status.map_or(0, |last| last.server_changes);
        metrics.quota.server_changes.inc_by(status.server_changes.saturating_sub(known_changes));
        let known_tokens = self.last_status.map_or(0, |last| last.local_tokens);
        metrics.quota.local_tokens.inc_by(status.local_tokens.saturating_sub(known_tokens));
        let previous = self.last_status.replace(status);
        if previous.is_some_and(|previous| (previous.local_parts == 0) != (status.local_parts == 0)) {
            log_event_limited!(Info, "own share returned or lent", local_parts = status.local_parts);
        }
        if previous.is_none_or(|previous| has_other_roles(&previous, &status)) {
            log_event!(
                Info,
                "quota roles changed",
                share_parts = status.share_parts,
                zone_leases = status.zone_leases,
                zone_parts = status.zone_parts,
                served_groups = status.served_groups,
                served_parts = status.served_parts,
            );
        }
    }
}

/// Removes a request from those that wait once its caller has gone or its decision was received.
struct WaiterGuard<'a, C> {
    link: &'a QuotaLink<C>,
    tenant: Arc<str>,
    waiter: WaiterId,
}

impl<C> Drop for WaiterGuard<'_, C> {
    fn drop(&mut self) {
        let mut inner = self.link.inner.lock();
        if inner.waiting.swap_remove(&self.waiter).is_some() {
            inner.node.cancel(&self.tenant, self.waiter);
        }
    }
}

/// Returns the error kind of a rejection.
#[must_use]
pub const fn error_kind(kind: QuotaRejectionKind) -> ErrorKind {
    match kind {
        QuotaRejectionKind::Exceeded => ErrorKind::QuotaExceeded,
        QuotaRejectionKind::Unavailable => ErrorKind::QuotaUnavailable,
    }
}

/// Returns the limits of the tenants that have one.
fn tenant_limits(routes: &Published) -> TenantLimits {
    let tenants = routes.routes.as_ref().and_then(|routes| routes.tenants.as_ref());
    let limits = tenants.into_iter().flatten().filter_map(tenant_limit);
    TenantLimits { revision: routes.revision, limits: limits.collect() }
}

fn tenant_limit(tenant: &TenantSpec) -> Option<(Arc<str>, TenantLimit)> {
    let rate = tenant.rate?;
    let burst = u32::try_from(rate.burst).unwrap_or(u32::MAX);
    let limit = TenantLimit { rate_millis_per_s: rate.millirequests_per_s, burst };
    Some((Arc::clone(&tenant.name), limit))
}

fn has_other_roles(previous: &QuotaStatus, status: &QuotaStatus) -> bool {
    let roles = |status: &QuotaStatus| (status.zone_leases > 0, status.served_groups, status.share_parts);
    roles(previous) != roles(status)
}

fn is_same<T>(previous: Option<&Arc<T>>, current: Option<&Arc<T>>) -> bool {
    match (previous, current) {
        (Some(previous), Some(current)) => Arc::ptr_eq(previous, current),
        (previous, current) => previous.is_none() && current.is_none(),
    }
}
