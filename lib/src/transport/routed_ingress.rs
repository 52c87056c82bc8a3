//! Ingress of an external dialect: a request names a host and a path, and its route supplies the rest.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::num::IntErrorKind;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use http::header::HOST;
use http_body_util::Either;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::coordination::authentication::CallerIdentity;
use crate::coordination::authentication::IdentitySource;
use crate::coordination::authentication::KeyRules;
use crate::coordination::routing::RoutingPolicy;
use crate::protocol::answer::ErrorAnswer;
use crate::protocol::call_head::CallHead;
use crate::protocol::call_head::CallOrigin;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::external_fields::CallerFields;
use crate::protocol::headers;
use crate::protocol::published::Published;
use crate::protocol::published::PublishedConfig;
use crate::protocol::route::CallerLimits;
use crate::state::route_table::Route;
use crate::state::route_table::RouteTable;
use crate::state::route_table::gate_rank;
use crate::state::usual_timeout::UsualTimeout;
use crate::transport::call_attempts::CallResponse;
use crate::transport::caller_authentication::CallerAuthentication;
use crate::transport::external_dialect::ExternalDialect;
use crate::transport::gate::GATE_RETRY_AFTER;
use crate::transport::http_server::Handler;
use crate::transport::http_server::ServerLimits;
use crate::transport::ingress::Ingress;
use crate::transport::ingress::IngressBody;
use crate::transport::ingress::Result;
use crate::transport::ingress::no_upstream_error;
use crate::transport::ingress::validate_request;
use crate::transport::ingress_call::IngressCall;
use crate::transport::request_log::RequestLog;
use crate::transport::unfinished_request::ReceivedRequest;
use crate::transport::unfinished_request::UnansweredRequest;
use crate::transport::upstream_fields::strip_node_fields;

/// Overhead of the fields of a header section, which operators do not count towards its size.
const FIELDS_OVERHEAD_BYTES: u32 = 4_096;

/// Timeout of a request when neither the request nor its route sets one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Ingress with the parameters of an external dialect.
#[derive(Debug)]
pub(super) struct RoutedIngress<P> {
    pub(super) ingress: Arc<Ingress<P>>,
    pub(super) caller_fields: CallerFields,
    pub(super) authentication: CallerAuthentication,
    /// Service of the VM on which the node runs.
    own_service: Option<HeaderValue>,
}

/// Parameters of a call that follow from its request and its route.
#[derive(Debug)]
pub(super) struct RequestParameters {
    pub(super) timeout: Duration,
    /// Time left until the latency objective.
    pub(super) objective: Duration,
    pub(super) origin: CallOrigin,
}

/// HTTP server handler that selects services by routes.
#[derive(Debug)]
pub struct RoutedHandler<P, I> {
    pub(super) routed_ingress: Arc<RoutedIngress<P>>,
    dialect: PhantomData<fn() -> I>,
}

impl<P, I> RoutedHandler<P, I>
where
    I: ExternalDialect,
{
    /// Creates a handler over `ingress`; `own_service` is the service of the VM on which the node runs.
    #[must_use]
    pub fn new(ingress: Arc<Ingress<P>>, own_service: Option<&str>, rules: KeyRules) -> Self {
        let own_service = own_service.and_then(|name| HeaderValue::from_str(name).ok());
        let dependencies = &ingress.dependencies;
        let authentication = CallerAuthentication {
            fields: I::caller_fields(),
            rules,
            config: Arc::clone(&dependencies.config),
            gate: Arc::clone(&dependencies.gate),
            metrics: Arc::clone(&dependencies.metrics),
        };
        let caller_fields = I::caller_fields();
        let routed_ingress = RoutedIngress { ingress, caller_fields, authentication, own_service };
        Self { routed_ingress: Arc::new(routed_ingress), dialect: PhantomData }
    }
}

impl<P, I> Clone for RoutedHandler<P, I> {
    fn clone(&self) -> Self {
        Self { routed_ingress: Arc::clone(&self.routed_ingress), dialect: PhantomData }
    }
}

