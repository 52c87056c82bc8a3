//! The leading node of a zone: it borrows the shares of the zone's nodes and lends them to the quota servers.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use yuccatray_proto::peer_v1 as wire;

use crate::coordination::quota::BootTime;
use crate::coordination::quota::GROUP_LEASE;
use crate::coordination::quota::SHARE_VALIDITY;
use crate::coordination::quota::fleet_roles::FleetRoles;
use crate::coordination::quota::fleet_roles::MAX_RANKED;
use crate::coordination::quota::promises::Borrower;
use crate::coordination::quota::promises::LeaseBook;
use crate::coordination::quota::promises::LoanBook;
use crate::coordination::quota::roster::ConfirmedRoster;
use crate::coordination::quota::sent_requests::SentRequests;
use crate::coordination::quota::tenant_limits::Group;
use crate::coordination::quota::tenant_limits::group_bit;
use crate::coordination::quota::tenant_limits::groups_of_set;
use crate::coordination::quota::to_millis;

/// Interval between two requests to a node that lends parts.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two requests to a node that lends nothing.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time without requests of a node that ranks before this one, after which this one takes its place.
const LEADER_TIMEOUT: Duration = Duration::from_millis(700);

/// What the leading node knows of one node of its zone.
#[derive(Clone, Debug, Default)]
struct PolledNode {
    next_poll_at: BootTime,
    /// Sequence number to echo to the node with its share.
    to_echo: Option<u64>,
    /// Whether the last request told the node its share.
    share_was_sent: bool,
}

/// Loans of one group of tenants.
#[derive(Clone, Debug, Default)]
struct GroupLoans {
    loans: LoanBook,
    /// Servers that asked for the group, with their weight.
    servers: IndexMap<Borrower, Demand>,
}

#[derive(Clone, Copy, Debug)]
struct Demand {
    weight: u32,
    asked_at: BootTime,
}

/// State of a node as the leading one of its zone.
#[derive(Clone, Debug)]
pub struct ZoneLender {
    leases: LeaseBook,
    sent: SentRequests,
    nodes: IndexMap<Arc<str>, PolledNode>,
    groups: IndexMap<Group, GroupLoans>,
    roster: Option<ConfirmedRoster>,
    /// When a node that ranks before this one last asked it for its share.
    higher_ranked_polled_at: BootTime,
}

impl ZoneLender {
    /// Creates the state of a process that has just started.
    #[must_use]
    pub fn new(first_sequence: u64, now: BootTime) -> Self {
        Self {
            leases: LeaseBook::default(),
            sent: SentRequests::new(first_sequence),
            nodes: IndexMap::new(),
            groups: IndexMap::new(),
            roster: None,
            higher_ranked_polled_at: now,
        }
    }

    /// Replaces the roster by one that was read later.
    pub fn set_roster(&mut self, roster: ConfirmedRoster) {
        self.roster = Some(roster);
    }

    /// Returns the parts that are borrowed at `now`.
    #[must_use]
    pub fn held_parts(&self, now: BootTime) -> u32 {
        self.leases.at(now)
    }

    /// Returns the number of nodes whose share is borrowed.
    #[must_use]
    pub fn lease_count(&self) -> usize {
        self.leases.lender_count()
    }

    /// Records a request for this node's share by a node that ranks before it.
    pub const fn record_higher_ranked_poll(&mut self, now: BootTime) {
        self.higher_ranked_polled_at = now;
    }

    /// Returns whether this node acts as the leading node of its zone.
    #[must_use]
    pub fn is_acting(&self, own_rank: Option<usize>, now: BootTime) -> bool {
        // No server borrows from nodes of a later rank, so a share that they borrowed would be idle.
        let rank = own_rank.filter(|rank| *rank < MAX_RANKED);
        let Some(rank) = rank.and_then(|rank| u32::try_from(rank).ok()) else {
            return false;
        };
        now >= self.higher_ranked_polled_at + LEADER_TIMEOUT * rank
    }

    /// Returns the nodes to ask for their share, with the requests that are due.
    ///
    /// `excluded` is not asked: this node itself while it hears no other one, which leaves it its share to spend.
    pub fn due_polls(
        &mut self,
        roles: &FleetRoles,
        excluded: Option<&Arc<str>>,
        now: BootTime,
    ) -> Vec<(Arc<str>, wire::ShareBorrow)> {
        self.sent.expire(now);
        self.leases.expire(now);
        if !self.is_acting(roles.own_rank(), now) {
            return Vec::new();
        }
        self.nodes.retain(|node, _| roles.zone_nodes().contains(node));
        let due = roles
            .zone_nodes()
            .iter()
            .filter(|node| excluded != Some(*node))
            .filter(|node| self.nodes.get(*node).is_none_or(|polled| polled.next_poll_at <= now));
        let due: Vec<Arc<str>> = due.map(Arc::clone).collect();
        due.into_iter().map(|node| (Arc::clone(&node), self.poll(&node, now))).collect()
    }

