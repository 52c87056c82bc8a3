//! Receives a request at a gate, before its call starts.

use http::Request;
use http_body::Body;
use http_body_util::BodyExt;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::protocol::answer::ErrorAnswer;
use crate::protocol::error_kind::ErrorKind;
use crate::transport::call_body::CallBody;
use crate::transport::call_body::MAX_BUFFERED_BODY_BYTES;
use crate::transport::gate::GATE_RETRY_AFTER;
use crate::transport::gate::Result;

/// Receives a small request body completely, so that a truncated request never starts its call.
///
/// A body of unknown size or of more than [`MAX_BUFFERED_BODY_BYTES`] is left to be streamed.
///
/// # Errors
///
/// Returns `DeadlineBeforeStart` if the body is incomplete at `deadline`, or `NoUpstream` if it is truncated.
pub(super) async fn receive_small_body(
    request: Request<CallBody>,
    deadline: Instant,
) -> Result<Request<CallBody>> {
    if request.body().size_hint().exact().is_none_or(|size| size > MAX_BUFFERED_BODY_BYTES) {
        return Ok(request);
    }
    let (head, body) = request.into_parts();
    let timed_out =
        |_elapsed| ErrorAnswer::new(ErrorKind::DeadlineBeforeStart, "the body did not arrive in time");
    let result = tokio::time::timeout_at(deadline, body.collect()).await.map_err(timed_out)?;
    let collected = result.map_err(|error| request_truncated(&error.to_string()))?;
    let trailers = collected.trailers().cloned();
    Ok(Request::from_parts(head, CallBody::buffered(collected.to_bytes(), trailers)))
}

/// Returns a hash that distinguishes requests which a caller sends with the same issued key by mistake.
pub(super) fn fingerprint(request: &Request<CallBody>) -> u64 {
    let size = request.body().size_hint().exact();
    let target = request.uri().path_and_query().map_or("/", |target| target.as_str());
    let identity = format!("{} {target} {size:?}", request.method());
    xxh3_64(identity.as_bytes())
}

/// Returns the error answer for a truncated request, which proves that the call never started.
pub(super) fn request_truncated(reason: &str) -> ErrorAnswer {
    let message = format!("the request was cut short on its way to the gate: {reason}");
    ErrorAnswer::new(ErrorKind::NoUpstream, message).retry_after(GATE_RETRY_AFTER)
}
