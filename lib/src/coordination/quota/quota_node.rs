//! Quotas at one node: its share, its roles as leading node and quota server, and the requests of its ingress.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use yuccatray_proto::peer_v1 as wire;
use yuccatray_proto::peer_v1::quota_message::Body;

use crate::coordination::quota::ALL_PARTS;
use crate::coordination::quota::BootTime;
use crate::coordination::quota::SHARE_LEASE;
use crate::coordination::quota::allowance::QuotaAllowance;
use crate::coordination::quota::client::ClientContext;
use crate::coordination::quota::client::ClientOutput;
use crate::coordination::quota::client::QuotaClient;
use crate::coordination::quota::client::QuotaOutlook;
use crate::coordination::quota::client::Resolution;
use crate::coordination::quota::client::WaiterId;
use crate::coordination::quota::fleet_roles::FleetRoles;
use crate::coordination::quota::local_share::LocalShare;
use crate::coordination::quota::promises::Borrower;
use crate::coordination::quota::roster::ConfirmedRoster;
use crate::coordination::quota::server::QuotaServer;
use crate::coordination::quota::share_holder::ShareHolder;
use crate::coordination::quota::tenant_limits::Group;
use crate::coordination::quota::tenant_limits::TenantLimits;
use crate::coordination::quota::zone_lender::ZoneLender;

/// Time between two ticks while no request waits.
const IDLE_TICK: Duration = Duration::from_millis(50);

/// Time between two ticks while requests wait.
const WAITING_TICK: Duration = Duration::from_millis(10);

/// Action that the node has to take.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaAction {
    /// Send a message to another node.
    Send {
        /// Address of the recipient.
        to: SocketAddr,
        /// Name of the recipient.
        target: Arc<str>,
        /// Message to send.
        message: Box<wire::QuotaMessage>,
    },
    /// Let a waiting request go on, or reject it.
    Resolve(Resolution),
}

/// What an operator sees of the quotas at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaStatus {
    /// Own share in parts per million, if it may be spent.
    pub share_parts: u32,
    /// Parts of the own share that are lent.
    pub lent_parts: u32,
    /// Parts borrowed from the nodes of the zone as its leading node.
    pub zone_parts: u32,
    /// Number of nodes from which the leading node borrows.
    pub zone_leases: usize,
    /// Groups that this node serves.
    pub served_groups: usize,
    /// Smallest number of parts held for a group that this node serves.
    pub served_parts: u32,
    /// Parts of the own share that this node may spend by itself.
    pub local_parts: u32,
    /// Tokens given out of these parts so far.
    pub local_tokens: u64,
    /// How often a tenant's requests went to another server than before.
    pub server_changes: u64,
}

/// Message to a node of the fleet, which may be this node itself.
struct Outgoing {
    target: Arc<str>,
    /// Address that the request came from, if the message responds to one.
    ///
    /// The membership may still regard the sender as dead after a cut has healed.
    reply_to: Option<SocketAddr>,
    body: Body,
}

impl Outgoing {
    const fn request(target: Arc<str>, body: Body) -> Self {
        Self { target, reply_to: None, body }
    }
}

/// State of the quotas at one node.
#[derive(Clone, Debug)]
pub struct QuotaNode {
    name: Arc<str>,
    process: u64,
    roles: FleetRoles,
    limits: TenantLimits,
    holder: ShareHolder,
    lender: ZoneLender,
    server: QuotaServer,
    client: QuotaClient,
    local: LocalShare,
    /// When a message of another node last arrived.
    heard_at: BootTime,
}

impl QuotaNode {
    /// Creates the state of a process that has just started; `process` is a random number.
    #[must_use]
    pub fn new(name: Arc<str>, process: u64, now: BootTime) -> Self {
        Self {
            process,
            roles: FleetRoles::default(),
            limits: TenantLimits::default(),
            holder: ShareHolder::new(process, now),
            lender: ZoneLender::new(process, now),
            server: QuotaServer::new(process),
            client: QuotaClient::new(process),
            local: LocalShare::new(Arc::clone(&name), now),
            heard_at: now,
            name,
        }
    }

    /// Replaces what the node knows of the fleet.
    pub fn set_roles(&mut self, roles: FleetRoles) {
        self.local.learn_nodes(roles.all_nodes());
        self.roles = roles;
    }

    /// Sets what the deployment allows beyond the limits of tenants.
    pub const fn set_allowance(&mut self, allowance: Option<QuotaAllowance>) {
        self.local.set_allowance(allowance);
    }

    /// Returns what the node knows of the fleet.
    #[must_use]
    pub const fn roles(&self) -> &FleetRoles {
        &self.roles
    }

