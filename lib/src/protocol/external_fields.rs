//! Header fields of callers and upstreams that speak another dialect than the nodes.

use std::fmt;

use http::HeaderMap;
use http::HeaderName;

/// Fields that callers of another dialect send.
#[derive(Clone, Debug)]
pub struct CallerFields {
    /// Identity of the request, passed on as it came and echoed on its answer.
    pub request_id: HeaderName,
    /// Time that the caller waits, in milliseconds.
    pub timeout_ms: HeaderName,
    /// Service of the VM where the request began; only a node may set it.
    pub caller_service: HeaderName,
}

/// Fields between a gate and an upstream of another dialect.
#[derive(Clone, Debug)]
pub struct UpstreamFields {
    /// Identity of the request, echoed by the upstream.
    pub request_id: HeaderName,
    /// Time left to the request, in milliseconds.
    pub timeout_ms: HeaderName,
    /// Names the one life of an upstream that may run the request.
    pub expected_instance: HeaderName,
    /// Present on an answer that the upstream itself made.
    pub signature: HeaderName,
    /// Present on an answer that proves that the request did not run.
    pub not_executed: HeaderName,
    /// Load of the upstream.
    pub load: HeaderName,
    /// Reads the value of `load`.
    pub read_load: fn(&str) -> Option<UpstreamLoadReport>,
}

/// What an upstream says of its own load.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct UpstreamLoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in its own queue.
    pub queued: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Time that work takes at this moment against the usual, in percent.
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

/// What the head of an upstream's answer proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerOrigin {
    /// The upstream made it for this very request.
    Genuine,
    /// The upstream refused the request before it ran.
    NotExecuted,
    /// Another life of an upstream has the address, and did not run the request.
    OtherInstance,
    /// It belongs to another request, or no upstream made it.
    Foreign,
}

impl UpstreamFields {
    /// Judges the head of an answer to the request with the given identity.
    #[must_use]
    pub fn origin(
        &self,
        status: http::StatusCode,
        fields: &HeaderMap,
        request_id: Option<&http::HeaderValue>,
    ) -> AnswerOrigin {
        if status == http::StatusCode::MISDIRECTED_REQUEST {
            return AnswerOrigin::OtherInstance;
        }
        let echoed = fields.get(&self.request_id);
        if echoed.is_some() && echoed != request_id {
            return AnswerOrigin::Foreign;
        }
        if fields.contains_key(&self.not_executed) {
            return AnswerOrigin::NotExecuted;
        }
        let signed = fields.contains_key(&self.signature);
        let encoded = fields.contains_key(http::header::CONTENT_ENCODING);
        if encoded || echoed != request_id || (status.is_success() && !signed) {
            return AnswerOrigin::Foreign;
        }
        AnswerOrigin::Genuine
    }

    /// The load that an answer carries.
    #[must_use]
    pub fn load_of(&self, fields: &HeaderMap) -> Option<UpstreamLoadReport> {
        fields.get(&self.load).and_then(|value| value.to_str().ok()).and_then(self.read_load)
    }
}
