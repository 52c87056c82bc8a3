//! Taking requests that name a host and a path, and leave the rest to the routes.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::HOST;
use http_body_util::Either;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::coordination::routing::RoutingPolicy;
use crate::log_event_limited;
use crate::protocol::answer::ErrorAnswer;
use crate::protocol::call_head::CallHead;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::external_fields::CallerFields;
use crate::state::route_table::Route;
use crate::state::route_table::RouteTable;
use crate::state::route_table::rank;
use crate::transport::call_attempts::CallResponse;
use crate::transport::external_dialect::ExternalDialect;
use crate::transport::gate::GATE_RETRY_AFTER;
use crate::transport::http_server::Handler;
use crate::transport::ingress::Ingress;
use crate::transport::ingress::IngressBody;
use crate::transport::ingress::Result;
use crate::transport::ingress::no_upstream_error;
use crate::transport::ingress_call::IngressCall;
use crate::transport::upstream_fields::strip_node_fields;

/// Time that a request has when neither it nor its route says so.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// What a routed ingress knows beside the ingress itself.
#[derive(Debug)]
struct Entrance<P> {
    ingress: Arc<Ingress<P>>,
    fields: CallerFields,
    /// Service of the VM that the node stands on.
    own_service: Option<HeaderValue>,
}

/// An ingress that finds services by routes, as the server takes it.
#[derive(Debug)]
pub struct RoutedHandler<P, I> {
    entrance: Arc<Entrance<P>>,
    dialect: PhantomData<fn() -> I>,
}

impl<P, I> RoutedHandler<P, I>
where
    I: ExternalDialect,
{
    /// A handler over the ingress of a node on the VM of `own_service`.
    #[must_use]
    pub fn new(ingress: Arc<Ingress<P>>, own_service: Option<&str>) -> Self {
        let own_service = own_service.and_then(|name| HeaderValue::from_str(name).ok());
        let entrance = Entrance { ingress, fields: I::caller_fields(), own_service };
        Self { entrance: Arc::new(entrance), dialect: PhantomData }
    }
}

impl<P, I> Clone for RoutedHandler<P, I> {
    fn clone(&self) -> Self {
        Self { entrance: Arc::clone(&self.entrance), dialect: PhantomData }
    }
}

