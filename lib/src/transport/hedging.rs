//! Hedged requests: a second attempt of a slow call, made while the first is still running.

use std::pin::pin;

use futures_util::future::Either as FutureEither;
use futures_util::future::select;
use http::Request;
use tokio::time::Instant;

use crate::coordination::hedge::max_hedge_latency;
use crate::coordination::routing::RoutingPolicy;
use crate::protocol::member::Member;
use crate::state::metrics::Metrics;
use crate::transport::call_attempts::AttemptContext;
use crate::transport::call_attempts::CallResponse;
use crate::transport::call_attempts::PlannedAttempt;
use crate::transport::call_attempts::reached_upstream;
use crate::transport::call_body::CallBody;
use crate::transport::ingress::Ingress;
use crate::transport::ingress::Result;
use crate::transport::ingress_quota::HedgeToken;
use crate::transport::outgoing_request::OutgoingRequest;

/// Maximum number of hedges of one attempt, including hedges that a gate rejected.
const MAX_HEDGES: usize = 10;

impl<P> Ingress<P>
where
    P: RoutingPolicy + Send + Sync + 'static,
{
    /// Makes an attempt and hedges it at another gate if it exceeds the hedge delay.
    ///
    /// A hedge starts only where a slot is free at once. Dropping the slower of the two attempts cancels
    /// it. If a hedge is rejected or can't be sent, another one is tried after a pause, which doubles
    /// each time.
    pub(super) async fn hedged_attempt(
        &self,
        context: AttemptContext<'_>,
        plan: &PlannedAttempt,
        request: Request<CallBody>,
        outgoing: &mut OutgoingRequest,
    ) -> Result<CallResponse> {
        let (call, spec) = (context.call, &context.config.service.hedge);
        let hedging = &context.budgets.hedging;
        let sent_at = Instant::now();
        let mut first = pin!(self.attempt(context, plan, request));
        let delay = if call.has_route() {
            call.hedge_delay(context.reached_upstreams)
        } else {
            hedging.next_delay(spec, call.head.idempotent && !call.head.repeated)
        };
        let early_result = match delay {
            Some(delay) => tokio::time::timeout(delay, first.as_mut()).await.ok(),
            None => Some(first.as_mut().await),
        };
        if early_result.as_ref().is_none_or(Result::is_ok) {
            hedging.observe(sent_at.elapsed(), spec);
        }
        if let Some(result) = early_result {
            return result;
        }
        let mut pause = delay.unwrap_or_default();
        for _ in 0..MAX_HEDGES {
            if let Some((hedge, request)) = self.plan_hedge(context, plan, outgoing) {
                match self.take_hedge_token(call, first.as_mut()).await {
                    HedgeToken::Granted => {}
                    HedgeToken::Rejected => {
                        self.withdraw_hedge(context, "no_token");
                        break;
                    }
                    HedgeToken::FirstEnded(result) => {
                        self.withdraw_hedge(context, "not_sent");
                        return result;
                    }
                }
                let second = pin!(self.attempt(context, &hedge, request));
                match select(first.as_mut(), second).await {
                    FutureEither::Left((Ok(response), _)) => return Ok(self.record("first_won", response)),
                    FutureEither::Right((Ok(response), _)) => return Ok(self.record("copy_won", response)),
                    FutureEither::Left((Err(_), second)) => return second.await,
                    FutureEither::Right((Err(answer), _)) if reached_upstream(answer.kind) => break,
                    FutureEither::Right((Err(_), _)) => self.withdraw_hedge(context, "copy_refused"),
                }
            }
            pause *= 2;
            if let Ok(result) = tokio::time::timeout(pause, first.as_mut()).await {
                return result;
            }
        }
        first.await
    }

    /// Refunds the budget for a hedge that was not sent or that a gate rejected, since it did not reach an upstream.
    fn withdraw_hedge(&self, context: AttemptContext<'_>, outcome: &'static str) {
        context.call.record_hedge_rejected();
        context.budgets.hedge_budget(context.call.has_route()).refund();
        Metrics::count(&self.dependencies.metrics.hedge_outcomes, outcome);
    }

    /// Chooses the gate of a hedge and builds its request; `None` if no hedge may be sent now.
    fn plan_hedge(
        &self,
        context: AttemptContext<'_>,
        plan: &PlannedAttempt,
        outgoing: &mut OutgoingRequest,
    ) -> Option<(PlannedAttempt, Request<CallBody>)> {
        let may_find_free_slot = context.budgets.reroute_budget(context.call.head.priority).has_credit();
        if !may_find_free_slot || !outgoing.is_replayable() {
            return None;
        }
        let first_gate = &plan.entry.member.id.name;
        // Gates that rejected an earlier attempt are not skipped, since they may have a free slot by now.
        let attempted = context.attempted_gates;
        let skip = |member: &Member| {
            member.id.name == *first_gate
                || attempted.failed.contains(&member.id.name)
                || attempted.is_in_evacuated_zone(member)
        };
        let mut hedge =
            self.choose_gate(context.call.requirements(), context.config, context.budgets, true, skip)?;
        let routed_limit = hedge.options.max_gate_latency;
        let max_gate_latency = max_hedge_latency(routed_limit, context.call.typical_time())?;
        hedge.options.max_gate_latency = Some(max_gate_latency);
        let within_budget = context.budgets.hedge_budget(context.call.has_route()).spend();
        let request =
            within_budget.then(|| outgoing.next_attempt_request(context.call, hedge.options)).flatten()?;
        context.call.record_hedge_sent();
        Metrics::count(&self.dependencies.metrics.hedges, "started");
        Some((hedge, request))
    }

    /// Counts the outcome of a hedged attempt and returns its response.
    fn record(&self, outcome: &'static str, response: CallResponse) -> CallResponse {
        Metrics::count(&self.dependencies.metrics.hedge_outcomes, outcome);
        response
    }
}
