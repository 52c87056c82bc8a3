//! Error answers that a node sends in place of an upstream's answer.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use serde::Serialize;

use crate::protocol::call_id::CallId;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::error_kind::Execution;
use crate::protocol::headers;
use crate::protocol::load_report::LoadReport;

/// A rejection or failure of a call, as reported to the caller.
#[derive(Clone, Debug)]
pub struct ErrorAnswer {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Human-readable explanation, one sentence.
    pub message: String,
    /// What is known about execution; `OutcomeUnknown` once bytes of the call may have reached an upstream,
    /// whatever the default of the kind is.
    pub execution: Execution,
    /// Recommended delay before the request is sent again.
    pub retry_after: Option<Duration>,
    /// Load of the gate that rejected the call; sent to the ingress, not to the caller.
    pub load: Option<LoadReport>,
}

/// JSON body of an [`ErrorAnswer`].
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'static str,
    execution: Execution,
    retryable: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    call: Option<String>,
}

impl ErrorAnswer {
    /// Creates an answer with the kind's default execution state and without a retry hint.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        let execution = kind.properties().execution;
        Self { kind, message: message.into(), execution, retry_after: None, load: None }
    }

    /// Adds the delay after which the request may be sent again.
    #[must_use]
    pub const fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Adds the load of the gate that produces the answer.
    #[must_use]
    pub const fn with_load(mut self, load: LoadReport) -> Self {
        self.load = Some(load);
        self
    }

    /// Marks the outcome as unknown, since bytes of the call may have reached an upstream.
    #[must_use]
    pub const fn with_unknown_outcome(mut self) -> Self {
        self.execution = Execution::OutcomeUnknown;
        self
    }

    /// Builds the complete HTTP response; `call` is named in the body if given.
    #[must_use]
    pub fn into_response(self, call: Option<&CallId>) -> Response<Bytes> {
        let properties = self.kind.properties();
        let body = ErrorBody {
            error: properties.name,
            execution: self.execution,
            retryable: properties.retryable,
            retry_after_ms: self.retry_after.map(saturating_millis),
            message: &self.message,
            call: call.map(ToString::to_string),
        };
        let bytes = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = Response::new(Bytes::from(bytes));
        *response.status_mut() = properties.status;
        let fields = response.headers_mut();
        fields.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        fields.insert(headers::ERROR, HeaderValue::from_static(properties.name));
        fields.insert(headers::EXECUTION, HeaderValue::from_static(self.execution.name()));
        if let Some(delay) = self.retry_after {
            fields.insert(headers::RETRY_AFTER_MS, HeaderValue::from(saturating_millis(delay)));
            fields.insert(RETRY_AFTER, HeaderValue::from(delay.as_secs() + 1));
        }
        response
    }
}

fn saturating_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