impl<P, I> Handler for RoutedHandler<P, I>
where
    P: RoutingPolicy + Send + Sync + 'static,
    I: ExternalDialect,
{
    type Body = IngressBody;

    async fn handle(&self, request: Request<Incoming>, remote: SocketAddr) -> Response<IngressBody> {
        let routed_ingress = &self.routed_ingress;
        let request_id = request.headers().get(&routed_ingress.caller_fields.request_id).cloned();
        let mut response = match routed_ingress.accept(request, request_id.as_ref(), remote).await {
            Ok(response) => response.map(Either::Left),
            Err(answer) => {
                let mut response = I::error_response(&answer);
                if let Some(id) = request_id {
                    response.headers_mut().insert(routed_ingress.caller_fields.request_id.clone(), id);
                }
                response.map(|bytes| Either::Right(Full::new(bytes)))
            }
        };
        strip_node_fields(response.headers_mut());
        if routed_ingress.ingress.is_draining() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn connection_limits(&self, limits: ServerLimits) -> ServerLimits {
        self.routed_ingress.connection_limits(limits)
    }
}

impl<P> RoutedIngress<P>
where
    P: RoutingPolicy + Send + Sync + 'static,
{
    /// Finds the route of a request and completes the call under the route's limits.
    ///
    /// A step that rejects the request ends it; the later steps don't see it.
    async fn accept(
        &self,
        mut request: Request<Incoming>,
        request_id: Option<&HeaderValue>,
        remote: SocketAddr,
    ) -> Result<CallResponse> {
        let received_at = Instant::now();
        let table = self.routes()?;
        validate_request(&request, self.max_header_bytes(&table))?;
        let route = find_route(&table, &request)?;
        let caller = self.authentication.authenticate(&table, route, request.headers(), request_id)?;
        let published = published_service(&table, route.next_service())?;
        let config = service_config(published)?;
        let parameters = self.read_parameters(&request, request_id, route, UsualTimeout::record)?;
        self.set_node_fields(request.headers_mut());
        self.authentication.set_fields(&caller, request.headers_mut());
        let call = self.build_call(config, route, &parameters, caller, &published.service, remote);
        let received = self.received_request(request_id, route, remote, received_at);
        let mut unanswered = UnansweredRequest::new(received, call);
        let result = self.complete(&mut unanswered, config, route, request).await;
        self.record_result(&unanswered, route, &table, &result);
        result
    }

    /// Returns the limits of a new connection: those of the server, or of the configuration where it allows more.
    fn connection_limits(&self, limits: ServerLimits) -> ServerLimits {
        let Ok(table) = self.routes() else {
            return limits;
        };
        let CallerLimits { header_timeout_ms, idle_timeout_ms, .. } = table.limits();
        let timeout = Duration::from_millis(header_timeout_ms.max(idle_timeout_ms));
        ServerLimits {
            max_header_bytes: self.max_header_bytes(&table),
            header_timeout: limits.header_timeout.max(timeout),
            ..limits
        }
    }

    /// Returns the maximum size of a header section: that of the settings, or of the configuration if it is larger.
    pub(super) fn max_header_bytes(&self, table: &RouteTable) -> u32 {
        let configured = table.limits().max_header_bytes.saturating_add(FIELDS_OVERHEAD_BYTES);
        self.ingress.dependencies.max_header_bytes.max(configured)
    }

    /// Returns the configuration by which the whole request is handled.
    pub(super) fn routes(&self) -> Result<Arc<RouteTable>> {
        self.ingress.dependencies.config.routes().ok_or_else(no_configuration)
    }

    /// Reads the parameters; `waited` returns how long a caller with a given timeout has already waited.
    pub(super) fn read_parameters<B>(
        &self,
        request: &Request<B>,
        request_id: Option<&HeaderValue>,
        route: &Route,
        waited: fn(&UsualTimeout, Duration) -> Duration,
    ) -> Result<RequestParameters> {
        let caller_timeout = caller_timeout(request.headers(), &self.caller_fields.timeout_ms)?;
        let timeout = request_timeout(caller_timeout, route)?;
        let origin = self.origin(request_id);
        Ok(RequestParameters {
            timeout,
            objective: remaining_objective(caller_timeout, origin, route, waited),
            origin,
        })
    }

    /// Creates the call that the request makes, under a new identity.
    fn build_call(
        &self,
        config: &PublishedConfig,
        route: &Route,
        parameters: &RequestParameters,
        caller: CallerIdentity,
        service: &Arc<str>,
        remote: SocketAddr,
    ) -> IngressCall {
        let head = CallHead {
            service: Arc::clone(service),
            priority: call_priority(&caller, route),
            timeout: parameters.timeout,
            idempotent: route.spec.idempotent,
            caller: caller.tenant.as_ref().map(|tenant| Arc::clone(&tenant.name)),
            repeated: false,
        };
        let id = self.ingress.dependencies.ids.next();
        let id_header = HeaderValue::from_str(&id.to_string());
        let id_header = id_header.unwrap_or_else(|_| HeaderValue::from_static(""));
        let mut call = IngressCall::new(id, id_header, head, config, &self.ingress.dependencies.burn, remote);
        call.max_attempts = route.spec.max_attempts.max(1);
        call.origin = parameters.origin;
        call.uses_quota = uses_quota(&caller);
        call.tenant = caller.tenant;
        call.apply_route(parameters.objective, &route.typical_time);
        call
    }

    fn received_request(
        &self,
        request_id: Option<&HeaderValue>,
        route: &Route,
        remote: SocketAddr,
        received_at: Instant,
    ) -> ReceivedRequest {
        ReceivedRequest {
            request_id: request_id.cloned(),
            route: Arc::clone(&route.spec.name),
            remote,
            received_at,
            stop: Arc::clone(self.ingress.dependencies.gate.stop_state()),
        }
    }

    /// Completes the call and prepares the log line for an answer that does not reach its end.
    async fn complete(
        &self,
        unanswered: &mut UnansweredRequest,
        config: &PublishedConfig,
        route: &Route,
        request: Request<Incoming>,
    ) -> Result<CallResponse> {
        let mut result = self.complete_within_quota(&mut unanswered.call, config, route, request).await;
        unanswered.answered();
        if let Some(guard) = result.as_mut().ok().and_then(|response| response.body_mut().waiting_guard()) {
            guard.unfinished_answer = Some(Box::new(unanswered.unfinished_answer()));
        }
        result
    }

    /// Takes the token that the request needs, if its tenant has a limit, and completes the call.
    async fn complete_within_quota(
        &self,
        call: &mut IngressCall,
        config: &PublishedConfig,
        route: &Route,
        request: Request<Incoming>,
    ) -> Result<CallResponse> {
        let objective = Duration::from_millis(route.spec.objective_ms);
        self.ingress.take_token(call, objective).await?;
        self.ingress.complete_call(call, config, request).await
    }

    /// Logs the result of a request, and records a failure in the metrics.
    fn record_result(
        &self,
        unanswered: &UnansweredRequest,
        route: &Route,
        table: &RouteTable,
        result: &Result<CallResponse>,
    ) {
        let request_log = RequestLog::new(&unanswered.received, route, table);
        let call = &unanswered.call;
        match result {
            Ok(response) => request_log.log_response(call, response.status()),
            Err(answer) => {
                self.ingress.record_failure(call, answer);
                request_log.log_failure(call, answer);
            }
        }
    }

    /// Returns who makes the request: a caller, or the upstream beside this node while it executes another one.
    fn origin(&self, request_id: Option<&HeaderValue>) -> CallOrigin {
        let parent = request_id.and_then(|id| id.to_str().ok()).and_then(self.caller_fields.parent_request);
        match parent {
            Some(parent) if self.ingress.dependencies.gate.running_request(parent).is_some() => {
                CallOrigin::Upstream
            }
            _ => CallOrigin::Caller,
        }
    }

    /// Removes the fields that only nodes may send, and sets the caller's service, which only a node may set.
    ///
    /// The fields of the caller's connection go first: a caller may name any field as one of them, and one that a node
    /// has set by then would be removed.
    fn set_node_fields(&self, fields: &mut HeaderMap) {
        headers::strip_hop_by_hop(fields);
        strip_node_fields(fields);
        fields.remove(&self.caller_fields.caller_service);
        if let Some(service) = &self.own_service {
            fields.insert(self.caller_fields.caller_service.clone(), service.clone());
        }
    }
}

pub(super) fn find_route<'a, B>(table: &'a RouteTable, request: &Request<B>) -> Result<&'a Route> {
    let authority = request.uri().authority().map(http::uri::Authority::as_str);
    let host = authority.or_else(|| request.headers().get(HOST).and_then(|value| value.to_str().ok()));
    let path = request.uri().path();
    table.route_for(host.unwrap_or_default(), path).ok_or_else(|| {
        let message =
            format!("no route for host {host:?} and path {path:?} in configuration {}", table.version());
        ErrorAnswer::new(ErrorKind::UnknownRoute, message)
    })
}