    /// Records a loan of a node's share.
    pub fn record_loan(&mut self, from: &Arc<str>, loan: wire::ShareLoan, now: BootTime) {
        let Some(asked_at) = self.sent.take(loan.echo, from) else {
            return;
        };
        self.leases.add(from, loan.parts, asked_at, Duration::from_millis(loan.duration_ms.into()));
        let Some(node) = self.nodes.get_mut(from) else {
            return;
        };
        node.to_echo = Some(loan.sequence);
        let send_share_at_once = !loan.confirmed && !node.share_was_sent && self.roster.is_some();
        if send_share_at_once {
            node.next_poll_at = now;
        } else if loan.parts == 0 && loan.confirmed {
            node.next_poll_at = now + IDLE_POLL_INTERVAL;
        }
    }

    /// Lends the parts of the zone for a set of groups to a quota server.
    pub fn lend_groups(
        &mut self,
        borrower: &Borrower,
        request: wire::GroupBorrow,
        now: BootTime,
    ) -> wire::GroupLoan {
        let held = self.leases.covering(LoanBook::end_of_loan(now, GROUP_LEASE));
        let demand = Demand { weight: request.weight.max(1), asked_at: now };
        let mut loans: Vec<wire::GroupParts> = Vec::new();
        for group in groups_of_set(request.groups) {
            let parts = self.groups.entry(group).or_default().lend(borrower, demand, held, now);
            add_group(&mut loans, group, parts);
        }
        wire::GroupLoan { echo: request.sequence, duration_ms: to_millis(GROUP_LEASE), loans }
    }

    /// Returns the share of a node, if a recent roster is known.
    #[must_use]
    pub fn statement(&self, node: &str, echo: u64, now: BootTime) -> Option<wire::ShareStatement> {
        let roster = self.roster.as_ref()?;
        let age = now.saturating_sub(roster.read_at);
        if age >= SHARE_VALIDITY {
            return None;
        }
        // Rounded up, since an age that is too low would prolong the use of the share.
        let read_age_ms = to_millis(age) + 1;
        Some(wire::ShareStatement { echo, parts: roster.roster.share_of(node), read_age_ms })
    }

    fn poll(&mut self, node: &Arc<str>, now: BootTime) -> wire::ShareBorrow {
        let to_echo = self.nodes.get(node).and_then(|polled| polled.to_echo);
        // The age of the read is as of now, so an echo that waited here would make the read look older.
        let share = to_echo.and_then(|echo| self.statement(node, echo, now));
        let sequence = self.sent.record(node, now);
        let polled = self.nodes.entry(Arc::clone(node)).or_default();
        polled.next_poll_at = now + POLL_INTERVAL;
        polled.to_echo = None;
        polled.share_was_sent = share.is_some();
        wire::ShareBorrow { sequence, share }
    }
}

impl GroupLoans {
    /// Lends a server its part of what is held, by the weights of the servers that ask for the group.
    fn lend(&mut self, borrower: &Borrower, demand: Demand, held: u32, now: BootTime) -> u32 {
        self.servers.insert(borrower.clone(), demand);
        self.servers.retain(|_, demand| demand.asked_at + GROUP_LEASE > now);
        let all_weights: u64 = self.servers.values().map(|demand| u64::from(demand.weight)).sum();
        let due = u64::from(held) * u64::from(demand.weight) / all_weights.max(1);
        let available = held.saturating_sub(self.loans.owed_to_others(borrower, now));
        let parts = available.min(u32::try_from(due).unwrap_or(u32::MAX));
        self.loans.lend(borrower, parts, now, GROUP_LEASE);
        parts
    }
}

/// Adds a group to the loan with the same number of parts.
fn add_group(loans: &mut Vec<wire::GroupParts>, group: Group, parts: u32) {
    if parts == 0 {
        return;
    }
    let bit = group_bit(group);
    match loans.iter_mut().find(|loan| loan.parts == parts) {
        Some(loan) => loan.groups |= bit,
        None => loans.push(wire::GroupParts { groups: bit, parts }),
    }
}
