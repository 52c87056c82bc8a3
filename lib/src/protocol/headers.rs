//! Names of the header fields that callers, nodes and upstreams exchange.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;

/// Names the service that the caller wants.
pub const SERVICE: HeaderName = HeaderName::from_static("yuccatray-service");
/// Names the priority of the call, one of those that the service declares.
pub const PRIORITY: HeaderName = HeaderName::from_static("yuccatray-priority");
/// Time left to the call, in milliseconds.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("yuccatray-timeout-ms");
/// `true` on a retry or a second copy, and on calls made on behalf of one.
pub const REPEAT: HeaderName = HeaderName::from_static("yuccatray-repeat");
/// Longest time in all for which the call should stay at the gate, in microseconds.
pub const MAX_GATE_LATENCY_US: HeaderName = HeaderName::from_static("yuccatray-patience-us");
/// Time within which the call has to get a slot, in milliseconds; between nodes only.
pub const START_WITHIN_MS: HeaderName = HeaderName::from_static("yuccatray-start-within-ms");
/// Time left until the answer is worth less, in milliseconds; between nodes only.
pub const OBJECTIVE_MS: HeaderName = HeaderName::from_static("yuccatray-objective-ms");
/// Time that such a call usually takes, in milliseconds; between nodes only.
pub const TYPICAL_TIME_MS: HeaderName = HeaderName::from_static("yuccatray-usual-ms");
/// `true` or `false`: whether the call may run more than once.
pub const IDEMPOTENT: HeaderName = HeaderName::from_static("yuccatray-idempotent");
/// A key of the caller's that ties its own resends together.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// `issue`: the caller wants an idempotency key from the system before it sends its call.
pub const TICKET: HeaderName = HeaderName::from_static("yuccatray-ticket");
/// Names the caller for the limits per caller.
pub const CALLER: HeaderName = HeaderName::from_static("yuccatray-caller");
/// Identity of the call, on the way to the gate and on every answer.
pub const CALL: HeaderName = HeaderName::from_static("yuccatray-call");
/// Name and incarnation of the node whose gate is meant; between nodes only.
pub const GATE: HeaderName = HeaderName::from_static("yuccatray-gate");
/// Asks about a call that was sent over another connection; between nodes only.
pub const RESOLVE: HeaderName = HeaderName::from_static("yuccatray-resolve");
/// Load of the gate that answered, for the ingress only.
pub const LOAD: HeaderName = HeaderName::from_static("yuccatray-load");
/// Time that the gate queued the call, in microseconds, for the ingress only.
pub const QUEUED_US: HeaderName = HeaderName::from_static("yuccatray-queued-us");
/// Name of the error kind on an answer that no upstream gave.
pub const ERROR: HeaderName = HeaderName::from_static("yuccatray-error");
/// What the answer proves about execution.
pub const EXECUTION: HeaderName = HeaderName::from_static("yuccatray-execution");
/// When the same request may be worth sending again, in milliseconds.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("yuccatray-retry-after-ms");

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

/// Size of one field apart from its name and value, as RFC 9113 6.5.2 counts it.
const FIELD_OVERHEAD_BYTES: usize = 32;

const TRAILERS: &str = "trailers";

/// Removes the fields that concern one connection only, as RFC 9110 7.6.1 asks.
///
/// A wish for trailers is passed on, since every hop here can carry them. A length
/// that stands beside a transfer coding goes, as RFC 9112 6.3 asks.
pub fn strip_hop_by_hop(fields: &mut HeaderMap) {
    let wants_trailers = wants_trailers(fields);
    if fields.contains_key(header::TRANSFER_ENCODING) {
        fields.remove(header::CONTENT_LENGTH);
    }
    let named: Vec<HeaderName> = fields
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        fields.remove(name);
    }
    for name in HOP_BY_HOP {
        fields.remove(name);
    }
    if wants_trailers {
        fields.insert(header::TE, HeaderValue::from_static(TRAILERS));
    }
}

/// Whether the sender takes trailers with the answer.
#[must_use]
pub fn wants_trailers(fields: &HeaderMap) -> bool {
    let values = fields.get_all(header::TE).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|coding| coding.trim().eq_ignore_ascii_case(TRAILERS))
}

/// Size of a header section in bytes, as RFC 9113 6.5.2 counts it.
#[must_use]
pub fn size_bytes(fields: &HeaderMap) -> usize {
    fields.iter().map(|(name, value)| name.as_str().len() + value.len() + FIELD_OVERHEAD_BYTES).sum()
}
