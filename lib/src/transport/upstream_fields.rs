//! Header fields of a request on its way to the upstream and of the response on its way from the gate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::header::CONNECTION;
use http::header::HOST;
use http::header::TE;
use tokio::time::Instant;

use crate::protocol::external_fields::UpstreamFields;
use crate::protocol::headers;
use crate::transport::call_body::CallBody;

/// Prefix of the header fields that only nodes may set.
const NODE_FIELD_PREFIX: &str = "yuccatray-";
/// Slowdown of a VM at normal speed, in percent.
const NORMAL_SPEED_PERCENT: u64 = 100;

/// Converts a call's request to the HTTP/1.1 request for the upstream at `addr`.
#[must_use]
pub fn into_upstream_request(request: Request<CallBody>, addr: SocketAddr) -> Request<CallBody> {
    let (mut head, body) = request.into_parts();
    headers::strip_hop_by_hop(&mut head.headers);
    head.version = http::Version::HTTP_11;
    if let Some(target) = head.uri.path_and_query() {
        head.uri = http::Uri::from(target.clone());
    }
    if head.headers.contains_key(TE) {
        head.headers.insert(CONNECTION, HeaderValue::from_static("te"));
    }
    if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
        head.headers.entry(HOST).or_insert(host);
    }
    Request::from_parts(head, body)
}

/// Sets the fields of an external dialect: the expected instance and the remaining time.
///
/// Fields that only nodes may set are removed.
pub fn set_external_fields(
    fields: &mut HeaderMap,
    names: &UpstreamFields,
    instance: Option<&Arc<str>>,
    deadline: Instant,
) {
    let remaining = deadline.saturating_duration_since(Instant::now());
    let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    strip_node_fields(fields);
    fields.insert(&names.timeout_ms, HeaderValue::from(remaining_ms));
    fields.remove(&names.expected_instance);
    if let Some(instance) = instance.and_then(|name| HeaderValue::from_str(name).ok()) {
        fields.insert(&names.expected_instance, instance);
    }
}

/// Sets the response fields from which the ingress learns the service time of the call at normal speed.
///
/// They are the time that the gate queued the call, and the slowdown of the VM when the call started.
pub fn set_execution_fields(fields: &mut HeaderMap, queued: Duration, slowdown_percent: u64) {
    let queued_us = u64::try_from(queued.as_micros()).unwrap_or(u64::MAX);
    fields.insert(headers::QUEUED_US, HeaderValue::from(queued_us));
    if slowdown_percent != NORMAL_SPEED_PERCENT {
        fields.insert(headers::START_SLOWDOWN_PERCENT, HeaderValue::from(slowdown_percent));
    }
}

/// Parses the time that the call spent in the gate's queue; zero if absent or malformed.
#[must_use]
pub fn queued_time(fields: &HeaderMap) -> Duration {
    Duration::from_micros(number(fields, &headers::QUEUED_US).unwrap_or(0))
}

/// Returns what the service time of a response would have been on a VM at normal speed.
///
/// A response without a readable slowdown is taken as that of a VM at normal speed.
#[must_use]
pub fn service_time_at_normal_speed(fields: &HeaderMap, service_time: Duration) -> Duration {
    let slowdown_percent = number(fields, &headers::START_SLOWDOWN_PERCENT).filter(|percent| *percent > 0);
    let slowdown_percent = slowdown_percent.unwrap_or(NORMAL_SPEED_PERCENT);
    let micros = u64::try_from(service_time.as_micros()).unwrap_or(u64::MAX);
    Duration::from_micros(micros.saturating_mul(NORMAL_SPEED_PERCENT) / slowdown_percent)
}

fn number(fields: &HeaderMap, name: &HeaderName) -> Option<u64> {
    fields.get(name).and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok())
}

/// Removes the fields that only nodes may set.
pub fn strip_node_fields(fields: &mut HeaderMap) {
    let node_fields: Vec<HeaderName> =
        fields.keys().filter(|name| name.as_str().starts_with(NODE_FIELD_PREFIX)).cloned().collect();
    for name in node_fields {
        fields.remove(name);
    }
}
