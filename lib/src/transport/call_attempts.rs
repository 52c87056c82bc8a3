//! The attempts of one call: which gate next, whether again, what to learn from it.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use http_body_util::Either;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::coordination::routing::Candidate;
use crate::coordination::routing::FULL_RAMP_PERMILLE;
use crate::coordination::routing::RoutingLimits;
use crate::coordination::routing::RoutingPolicy;
use crate::coordination::service_budgets::ServiceBudgets;
use crate::log_event_limited;
use crate::protocol::answer::ErrorAnswer;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::error_kind::Execution;
use crate::protocol::headers;
use crate::protocol::published::PublishedConfig;
use crate::protocol::trace::Step;
use crate::state::directory::DirectoryEntry;
use crate::state::metrics::Metrics;
use crate::transport::call_body::CallBody;
use crate::transport::call_body::GuardedBody;
use crate::transport::call_resolution::PeerCall;
use crate::transport::call_resolution::outcome_of_all;
use crate::transport::call_resolution::through_peer;
use crate::transport::ingress::AnswerBody;
use crate::transport::ingress::Ingress;
use crate::transport::ingress::Result;
use crate::transport::ingress::no_upstream;
use crate::transport::ingress::queued_time;
use crate::transport::ingress::unproved;
use crate::transport::ingress_call::Call;
use crate::transport::ingress_guard::InFlight;
use crate::transport::ingress_guard::IngressGuard;
use crate::transport::outgoing_call::Leg;
use crate::transport::outgoing_call::Outgoing;

/// Gates that may move one call on before the next one has to keep it.
const MAX_SPILLS: usize = 2;

/// Gates that may refuse or fail one call before it is given up.
const MAX_GATES: usize = 4;
/// Price of crossing to another zone, in thousandths of the worth of an answer in time, by rank.
///
/// The bytes cost the same whatever a call is worth, and the urgent are worth most.
const CROSSING_PERMILLE: [u64; 3] = [200, 350, 500];

/// An answer on its way to the caller.
pub type Answered = Response<GuardedBody<AnswerBody, IngressGuard>>;

/// Gates that one call has been to.
#[derive(Debug, Default)]
pub(super) struct Visited {
    /// Those whose upstream may have seen an attempt that failed.
    pub(super) failed: Vec<Arc<str>>,
    /// Those that refused an attempt by themselves.
    refused: Vec<Arc<str>>,
    /// Those that moved the call on.
    moved_on: Vec<Arc<str>>,
}

impl Visited {
    fn contains(&self, name: &Arc<str>) -> bool {
        self.is_settled(name) || self.moved_on.contains(name)
    }

    /// Whether the gate need not be asked again.
    fn is_settled(&self, name: &Arc<str>) -> bool {
        self.failed.contains(name) || self.refused.contains(name)
    }

    const fn settled(&self) -> usize {
        self.failed.len() + self.refused.len()
    }
}

/// One attempt as planned.
#[derive(Debug)]
pub(super) struct Plan {
    pub(super) entry: DirectoryEntry,
    pub(super) leg: Leg,
}

/// What a call wants of the upstream that is chosen for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wanted<'a> {
    pub(super) service: &'a str,
    pub(super) priority: u8,
    /// Time left until its answer is worth less.
    pub(super) objective: Duration,
    /// Time that such calls usually take; nothing when it is not known.
    pub(super) usual: Duration,
}

impl Wanted<'_> {
    fn limits(self, config: &PublishedConfig) -> RoutingLimits {
        let rank = usize::from(self.priority).min(CROSSING_PERMILLE.len() - 1);
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        RoutingLimits {
            max_ejected_percent: config.upstream_rule.max_ejected_percent,
            objective_us: micros(self.objective),
            usual_us: micros(self.usual),
            crossing_permille: CROSSING_PERMILLE[rank],
        }
    }
}

/// What the attempts of one call share.
#[derive(Clone, Copy, Debug)]
pub(super) struct Race<'a> {
    pub(super) call: &'a Call,
    pub(super) config: &'a PublishedConfig,
    pub(super) budgets: &'a ServiceBudgets,
    pub(super) visited: &'a Visited,
    /// Upstreams that the call has reached before.
    pub(super) reached: u32,
}