impl<P, I> Handler for RoutedHandler<P, I>
where
    P: RoutingPolicy + Send + Sync + 'static,
    I: ExternalDialect,
{
    type Body = IngressBody;

    async fn handle(&self, request: Request<Incoming>, remote: SocketAddr) -> Response<IngressBody> {
        let entrance = &self.entrance;
        let request_id = request.headers().get(&entrance.fields.request_id).cloned();
        let mut response = match entrance.accept(request, request_id.as_ref(), remote).await {
            Ok(response) => response.map(Either::Left),
            Err(answer) => {
                let mut response = I::error_response(&answer);
                if let Some(id) = request_id {
                    response.headers_mut().insert(entrance.fields.request_id.clone(), id);
                }
                response.map(|bytes| Either::Right(Full::new(bytes)))
            }
        };
        strip_node_fields(response.headers_mut());
        if entrance.ingress.is_draining() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

impl<P> Entrance<P>
where
    P: RoutingPolicy + Send + Sync + 'static,
{
    async fn accept(
        &self,
        mut request: Request<Incoming>,
        request_id: Option<&HeaderValue>,
        remote: SocketAddr,
    ) -> Result<CallResponse> {
        let arrived = Instant::now();
        self.ingress.validate_request(&request)?;
        let table = self.ingress.dependencies.config.routes().ok_or_else(no_configuration)?;
        let route = find_route(&table, &request)?;
        let service = route.next_service().ok_or_else(no_upstream_error)?;
        let published = self.ingress.dependencies.config.get(service).ok_or_else(no_upstream_error)?;
        let config = published.config.as_ref().ok_or_else(no_upstream_error)?;
        let head = CallHead {
            service: Arc::clone(service),
            priority: rank(route.spec.priority),
            timeout: timeout(request.headers(), &self.fields.timeout_ms, route)?,
            idempotent: route.spec.idempotent,
            caller: None,
            repeated: false,
        };
        self.prepare(request.headers_mut());
        let id = self.ingress.dependencies.ids.next();
        let id_header = HeaderValue::from_str(&id.to_string());
        let id_header = id_header.unwrap_or_else(|_| HeaderValue::from_static(""));
        let mut call = IngressCall::new(id, id_header, head, config, &self.ingress.dependencies.burn, remote);
        call.max_attempts = route.spec.max_attempts.max(1);
        call.apply_route(Duration::from_millis(route.spec.objective_ms), &route.typical_time);
        let result = self.ingress.complete_call(&mut call, config, request).await;
        let taken = Taken { request_id, route, version: table.version(), took: arrived.elapsed() };
        match &result {
            Ok(response) => taken.log_answer(&call, response.status()),
            Err(answer) => {
                self.ingress.record_failure(&call, answer);
                taken.log_failure(&call, answer);
            }
        }
        result
    }

    /// Sets what only a node may say, and removes what only nodes may send.
    fn prepare(&self, fields: &mut HeaderMap) {
        strip_node_fields(fields);
        fields.remove(&self.fields.caller_service);
        if let Some(service) = &self.own_service {
            fields.insert(self.fields.caller_service.clone(), service.clone());
        }
    }
}

/// A request that was taken in, for the log.
struct Taken<'a> {
    request_id: Option<&'a HeaderValue>,
    route: &'a Route,
    version: &'a Arc<str>,
    took: Duration,
}

impl Taken<'_> {
    fn request_id(&self) -> &str {
        self.request_id.and_then(|id| id.to_str().ok()).unwrap_or("none")
    }

    /// An answer in time that is no failure explains itself and is not written.
    fn log_answer(&self, call: &IngressCall, status: StatusCode) {
        let objective = Duration::from_millis(self.route.spec.objective_ms);
        if self.took <= objective && !status.is_server_error() {
            return;
        }
        log_event_limited!(
            Info,
            "request answered late or failed by its upstream",
            request = self.request_id(),
            call = &call.id,
            route = &self.route.spec.name,
            config = self.version,
            service = &call.head.service,
            status = status.as_u16(),
            gate = call.last_gate.as_deref().unwrap_or("none"),
            gates_tried = call.gates_attempted,
            took_ms = self.took.as_millis(),
            objective_ms = self.route.spec.objective_ms,
            usual_ms = call.typical_time().unwrap_or_default().as_millis(),
        );
    }

    fn log_failure(&self, call: &IngressCall, answer: &ErrorAnswer) {
        log_event_limited!(
            Info,
            "request not served",
            request = self.request_id(),
            call = &call.id,
            route = &self.route.spec.name,
            config = self.version,
            service = &call.head.service,
            error = answer.kind,
            execution = answer.execution.name(),
            reason = &answer.message,
            gate = call.last_gate.as_deref().unwrap_or("none"),
            gates_tried = call.gates_attempted,
            retry_after_ms = answer.retry_after.unwrap_or_default().as_millis(),
            took_ms = self.took.as_millis(),
        );
    }
}

fn find_route<'a>(table: &'a RouteTable, request: &Request<Incoming>) -> Result<&'a Route> {
    let named = request.uri().authority().map(http::uri::Authority::as_str);
    let host = named.or_else(|| request.headers().get(HOST).and_then(|value| value.to_str().ok()));
    let path = request.uri().path();
    table.find(host.unwrap_or_default(), path).ok_or_else(|| {
        let message =
            format!("no route for host {host:?} and path {path:?} in configuration {}", table.version());
        ErrorAnswer::new(ErrorKind::UnknownRoute, message)
    })
}

/// Time that a request has: what its caller waits, but no longer than its route allows.
fn timeout(fields: &HeaderMap, name: &HeaderName, route: &Route) -> Result<Duration> {
    let asked = match fields.get(name) {
        None => None,
        Some(value) => {
            let millis = value.to_str().ok().and_then(|text| text.parse().ok());
            Some(Duration::from_millis(millis.ok_or_else(|| {
                let message = format!("the field {name} is no whole number of milliseconds");
                ErrorAnswer::new(ErrorKind::MalformedRequest, message)
            })?))
        }
    };
    let allowed = route.spec.timeout_ms.map(Duration::from_millis);
    let timeout = asked.into_iter().chain(allowed).min().unwrap_or(DEFAULT_TIMEOUT);
    if timeout.is_zero() {
        return Err(ErrorAnswer::new(ErrorKind::DeadlineBeforeStart, "the request came with no time left"));
    }
    Ok(timeout)
}

fn no_configuration() -> ErrorAnswer {
    ErrorAnswer::new(ErrorKind::NoConfiguration, "no configuration is known yet")
        .retry_after(GATE_RETRY_AFTER)
}