    /// Applies the limits of a configuration; those of an earlier one are ignored.
    pub fn set_limits(&mut self, limits: TenantLimits, now: BootTime) {
        if limits.revision < self.limits.revision {
            return;
        }
        self.local.advance(self.holder.unlent_parts(now), &self.limits, now);
        self.limits = limits;
        self.local.limits_changed();
        self.server.set_limits(&self.limits, now);
    }

    /// Returns the limits in force.
    #[must_use]
    pub const fn limits(&self) -> &TenantLimits {
        &self.limits
    }

    /// Replaces the roster by one that was read later.
    pub fn set_roster(&mut self, roster: ConfirmedRoster) {
        self.lender.set_roster(roster);
    }

    /// Returns whether this node acts as the leading node of its zone.
    #[must_use]
    pub fn is_acting_leader(&self, now: BootTime) -> bool {
        self.lender.is_acting(self.roles.own_rank(), now)
    }

    /// Returns whether shares are known to be in use, here or at another node.
    #[must_use]
    pub fn knows_shares(&self, now: BootTime) -> bool {
        self.holder.is_told(now) || self.lender.held_parts(now) > 0
    }

    /// Asks for a token for a request of a tenant; the decision is among these or later actions.
    pub fn admit(
        &mut self,
        waiter: WaiterId,
        tenant: &Arc<str>,
        give_up_at: BootTime,
        now: BootTime,
    ) -> Vec<QuotaAction> {
        if !self.limits.limits.contains_key(tenant) {
            let tenant = Arc::clone(tenant);
            return vec![QuotaAction::Resolve(Resolution { waiter, tenant, result: Ok(()) })];
        }
        self.advance_local(now);
        let (client, mut context) = self.client_and_context(now);
        let output = client.admit(waiter, tenant, give_up_at, &mut context, now);
        self.deliver(output, VecDeque::new(), now)
    }

    /// Returns what is known of a tenant's quota; it changes nothing and asks no server.
    #[must_use]
    pub fn outlook(&self, tenant: &Arc<str>, now: BootTime) -> QuotaOutlook {
        self.client.outlook(tenant, &self.roles, self.holder.borrower(now), now)
    }

    /// Removes a request that no longer waits.
    pub fn cancel(&mut self, tenant: &str, waiter: WaiterId) {
        self.client.cancel(tenant, waiter);
    }

    /// Performs the periodic work that is due.
    pub fn tick(&mut self, now: BootTime) -> Vec<QuotaAction> {
        if self.limits.limits.is_empty() && !self.client.has_waiting() {
            return Vec::new();
        }
        let mut outgoing = VecDeque::new();
        let query = self.holder.due_query(self.roles.other_zone_leaders(), now);
        outgoing.extend(query.map(|(node, query)| Outgoing::request(node, Body::ShareQuery(query))));
        let excluded = self.is_isolated(now).then_some(&self.name);
        let polls = self.lender.due_polls(&self.roles, excluded, now);
        outgoing
            .extend(polls.into_iter().map(|(node, poll)| Outgoing::request(node, Body::ShareBorrow(poll))));
        let polls = self.server.due_polls(&self.roles, &self.limits, now);
        outgoing
            .extend(polls.into_iter().map(|(node, poll)| Outgoing::request(node, Body::GroupBorrow(poll))));
        self.advance_local(now);
        let (client, mut context) = self.client_and_context(now);
        let output = client.tick(&mut context, now);
        self.deliver(output, outgoing, now)
    }

    /// Returns the time from one tick to the next.
    #[must_use]
    pub fn tick_interval(&self) -> Duration {
        if self.client.has_waiting() { WAITING_TICK } else { IDLE_TICK }
    }

    /// Processes a message from another node at `addr`; `now` has to be read after the message arrived.
    pub fn receive(
        &mut self,
        from: &Arc<str>,
        addr: SocketAddr,
        message: &wire::QuotaMessage,
        now: BootTime,
    ) -> Vec<QuotaAction> {
        let Some(body) = &message.body else {
            return Vec::new();
        };
        if self.is_isolated(now) {
            self.client.clear_skipped();
        }
        self.heard_at = now;
        let mut outgoing = VecDeque::new();
        let output = self.handle(from, message.process, body, now, &mut outgoing);
        for response in &mut outgoing {
            response.reply_to = (response.target == *from).then_some(addr);
        }
        self.deliver(output, outgoing, now)
    }

    /// Returns what an operator sees.
    #[must_use]
    pub fn status(&self, now: BootTime) -> QuotaStatus {
        QuotaStatus {
            share_parts: self.holder.usable_parts(now),
            lent_parts: self.holder.lent_parts(now),
            zone_parts: self.lender.held_parts(now),
            zone_leases: self.lender.lease_count(),
            served_groups: self.server.held_parts(now).count(),
            served_parts: self.server.held_parts(now).map(|(_, parts)| parts).min().unwrap_or(0),
            local_parts: self.holder.unlent_parts(now),
            local_tokens: self.local.granted(),
            server_changes: self.client.server_changes(),
        }
    }

