//! A request on its way into a gate, before its call starts.

use http::Request;
use http_body::Body;
use http_body_util::BodyExt;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::protocol::answer::ErrorAnswer;
use crate::protocol::error_kind::ErrorKind;
use crate::transport::call_body::CallBody;
use crate::transport::call_body::MAX_AWAITED_BYTES;
use crate::transport::gate::RETRY_HINT;
use crate::transport::gate::Result;

/// Waits for a small body, so that a call cut on its way here never starts.
pub(super) async fn arrived(request: Request<CallBody>, deadline: Instant) -> Result<Request<CallBody>> {
    if request.body().size_hint().exact().is_none_or(|size| size > MAX_AWAITED_BYTES) {
        return Ok(request);
    }
    let (head, body) = request.into_parts();
    let late = |_elapsed| ErrorAnswer::new(ErrorKind::DeadlineBeforeStart, "the body did not arrive in time");
    let collected = tokio::time::timeout_at(deadline, body.collect()).await.map_err(late)?;
    let whole = collected.map_err(|error| cut_on_its_way(&error.to_string()))?;
    let trailers = whole.trailers().cloned();
    Ok(Request::from_parts(head, CallBody::kept(whole.to_bytes(), trailers)))
}

/// Tells apart requests that a caller sends with the same ticket by mistake.
pub(super) fn fingerprint(request: &Request<CallBody>) -> u64 {
    let size = request.body().size_hint().exact();
    let target = request.uri().path_and_query().map_or("/", |target| target.as_str());
    let identity = format!("{} {target} {size:?}", request.method());
    xxh3_64(identity.as_bytes())
}

/// Word that proves that the call never started.
pub(super) fn cut_on_its_way(reason: &str) -> ErrorAnswer {
    let message = format!("the request was cut short on its way to the gate: {reason}");
    ErrorAnswer::new(ErrorKind::NoUpstream, message).retry_after(RETRY_HINT)
}
