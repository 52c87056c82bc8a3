//! The attempts of one call: selection of each gate, retries, and the statistics recorded for the upstreams.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use http_body_util::Either;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::coordination::cross_zone_yield::CrossZoneYield;
use crate::coordination::evacuation::may_send_to;
use crate::coordination::routing::Candidate;
use crate::coordination::routing::FULL_RAMP_UP_PERMILLE;
use crate::coordination::routing::RoutingContext;
use crate::coordination::routing::RoutingPolicy;
use crate::coordination::service_budgets::ServiceBudgets;
use crate::log_event_limited;
use crate::protocol::answer::ErrorAnswer;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::error_kind::Execution;
use crate::protocol::member::Member;
use crate::protocol::published::PublishedConfig;
use crate::protocol::trace::TraceStep;
use crate::state::directory::DirectoryEntry;
use crate::state::directory::DirectorySnapshot;
use crate::state::directory::MemberKey;
use crate::state::metrics::Metrics;
use crate::transport::call_body::CallBody;
use crate::transport::call_body::GuardedBody;
use crate::transport::call_resolution::PeerCall;
use crate::transport::call_resolution::combined_error;
use crate::transport::call_resolution::send_via_peer_gate;
use crate::transport::ingress::AnswerBody;
use crate::transport::ingress::Ingress;
use crate::transport::ingress::Result;
use crate::transport::ingress::mark_possibly_executed;
use crate::transport::ingress::no_upstream_error;
use crate::transport::ingress_call::IngressCall;
use crate::transport::ingress_guard::AnswerBodyGuard;
use crate::transport::ingress_guard::InFlightCall;
use crate::transport::outgoing_request::AttemptOptions;
use crate::transport::outgoing_request::OutgoingRequest;
use crate::transport::upstream_fields::queued_time;
use crate::transport::upstream_fields::service_time_at_normal_speed;

/// Maximum number of gates that may reroute a call; the next gate has to admit, queue or reject it.
const MAX_REROUTES: usize = 3;

/// Number of gates that may reject or fail a call before the call fails.
const MAX_UNSUCCESSFUL_GATES: usize = 4;
/// Cost of a cross-zone hop in thousandths of the value of a timely answer, by rank of the priority.
///
/// The traffic costs the same for every call, and the most urgent calls are the most valuable.
const CROSS_ZONE_COST_PERMILLE: [u64; 3] = [200, 350, 500];

/// Response to the caller whose body records the outcome of the call when it ends.
pub type CallResponse = Response<GuardedBody<AnswerBody, AnswerBodyGuard>>;

/// Gates that one call has been sent to, by outcome.
#[derive(Debug, Default)]
pub(super) struct AttemptedGates {
    /// Gates with a failed attempt that may have reached the upstream.
    pub(super) failed: Vec<Arc<str>>,
    /// Gates that rejected an attempt without passing it to the upstream.
    rejected: Vec<Arc<str>>,
    /// Gates that rerouted the call.
    rerouted: Vec<Arc<str>>,
    /// Zones in which a gate rejected an attempt because the zone is evacuated.
    evacuated_zones: Vec<Arc<str>>,
}

impl AttemptedGates {
    fn contains(&self, member: &Member) -> bool {
        self.is_excluded(member) || self.rerouted.contains(&member.id.name)
    }

    /// Returns whether the gate must not be attempted again; a gate that only rerouted the call may be.
    fn is_excluded(&self, member: &Member) -> bool {
        let name = &member.id.name;
        self.failed.contains(name) || self.rejected.contains(name) || self.is_in_evacuated_zone(member)
    }

    /// Returns whether a gate of the member's zone has rejected the call because the zone is evacuated.
    pub(super) fn is_in_evacuated_zone(&self, member: &Member) -> bool {
        self.evacuated_zones.contains(&member.zone)
    }

    /// Excludes a gate at which an attempt failed with an error of the given kind, and its zone if that is evacuated.
    fn exclude(&mut self, member: &Member, kind: ErrorKind) {
        let excluded = if reached_upstream(kind) { &mut self.failed } else { &mut self.rejected };
        excluded.push(Arc::clone(&member.id.name));
        if kind == ErrorKind::ZoneEvacuated {
            self.evacuated_zones.push(Arc::clone(&member.zone));
        }
    }

    const fn excluded_count(&self) -> usize {
        self.failed.len() + self.rejected.len()
    }
}

/// A planned attempt: the chosen gate and the options of the request.
#[derive(Debug)]
pub(super) struct PlannedAttempt {
    pub(super) entry: DirectoryEntry,
    pub(super) options: AttemptOptions,
}