    /// Returns the parts that this node may spend as a quota server, for each group that it serves.
    pub fn spendable_parts(&self, now: BootTime) -> impl Iterator<Item = (Group, u32)> {
        self.server.held_parts(now)
    }

    fn handle(
        &mut self,
        from: &Arc<str>,
        process: u64,
        body: &Body,
        now: BootTime,
        outgoing: &mut VecDeque<Outgoing>,
    ) -> ClientOutput {
        self.advance_local(now);
        let borrower = || Borrower { node: Arc::clone(from), process };
        let response = match body {
            Body::ShareBorrow(request) => Some(Body::ShareLoan(self.lend_share(&borrower(), *request, now))),
            Body::ShareLoan(loan) => {
                self.lender.record_loan(from, *loan, now);
                None
            }
            Body::GroupBorrow(request) => {
                Some(Body::GroupLoan(self.lender.lend_groups(&borrower(), *request, now)))
            }
            Body::GroupLoan(loan) => {
                self.server.record_loan(from, loan, now);
                None
            }
            Body::TokenAsk(ask) => {
                Some(Body::TokenAnswer(self.server.answer(process, ask, &self.limits, now)))
            }
            Body::ShareQuery(query) => {
                self.lender.statement(from, query.sequence, now).map(Body::ShareStatement)
            }
            Body::ShareStatement(statement) => {
                self.holder.confirm(from, *statement);
                None
            }
            Body::TokenAnswer(answer) => {
                let (client, mut context) = self.client_and_context(now);
                return client.receive(from, *answer, &mut context, now);
            }
        };
        outgoing.extend(response.map(|response| Outgoing::request(Arc::clone(from), response)));
        ClientOutput::default()
    }

    fn lend_share(
        &mut self,
        borrower: &Borrower,
        request: wire::ShareBorrow,
        now: BootTime,
    ) -> wire::ShareLoan {
        let ranking = self.roles.own_zone_ranking();
        let rank = ranking.iter().position(|node| *node == borrower.node);
        let is_superior = rank.is_some_and(|rank| self.roles.own_rank().is_some_and(|own| rank < own));
        let is_leader = rank == Some(0);
        if is_superior {
            self.lender.record_higher_ranked_poll(now);
        }
        if let Some(share) = request.share {
            self.holder.confirm(&borrower.node, share);
        }
        let loan = self.holder.lend(borrower, is_leader, request.sequence, now);
        self.advance_local(now);
        loan
    }

    /// Refills the local buckets up to `now` and applies what this node may spend by itself from then on.
    fn advance_local(&mut self, now: BootTime) {
        self.local.advance(self.holder.unlent_parts(now), &self.limits, now);
    }

    /// Returns whether this node knows others but has heard none of them for a lease time.
    fn is_isolated(&self, now: BootTime) -> bool {
        self.local.knows_others() && self.heard_at + SHARE_LEASE <= now
    }

    fn client_and_context(&mut self, now: BootTime) -> (&mut QuotaClient, ClientContext<'_>) {
        let context = ClientContext {
            roles: &self.roles,
            limits: &self.limits,
            local: &mut self.local,
            own_name: &self.name,
            share_borrower: self.holder.borrower(now),
        };
        (&mut self.client, context)
    }

    /// Turns output into actions; messages to this node itself are processed at once.
    fn deliver(
        &mut self,
        output: ClientOutput,
        mut outgoing: VecDeque<Outgoing>,
        now: BootTime,
    ) -> Vec<QuotaAction> {
        let mut actions = Vec::new();
        take_output(output, &mut outgoing, &mut actions);
        while let Some(Outgoing { target, reply_to, body }) = outgoing.pop_front() {
            if target == self.name {
                let own_name = Arc::clone(&self.name);
                let output = self.handle(&own_name, self.process, &body, now, &mut outgoing);
                take_output(output, &mut outgoing, &mut actions);
            } else if let Some(to) = reply_to.or_else(|| self.roles.addr(&target)) {
                let message = Box::new(wire::QuotaMessage { process: self.process, body: Some(body) });
                actions.push(QuotaAction::Send { to, target, message });
            }
        }
        actions
    }
}

/// Returns a number of parts as a fraction of all.
#[must_use]
pub fn fraction_of_all(parts: u32) -> f64 {
    f64::from(parts) / f64::from(ALL_PARTS)
}

fn take_output(output: ClientOutput, outgoing: &mut VecDeque<Outgoing>, actions: &mut Vec<QuotaAction>) {
    let asks = output.asks.into_iter();
    outgoing.extend(asks.map(|(server, ask)| Outgoing::request(server, Body::TokenAsk(ask))));
    actions.extend(output.resolutions.into_iter().map(QuotaAction::Resolve));
}
