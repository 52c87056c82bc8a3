//! Ingress side of quotas: the requests that wait for a token, and the asks that are pending.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use yuccatray_proto::peer_v1 as wire;

use crate::coordination::quota::BootTime;
use crate::coordination::quota::TOKEN_VALIDITY;
use crate::coordination::quota::fleet_roles::FleetRoles;
use crate::coordination::quota::local_share::LocalShare;
use crate::coordination::quota::tenant_limits::TenantLimit;
use crate::coordination::quota::tenant_limits::TenantLimits;
use crate::coordination::quota::tenant_limits::group_of;
use crate::log_event_limited;
use crate::protocol::explain::QuotaServerState;

/// Time after which an unanswered ask is repeated to the same server.
const REPEAT_AFTER: Duration = Duration::from_millis(30);

/// Time after which an unanswered ask is given up and the next server is asked.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a server that did not answer is skipped, doubled each time up to the maximum.
const MIN_SKIP: Duration = Duration::from_millis(500);

/// Maximum time for which a server that did not answer is skipped; a longer one outlasts most cuts of the network.
const MAX_SKIP: Duration = Duration::from_secs(4);

/// Maximum time for which an ingress rejects requests of a tenant by itself.
const MAX_LOCAL_REJECTION: Duration = Duration::from_millis(50);

/// Time for which the number of requests that an ingress rejected by itself is kept for the next ask.
const REJECTED_COUNT_RETENTION: Duration = Duration::from_secs(1);

/// Minimum time before a server that has no tokens yet is asked again.
const MIN_WARMING_PAUSE: Duration = Duration::from_millis(10);

/// Maximum number of tokens that one ask wants.
const MAX_TOKENS_PER_ASK: usize = 1_000;

/// Time after which a request that found no quota server may come again.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Names a waiting request.
pub type WaiterId = u64;

/// Why a request gets no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaRejectionKind {
    /// The tenant has used up its limit.
    Exceeded,
    /// No quota server gave an answer in time.
    Unavailable,
}

/// Rejection of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRejection {
    /// Why the request is rejected.
    pub kind: QuotaRejectionKind,
    /// Time after which the request may come again.
    pub retry_after: Duration,
}

/// Decision on a waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resolution {
    /// The request.
    pub waiter: WaiterId,
    /// Its tenant.
    pub tenant: Arc<str>,
    /// Whether it got a token.
    pub result: Result<(), QuotaRejection>,
}

/// What an ingress knows of the quota of one tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaOutlook {
    /// Server that it would ask for a token.
    pub server: Option<Arc<str>>,
    /// State of this server.
    pub server_state: QuotaServerState,
    /// Requests that wait for a token.
    pub waiting: usize,
    /// Rejection that the next request gets at once.
    pub rejection: Option<QuotaRejection>,
}

/// Messages to servers and decisions on requests.
#[derive(Clone, Debug, Default)]
pub struct ClientOutput {
    /// Asks to send, each with the name of the server.
    pub asks: Vec<(Arc<str>, wire::TokenAsk)>,
    /// Decisions.
    pub resolutions: Vec<Resolution>,
}

/// What a client needs to know of the fleet and the configuration.
#[derive(Debug)]
pub struct ClientContext<'a> {
    /// Roles of nodes.
    pub roles: &'a FleetRoles,
    /// Limits of tenants.
    pub limits: &'a TenantLimits,
    /// Share of this node, as far as it is not lent.
    pub local: &'a mut LocalShare,
    /// Name of this node.
    pub own_name: &'a Arc<str>,
    /// Node to which the share of this node is lent.
    pub share_borrower: Option<&'a Arc<str>>,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    id: WaiterId,
    give_up_at: BootTime,
    /// Whether the pending ask wants a token for this request.
    is_asked: bool,
}

#[derive(Clone, Debug)]
struct PendingAsk {
    ask: wire::TokenAsk,
    server: Arc<str>,
    sent_at: BootTime,
    repeated_at: BootTime,
}

#[derive(Clone, Debug)]
struct Probe {
    tenant: Arc<str>,
    pending: PendingAsk,
}

/// Period during which an ingress rejects requests by itself.
#[derive(Clone, Copy, Debug)]
struct LocalRejection {
    until: BootTime,
    /// When there is a token for the next request that is rejected.
    next_token_at: BootTime,
    interval: Duration,
}

