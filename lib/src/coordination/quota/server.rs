//! Quota server: borrows parts from the leading nodes of the zones, and gives out tokens.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use yuccatray_proto::peer_v1 as wire;

use crate::coordination::quota::BootTime;
use crate::coordination::quota::answer_memory::AnswerMemory;
use crate::coordination::quota::answer_memory::AskId;
use crate::coordination::quota::fleet_roles::FleetRoles;
use crate::coordination::quota::sent_requests::SentRequests;
use crate::coordination::quota::served_group::ServedGroup;
use crate::coordination::quota::served_group::Wanted;
use crate::coordination::quota::tenant_limits::Group;
use crate::coordination::quota::tenant_limits::TenantLimit;
use crate::coordination::quota::tenant_limits::TenantLimits;
use crate::coordination::quota::tenant_limits::group_bit;
use crate::coordination::quota::tenant_limits::group_of;
use crate::coordination::quota::tenant_limits::groups_of_set;
use crate::coordination::quota::to_millis;

/// Interval between two requests for parts to the same leading node.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

/// The same while a group has no parts at all.
const URGENT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time without parts from a leading node after which the next node of its zone is asked as well.
const LENDER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time since the last ask for which a node serves a group of which another node is the preferred server.
const SUBSTITUTE_TIME: Duration = Duration::from_secs(3);

/// A node that leads a zone or may take its leading node's place.
#[derive(Clone, Copy, Debug)]
struct Lender {
    next_poll_at: BootTime,
    /// When the node last lent parts, or when it was first asked.
    lent_at: BootTime,
}

/// State of a node as a quota server.
#[derive(Clone, Debug)]
pub struct QuotaServer {
    groups: IndexMap<Group, ServedGroup>,
    /// When a group of which another node is the preferred server was last asked for.
    asked_at: IndexMap<Group, BootTime>,
    lenders: IndexMap<Arc<str>, Lender>,
    sent: SentRequests,
    memory: AnswerMemory,
}

impl QuotaServer {
    /// Creates the state of a process that has just started.
    #[must_use]
    pub fn new(first_sequence: u64) -> Self {
        Self {
            groups: IndexMap::new(),
            asked_at: IndexMap::new(),
            lenders: IndexMap::new(),
            sent: SentRequests::new(first_sequence),
            memory: AnswerMemory::default(),
        }
    }

    /// Applies the limits of a configuration.
    pub fn set_limits(&mut self, limits: &TenantLimits, now: BootTime) {
        for group in self.groups.values_mut() {
            group.set_limits(limits, now);
        }
    }

    /// Returns the leading nodes to ask for parts, with the requests that are due.
    pub fn due_polls(
        &mut self,
        roles: &FleetRoles,
        limits: &TenantLimits,
        now: BootTime,
    ) -> Vec<(Arc<str>, wire::GroupBorrow)> {
        self.sent.expire(now);
        self.select_groups(roles, limits, now);
        if self.groups.is_empty() {
            return Vec::new();
        }
        let groups = self.groups.keys().fold(0, |set, group| set | group_bit(*group));
        let weight = self.groups.values_mut().map(|group| group.demand.tokens(now)).sum::<u32>() + 1;
        let is_urgent = self.groups.values().any(|group| group.parts(now) == 0);
        let interval = if is_urgent { URGENT_POLL_INTERVAL } else { POLL_INTERVAL };
        let due = self.due_lenders(roles, interval, now);
        let request = |lender: Arc<str>| {
            let sequence = self.sent.record(&lender, now);
            (lender, wire::GroupBorrow { sequence, groups, weight })
        };
        due.into_iter().map(request).collect()
    }

    /// Records a loan from the leading node of a zone.
    pub fn record_loan(&mut self, from: &Arc<str>, loan: &wire::GroupLoan, now: BootTime) {
        let Some(asked_at) = self.sent.take(loan.echo, from) else {
            return;
        };
        let duration = Duration::from_millis(loan.duration_ms.into());
        for lent in &loan.loans {
            for group in groups_of_set(lent.groups) {
                if let Some(served) = self.groups.get_mut(&group) {
                    served.add_lease(from, lent.parts, asked_at, duration, now);
                }
            }
        }
        if let Some(lender) = self.lenders.get_mut(from).filter(|_| !loan.loans.is_empty()) {
            lender.lent_at = now;
        }
    }

