//! The request that is sent to a gate, once for each attempt of a call.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::request::Parts;
use tokio::time::Instant;

use crate::protocol::answer::ErrorAnswer;
use crate::protocol::call_head::CallOrigin;
use crate::protocol::call_head::origin_form;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::error_kind::Execution;
use crate::protocol::headers;
use crate::transport::call_body::BodyLimitFlag;
use crate::transport::call_body::CallBody;
use crate::transport::ingress_call::IngressCall;

/// Parameters in which one attempt may differ from others of its call.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptOptions {
    /// Maximum gate latency, queueing and execution together.
    ///
    /// The gate rejects an attempt that it expects to take longer. None if the gate decides by its own rules.
    pub(super) max_gate_latency: Option<Duration>,
    /// Whether the upstream may repeat work of an earlier attempt.
    pub(super) repeated: bool,
}

/// Header section and body from which the request of each attempt is built.
#[derive(Debug)]
pub(super) struct OutgoingRequest {
    pub(super) parts: Parts,
    pub(super) body: OutgoingRequestBody,
}

/// Body of a request, buffered for further attempts or streamed once.
#[derive(Debug)]
pub(super) enum OutgoingRequestBody {
    Buffered { data: Bytes, trailers: Option<HeaderMap> },
    Streamed { body: Option<CallBody>, limit_flag: Arc<BodyLimitFlag> },
}

impl OutgoingRequest {
    /// Returns the request for the next attempt, or none if its streamed body was already sent.
    pub(super) fn next_attempt_request(
        &mut self,
        call: &IngressCall,
        options: AttemptOptions,
    ) -> Option<Request<CallBody>> {
        let body = match &mut self.body {
            OutgoingRequestBody::Buffered { data, trailers } => {
                CallBody::buffered(data.clone(), trailers.clone())
            }
            OutgoingRequestBody::Streamed { body, .. } => body.take()?,
        };
        let mut request = Request::from_parts(self.parts.clone(), body);
        *request.uri_mut() = origin_form(&self.parts.uri);
        *request.version_mut() = http::Version::default();
        let remaining = call.deadline.saturating_duration_since(Instant::now());
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        let fields = request.headers_mut();
        fields.insert(headers::CALL, call.id_header.clone());
        insert(fields, headers::SERVICE, &call.head.service);
        insert(fields, headers::PRIORITY, &call.priority_name);
        insert(fields, headers::CALLER, &call.caller);
        fields.insert(headers::TIMEOUT_MS, HeaderValue::from(remaining_ms));
        insert(fields, headers::IDEMPOTENT, if call.head.idempotent { "true" } else { "false" });
        if options.repeated || call.head.repeated {
            fields.insert(headers::REPEAT, HeaderValue::from_static("true"));
        }
        fields.remove(headers::NESTED);
        if call.origin == CallOrigin::Upstream {
            fields.insert(headers::NESTED, HeaderValue::from_static("true"));
        }
        fields.remove(headers::TENANT);
        if let Some(tenant) = &call.tenant {
            insert(fields, headers::TENANT, &tenant.name);
        }
        fields.remove(headers::RESOLVE);
        fields.remove(headers::START_WITHIN_MS);
        fields.remove(headers::OBJECTIVE_MS);
        fields.remove(headers::TYPICAL_TIME_MS);
        if let Some(start_by) = call.start_by() {
            let start_within = start_by.saturating_duration_since(Instant::now());
            insert(fields, headers::START_WITHIN_MS, &start_within.as_millis().to_string());
        }
        if let Some(typical_time) = call.typical_time() {
            insert(fields, headers::TYPICAL_TIME_MS, &typical_time.as_millis().to_string());
        }
        if let Some(objective_at) = call.objective_at {
            let remaining = objective_at.saturating_duration_since(Instant::now());
            insert(fields, headers::OBJECTIVE_MS, &remaining.as_millis().to_string());
        }
        fields.remove(headers::MAX_GATE_LATENCY_US);
        if let Some(max_gate_latency) = options.max_gate_latency {
            insert(fields, headers::MAX_GATE_LATENCY_US, &max_gate_latency.as_micros().to_string());
        }
        Some(request)
    }

    /// Returns whether the body can be sent more than once.
    pub(super) const fn is_replayable(&self) -> bool {
        matches!(self.body, OutgoingRequestBody::Buffered { .. })
    }

    /// Replaces the error of a failed attempt if the attempt failed because its streamed body was too large.
    pub(super) fn with_body_error(&self, answer: ErrorAnswer) -> ErrorAnswer {
        let OutgoingRequestBody::Streamed { limit_flag, .. } = &self.body else {
            return answer;
        };
        if !limit_flag.exceeded() {
            return answer;
        }
        let too_large_answer =
            ErrorAnswer::new(ErrorKind::BodyTooLarge, "the body is larger than the service accepts");
        match answer.execution {
            Execution::NotExecuted => too_large_answer,
            Execution::OutcomeUnknown => too_large_answer.with_unknown_outcome(),
        }
    }
}

/// Sets a field, unless the value can't be written in a header.
fn insert(fields: &mut HeaderMap, name: http::HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
        fields.insert(name, value);
    }
}