/// Requests of one tenant.
#[derive(Clone, Debug, Default)]
struct TenantQueue {
    waiting: VecDeque<Waiter>,
    pending: Option<PendingAsk>,
    rejection: Option<LocalRejection>,
    /// Requests rejected by this ingress since the last ask.
    rejected: u32,
    /// Time before which a server that is warming up is not asked again.
    next_ask_at: BootTime,
}

#[derive(Clone, Debug)]
struct Skip {
    /// Tenant for whose group the server is probed.
    tenant: Arc<str>,
    until: BootTime,
    duration: Duration,
}

/// The requests of all tenants at one ingress.
#[derive(Clone, Debug)]
pub struct QuotaClient {
    next_sequence: u64,
    tenants: IndexMap<Arc<str>, TenantQueue>,
    /// Tenants by the sequence number of their pending ask.
    pending: IndexMap<u64, Arc<str>>,
    /// Servers that did not answer.
    skipped: IndexMap<Arc<str>, Skip>,
    /// Asks for no tokens, by sequence number, that find out whether a server answers again.
    probes: IndexMap<u64, Probe>,
    /// Tenants whose last ask got no answer, or one of a server without parts.
    unserved: IndexSet<Arc<str>>,
    /// How often a tenant's requests went to another server than before.
    server_changes: u64,
    /// Server that was last asked for each tenant, to detect changes.
    last_servers: IndexMap<Arc<str>, Arc<str>>,
}

impl QuotaClient {
    /// Creates the state of a process that has just started.
    #[must_use]
    pub fn new(first_sequence: u64) -> Self {
        Self {
            next_sequence: first_sequence,
            tenants: IndexMap::new(),
            pending: IndexMap::new(),
            skipped: IndexMap::new(),
            probes: IndexMap::new(),
            unserved: IndexSet::new(),
            server_changes: 0,
            last_servers: IndexMap::new(),
        }
    }

    /// Returns how often a tenant's requests went to another server than before.
    #[must_use]
    pub const fn server_changes(&self) -> u64 {
        self.server_changes
    }

