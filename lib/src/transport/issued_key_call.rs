//! Calls with an idempotency key that a node issued: only the gate named in the key may execute the call.

use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Either;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::coordination::routing::RoutingPolicy;
use crate::protocol::answer::ErrorAnswer;
use crate::protocol::call_head::service_name;
use crate::protocol::call_id::CallId;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::headers;
use crate::protocol::issued_key::IssuedKey;
use crate::protocol::member::MemberState;
use crate::protocol::published::PublishedConfig;
use crate::state::directory::DirectoryEntry;
use crate::transport::call_attempts::CallResponse;
use crate::transport::call_attempts::UpstreamRequirements;
use crate::transport::ingress::Ingress;
use crate::transport::ingress::IngressBody;
use crate::transport::ingress::Result;
use crate::transport::ingress::error_response;
use crate::transport::ingress::mark_possibly_executed;
use crate::transport::ingress::no_upstream_error;
use crate::transport::ingress_call::IngressCall;
use crate::transport::outgoing_request::OutgoingRequest;

impl<P> Ingress<P>
where
    P: RoutingPolicy + Send + Sync + 'static,
{
    /// Issues an idempotency key for one call to the service that the request names.
    pub(super) fn issue_key_response(
        &self,
        id: CallId,
        request: &Request<Incoming>,
    ) -> Response<IngressBody> {
        match self.issue_key(id, request) {
            Ok(issued_key) => {
                let mut response = Response::new(Either::Right(Full::default()));
                *response.status_mut() = StatusCode::CREATED;
                response.headers_mut().insert(headers::IDEMPOTENCY_KEY, issued_key);
                response
            }
            Err(answer) => error_response(answer, None),
        }
    }

    /// Chooses a gate for the call and returns an idempotency key that names both.
    fn issue_key(&self, id: CallId, request: &Request<Incoming>) -> Result<HeaderValue> {
        let service = service_name(request.headers(), request.method())?;
        let published = self.dependencies.config.get(&service);
        let config = published.as_ref().and_then(|published| published.config.as_ref());
        let requirements = UpstreamRequirements {
            service: &service,
            priority: 0,
            objective: Duration::ZERO,
            typical_time: Duration::ZERO,
        };
        let budgets = self.budgets(&service);
        let plan =
            config.and_then(|config| self.choose_gate(requirements, config, &budgets, false, |_| false));
        let gate = plan.ok_or_else(no_upstream_error)?.entry.member.id.clone();
        HeaderValue::from_str(&IssuedKey { gate, call: id }.to_string()).map_err(|error| {
            ErrorAnswer::new(ErrorKind::Internal, format!("a ticket that is no field: {error}"))
        })
    }

    /// Sends a call with an issued idempotency key to the only gate that may execute it.
    pub(super) async fn attempt_at_issuing_gate(
        &self,
        call: &IngressCall,
        config: &PublishedConfig,
        issued_key: &IssuedKey,
        mut outgoing: OutgoingRequest,
    ) -> Result<CallResponse> {
        let entry = self.gate_of_key(call, issued_key)?;
        let answer = self.single_attempt(call, config, entry, &mut outgoing).await;
        answer.map_err(|answer| outgoing.with_body_error(answer))
    }

    /// Returns the gate that an issued idempotency key names.
    ///
    /// # Errors
    ///
    /// Returns an error if that incarnation of the gate no longer runs, or if it serves another service.
    fn gate_of_key(&self, call: &IngressCall, issued_key: &IssuedKey) -> Result<DirectoryEntry> {
        let snapshot = self.dependencies.directory.snapshot();
        let entry =
            snapshot.by_name(&issued_key.gate.name).filter(|entry| entry.member.id == issued_key.gate);
        let entry = entry.filter(|entry| entry.member.state != MemberState::Dead).ok_or_else(|| {
            let message = "the node that this idempotency key names is gone; the call may have run there";
            ErrorAnswer::new(ErrorKind::OutcomeUnknown, message)
        })?;
        let served_service = entry.member.upstream.as_ref().map(|upstream| &upstream.service);
        if served_service.is_some_and(|service| *service != call.head.service) {
            let message = "this idempotency key was issued for another service";
            let error = ErrorAnswer::new(ErrorKind::MalformedRequest, message);
            return Err(mark_possibly_executed(error, true));
        }
        Ok(entry.clone())
    }
}
