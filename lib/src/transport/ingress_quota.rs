//! Tokens that the attempts of a limited tenant's call need.

use std::pin::Pin;
use std::pin::pin;
use std::time::Duration;

use futures_util::future::Either as FutureEither;
use futures_util::future::select;
use tokio::time::Instant;

use crate::coordination::quota::client::QuotaRejection;
use crate::coordination::quota::client::QuotaRejectionKind;
use crate::coordination::routing::RoutingPolicy;
use crate::log_event_limited;
use crate::protocol::answer::ErrorAnswer;
use crate::transport::ingress::Ingress;
use crate::transport::ingress::Result;
use crate::transport::ingress_call::IngressCall;
use crate::transport::quota_link::error_kind;

/// Divisor of a route's objective that gives the longest wait for a token.
const OBJECTIVE_DIVISOR: u32 = 4;

/// Maximum time that a retry or hedge waits for its token, which takes one round trip to the quota server.
const FURTHER_ATTEMPT_TOKEN_TIMEOUT: Duration = Duration::from_millis(50);

/// Outcome of the wait for the token of a hedge.
#[derive(Debug)]
pub(super) enum HedgeToken<T> {
    /// The hedge may be sent.
    Granted,
    /// The hedge may not be sent.
    Rejected,
    /// The first attempt ended meanwhile.
    FirstEnded(T),
}

impl<P> Ingress<P>
where
    P: RoutingPolicy + Send + Sync + 'static,
{
    /// Takes the token that a request of a limited tenant needs before it is sent to any gate.
    pub(super) async fn take_token(&self, call: &IngressCall, route_objective: Duration) -> Result<()> {
        let Some(tenant) = call.quota_tenant() else {
            return Ok(());
        };
        let give_up_at = (call.started + route_objective / OBJECTIVE_DIVISOR).min(call.deadline);
        self.dependencies.quotas.admit(tenant, give_up_at).await.map_err(rejection_answer)
    }

    /// Takes the token for a further attempt of a call whose earlier one may have reached an upstream.
    ///
    /// Returns whether the attempt may be sent.
    pub(super) async fn try_take_token(&self, call: &IngressCall) -> bool {
        let Some(tenant) = call.quota_tenant() else {
            return true;
        };
        let give_up_at = (Instant::now() + FURTHER_ATTEMPT_TOKEN_TIMEOUT).min(call.deadline);
        let Err(rejection) = self.dependencies.quotas.admit(tenant, give_up_at).await else {
            return true;
        };
        log_event_limited!(
            Info,
            "further attempt not sent for lack of quota",
            call = &call.id,
            service = &call.head.service,
            tenant = tenant,
            error = error_kind(rejection.kind),
        );
        false
    }

    /// Takes the token for a hedge while the first attempt continues.
    pub(super) async fn take_hedge_token<F>(
        &self,
        call: &IngressCall,
        first: Pin<&mut F>,
    ) -> HedgeToken<F::Output>
    where
        F: Future,
    {
        if call.quota_tenant().is_none() {
            return HedgeToken::Granted;
        }
        let token = pin!(self.try_take_token(call));
        match select(first, token).await {
            FutureEither::Left((result, _)) => HedgeToken::FirstEnded(result),
            FutureEither::Right((true, _)) => HedgeToken::Granted,
            FutureEither::Right((false, _)) => HedgeToken::Rejected,
        }
    }
}

pub(super) fn rejection_answer(rejection: QuotaRejection) -> ErrorAnswer {
    let message = match rejection.kind {
        QuotaRejectionKind::Exceeded => "the tenant has used up its request limit",
        QuotaRejectionKind::Unavailable => "no quota server answered in time",
    };
    ErrorAnswer::new(error_kind(rejection.kind), message).retry_after(rejection.retry_after)
}