    /// Returns whether any request waits.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.tenants.values().any(|queue| !queue.waiting.is_empty())
    }

    /// Returns what is known of a tenant's quota; it changes nothing and asks no server.
    #[must_use]
    pub fn outlook(
        &self,
        tenant: &Arc<str>,
        roles: &FleetRoles,
        share_borrower: Option<&Arc<str>>,
        now: BootTime,
    ) -> QuotaOutlook {
        let queue = self.tenants.get(tenant);
        let server = usable_server(roles.servers(group_of(tenant)), share_borrower, &self.skipped);
        let rejection = queue.and_then(|queue| queue.local_rejection(now));
        QuotaOutlook {
            server: server.map(Arc::clone),
            server_state: server
                .map_or_else(QuotaServerState::default, |name| self.server_state(tenant, name)),
            waiting: queue.map_or(0, |queue| queue.waiting.len()),
            rejection: rejection.map(|rejection| rejection.peek(now)),
        }
    }

    fn server_state(&self, tenant: &Arc<str>, server: &Arc<str>) -> QuotaServerState {
        if self.skipped.contains_key(server) {
            QuotaServerState::Unresponsive
        } else if self.last_servers.get(tenant) == Some(server) {
            QuotaServerState::Responsive
        } else {
            QuotaServerState::NotAsked
        }
    }

    /// Asks for a token for a request of a tenant that has a limit.
    pub fn admit(
        &mut self,
        waiter: WaiterId,
        tenant: &Arc<str>,
        give_up_at: BootTime,
        context: &mut ClientContext<'_>,
        now: BootTime,
    ) -> ClientOutput {
        let queue = self.tenants.entry(Arc::clone(tenant)).or_default();
        let mut output = ClientOutput::default();
        if let Some(result) = queue.reject_locally(now) {
            output.resolutions.push(Resolution { waiter, tenant: Arc::clone(tenant), result });
            return output;
        }
        queue.waiting.push_back(Waiter { id: waiter, give_up_at, is_asked: false });
        self.ask_if_due(tenant, context, now, &mut output);
        output
    }

    /// Asks all servers again at once, since this node was cut off and has heard another node again.
    pub fn clear_skipped(&mut self) {
        self.skipped.clear();
        self.probes.clear();
    }

    /// Removes a request that no longer waits.
    pub fn cancel(&mut self, tenant: &str, waiter: WaiterId) {
        if let Some(queue) = self.tenants.get_mut(tenant) {
            queue.waiting.retain(|waiting| waiting.id != waiter);
        }
    }

    /// Applies an answer of a quota server.
    pub fn receive(
        &mut self,
        from: &str,
        answer: wire::TokenAnswer,
        context: &mut ClientContext<'_>,
        now: BootTime,
    ) -> ClientOutput {
        let mut output = ClientOutput::default();
        if let Some(tenant) = self.receive_probe(from, answer, context.local, now) {
            self.ask_if_due(&tenant, context, now, &mut output);
            return output;
        }
        let Some(tenant) = self.pending.get(&answer.echo).map(Arc::clone) else {
            return output;
        };
        let Some(queue) = self.tenants.get_mut(&tenant) else {
            return output;
        };
        let Some(pending) = queue.pending.take_if(|pending| *pending.server == *from) else {
            return output;
        };
        self.pending.swap_remove(&answer.echo);
        self.skipped.swap_remove(from);
        if has_parts(answer) {
            self.unserved.swap_remove(&tenant);
        } else {
            self.unserved.insert(Arc::clone(&tenant));
        }
        if now < pending.sent_at + TOKEN_VALIDITY {
            queue.apply_answer(&tenant, answer, now, &mut output);
        }
        queue.clear_asked();
        self.ask_if_due(&tenant, context, now, &mut output);
        output
    }

    /// Applies the answer to a probe, and returns its tenant.
    fn receive_probe(
        &mut self,
        from: &str,
        answer: wire::TokenAnswer,
        local: &LocalShare,
        now: BootTime,
    ) -> Option<Arc<str>> {
        self.probes.get(&answer.echo).filter(|probe| *probe.pending.server == *from)?;
        let Probe { tenant, pending } = self.probes.swap_remove(&answer.echo)?;
        if has_parts(answer) {
            self.unserved.swap_remove(&tenant);
        }
        // A node that decides locally has no use for a server without parts, and asks it again later.
        if has_parts(answer) || !local.serves(&tenant) {
            self.skipped.swap_remove(from);
        } else {
            self.skip(&pending.server, &tenant, now);
        }
        Some(tenant)
    }

    /// Performs the periodic work that is due.
    pub fn tick(&mut self, context: &mut ClientContext<'_>, now: BootTime) -> ClientOutput {
        let mut output = ClientOutput::default();
        self.repeat_probes(now, &mut output);
        self.probe_skipped(context, now, &mut output);
        let tenants: Vec<Arc<str>> = self.tenants.keys().map(Arc::clone).collect();
        for tenant in &tenants {
            self.give_up_late(tenant, now, &mut output);
            self.repeat_or_skip(tenant, now, &mut output);
            self.ask_if_due(tenant, context, now, &mut output);
        }
        self.tenants.retain(|_, queue| !queue.is_idle(now));
        output
    }

    /// Rejects the requests that may wait no longer.
    fn give_up_late(&mut self, tenant: &Arc<str>, now: BootTime, output: &mut ClientOutput) {
        let Some(queue) = self.tenants.get_mut(tenant) else {
            return;
        };
        let rejection =
            QuotaRejection { kind: QuotaRejectionKind::Unavailable, retry_after: UNAVAILABLE_RETRY_AFTER };
        let late = queue.waiting.iter().filter(|waiter| waiter.give_up_at <= now);
        let late = late.map(|waiter| Resolution {
            waiter: waiter.id,
            tenant: Arc::clone(tenant),
            result: Err(rejection),
        });
        output.resolutions.extend(late);
        queue.waiting.retain(|waiter| waiter.give_up_at > now);
    }

    /// Repeats an ask that was not answered, or gives up its server.
    fn repeat_or_skip(&mut self, tenant: &Arc<str>, now: BootTime, output: &mut ClientOutput) {
        let Some(queue) = self.tenants.get_mut(tenant) else {
            return;
        };
        let Some(pending) = queue.pending.as_mut() else {
            return;
        };
        if now < pending.sent_at + ASK_TIMEOUT {
            output.asks.extend(pending.due_repetition(now));
            return;
        }
        let server = Arc::clone(&pending.server);
        self.pending.swap_remove(&pending.ask.sequence);
        queue.pending = None;
        queue.clear_asked();
        self.unserved.insert(Arc::clone(tenant));
        self.skip(&server, tenant, now);
    }

    /// Repeats the probes that were not answered, or skips their servers for longer.
    fn repeat_probes(&mut self, now: BootTime, output: &mut ClientOutput) {
        let probes = self.probes.values_mut();
        output.asks.extend(probes.filter_map(|probe| probe.pending.due_repetition(now)));
        let is_late = |probe: &Probe| now >= probe.pending.sent_at + ASK_TIMEOUT;
        let late: Vec<Probe> = self.probes.values().filter(|probe| is_late(probe)).cloned().collect();
        for probe in late {
            self.probes.swap_remove(&probe.pending.ask.sequence);
            self.skip(&probe.pending.server, &probe.tenant, now);
        }
    }

    fn skip(&mut self, server: &Arc<str>, tenant: &Arc<str>, now: BootTime) {
        let new = || Skip { tenant: Arc::clone(tenant), until: now, duration: Duration::ZERO };
        let skip = self.skipped.entry(Arc::clone(server)).or_insert_with(new);
        if skip.until > now {
            return;
        }
        skip.duration = (skip.duration * 2).clamp(MIN_SKIP, MAX_SKIP);
        skip.until = now + skip.duration;
        log_event_limited!(
            Info,
            "quota server did not answer",
            server = server,
            skipped_for_ms = skip.duration.as_millis(),
        );
    }

    /// Decides the waiting requests of a tenant by the local share, or asks for tokens for them unless an ask is
    /// pending.
    fn ask_if_due(
        &mut self,
        tenant: &Arc<str>,
        context: &mut ClientContext<'_>,
        now: BootTime,
        output: &mut ClientOutput,
    ) {
        let is_local = self.unserved.contains(tenant) && context.local.serves(tenant);
        let Some(queue) = self.tenants.get_mut(tenant) else {
            return;
        };
        if queue.waiting.is_empty() {
            return;
        }
        let Some(limit) = context.limits.limits.get(tenant) else {
            queue.admit_all(tenant, output);
            return;
        };
        if is_local {
            queue.decide_locally(tenant, context.local, now, output);
            self.probe_others(tenant, context, now, output);
            return;
        }
        if queue.pending.is_some() || now < queue.next_ask_at {
            return;
        }
        if let Some(server) = self.choose_server(tenant, context) {
            self.ask(tenant, *limit, context.limits.revision, server, now, output);
        }
    }

    fn choose_server(&self, tenant: &str, context: &ClientContext<'_>) -> Option<Arc<str>> {
        let servers = context.roles.servers(group_of(tenant));
        usable_server(servers, context.share_borrower, &self.skipped).map(Arc::clone)
    }

    /// Asks unresponsive servers for no tokens once they were skipped for long enough; no request waits for the
    /// answers.
    ///
    /// This needs no requests, so that also the first request after a cut goes to the preferred server.
    fn probe_skipped(&mut self, context: &ClientContext<'_>, now: BootTime, output: &mut ClientOutput) {
        self.skipped.retain(|server, skip| {
            let servers = context.roles.servers(group_of(&skip.tenant));
            servers.contains(server) && context.limits.limits.contains_key(&skip.tenant)
        });
        let due = self.skipped.iter().filter(|(_, skip)| skip.until <= now);
        let due: Vec<(Arc<str>, Arc<str>)> =
            due.map(|(server, skip)| (Arc::clone(server), Arc::clone(&skip.tenant))).collect();
        for (server, tenant) in due {
            self.probe(server, &tenant, context, now, output);
        }
    }

    /// Probes the servers that are not known to be unresponsive, for a node that decides locally: they may have got
    /// parts.
    fn probe_others(
        &mut self,
        tenant: &Arc<str>,
        context: &ClientContext<'_>,
        now: BootTime,
        output: &mut ClientOutput,
    ) {
        let servers = context.roles.servers(group_of(tenant)).iter();
        let others =
            servers.filter(|server| *server != context.own_name && !self.skipped.contains_key(*server));
        let others: Vec<Arc<str>> = others.map(Arc::clone).collect();
        for server in others {
            self.probe(server, tenant, context, now, output);
        }
    }

    fn probe(
        &mut self,
        server: Arc<str>,
        tenant: &Arc<str>,
        context: &ClientContext<'_>,
        now: BootTime,
        output: &mut ClientOutput,
    ) {
        let Some(limit) = context.limits.limits.get(tenant) else {
            return;
        };
        if self.probes.values().any(|probe| probe.pending.server == server) {
            return;
        }
        let ask = self.new_ask(tenant, *limit, context.limits.revision);
        output.asks.push((Arc::clone(&server), ask.clone()));
        let sequence = ask.sequence;
        let pending = PendingAsk { ask, server, sent_at: now, repeated_at: now };
        self.probes.insert(sequence, Probe { tenant: Arc::clone(tenant), pending });
    }

    /// Returns an ask for no tokens.
    fn new_ask(&mut self, tenant: &Arc<str>, limit: TenantLimit, revision: u64) -> wire::TokenAsk {
        let sequence = self.next_sequence;
        self.next_sequence = self.next_sequence.wrapping_add(1);
        wire::TokenAsk {
            sequence,
            tenant: tenant.to_string(),
            tokens: 0,
            rejected: 0,
            rate_millis_per_s: limit.rate_millis_per_s,
            burst: limit.burst,
            revision,
        }
    }

    fn ask(
        &mut self,
        tenant: &Arc<str>,
        limit: TenantLimit,
        revision: u64,
        server: Arc<str>,
        now: BootTime,
        output: &mut ClientOutput,
    ) {
        let mut ask = self.new_ask(tenant, limit, revision);
        let Some(queue) = self.tenants.get_mut(tenant) else {
            return;
        };
        ask.tokens = queue.mark_asked();
        ask.rejected = std::mem::take(&mut queue.rejected);
        let pending =
            PendingAsk { ask: ask.clone(), server: Arc::clone(&server), sent_at: now, repeated_at: now };
        queue.pending = Some(pending);
        self.pending.insert(ask.sequence, Arc::clone(tenant));
        output.asks.push((Arc::clone(&server), ask));
        self.record_server(tenant, server);
    }

    fn record_server(&mut self, tenant: &Arc<str>, server: Arc<str>) {
        let previous = self.last_servers.insert(Arc::clone(tenant), Arc::clone(&server));
        let Some(previous) = previous.filter(|previous| *previous != server) else {
            return;
        };
        self.server_changes += 1;
        log_event_limited!(Info, "quota server changed", tenant = tenant, from = previous, to = server);
    }
}

