//! Log lines of the requests that an ingress of an external dialect has handled.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::StatusCode;

use crate::log_event_limited;
use crate::protocol::answer::ErrorAnswer;
use crate::state::route_table::Route;
use crate::state::route_table::RouteTable;
use crate::transport::ingress_call::IngressCall;
use crate::transport::unfinished_request::ReceivedRequest;

/// Data of a request for its log line.
#[derive(Debug)]
pub(super) struct RequestLog<'a> {
    request_id: Option<&'a HeaderValue>,
    route: &'a Route,
    version: &'a Arc<str>,
    elapsed: Duration,
}

impl<'a> RequestLog<'a> {
    pub(super) fn new(received: &'a ReceivedRequest, route: &'a Route, table: &'a RouteTable) -> Self {
        Self {
            request_id: received.request_id.as_ref(),
            route,
            version: table.version(),
            elapsed: received.received_at.elapsed(),
        }
    }

    fn request_id(&self) -> &str {
        self.request_id.and_then(|id| id.to_str().ok()).unwrap_or("none")
    }

    /// Logs a response that missed the objective or has a server error; other responses are not logged.
    pub(super) fn log_response(&self, call: &IngressCall, status: StatusCode) {
        let objective = Duration::from_millis(self.route.spec.objective_ms);
        if self.elapsed <= objective && !status.is_server_error() {
            return;
        }
        log_event_limited!(
            Info,
            "request missed its objective or failed at its upstream",
            request = self.request_id(),
            call = &call.id,
            route = &self.route.spec.name,
            config = self.version,
            service = &call.head.service,
            tenant = tenant_name(call),
            status = status.as_u16(),
            gate = call.last_gate.as_deref().unwrap_or("none"),
            gates_tried = call.gates_attempted,
            took_ms = self.elapsed.as_millis(),
            objective_ms = self.route.spec.objective_ms,
            usual_ms = call.typical_time().unwrap_or_default().as_millis(),
        );
    }

    /// Logs a request to which the node itself responds with an error.
    pub(super) fn log_failure(&self, call: &IngressCall, answer: &ErrorAnswer) {
        log_event_limited!(
            Info,
            "request failed",
            request = self.request_id(),
            call = &call.id,
            route = &self.route.spec.name,
            config = self.version,
            service = &call.head.service,
            tenant = tenant_name(call),
            error = answer.kind,
            execution = answer.execution.name(),
            reason = &answer.message,
            gate = call.last_gate.as_deref().unwrap_or("none"),
            gates_tried = call.gates_attempted,
            retry_after_ms = answer.retry_after.unwrap_or_default().as_millis(),
            took_ms = self.elapsed.as_millis(),
        );
    }
}

/// Returns the name of the call's tenant for a log line.
fn tenant_name(call: &IngressCall) -> &str {
    call.tenant.as_ref().map_or("none", |tenant| &tenant.name)
}
