//! A second copy of a slow call, which races the first.

use std::pin::pin;
use std::sync::Arc;

use futures_util::future::Either as FutureEither;
use futures_util::future::select;
use http::Request;
use tokio::time::Instant;

use crate::coordination::routing::RoutingPolicy;
use crate::state::metrics::Metrics;
use crate::transport::call_attempts::AttemptContext;
use crate::transport::call_attempts::CallResponse;
use crate::transport::call_attempts::PlannedAttempt;
use crate::transport::call_attempts::reached_upstream;
use crate::transport::call_body::CallBody;
use crate::transport::ingress::Ingress;
use crate::transport::ingress::Result;
use crate::transport::outgoing_request::OutgoingRequest;

/// Copies of one attempt that may be tried, those included that a gate refused.
const MAX_COPIES: usize = 10;

impl<P> Ingress<P>
where
    P: RoutingPolicy + Send + Sync + 'static,
{
    /// One attempt, and a copy of it elsewhere when it takes longer than most.
    ///
    /// The copy starts only where a slot is free at once, and dropping the loser cancels it. One that
    /// a gate refused is tried again a while later, at growing pauses.
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
        let in_time = match delay {
            Some(delay) => tokio::time::timeout(delay, first.as_mut()).await.ok(),
            None => Some(first.as_mut().await),
        };
        if in_time.as_ref().is_none_or(Result::is_ok) {
            hedging.observe(sent_at.elapsed(), spec);
        }
        if let Some(result) = in_time {
            return result;
        }
        let mut pause = delay.unwrap_or_default();
        for _ in 0..MAX_COPIES {
            if let Some((copy, request)) = self.copy(context, plan, outgoing) {
                let second = pin!(self.attempt(context, &copy, request));
                match select(first.as_mut(), second).await {
                    FutureEither::Left((Ok(response), _)) => return Ok(self.raced("first_won", response)),
                    FutureEither::Right((Ok(response), _)) => return Ok(self.raced("copy_won", response)),
                    FutureEither::Left((Err(_), second)) => return second.await,
                    FutureEither::Right((Err(answer), _)) if reached_upstream(answer.kind) => break,
                    FutureEither::Right((Err(_), _)) => self.record_hedge_rejected(context),
                }
            }
            pause *= 2;
            if let Ok(result) = tokio::time::timeout(pause, first.as_mut()).await {
                return result;
            }
        }
        first.await
    }

    /// A copy went no further than a gate, so that it cost no upstream anything.
    fn record_hedge_rejected(&self, context: AttemptContext<'_>) {
        context.call.record_hedge_rejected();
        context.budgets.hedge_budget(context.call.has_route()).refund();
        Metrics::count(&self.dependencies.metrics.hedge_outcomes, "copy_refused");
    }

    fn copy(
        &self,
        context: AttemptContext<'_>,
        plan: &PlannedAttempt,
        outgoing: &mut OutgoingRequest,
    ) -> Option<(PlannedAttempt, Request<CallBody>)> {
        let taken = &plan.entry.member.id.name;
        let open = context.budgets.reroute_budget(context.call.head.priority).has_credit();
        // A gate that refused a while ago may have room by now.
        let skip = |name: &Arc<str>| name == taken || context.attempted_gates.failed.contains(name);
        let copy = self.choose_gate(context.call.requirements(), context.config, true, skip)?;
        if !open || copy.options.max_gate_latency.is_none() || !outgoing.is_replayable() {
            return None;
        }
        let paid = context.budgets.hedge_budget(context.call.has_route()).spend();
        let request = paid.then(|| outgoing.next_attempt_request(context.call, copy.options)).flatten()?;
        context.call.record_hedge_sent();
        Metrics::count(&self.dependencies.metrics.hedges, "started");
        Some((copy, request))
    }

    fn raced(&self, outcome: &'static str, response: CallResponse) -> CallResponse {
        Metrics::count(&self.dependencies.metrics.hedge_outcomes, outcome);
        response
    }
}