impl PendingAsk {
    /// Returns the ask with its server if it has to be repeated.
    fn due_repetition(&mut self, now: BootTime) -> Option<(Arc<str>, wire::TokenAsk)> {
        if now < self.repeated_at + REPEAT_AFTER {
            return None;
        }
        self.repeated_at = now;
        Some((Arc::clone(&self.server), self.ask.clone()))
    }
}

/// Returns the first server of a ranking that is not known to be unresponsive, or the first one if all are.
///
/// If all servers are unresponsive, the node that borrows the share of this one is asked, since it holds parts.
fn usable_server<'a>(
    servers: &'a [Arc<str>],
    share_borrower: Option<&'a Arc<str>>,
    skipped: &IndexMap<Arc<str>, Skip>,
) -> Option<&'a Arc<str>> {
    let usable = servers.iter().chain(share_borrower).find(|server| !skipped.contains_key(*server));
    usable.or_else(|| servers.first())
}

impl TenantQueue {
    /// Returns the rejection of a new request while this ingress rejects requests by itself.
    fn reject_locally(&mut self, now: BootTime) -> Option<Result<(), QuotaRejection>> {
        self.local_rejection(now)?;
        let rejection = self.rejection.as_mut()?;
        self.rejected = self.rejected.saturating_add(1);
        Some(Err(rejection.next(now)))
    }