/// Requirements of a call on the upstream that is chosen for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct UpstreamRequirements<'a> {
    pub(super) service: &'a str,
    pub(super) priority: u8,
    /// Remaining time until its latency objective.
    pub(super) objective: Duration,
    /// Typical service time of such calls; zero if unknown.
    pub(super) typical_time: Duration,
}

impl UpstreamRequirements<'_> {
    pub(super) fn routing_context(
        self,
        config: &PublishedConfig,
        cross_zone_yield: &CrossZoneYield,
    ) -> RoutingContext {
        let rank = usize::from(self.priority).min(CROSS_ZONE_COST_PERMILLE.len() - 1);
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        RoutingContext {
            max_ejected_percent: config.upstream_rule.max_ejected_percent,
            objective_us: micros(self.objective),
            typical_us: micros(self.typical_time),
            cross_zone_cost_permille: cross_zone_yield.cost_of_answer(CROSS_ZONE_COST_PERMILLE[rank]),
        }
    }
}

/// State that the attempts of one call share.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptContext<'a> {
    pub(super) call: &'a IngressCall,
    pub(super) config: &'a PublishedConfig,
    pub(super) budgets: &'a ServiceBudgets,
    pub(super) attempted_gates: &'a AttemptedGates,
    /// Number of earlier attempts of the call that reached an upstream.
    pub(super) reached_upstreams: u32,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextStep {
    /// The gate rerouted the call: send it to another one.
    Reroute,
    /// Retry at another gate.
    Retry,
    /// Return the error to the caller.
    Fail,
}

/// Attempts made so far for one call, and what they prove about its execution.
#[derive(Debug, Default)]
struct AttemptHistory {
    gates: AttemptedGates,
    /// Number of attempts that reached an upstream, hedged requests excluded.
    reached_upstreams: u32,
    /// Whether an attempt may have been executed.
    may_have_executed: bool,
    /// Error of the last attempt that was to be retried.
    last_answer: Option<ErrorAnswer>,
}

impl AttemptHistory {
    const fn context<'a>(
        &'a self,
        call: &'a IngressCall,
        config: &'a PublishedConfig,
        budgets: &'a ServiceBudgets,
    ) -> AttemptContext<'a> {
        AttemptContext {
            call,
            config,
            budgets,
            attempted_gates: &self.gates,
            reached_upstreams: self.reached_upstreams,
        }
    }

    /// Counts the attempt and returns the response that ends the call, or the error of a failed attempt.
    ///
    /// A server error of the upstream is a failed attempt if the call may be retried; this spends retry budget.
    fn final_response(
        &mut self,
        call: &IngressCall,
        outgoing: &OutgoingRequest,
        budgets: &ServiceBudgets,
        result: Result<CallResponse>,
    ) -> Result<CallResponse> {
        match result {
            Ok(response) if response.status().is_server_error() => {
                self.reached_upstreams += 1;
                if self.max_attempts_reached(call) || !may_run_again(call, outgoing, budgets) {
                    return Ok(response);
                }
                Err(ErrorAnswer::new(ErrorKind::UpstreamFailed, "the upstream failed the call"))
            }
            Ok(response) => Ok(response),
            Err(answer) => {
                self.reached_upstreams += u32::from(reached_upstream(answer.kind));
                Err(combined_error(outgoing.with_body_error(answer), self.may_have_executed))
            }
        }
    }

    /// Records the error of the planned attempt and returns what to do next; a retry may spend retry budget.
    fn record_failure(
        &mut self,
        call: &IngressCall,
        plan: &PlannedAttempt,
        answer: &ErrorAnswer,
        budgets: &ServiceBudgets,
    ) -> NextStep {
        self.may_have_executed |= answer.execution == Execution::OutcomeUnknown;
        let member = &plan.entry.member;
        if plan.options.max_gate_latency.is_some() && answer.kind == ErrorKind::Overloaded {
            self.gates.rerouted.push(Arc::clone(&member.id.name));
            return NextStep::Reroute;
        }
        self.gates.exclude(member, answer.kind);
        let attempts_exhausted =
            self.max_attempts_reached(call) || self.gates.excluded_count() >= MAX_UNSUCCESSFUL_GATES;
        let may_repeat = answer.kind == ErrorKind::UpstreamFailed || may_retry(call, answer, budgets);
        if attempts_exhausted || !may_repeat { NextStep::Fail } else { NextStep::Retry }
    }

    fn max_attempts_reached(&self, call: &IngressCall) -> bool {
        self.reached_upstreams + call.counted_hedges() >= call.max_attempts
    }
}

