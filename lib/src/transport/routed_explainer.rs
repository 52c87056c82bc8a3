//! Explains where a request that follows a route would go now, by the steps that such requests take.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use tokio::time::Instant;

use crate::coordination::authentication::CallerIdentity;
use crate::coordination::authentication::Refusal;
use crate::coordination::routing::RoutingPolicy;
use crate::protocol::explain::CallState;
use crate::protocol::explain::ConfigState;
use crate::protocol::explain::ExplainRequest;
use crate::protocol::explain::Explanation;
use crate::protocol::explain::QuotaState;
use crate::protocol::explain::RouteState;
use crate::protocol::explain::TenantState;
use crate::state::route_table::Route;
use crate::state::route_table::RouteTable;
use crate::state::usual_timeout::UsualTimeout;
use crate::transport::call_attempts::UpstreamRequirements;
use crate::transport::explainer::Explainer;
use crate::transport::explainer::ExplanationBuilder;
use crate::transport::explainer::described_request;
use crate::transport::explainer::millis;
use crate::transport::external_dialect::ExternalDialect;
use crate::transport::ingress::Result;
use crate::transport::ingress::validate_request;
use crate::transport::ingress_quota::rejection_answer;
use crate::transport::routed_ingress::RoutedHandler;
use crate::transport::routed_ingress::RoutedIngress;
use crate::transport::routed_ingress::call_priority;
use crate::transport::routed_ingress::find_route;
use crate::transport::routed_ingress::published_service;
use crate::transport::routed_ingress::service_config;
use crate::transport::routed_ingress::uses_quota;

impl<P, I> Explainer for RoutedHandler<P, I>
where
    P: RoutingPolicy + Send + Sync + 'static,
    I: ExternalDialect,
{
    fn explain(&self, request: &ExplainRequest) -> Result<Explanation> {
        self.routed_ingress.explain(&described_request(request)?)
    }
}

impl<P> RoutedIngress<P>
where
    P: RoutingPolicy + Send + Sync + 'static,
{
    /// Takes the steps of a request up to its choice of an upstream.
    ///
    /// A step that would reject the request does not end the explanation if the later ones can do without it.
    fn explain(&self, request: &Request<()>) -> Result<Explanation> {
        let now = Instant::now();
        let table = self.routes()?;
        let confirmed_at = self.ingress.dependencies.config.confirmed_at();
        let config = config_state(&table, confirmed_at, now);
        let mut builder = ExplanationBuilder::new(&self.ingress.dependencies.local_member, config);
        builder.check(validate_request(request, self.max_header_bytes(&table)));
        if let Some(route) = builder.check(find_route(&table, request)) {
            builder.explanation.route = Some(route_state(route));
            let request_id = request.headers().get(&self.caller_fields.request_id);
            let decided =
                self.authentication.decide(&table, route, request.headers(), request_id, confirmed_at, now);
            builder.explanation.tenant = Some(tenant_state(decided.as_ref()));
            let caller = builder.check(decided.map_err(Refusal::answer));
            let caller = caller.unwrap_or(CallerIdentity::NOT_REQUIRED);
            self.explain_call(&mut builder, &table, route, request, &caller)?;
        }
        Ok(builder.explanation)
    }

    fn explain_call(
        &self,
        builder: &mut ExplanationBuilder,
        table: &RouteTable,
        route: &Route,
        request: &Request<()>,
        caller: &CallerIdentity,
    ) -> Result<()> {
        let published = builder.check(published_service(table, route.peek_service()));
        let config = published.and_then(|published| builder.check(service_config(published)));
        let request_id = request.headers().get(&self.caller_fields.request_id);
        let parameters = self.read_parameters(request, request_id, route, UsualTimeout::waited);
        let parameters = builder.check(parameters);
        self.explain_quota(builder, caller);
        let (Some(published), Some(config), Some(parameters)) = (published, config, parameters) else {
            return Ok(());
        };
        let requirements = UpstreamRequirements {
            service: &published.service,
            priority: call_priority(caller, route),
            objective: parameters.objective,
            typical_time: route.typical_time.get(),
        };
        builder.explanation.call = Some(call_state(route, requirements, parameters.timeout));
        self.ingress.explain_choice(builder, config, requirements, parameters.timeout)
    }

    /// Explains the quota of the caller's tenant, if it has a limit.
    fn explain_quota(&self, builder: &mut ExplanationBuilder, caller: &CallerIdentity) {
        let tenant = caller.tenant.as_ref();
        let Some((tenant, rate)) = tenant.and_then(|tenant| Some((tenant, tenant.rate?))) else {
            return;
        };
        let quotas = &self.ingress.dependencies.quotas;
        let outlook = quotas.with_node(|node, now| node.outlook(&tenant.name, now));
        let takes_token = uses_quota(caller);
        builder.explanation.quota = Some(QuotaState {
            millirequests_per_s: rate.millirequests_per_s,
            burst: rate.burst,
            takes_token,
            server: outlook.server,
            server_state: outlook.server_state,
            waiting: u64::try_from(outlook.waiting).unwrap_or(u64::MAX),
            exceeded_retry_after_ms: outlook.rejection.map(|rejection| millis(rejection.retry_after)),
        });
        if let Some(rejection) = outlook.rejection.filter(|_| takes_token) {
            builder.check::<()>(Err(rejection_answer(rejection)));
        }
    }
}

fn config_state(table: &RouteTable, confirmed_at: Option<Instant>, now: Instant) -> ConfigState {
    let millis_ago = |at: Instant| millis(now.saturating_duration_since(at));
    ConfigState {
        version: Some(Arc::clone(table.version())),
        revision: table.revision(),
        applied_ms_ago: Some(millis_ago(table.applied_at())),
        confirmed_ms_ago: confirmed_at.map(millis_ago),
    }
}

fn route_state(route: &Route) -> RouteState {
    let spec = &route.spec;
    RouteState {
        name: Arc::clone(&spec.name),
        host: Arc::clone(&spec.host),
        path_prefix: Arc::clone(&spec.path_prefix),
        public: spec.public,
        max_attempts: spec.max_attempts,
        destinations: spec.destinations.clone(),
        next_service: route.peek_service().map(Arc::clone),
    }
}

fn tenant_state(decided: std::result::Result<&CallerIdentity, &Refusal>) -> TenantState {
    let outcome = decided.map_or_else(|refusal| refusal.name(), |caller| caller.source.name());
    let tenant = decided.ok().and_then(|caller| caller.tenant.as_ref());
    TenantState {
        outcome: Arc::from(outcome),
        accepted: decided.is_ok(),
        name: tenant.map(|tenant| Arc::clone(&tenant.name)),
    }
}

fn call_state(route: &Route, requirements: UpstreamRequirements<'_>, timeout: Duration) -> CallState {
    CallState {
        service: Arc::from(requirements.service),
        priority: requirements.priority,
        idempotent: route.spec.idempotent,
        objective_ms: route.spec.objective_ms,
        objective_left_ms: millis(requirements.objective),
        timeout_ms: millis(timeout),
        typical_us: u64::try_from(requirements.typical_time.as_micros()).unwrap_or(u64::MAX),
    }
}
