//! The request of a call, as it goes out once or more.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::request::Parts;
use tokio::time::Instant;

use crate::protocol::answer::ErrorAnswer;
use crate::protocol::call_head::origin_form;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::error_kind::Execution;
use crate::protocol::headers;
use crate::transport::call_body::BodyWatch;
use crate::transport::call_body::CallBody;
use crate::transport::ingress_call::Call;

/// How one attempt differs from the others of its call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leg {
    /// Longest time in all for which it should stay at its gate.
    pub(super) patience: Option<Duration>,
    /// Whether the upstream may have to do the work of an earlier attempt again.
    pub(super) repeated: bool,
}

/// What is needed to send the same request again.
#[derive(Debug)]
pub(super) struct Outgoing {
    pub(super) parts: Parts,
    pub(super) body: OutgoingBody,
}

/// The body of a request: kept for another attempt, or passed on as it comes.
#[derive(Debug)]
pub(super) enum OutgoingBody {
    Kept { data: Bytes, trailers: Option<HeaderMap> },
    Stream { body: Option<CallBody>, watch: Arc<BodyWatch> },
}

impl Outgoing {
    /// The request for the next attempt, or nothing when its body is gone.
    pub(super) fn next_request(&mut self, call: &Call, leg: Leg) -> Option<Request<CallBody>> {
        let body = match &mut self.body {
            OutgoingBody::Kept { data, trailers } => CallBody::kept(data.clone(), trailers.clone()),
            OutgoingBody::Stream { body, .. } => body.take()?,
        };
        let mut request = Request::from_parts(self.parts.clone(), body);
        *request.uri_mut() = origin_form(&self.parts.uri);
        *request.version_mut() = http::Version::default();
        let left = call.deadline.saturating_duration_since(Instant::now());
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let fields = request.headers_mut();
        fields.insert(headers::CALL, call.id_field.clone());
        insert(fields, headers::SERVICE, &call.head.service);
        insert(fields, headers::PRIORITY, &call.priority_name);
        insert(fields, headers::CALLER, &call.caller);
        fields.insert(headers::TIMEOUT_MS, HeaderValue::from(left_ms));
        insert(fields, headers::IDEMPOTENT, if call.head.idempotent { "true" } else { "false" });
        if leg.repeated || call.head.repeated {
            fields.insert(headers::REPEAT, HeaderValue::from_static("true"));
        }
        fields.remove(headers::RESOLVE);
        fields.remove(headers::START_WITHIN_MS);
        fields.remove(headers::OBJECTIVE_MS);
        fields.remove(headers::USUAL_MS);
        if let Some(start_by) = call.start_by() {
            let within = start_by.saturating_duration_since(Instant::now());
            insert(fields, headers::START_WITHIN_MS, &within.as_millis().to_string());
        }
        if let Some(usual) = call.usual_time() {
            insert(fields, headers::USUAL_MS, &usual.as_millis().to_string());
        }
        if let Some(objective_at) = call.objective_at {
            let left = objective_at.saturating_duration_since(Instant::now());
            insert(fields, headers::OBJECTIVE_MS, &left.as_millis().to_string());
        }
        fields.remove(headers::PATIENCE_US);
        if let Some(patience) = leg.patience {
            insert(fields, headers::PATIENCE_US, &patience.as_micros().to_string());
        }
        Some(request)
    }

    /// Whether the same body can be sent more than once.
    pub(super) const fn can_repeat(&self) -> bool {
        matches!(self.body, OutgoingBody::Kept { .. })
    }

    /// The answer to the caller when an attempt failed because of its own body.
    pub(super) fn explain(&self, answer: ErrorAnswer) -> ErrorAnswer {
        let OutgoingBody::Stream { watch, .. } = &self.body else {
            return answer;
        };
        if !watch.too_large() {
            return answer;
        }
        let refused =
            ErrorAnswer::new(ErrorKind::BodyTooLarge, "the body is larger than the service accepts");
        match answer.execution {
            Execution::NotExecuted => refused,
            Execution::OutcomeUnknown => refused.maybe_executed(),
        }
    }
}

fn insert(fields: &mut HeaderMap, name: http::HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        fields.insert(name, value);
    }
}
