//! Responses of other nodes to calls: which of them a gate made, and the errors that they describe.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use snafu::Snafu;
use snafu::ensure;

use crate::protocol::answer::ErrorAnswer;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::error_kind::Execution;
use crate::protocol::final_status::is_final_status;
use crate::protocol::headers;

/// Result of reading a response; the error is the answer to the caller.
pub(super) type Result<T, E = ErrorAnswer> = std::result::Result<T, E>;

/// Reason why a response of a node is no answer to the call that the node was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub(super) enum PeerResponseError {
    /// The status does not end a request.
    #[snafu(display("the upstream's gate answered with status {status}, which is not final"))]
    NotFinal { status: u16 },
    /// The node responded without passing the call to its gate.
    #[snafu(display("a node answered with status {status} in place of its gate"))]
    NotFromGate { status: u16 },
}

/// Checks that a response is final and that a gate made it.
///
/// A gate adds its load to an upstream's response, and the kind to an error. Other parts of a node, such as its HTTP
/// library, respond with neither.
///
/// # Errors
///
/// Returns what is missing; the call may have been executed then.
pub(super) fn check_response(status: StatusCode, fields: &HeaderMap) -> Result<(), PeerResponseError> {
    let is_from_gate = fields.contains_key(headers::LOAD) || fields.contains_key(headers::ERROR);
    ensure!(is_final_status(status), NotFinalSnafu { status: status.as_u16() });
    ensure!(is_from_gate, NotFromGateSnafu { status: status.as_u16() });
    Ok(())
}

/// Returns the response, or the error answer that its header fields describe.
///
/// # Errors
///
/// Returns the error answer of the gate.
pub(super) fn response_or_error<B>(response: Response<B>) -> Result<Response<B>> {
    let fields = response.headers();
    match fields.get(headers::ERROR) {
        None => Ok(response),
        Some(kind) => Err(error_answer(kind, fields)),
    }
}

/// Returns the error answer of a gate, with the kind that `kind` names.
fn error_answer(kind: &HeaderValue, fields: &HeaderMap) -> ErrorAnswer {
    let execution = fields.get(headers::EXECUTION).map(HeaderValue::as_bytes);
    let is_not_executed = execution == Some(Execution::NotExecuted.name().as_bytes());
    // A kind that only later versions know is replaced by one that proves as much.
    let substitute = if is_not_executed { ErrorKind::NoUpstream } else { ErrorKind::OutcomeUnknown };
    let kind = kind.to_str().ok().and_then(ErrorKind::from_name).unwrap_or(substitute);
    let mut answer = ErrorAnswer::new(kind, "the upstream's gate refused or lost the call");
    answer.load = parse(fields, &headers::LOAD);
    if execution.is_some() && !is_not_executed {
        answer = answer.with_unknown_outcome();
    }
    match parse(fields, &headers::RETRY_AFTER_MS) {
        Some(millis) => answer.retry_after(Duration::from_millis(millis)),
        None => answer,
    }
}

/// Parses a field; `None` if it is absent or malformed.
fn parse<T>(fields: &HeaderMap, name: &HeaderName) -> Option<T>
where
    T: std::str::FromStr,
{
    fields.get(name).and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok())
}
