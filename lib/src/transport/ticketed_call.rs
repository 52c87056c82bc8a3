//! Calls with an idempotency key that a node issued: one gate alone may run each.

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
use crate::protocol::member::MemberState;
use crate::protocol::published::PublishedConfig;
use crate::protocol::ticket::Ticket;
use crate::state::directory::DirectoryEntry;
use crate::transport::call_attempts::Answered;
use crate::transport::call_attempts::Wanted;
use crate::transport::ingress::Ingress;
use crate::transport::ingress::IngressBody;
use crate::transport::ingress::Result;
use crate::transport::ingress::no_upstream;
use crate::transport::ingress::refusal;
use crate::transport::ingress::unproved;
use crate::transport::ingress_call::Call;
use crate::transport::outgoing_call::Outgoing;

impl<P> Ingress<P>
where
    P: RoutingPolicy + Send + Sync + 'static,
{
    /// Issues a ticket for one call to the service that the request names.
    pub(super) fn issue(&self, id: CallId, request: &Request<Incoming>) -> Response<IngressBody> {
        match self.ticket_field(id, request) {
            Ok(ticket) => {
                let mut response = Response::new(Either::Right(Full::default()));
                *response.status_mut() = StatusCode::CREATED;
                response.headers_mut().insert(headers::IDEMPOTENCY_KEY, ticket);
                response
            }
            Err(answer) => refusal(answer, None),
        }
    }

    fn ticket_field(&self, id: CallId, request: &Request<Incoming>) -> Result<HeaderValue> {
        let service = service_name(request.headers(), request.method())?;
        let published = self.parts.config.get(&service);
        let config = published.as_ref().and_then(|published| published.config.as_ref());
        let wanted = Wanted {
            service: &service,
            priority: 0,
            objective: Duration::ZERO,
            typical_time: Duration::ZERO,
        };
        let plan = config.and_then(|config| self.choose(wanted, config, false, |_| false));
        let gate = plan.ok_or_else(no_upstream)?.entry.member.id.clone();
        HeaderValue::from_str(&Ticket { gate, call: id }.to_string()).map_err(|error| {
            ErrorAnswer::new(ErrorKind::Internal, format!("a ticket that is no field: {error}"))
        })
    }

    /// Sends a call with a ticket to the only gate that may run it.
    pub(super) async fn redeem(
        &self,
        call: &Call,
        config: &PublishedConfig,
        ticket: &Ticket,
        mut outgoing: Outgoing,
    ) -> Result<Answered> {
        let entry = self.ticket_gate(call, ticket)?;
        let answer = self.only_attempt(call, config, entry, &mut outgoing).await;
        answer.map_err(|answer| outgoing.explain(answer))
    }

    fn ticket_gate(&self, call: &Call, ticket: &Ticket) -> Result<DirectoryEntry> {
        let snapshot = self.parts.directory.snapshot();
        let entry = snapshot.by_name(&ticket.gate.name).filter(|entry| entry.member.id == ticket.gate);
        let entry = entry.filter(|entry| entry.member.state != MemberState::Dead).ok_or_else(|| {
            let message = "the node that this idempotency key names is gone; the call may have run there";
            ErrorAnswer::new(ErrorKind::OutcomeUnknown, message)
        })?;
        let served = entry.member.upstream.as_ref().map(|upstream| &upstream.service);
        if served.is_some_and(|service| *service != call.head.service) {
            let message = "this idempotency key was issued for another service";
            let refused = ErrorAnswer::new(ErrorKind::MalformedRequest, message);
            return Err(unproved(refused, true));
        }
        Ok(entry.clone())
    }
}