    /// Returns the period during which this ingress rejects requests by itself, if it has not ended.
    fn local_rejection(&self, now: BootTime) -> Option<&LocalRejection> {
        self.rejection.as_ref().filter(|rejection| now < rejection.until)
    }

    /// Decides the requests of the pending ask.
    fn apply_answer(
        &mut self,
        tenant: &Arc<str>,
        answer: wire::TokenAnswer,
        now: BootTime,
        output: &mut ClientOutput,
    ) {
        for _ in 0..answer.granted {
            let Some(waiter) = self.waiting.pop_front_if(|waiter| waiter.is_asked) else {
                return;
            };
            let tenant = Arc::clone(tenant);
            output.resolutions.push(Resolution { waiter: waiter.id, tenant, result: Ok(()) });
        }
        let retry_after = Duration::from_millis(answer.retry_after_ms.into());
        if answer.warming {
            self.next_ask_at = now + retry_after.clamp(MIN_WARMING_PAUSE, MAX_LOCAL_REJECTION);
            return;
        }
        self.reject_asked(tenant, retry_after, Duration::from_micros(answer.interval_us.into()), now, output);
    }

    /// Rejects the requests that the pending ask got no token for, and later ones for a while.
    fn reject_asked(
        &mut self,
        tenant: &Arc<str>,
        retry_after: Duration,
        interval: Duration,
        now: BootTime,
        output: &mut ClientOutput,
    ) {
        if !self.waiting.front().is_some_and(|waiter| waiter.is_asked) {
            return;
        }
        let until = now + retry_after.min(MAX_LOCAL_REJECTION);
        let mut rejection = LocalRejection { until, next_token_at: now + retry_after, interval };
        for waiter in self.waiting.drain(..) {
            if !waiter.is_asked {
                self.rejected = self.rejected.saturating_add(1);
            }
            let tenant = Arc::clone(tenant);
            let result = Err(rejection.next(now));
            output.resolutions.push(Resolution { waiter: waiter.id, tenant, result });
        }
        self.rejection = Some(rejection);
    }

