//! Header fields of callers and upstreams that use an external dialect.

use std::fmt;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;

use crate::protocol::check_in::MAX_COLD_TIME;
use crate::protocol::rate_limit::RateLimit;
use crate::protocol::rate_limit::Result;

const MILLIS_PER_S: f64 = 1_000.0;

/// Names of the header fields that callers of an external dialect send.
#[derive(Clone, Debug)]
pub struct CallerFields {
    /// Identity of the request, forwarded unchanged and echoed in the answer.
    pub request_id: HeaderName,
    /// Time until the caller gives up, in milliseconds.
    pub timeout_ms: HeaderName,
    /// Service of the VM that the request originates from.
    ///
    /// Only nodes may set it: an ingress replaces what the caller sent.
    pub caller_service: HeaderName,
    /// Returns the identity of the request that a request was made for, if its own identity names one.
    pub parent_request: fn(&str) -> Option<&str>,
}

/// Names of the header fields between a gate and an upstream of an external dialect.
#[derive(Clone, Debug)]
pub struct UpstreamFields {
    /// Identity of the request, echoed in the upstream's answer.
    pub request_id: HeaderName,
    /// Time until the deadline of the request, in milliseconds.
    pub timeout_ms: HeaderName,
    /// Name of the only upstream instance that may execute the request.
    pub expected_instance: HeaderName,
    /// Name of the upstream instance, present on answers to health checks.
    pub health_instance: HeaderName,
    /// Signature, present on answers that the upstream itself produced.
    pub signature: HeaderName,
    /// Marker, present on answers to requests that were not executed.
    pub not_executed: HeaderName,
    /// Load report of the upstream.
    pub load: HeaderName,
    /// Parser of the value of `load`; `None` if the value is unreadable.
    pub parse_load: fn(&str) -> Option<UpstreamLoadReport>,
    /// Rate limit of the upstream, present on its answers while it has one.
    pub rate_limit: HeaderName,
    /// Marker, present on all answers of an upstream that is draining.
    pub draining: HeaderName,
    /// Time that the upstream stays cold, in milliseconds, on answers to health checks; absent if it is warm.
    pub cold_ms: HeaderName,
}

/// State that an upstream announces with each of its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// Requests that the upstream accepts from all nodes together, or `None` without a limit.
    pub rate_limit: Option<RateLimit>,
    /// Whether the upstream accepts no new work.
    pub draining: bool,
}

/// Load of an upstream as it reports it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct UpstreamLoadReport {
    /// Requests that the upstream is running.
    pub running: u32,
    /// Requests in the upstream's own queue.
    pub queued: u32,
    /// Requests that the upstream can run concurrently.
    pub slots: u32,
    /// Current duration of work relative to the typical one, in percent; above 100 the upstream is slow.
    pub slowdown_percent: u32,
}

/// Prints the names that stand in log lines.
impl fmt::Debug for UpstreamLoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("UpstreamWord")
            .field("running", &self.running)
            .field("queued", &self.queued)
            .field("slots", &self.slots)
            .field("pace_percent", &self.slowdown_percent)
            .finish()
    }
}

/// What the header section of an answer proves about its origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerOrigin {
    /// The upstream produced the answer for this request.
    Genuine,
    /// The upstream rejected the request before executing it.
    NotExecuted,
    /// Another upstream instance has the address; it did not execute the request.
    OtherInstance,
    /// The answer belongs to another request or was not produced by an upstream.
    Foreign,
}

impl UpstreamFields {
    /// Determines the origin of an answer to the request with the given identity.
    ///
    /// An answer that does not echo the identity proves nothing, whatever it says: a faulty upstream may repeat an
    /// earlier one. An encoded answer counts as foreign, as does a successful one without a signature.
    #[must_use]
    pub fn origin(
        &self,
        status: http::StatusCode,
        fields: &HeaderMap,
        request_id: Option<&http::HeaderValue>,
    ) -> AnswerOrigin {
        let echoed_id = fields.get(&self.request_id);
        if echoed_id != request_id {
            return AnswerOrigin::Foreign;
        }
        if status == http::StatusCode::MISDIRECTED_REQUEST {
            return AnswerOrigin::OtherInstance;
        }
        if fields.contains_key(&self.not_executed) {
            return AnswerOrigin::NotExecuted;
        }
        let signed = fields.contains_key(&self.signature);
        let encoded = fields.contains_key(http::header::CONTENT_ENCODING);
        if encoded || (status.is_success() && !signed) {
            return AnswerOrigin::Foreign;
        }
        AnswerOrigin::Genuine
    }

    /// Returns the upstream's load report on an answer, if there is a readable one.
    #[must_use]
    pub fn upstream_load(&self, fields: &HeaderMap) -> Option<UpstreamLoadReport> {
        fields.get(&self.load).and_then(|value| value.to_str().ok()).and_then(self.parse_load)
    }

    /// Returns whether an answer to a health check may be that of the given instance.
    #[must_use]
    pub fn is_health_of(&self, instance: Option<&str>, fields: &HeaderMap) -> bool {
        match (instance, fields.get(&self.health_instance)) {
            (Some(instance), Some(answering)) => answering.as_bytes() == instance.as_bytes(),
            _ => true,
        }
    }

    /// Returns how long the upstream stays cold by its answer to a health check; zero if it is warm.
    ///
    /// `None` if the answer shows neither: it is no success, or its value is not a number of milliseconds.
    #[must_use]
    pub fn cold_time(&self, status: http::StatusCode, fields: &HeaderMap) -> Option<Duration> {
        let Some(value) = fields.get(&self.cold_ms) else {
            return status.is_success().then_some(Duration::ZERO);
        };
        let millis: f64 = value.to_str().ok()?.trim().parse().ok()?;
        let cold_time = Duration::try_from_secs_f64(millis / MILLIS_PER_S).ok()?.min(MAX_COLD_TIME);
        (status.is_success() || !cold_time.is_zero()).then_some(cold_time)
    }

    /// Returns the state that the upstream announces with an answer.
    ///
    /// # Errors
    ///
    /// Fails if the answer names a rate limit that is not readable.
    pub fn notice(&self, fields: &HeaderMap) -> Result<UpstreamNotice> {
        let rate_limit = fields.get(&self.rate_limit);
        let rate_limit = rate_limit.map(|value| value.to_str().unwrap_or_default().parse()).transpose()?;
        Ok(UpstreamNotice { rate_limit, draining: fields.contains_key(&self.draining) })
    }
}