impl<P> Ingress<P>
where
    P: RoutingPolicy + Send + Sync + 'static,
{
    /// Makes attempts until one succeeds or no further attempt is allowed.
    ///
    /// # Errors
    ///
    /// Returns the last attempt's error answer, with an unknown outcome if an earlier attempt may have been
    /// executed.
    pub(super) async fn attempts(
        &self,
        call: &mut IngressCall,
        config: &PublishedConfig,
        outgoing: &mut OutgoingRequest,
    ) -> Result<CallResponse> {
        let budgets = self.budgets(&call.head.service);
        earn_retry_budget(call, config, &budgets);
        let mut history = AttemptHistory::default();
        while let Some(plan) = self.plan(call, config, &budgets, &history.gates, outgoing.is_replayable()) {
            let Some(request) = outgoing.next_attempt_request(call, plan.options) else {
                break;
            };
            call.record_attempted_gate(&plan.entry.member.id.name);
            let context = history.context(call, config, &budgets);
            let result = self.hedged_attempt(context, &plan, request, outgoing).await;
            let answer = match history.final_response(call, outgoing, &budgets, result) {
                Ok(response) => return Ok(response),
                Err(answer) => answer,
            };
            match history.record_failure(call, &plan, &answer, &budgets) {
                NextStep::Reroute => self.count_reroute(&answer),
                NextStep::Retry if !self.may_use_quota_again(call, &answer).await => return Err(answer),
                NextStep::Retry => {
                    self.record_retry(call, &plan, &answer, history.reached_upstreams);
                    history.last_answer = Some(answer);
                }
                NextStep::Fail => return Err(answer),
            }
        }
        Err(history.last_answer.unwrap_or_else(no_upstream_error))
    }

    /// Takes the token of a retry if the failed attempt reached an upstream; returns whether the retry may be sent.
    async fn may_use_quota_again(&self, call: &IngressCall, answer: &ErrorAnswer) -> bool {
        !reached_upstream(answer.kind) || self.try_take_token(call).await
    }

    /// Counts a call that is sent on to another gate because its gate rerouted it.
    fn count_reroute(&self, answer: &ErrorAnswer) {
        Metrics::count(&self.dependencies.metrics.reroutes, answer.kind.name());
    }

    /// Counts and logs a retry of the call after the planned attempt failed with `answer`.
    fn record_retry(
        &self,
        call: &IngressCall,
        plan: &PlannedAttempt,
        answer: &ErrorAnswer,
        reached_upstreams: u32,
    ) {
        Metrics::count(&self.dependencies.metrics.retries, answer.kind.name());
        log_event_limited!(
            Info,
            "retrying call at another gate",
            call = &call.id,
            service = &call.head.service,
            failed_at = &plan.entry.member.id,
            error = answer.kind,
            execution = answer.execution.name(),
            reached_upstreams = reached_upstreams,
        );
        call.measurement.record_retry(Instant::now());
    }

    /// Returns the next attempt, or `None` without an eligible gate.
    ///
    /// Once no gate may reroute the call any more, the best gate has to admit, queue or reject it.
    fn plan(
        &self,
        call: &mut IngressCall,
        config: &PublishedConfig,
        budgets: &ServiceBudgets,
        attempted: &AttemptedGates,
        is_replayable: bool,
    ) -> Option<PlannedAttempt> {
        let repeated = attempted.excluded_count() > 0;
        let may_reroute = is_replayable && attempted.rerouted.len() < MAX_REROUTES;
        if may_reroute && budgets.reroute_budget(call.head.priority).permits_reroute() {
            let planned = self.choose_gate(call.requirements(), config, budgets, repeated, |member| {
                attempted.contains(member)
            });
            if planned.is_some() {
                return planned;
            }
        }
        let plan = self.choose_gate(call.requirements(), config, budgets, repeated, |member| {
            attempted.is_excluded(member)
        })?;
        if attempted.rerouted.contains(&plan.entry.member.id.name) {
            // The gate rejects this identity permanently, and the call was never executed under it.
            call.replace_id(self.dependencies.ids.next());
        }
        Some(PlannedAttempt { options: AttemptOptions { max_gate_latency: None, ..plan.options }, ..plan })
    }

    /// Chooses a gate by the routing policy among those that `skip` does not exclude, outside of evacuated zones.
    pub(super) fn choose_gate<F>(
        &self,
        requirements: UpstreamRequirements<'_>,
        config: &PublishedConfig,
        budgets: &ServiceBudgets,
        repeated: bool,
        skip: F,
    ) -> Option<PlannedAttempt>
    where
        F: Fn(&Member) -> bool,
    {
        let snapshot = self.dependencies.directory.snapshot();
        let (keys, all_candidates) = self.candidates(&snapshot, requirements.service, config, Instant::now());
        let mut entries = Vec::with_capacity(keys.len());
        let mut candidates = Vec::with_capacity(keys.len());
        for (key, candidate) in keys.iter().zip(&all_candidates) {
            let entry = snapshot.entry(*key);
            if !skip(&entry.member) {
                candidates.push(*candidate);
                entries.push(entry);
            }
        }
        let context = requirements.routing_context(config, &budgets.cross_zone_yield);
        let index = self.dependencies.policy.choose(&candidates, context, &mut rand::rng())?;
        let entry = DirectoryEntry::clone(entries.get(index)?);
        let max_gate_latency =
            self.dependencies.policy.max_gate_latency(&all_candidates, candidates.get(index)?, context);
        Some(PlannedAttempt { entry, options: AttemptOptions { max_gate_latency, repeated } })
    }

    /// Returns the upstreams to which calls of the service may be sent, outside of evacuated zones.
    pub(super) fn candidates(
        &self,
        snapshot: &DirectorySnapshot,
        service: &str,
        config: &PublishedConfig,
        now: Instant,
    ) -> (Vec<MemberKey>, Vec<Candidate>) {
        let evacuations = self.dependencies.config.evacuations();
        let serving = snapshot.members_serving(service).iter();
        let keys: Vec<MemberKey> = serving
            .copied()
            .filter(|key| may_send_to(&snapshot.entry(*key).member.zone, evacuations.as_deref()))
            .collect();
        let ramp = Duration::from_millis(config.upstream_rule.ramp_ms);
        let candidates = keys.iter().map(|key| self.candidate(snapshot.entry(*key), ramp, now)).collect();
        (keys, candidates)
    }

    fn candidate(&self, entry: &DirectoryEntry, ramp: Duration, now: Instant) -> Candidate {
        Candidate {
            peer_addr: entry.member.peer_addr,
            load: entry.stats.load(now),
            slots: entry.member.upstream.as_ref().map_or(1, |upstream| upstream.slots),
            same_zone: entry.member.zone == self.dependencies.local_member.zone,
            ramp_up_permille: ramp_up_permille(now - entry.stats.first_seen_at(), ramp),
        }
    }

    /// Sends one attempt to the planned gate and records its result in the statistics of the upstream.
    pub(super) async fn attempt(
        &self,
        context: AttemptContext<'_>,
        plan: &PlannedAttempt,
        request: Request<CallBody>,
    ) -> Result<CallResponse> {
        let (call, entry) = (context.call, &plan.entry);
        let reroute_budget = context.budgets.reroute_budget(call.head.priority);
        let reroutes = context.attempted_gates.rerouted.len();
        let in_flight = InFlightCall::new(&entry.stats);
        let sent_at = Instant::now();
        self.trace(call, TraceStep::Sent { to: Arc::clone(&entry.member.id.name) });
        // Only the name is compared: after a long pause the node continues under a later incarnation.
        let local = entry.member.id.name == self.dependencies.local_member.id.name;
        let result = if local {
            self.send_via_own_gate(call, plan.options, request).await
        } else {
            let peer = PeerCall {
                id: &call.id,
                gate: &entry.member.id,
                addr: entry.member.peer_addr,
                deadline: call.deadline,
                idempotent: call.head.idempotent,
                continues_without_caller: call.issued_key.is_some(),
                metrics: &self.dependencies.metrics,
            };
            let response = send_via_peer_gate(&self.dependencies.channels, peer, request).await;
            response.map(|response| response.map(Either::Left))
        };
        if entry.member.zone != self.dependencies.local_member.zone {
            let is_rejected = result.as_ref().is_err_and(|answer| is_overload(answer.kind));
            context.budgets.cross_zone_yield.record(!is_rejected);
        }
        match result {
            Ok(response) => {
                if plan.options.max_gate_latency.is_some() {
                    reroute_budget.record_admitted(reroutes);
                }
                if response.status().is_server_error() {
                    entry.stats.record_failure();
                } else {
                    let latency = sent_at.elapsed();
                    entry.stats.record_success(latency);
                    let service_time = latency.saturating_sub(queued_time(response.headers()));
                    let service_time = service_time_at_normal_speed(response.headers(), service_time);
                    call.record_service_time(service_time);
                }
                Ok(self.wrap_response(call, response, in_flight))
            }
            Err(answer) => {
                self.trace(call, TraceStep::AttemptFailed { kind: answer.kind });
                if plan.options.max_gate_latency.is_some() && answer.kind == ErrorKind::Overloaded {
                    reroute_budget.record_reroute(reroutes);
                }
                if let Some(load) = answer.load {
                    entry.stats.record_load_report(load, Instant::now());
                }
                if counts_as_upstream_failure(answer.kind) {
                    entry.stats.record_failure();
                }
                Err(answer)
            }
        }
    }

    /// Makes the only attempt of a call that must run at one given gate.
    pub(super) async fn single_attempt(
        &self,
        call: &IngressCall,
        config: &PublishedConfig,
        entry: DirectoryEntry,
        outgoing: &mut OutgoingRequest,
    ) -> Result<CallResponse> {
        let plan =
            PlannedAttempt { entry, options: AttemptOptions { max_gate_latency: None, repeated: false } };
        let request = outgoing
            .next_attempt_request(call, plan.options)
            .ok_or_else(|| mark_possibly_executed(no_upstream_error(), true))?;
        let budgets = self.budgets(&call.head.service);
        let attempted = AttemptedGates::default();
        let context = AttemptContext {
            call,
            config,
            budgets: &budgets,
            attempted_gates: &attempted,
            reached_upstreams: 0,
        };
        self.attempt(context, &plan, request).await
    }

    /// Returns the budgets of a service, if it has been used.
    pub(super) fn known_budgets(&self, service: &str) -> Option<Arc<ServiceBudgets>> {
        self.budgets.load().get(service).map(Arc::clone)
    }

    /// Returns the budgets of a service, created on first use.
    pub(super) fn budgets(&self, service: &Arc<str>) -> Arc<ServiceBudgets> {
        if let Some(budgets) = self.known_budgets(service) {
            return budgets;
        }
        let new_budgets = Arc::new(ServiceBudgets::default());
        self.budgets.rcu(|budgets| {
            let mut next = IndexMap::clone(budgets);
            next.entry(Arc::clone(service)).or_insert_with(|| Arc::clone(&new_budgets));
            next
        });
        self.budgets.load().get(service).map_or(new_budgets, Arc::clone)
    }
}

