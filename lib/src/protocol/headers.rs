//! Names of the header fields that callers, nodes and upstreams exchange.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;

/// Name of the service that the call is for.
pub const SERVICE: HeaderName = HeaderName::from_static("yuccatray-service");
/// Name of the call's priority, one of those that the service declares.
pub const PRIORITY: HeaderName = HeaderName::from_static("yuccatray-priority");
/// Time until the deadline of the call, in milliseconds.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("yuccatray-timeout-ms");
/// `true` on a retry or hedged request, and on calls made on behalf of one.
pub const REPEAT: HeaderName = HeaderName::from_static("yuccatray-repeat");
/// `true` on a call that an upstream makes while it executes another; between nodes only.
pub const NESTED: HeaderName = HeaderName::from_static("yuccatray-nested");
/// Maximum expected latency at the gate, queueing and execution together, in microseconds.
pub const MAX_GATE_LATENCY_US: HeaderName = HeaderName::from_static("yuccatray-patience-us");
/// Time within which the call must be granted a slot, in milliseconds; between nodes only.
pub const START_WITHIN_MS: HeaderName = HeaderName::from_static("yuccatray-start-within-ms");
/// Time until the latency objective of the call passes, in milliseconds; between nodes only.
pub const OBJECTIVE_MS: HeaderName = HeaderName::from_static("yuccatray-objective-ms");
/// Typical service time of such a call, in milliseconds; between nodes only.
pub const TYPICAL_TIME_MS: HeaderName = HeaderName::from_static("yuccatray-usual-ms");
/// `true` or `false`: whether the call may be executed more than once.
pub const IDEMPOTENT: HeaderName = HeaderName::from_static("yuccatray-idempotent");
/// Idempotency key, the same on every request that the caller sends for one call.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// `issue`: requests an idempotency key for a call that the caller sends afterwards.
pub const ISSUE_KEY: HeaderName = HeaderName::from_static("yuccatray-ticket");
/// Name of the caller, to which the limits per caller apply.
pub const CALLER: HeaderName = HeaderName::from_static("yuccatray-caller");
/// Name of the tenant of a request, which the calls that its upstream makes inherit; between nodes only.
pub const TENANT: HeaderName = HeaderName::from_static("yuccatray-tenant");
/// Identity of the call, on requests to a gate and on every answer.
pub const CALL: HeaderName = HeaderName::from_static("yuccatray-call");
/// Name and incarnation of the node whose gate is addressed; between nodes only.
pub const GATE: HeaderName = HeaderName::from_static("yuccatray-gate");
/// `attach` or `cancel`: request about a call sent over another connection; between nodes only.
pub const RESOLVE: HeaderName = HeaderName::from_static("yuccatray-resolve");
/// Load report of the gate that answered; only for the ingress.
pub const LOAD: HeaderName = HeaderName::from_static("yuccatray-load");
/// Time that the call was queued at the gate, in microseconds; only for the ingress.
pub const QUEUED_US: HeaderName = HeaderName::from_static("yuccatray-queued-us");
/// Slowdown of the upstream's VM when the call started, in percent of normal; only for the ingress.
///
/// Absent if the VM was not slowed down.
pub const START_SLOWDOWN_PERCENT: HeaderName = HeaderName::from_static("yuccatray-start-slowdown-percent");
/// Name of the error kind, on an answer that a node produced in place of an upstream.
pub const ERROR: HeaderName = HeaderName::from_static("yuccatray-error");
/// What the answer proves about execution: `not_executed` or `outcome_unknown`.
pub const EXECUTION: HeaderName = HeaderName::from_static("yuccatray-execution");
/// Recommended delay before the request is sent again, in milliseconds.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("yuccatray-retry-after-ms");

/// Fields that concern one connection only; removed before forwarding, except for `te: trailers`.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Overhead of a field in addition to its name and value, as defined by RFC 9113 section 6.5.2.
const FIELD_OVERHEAD_BYTES: usize = 32;

/// Value of the `te` field by which a sender accepts trailers.
const TRAILERS: &str = "trailers";

/// Removes the fields that concern one connection only, as RFC 9110 section 7.6.1 requires.
///
/// `te: trailers` is kept, since every hop of a call can carry trailers. `content-length` next to a
/// transfer coding is removed, as RFC 9112 section 6.3 requires.
pub fn strip_hop_by_hop(fields: &mut HeaderMap) {
    let accepts_trailers = accepts_trailers(fields);
    if fields.contains_key(header::TRANSFER_ENCODING) {
        fields.remove(header::CONTENT_LENGTH);
    }
    let connection_options: Vec<HeaderName> = fields
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_options {
        fields.remove(name);
    }
    for name in HOP_BY_HOP {
        fields.remove(name);
    }
    if accepts_trailers {
        fields.insert(header::TE, HeaderValue::from_static(TRAILERS));
    }
}

/// Returns whether the sender accepts trailers in the answer.
#[must_use]
pub fn accepts_trailers(fields: &HeaderMap) -> bool {
    let values = fields.get_all(header::TE).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|coding| coding.trim().eq_ignore_ascii_case(TRAILERS))
}

/// Returns the size of a header section in bytes, as defined by RFC 9113 section 6.5.2.
#[must_use]
pub fn size_bytes(fields: &HeaderMap) -> usize {
    fields.iter().map(|(name, value)| name.as_str().len() + value.len() + FIELD_OVERHEAD_BYTES).sum()
}
