//! The answer that a caller gets in place of an upstream's.

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

/// A refusal or a failure, ready to be written to the caller.
#[derive(Clone, Debug)]
pub struct ErrorAnswer {
    /// What happened.
    pub kind: ErrorKind,
    /// One sentence for a person.
    pub message: String,
    /// What is proved about execution; weaker than the kind's row when bytes went out already.
    pub execution: Execution,
    /// When the same request may be worth sending again.
    pub retry_after: Option<Duration>,
}

/// The machine-readable body of an [`ErrorAnswer`].
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
    /// An answer without a retry hint.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into(), execution: kind.row().execution, retry_after: None }
    }

    /// The same answer with a hint when to send again.
    #[must_use]
    pub const fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// The same answer for a call of which bytes may have reached an upstream.
    #[must_use]
    pub const fn maybe_executed(mut self) -> Self {
        self.execution = Execution::OutcomeUnknown;
        self
    }

    /// The complete HTTP response, with the body as bytes.
    #[must_use]
    pub fn into_response(self, call: Option<&CallId>) -> Response<Bytes> {
        let row = self.kind.row();
        let body = ErrorBody {
            error: row.name,
            execution: self.execution,
            retryable: row.retryable,
            retry_after_ms: self.retry_after.map(millis),
            message: &self.message,
            call: call.map(ToString::to_string),
        };
        let bytes = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = Response::new(Bytes::from(bytes));
        *response.status_mut() = row.status;
        let fields = response.headers_mut();
        fields.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        fields.insert(headers::ERROR, HeaderValue::from_static(row.name));
        fields.insert(headers::EXECUTION, HeaderValue::from_static(self.execution.name()));
        if let Some(after) = self.retry_after {
            fields.insert(headers::RETRY_AFTER_MS, HeaderValue::from(millis(after)));
            fields.insert(RETRY_AFTER, HeaderValue::from(after.as_secs() + 1));
        }
        response
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