    /// Answers an ask for tokens; a repeated one gets the same answer.
    pub fn answer(
        &mut self,
        process: u64,
        ask: &wire::TokenAsk,
        limits: &TenantLimits,
        now: BootTime,
    ) -> wire::TokenAnswer {
        let id = AskId { process, sequence: ask.sequence };
        if let Some(answer) = self.memory.get(id) {
            return answer;
        }
        let group = group_of(&ask.tenant);
        if ask.tokens == 0 {
            return self.answer_probe(group, ask.sequence, now);
        }
        self.asked_at.insert(group, now);
        let served = self.groups.entry(group).or_insert_with(|| {
            for lender in self.lenders.values_mut() {
                lender.next_poll_at = now;
            }
            ServedGroup::new(group, limits, now)
        });
        served.demand.count(ask.tokens, now);
        let taken = served.take(&wanted(ask), now);
        let mut answer = wire::TokenAnswer { echo: ask.sequence, ..wire::TokenAnswer::default() };
        answer.warming = served.is_warming(now);
        if let Some(taken) = taken {
            answer.granted = taken.granted;
            // Rounded up, since a caller that comes back too early is rejected again.
            answer.retry_after_ms = to_millis(taken.retry_after).saturating_add(1);
            answer.interval_us = u32::try_from(taken.interval.as_micros()).unwrap_or(u32::MAX);
            self.memory.insert(id, answer, now);
        }
        answer
    }

    /// Answers an ask for no tokens, which does not make this node serve the group.
    ///
    /// A group that each probed node began to serve would be divided among them, which leaves small tenants less than
    /// one token at each.
    fn answer_probe(&self, group: Group, sequence: u64, now: BootTime) -> wire::TokenAnswer {
        let served = self.groups.get(&group).filter(|served| served.parts(now) > 0);
        wire::TokenAnswer {
            echo: sequence,
            warming: served.is_none_or(|served| served.is_warming(now)),
            retry_after_ms: u32::from(served.is_some()),
            ..wire::TokenAnswer::default()
        }
    }

    /// Returns the parts held for each group that is served.
    pub fn held_parts(&self, now: BootTime) -> impl Iterator<Item = (Group, u32)> {
        self.groups.iter().map(move |(group, served)| (*group, served.parts(now)))
    }

    /// Starts serving the groups that are this node's to serve, and stops serving the others.
    fn select_groups(&mut self, roles: &FleetRoles, limits: &TenantLimits, now: BootTime) {
        self.asked_at.retain(|_, asked_at| *asked_at + SUBSTITUTE_TIME > now);
        let asked = self.asked_at.keys().fold(0, |set, group| set | group_bit(*group));
        let wanted = (roles.own_groups() & limits.groups()) | asked;
        self.groups.retain(|group, _| wanted & group_bit(*group) != 0);
        for group in groups_of_set(wanted) {
            self.groups.entry(group).or_insert_with(|| ServedGroup::new(group, limits, now));
        }
    }

    /// Returns the leading nodes to which a request is due.
    ///
    /// The next node of a zone's ranking is asked while those before it lend nothing.
    fn due_lenders(&mut self, roles: &FleetRoles, interval: Duration, now: BootTime) -> Vec<Arc<str>> {
        let is_ranked = |node: &Arc<str>| roles.zone_rankings().iter().any(|ranking| ranking.contains(node));
        self.lenders.retain(|node, _| is_ranked(node));
        let mut due = Vec::new();
        for ranking in roles.zone_rankings() {
            for node in ranking {
                let new_lender = Lender { next_poll_at: now, lent_at: now };
                let lender = self.lenders.entry(Arc::clone(node)).or_insert(new_lender);
                if lender.next_poll_at <= now {
                    lender.next_poll_at = now + interval;
                    due.push(Arc::clone(node));
                }
                if lender.lent_at + LENDER_TIMEOUT > now {
                    break;
                }
            }
        }
        due
    }
}

fn wanted(ask: &wire::TokenAsk) -> Wanted {
    Wanted {
        tenant: Arc::from(ask.tenant.as_str()),
        tokens: ask.tokens,
        rejected: ask.rejected,
        limit: TenantLimit { rate_millis_per_s: ask.rate_millis_per_s, burst: ask.burst },
        revision: ask.revision,
    }
}