/// Returns the time until the caller gives up, if the request names it.
fn caller_timeout(fields: &HeaderMap, name: &HeaderName) -> Result<Option<Duration>> {
    let Some(value) = fields.get(name) else {
        return Ok(None);
    };
    let millis = value.to_str().ok().and_then(whole_millis);
    let millis = millis.ok_or_else(|| {
        let message = format!("the field {name} is no whole number of milliseconds");
        ErrorAnswer::new(ErrorKind::MalformedRequest, message)
    })?;
    Ok(Some(Duration::from_millis(millis)))
}

/// Parses a whole number of milliseconds; one that is too large for the type is as good as the largest.
fn whole_millis(text: &str) -> Option<u64> {
    match text.parse::<u64>() {
        Ok(millis) => Some(millis),
        Err(error) => (*error.kind() == IntErrorKind::PosOverflow).then_some(u64::MAX),
    }
}

/// Returns the timeout of a request: that of its caller, limited by that of its route.
fn request_timeout(caller_timeout: Option<Duration>, route: &Route) -> Result<Duration> {
    let route_limit = route.spec.timeout_ms.map(Duration::from_millis);
    let timeout = caller_timeout.into_iter().chain(route_limit).min().unwrap_or(DEFAULT_TIMEOUT);
    if timeout.is_zero() {
        return Err(ErrorAnswer::new(ErrorKind::DeadlineBeforeStart, "the request came with no time left"));
    }
    Ok(timeout)
}