/// Adds to the retry budget of the service for a call that is not itself a repetition.
fn earn_retry_budget(call: &IngressCall, config: &PublishedConfig, budgets: &ServiceBudgets) {
    if !call.head.repeated {
        let retry = &config.service.retry;
        budgets.retry.earn(retry.budget_percent, retry.max_saved);
    }
}

/// Returns whether the call may be retried after an error answer.
///
/// A retry spends retry budget if the failed attempt reached an upstream.
fn may_retry(call: &IngressCall, answer: &ErrorAnswer, budgets: &ServiceBudgets) -> bool {
    let another_gate_may_help =
        !is_overload(answer.kind) || budgets.reroute_budget(call.head.priority).has_credit();
    call.may_retry(answer)
        && another_gate_may_help
        && (!reached_upstream(answer.kind) || budgets.retry.spend())
}

/// Returns whether a call that its upstream answered with a server error may be retried; spends retry budget.
fn may_run_again(call: &IngressCall, outgoing: &OutgoingRequest, budgets: &ServiceBudgets) -> bool {
    call.has_route() && call.head.idempotent && outgoing.is_replayable() && budgets.retry.spend()
}

/// Returns whether an attempt reached an upstream, so that a further attempt adds to the load.
///
/// A call that a gate rejects itself adds no load to any upstream.
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

/// Returns whether the gate rejected for lack of capacity; a retry helps only while most gates have capacity.
const fn is_overload(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::Overloaded | ErrorKind::ObjectiveMissed)
}

/// Returns whether the error counts against the health of the upstream, unlike a rejection by rule.
const fn counts_as_upstream_failure(kind: ErrorKind) -> bool {
    !matches!(
        kind,
        ErrorKind::Overloaded
            | ErrorKind::ObjectiveMissed
            | ErrorKind::CallerLimited
            | ErrorKind::DeadlineBeforeStart
            | ErrorKind::DuplicateCall
            | ErrorKind::Draining
            | ErrorKind::ZoneEvacuated
    )
}

/// Returns the share of its full weight that an upstream known for `age` has, in thousandths.
fn ramp_up_permille(age: Duration, ramp: Duration) -> u32 {
    if age >= ramp {
        return FULL_RAMP_UP_PERMILLE;
    }
    let permille = age.as_micros() * u128::from(FULL_RAMP_UP_PERMILLE) / ramp.as_micros().max(1);
    u32::try_from(permille).unwrap_or(FULL_RAMP_UP_PERMILLE)
}