    /// Decides all waiting requests by the local share.
    fn decide_locally(
        &mut self,
        tenant: &Arc<str>,
        local: &mut LocalShare,
        now: BootTime,
        output: &mut ClientOutput,
    ) {
        let wanted = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let taken = local.take(tenant, wanted, now);
        let next_token_at = now + taken.retry_after;
        let mut rejection = LocalRejection { until: now, next_token_at, interval: taken.interval };
        for (number, waiter) in (0..wanted).zip(self.waiting.drain(..)) {
            let result = if number < taken.granted { Ok(()) } else { Err(rejection.next(now)) };
            output.resolutions.push(Resolution { waiter: waiter.id, tenant: Arc::clone(tenant), result });
        }
    }

    /// Admits the waiting requests of a tenant whose limit was removed.
    fn admit_all(&mut self, tenant: &Arc<str>, output: &mut ClientOutput) {
        for waiter in self.waiting.drain(..) {
            let tenant = Arc::clone(tenant);
            output.resolutions.push(Resolution { waiter: waiter.id, tenant, result: Ok(()) });
        }
    }

    /// Marks the requests for which the next ask wants tokens, and returns their number.
    fn mark_asked(&mut self) -> u32 {
        let mut asked = 0;
        for waiter in self.waiting.iter_mut().take(MAX_TOKENS_PER_ASK) {
            waiter.is_asked = true;
            asked += 1;
        }
        asked
    }

    fn clear_asked(&mut self) {
        for waiter in &mut self.waiting {
            waiter.is_asked = false;
        }
    }

    fn is_idle(&self, now: BootTime) -> bool {
        let rejected_lately =
            self.rejection.is_some_and(|rejection| now < rejection.until + REJECTED_COUNT_RETENTION);
        self.waiting.is_empty() && self.pending.is_none() && !rejected_lately
    }
}

impl LocalRejection {
    /// Returns the rejection of the next request, which gets the next token.
    fn next(&mut self, now: BootTime) -> QuotaRejection {
        let rejection = self.peek(now);
        self.next_token_at += self.interval;
        rejection
    }

    /// Returns the rejection of the next request without giving a token to one.
    const fn peek(&self, now: BootTime) -> QuotaRejection {
        let retry_after = self.next_token_at.saturating_sub(now);
        QuotaRejection { kind: QuotaRejectionKind::Exceeded, retry_after }
    }
}

/// Returns whether the server that gave an answer holds parts; otherwise it names no time to the next token.
const fn has_parts(answer: wire::TokenAnswer) -> bool {
    !answer.warming || answer.retry_after_ms > 0
}