impl<P> Ingress<P>
where
    P: RoutingPolicy + Send + Sync + 'static,
{
    /// Makes attempts until one is answered or none may follow.
    pub(super) async fn attempts(
        &self,
        call: &mut Call,
        config: &PublishedConfig,
        outgoing: &mut Outgoing,
    ) -> Result<Answered> {
        let budgets = self.budgets(&call.head.service);
        if !call.head.repeated {
            let retry = &config.service.retry;
            budgets.retry.earn(retry.budget_percent, retry.max_saved);
        }
        let mut visited = Visited::default();
        let mut sent = 0;
        let mut last = None;
        let mut may_have_run = false;
        while let Some(plan) = self.plan(call, config, &budgets, &visited, outgoing.can_repeat()) {
            let Some(request) = outgoing.next_request(call, plan.leg) else {
                break;
            };
            call.sent_to(&plan.entry.member.id.name);
            let race = Race { call, config, budgets: &budgets, visited: &visited, reached: sent };
            let answer = match self.race(race, &plan, request, outgoing).await {
                Ok(response) if response.status().is_server_error() => {
                    sent += 1;
                    if sent + call.copies() >= call.max_attempts || !may_run_again(call, outgoing, &budgets) {
                        return Ok(response);
                    }
                    ErrorAnswer::new(ErrorKind::UpstreamFailed, "the upstream failed the call")
                }
                Ok(response) => return Ok(response),
                Err(answer) => {
                    sent += u32::from(reached_upstream(answer.kind));
                    outcome_of_all(outgoing.explain(answer), may_have_run)
                }
            };
            may_have_run |= answer.execution == Execution::OutcomeUnknown;
            let name = Arc::clone(&plan.entry.member.id.name);
            if plan.leg.patience.is_some() && answer.kind == ErrorKind::Overloaded {
                Metrics::count(&self.parts.metrics.spills, answer.kind.name());
                visited.moved_on.push(name);
                continue;
            }
            let settled =
                if reached_upstream(answer.kind) { &mut visited.failed } else { &mut visited.refused };
            settled.push(name);
            let tried_enough = sent + call.copies() >= call.max_attempts || visited.settled() >= MAX_GATES;
            let again = answer.kind == ErrorKind::UpstreamFailed || may_retry(call, &answer, &budgets);
            if tried_enough || !again {
                return Err(answer);
            }
            Metrics::count(&self.parts.metrics.retries, answer.kind.name());
            log_event_limited!(
                Info,
                "call tried again elsewhere",
                call = &call.id,
                service = &call.head.service,
                failed_at = &plan.entry.member.id,
                error = answer.kind,
                execution = answer.execution.name(),
                reached_upstreams = sent,
            );
            call.tally.retried(Instant::now());
            last = Some(answer);
        }
        Err(last.unwrap_or_else(no_upstream))
    }

    /// The next gate; when every one moved the call on, the best of them has to keep it.
    fn plan(
        &self,
        call: &mut Call,
        config: &PublishedConfig,
        budgets: &ServiceBudgets,
        visited: &Visited,
        can_repeat: bool,
    ) -> Option<Plan> {
        let repeated = visited.settled() > 0;
        let may_move_on = can_repeat && visited.moved_on.len() < MAX_SPILLS;
        if may_move_on && budgets.spill(call.head.priority).is_open() {
            let planned = self.choose(call.wanted(), config, repeated, |name| visited.contains(name));
            if planned.is_some() {
                return planned;
            }
        }
        let plan = self.choose(call.wanted(), config, repeated, |name| visited.is_settled(name))?;
        if visited.moved_on.contains(&plan.entry.member.id.name) {
            // The gate has refused this identity for good, and the call never ran.
            call.rename(self.parts.ids.next());
        }
        Some(Plan { leg: Leg { patience: None, ..plan.leg }, ..plan })
    }

    pub(super) fn choose<F>(
        &self,
        wanted: Wanted<'_>,
        config: &PublishedConfig,
        repeated: bool,
        skip: F,
    ) -> Option<Plan>
    where
        F: Fn(&Arc<str>) -> bool,
    {
        let now = Instant::now();
        let snapshot = self.parts.directory.snapshot();
        let keys = snapshot.upstreams_of(wanted.service);
        let ramp = Duration::from_millis(config.upstream_rule.ramp_ms);
        let all: Vec<Candidate> =
            keys.iter().map(|key| self.candidate(snapshot.entry(*key), ramp, now)).collect();
        let mut entries = Vec::with_capacity(keys.len());
        let mut candidates = Vec::with_capacity(keys.len());
        for (key, candidate) in keys.iter().zip(&all) {
            let entry = snapshot.entry(*key);
            if !skip(&entry.member.id.name) {
                candidates.push(*candidate);
                entries.push(entry);
            }
        }
        let limits = wanted.limits(config);
        let index = self.parts.policy.choose(&candidates, limits, &mut rand::rng())?;
        let entry = DirectoryEntry::clone(entries.get(index)?);
        let patience = self.parts.policy.patience(&all, candidates.get(index)?, limits);
        Some(Plan { entry, leg: Leg { patience, repeated } })
    }

    fn candidate(&self, entry: &DirectoryEntry, ramp: Duration, now: Instant) -> Candidate {
        Candidate {
            peer_addr: entry.member.peer_addr,
            load: entry.stats.load(now),
            slots: entry.member.upstream.as_ref().map_or(1, |upstream| upstream.slots),
            same_zone: entry.member.zone == self.parts.me.zone,
            ramp_permille: ramp_permille(now - entry.stats.first_seen(), ramp),
        }
    }

    pub(super) async fn attempt(
        &self,
        race: Race<'_>,
        plan: &Plan,
        request: Request<CallBody>,
    ) -> Result<Answered> {
        let (call, entry) = (race.call, &plan.entry);
        let spill = race.budgets.spill(call.head.priority);
        let in_flight = InFlight::new(&entry.stats);
        let sent_at = Instant::now();
        self.trace(call, Step::Sent { to: Arc::clone(&entry.member.id.name) });
        // The name alone: after a long pause the node lives on under a later incarnation.
        let local = entry.member.id.name == self.parts.me.id.name;
        let result = if local {
            self.through_own_gate(call, plan.leg, request).await
        } else {
            let peer = PeerCall {
                id: &call.id,
                gate: &entry.member.id,
                addr: entry.member.peer_addr,
                deadline: call.deadline,
                idempotent: call.head.idempotent,
                outlives_caller: call.ticket.is_some(),
            };
            let response = through_peer(&self.parts.channels, peer, request).await;
            response.map(|response| response.map(Either::Left))
        };
        match result {
            Ok(response) => {
                if plan.leg.patience.is_some() {
                    spill.taken();
                }
                if response.status().is_server_error() {
                    entry.stats.fail();
                } else {
                    let took = sent_at.elapsed();
                    entry.stats.observe(took);
                    let queued = queued_time(response.headers().get(headers::QUEUED_US));
                    call.note_service_time(took.saturating_sub(queued));
                }
                Ok(self.answered(call, response, in_flight))
            }
            Err(answer) => {
                self.trace(call, Step::AttemptFailed { kind: answer.kind });
                if plan.leg.patience.is_some() && answer.kind == ErrorKind::Overloaded {
                    spill.moved_on();
                }
                if let Some(load) = answer.load {
                    entry.stats.report(load, Instant::now());
                }
                if speaks_against_upstream(answer.kind) {
                    entry.stats.fail();
                }
                Err(answer)
            }
        }
    }

    /// The one attempt of a call that only one gate may run.
    pub(super) async fn only_attempt(
        &self,
        call: &Call,
        config: &PublishedConfig,
        entry: DirectoryEntry,
        outgoing: &mut Outgoing,
    ) -> Result<Answered> {
        let plan = Plan { entry, leg: Leg { patience: None, repeated: false } };
        let request = outgoing.next_request(call, plan.leg).ok_or_else(|| unproved(no_upstream(), true))?;
        let budgets = self.budgets(&call.head.service);
        let visited = Visited::default();
        let race = Race { call, config, budgets: &budgets, visited: &visited, reached: 0 };
        self.attempt(race, &plan, request).await
    }

    fn budgets(&self, service: &Arc<str>) -> Arc<ServiceBudgets> {
        if let Some(budgets) = self.budgets.load().get(service) {
            return Arc::clone(budgets);
        }
        let fresh = Arc::new(ServiceBudgets::default());
        self.budgets.rcu(|budgets| {
            let mut next = IndexMap::clone(budgets);
            next.entry(Arc::clone(service)).or_insert_with(|| Arc::clone(&fresh));
            next
        });
        self.budgets.load().get(service).map_or(fresh, Arc::clone)
    }
}