/// Returns the time left until the route's objective, after what its caller has already waited.
fn remaining_objective(
    caller_timeout: Option<Duration>,
    origin: CallOrigin,
    route: &Route,
    waited: fn(&UsualTimeout, Duration) -> Duration,
) -> Duration {
    // The timeout of a nested call says what is left to the call that waits for it, not how long it waited.
    let timeout = caller_timeout.filter(|_| origin == CallOrigin::Caller);
    let waited = timeout.map(|timeout| waited(&route.usual_timeout, timeout)).unwrap_or_default();
    Duration::from_millis(route.spec.objective_ms).saturating_sub(waited)
}

/// Returns the rank of a request's priority: that of its tenant, or else that of its route.
pub(super) fn call_priority(caller: &CallerIdentity, route: &Route) -> u8 {
    gate_rank(caller.priority().unwrap_or(route.spec.priority))
}

/// Returns whether a request counts towards the quota of its tenant.
pub(super) fn uses_quota(caller: &CallerIdentity) -> bool {
    caller.source == IdentitySource::Key
}

/// Returns the publication of a destination of a route, both of one version.
pub(super) fn published_service<'a>(
    table: &'a RouteTable,
    service: Option<&Arc<str>>,
) -> Result<&'a Arc<Published>> {
    service.and_then(|service| table.service(service)).ok_or_else(no_upstream_error)
}

pub(super) fn service_config(published: &Published) -> Result<&PublishedConfig> {
    published.config.as_ref().ok_or_else(no_upstream_error)
}

pub(super) fn no_configuration() -> ErrorAnswer {
    ErrorAnswer::new(ErrorKind::NoConfiguration, "no configuration is known yet")
        .retry_after(GATE_RETRY_AFTER)
}
