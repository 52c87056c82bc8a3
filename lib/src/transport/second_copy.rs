//! A second copy of a slow call, which races the first.

use std::pin::pin;
use std::sync::Arc;

use futures_util::future::Either as FutureEither;
use futures_util::future::select;
use http::Request;
use tokio::time::Instant;

use crate::coordination::routing::RoutingPolicy;
use crate::state::metrics::Metrics;
use crate::transport::call_attempts::Answered;
use crate::transport::call_attempts::Plan;
use crate::transport::call_attempts::Race;
use crate::transport::call_attempts::reached_upstream;
use crate::transport::call_body::CallBody;
use crate::transport::ingress::Ingress;
use crate::transport::ingress::Result;
use crate::transport::outgoing_call::Outgoing;

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
    pub(super) async fn race(
        &self,
        race: Race<'_>,
        plan: &Plan,
        request: Request<CallBody>,
        outgoing: &mut Outgoing,
    ) -> Result<Answered> {
        let (call, spec) = (race.call, &race.config.service.hedge);
        let hedging = &race.budgets.hedging;
        let sent_at = Instant::now();
        let mut first = pin!(self.attempt(race, plan, request));
        let delay = if call.follows_route() {
            call.copy_after(race.reached)
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
            if let Some((copy, request)) = self.copy(race, plan, outgoing) {
                let second = pin!(self.attempt(race, &copy, request));
                match select(first.as_mut(), second).await {
                    FutureEither::Left((Ok(response), _)) => return Ok(self.raced("first_won", response)),
                    FutureEither::Right((Ok(response), _)) => return Ok(self.raced("copy_won", response)),
                    FutureEither::Left((Err(_), second)) => return second.await,
                    FutureEither::Right((Err(answer), _)) if reached_upstream(answer.kind) => break,
                    FutureEither::Right((Err(_), _)) => self.copy_refused(race),
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
    fn copy_refused(&self, race: Race<'_>) {
        race.call.copy_refused();
        race.budgets.hedge_budget(race.call.follows_route()).refund();
        Metrics::count(&self.parts.metrics.hedge_outcomes, "copy_refused");
    }

    fn copy(
        &self,
        race: Race<'_>,
        plan: &Plan,
        outgoing: &mut Outgoing,
    ) -> Option<(Plan, Request<CallBody>)> {
        let taken = &plan.entry.member.id.name;
        let open = race.budgets.reroute_budget(race.call.head.priority).has_credit();
        // A gate that refused a while ago may have room by now.
        let skip = |name: &Arc<str>| name == taken || race.visited.failed.contains(name);
        let copy = self.choose(race.call.wanted(), race.config, true, skip)?;
        if !open || copy.leg.max_gate_latency.is_none() || !outgoing.can_repeat() {
            return None;
        }
        let paid = race.budgets.hedge_budget(race.call.follows_route()).spend();
        let request = paid.then(|| outgoing.next_request(race.call, copy.leg)).flatten()?;
        race.call.copy_sent();
        Metrics::count(&self.parts.metrics.hedges, "started");
        Some((copy, request))
    }

    fn raced(&self, outcome: &'static str, response: Answered) -> Answered {
        Metrics::count(&self.parts.metrics.hedge_outcomes, outcome);
        response
    }
}