fn may_retry(call: &Call, answer: &ErrorAnswer, budgets: &ServiceBudgets) -> bool {
    let worth_it = !is_full(answer.kind) || budgets.spill(call.head.priority).has_credit();
    call.may_retry(answer) && worth_it && (!reached_upstream(answer.kind) || budgets.retry.spend())
}

/// Whether a call that an upstream failed may run again elsewhere.
fn may_run_again(call: &Call, outgoing: &Outgoing, budgets: &ServiceBudgets) -> bool {
    call.follows_route() && call.head.idempotent && outgoing.can_repeat() && budgets.retry.spend()
}

/// Whether an upstream saw the call, so that another attempt is work on top of it.
///
/// What a gate refused by itself went no further, and adds no load elsewhere.
pub(super) const fn reached_upstream(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::UpstreamRefused
            | ErrorKind::UpstreamFailed
            | ErrorKind::OutcomeUnknown
            | ErrorKind::DeadlineWhileRunning
            | ErrorKind::DuplicateCall
            | ErrorKind::Internal
    )
}

/// Whether the gate was full, so that another one helps only while most are not.
const fn is_full(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::Overloaded | ErrorKind::ObjectiveMissed)
}

/// Refusals by rule are no fault of the upstream's.
const fn speaks_against_upstream(kind: ErrorKind) -> bool {
    !matches!(
        kind,
        ErrorKind::Overloaded
            | ErrorKind::ObjectiveMissed
            | ErrorKind::CallerLimited
            | ErrorKind::DeadlineBeforeStart
            | ErrorKind::DuplicateCall
            | ErrorKind::Draining
    )
}

fn ramp_permille(age: Duration, ramp: Duration) -> u32 {
    if age >= ramp {
        return FULL_RAMP_PERMILLE;
    }
    let permille = age.as_micros() * u128::from(FULL_RAMP_PERMILLE) / ramp.as_micros().max(1);
    u32::try_from(permille).unwrap_or(FULL_RAMP_PERMILLE)
}
