//! Log line for a caller's request that ends without a whole answer.

use std::fmt;
use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use tokio::time::Instant;

use crate::log_event;
use crate::protocol::call_id::CallId;
use crate::transport::ingress_call::IngressCall;
use crate::transport::stop_state::StopEnd;
use crate::transport::stop_state::StopLogLimit;
use crate::transport::stop_state::StopState;

/// Value of the field `error` of a line without an error.
const NO_ERROR: &str = "none";

static LINE_LIMIT: StopLogLimit = StopLogLimit::new();

/// How far a request had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Its body was being received.
    ReceivingBody,
    /// It was passed on to a gate, whose node logs whether it waited for a slot or was running.
    AtGate,
    /// The head of its answer was passed to the caller's connection, and the body was not complete.
    SendingAnswer,
}

impl Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ReceivingBody => "receiving_body",
            Self::AtGate => "at_gate",
            Self::SendingAnswer => "sending_answer",
        })
    }
}

/// Why a request ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// The node stopped and closed the connection.
    NodeStopped(StopEnd),
    /// The answer broke off at its source.
    AnswerAborted,
    /// The connection to the caller ended, or the caller cancelled the request on it.
    ConnectionEnded,
}

impl Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NodeStopped(end) => end.fmt(f),
            Self::AnswerAborted => f.write_str("answer_aborted"),
            Self::ConnectionEnded => f.write_str("connection_ended"),
        }
    }
}

/// What is known of a request as it arrives.
#[derive(Clone, Debug)]
pub(super) struct ReceivedRequest {
    /// Identity that the caller gave it.
    pub(super) request_id: Option<HeaderValue>,
    pub(super) route: Arc<str>,
    pub(super) remote: SocketAddr,
    pub(super) received_at: Instant,
    pub(super) stop: Arc<StopState>,
}

/// A request whose answer has not begun; it logs itself if it is dropped before [`Self::answered`].
#[derive(Debug)]
pub(super) struct UnansweredRequest {
    pub(super) received: ReceivedRequest,
    pub(super) call: IngressCall,
    has_answer: bool,
}

impl UnansweredRequest {
    pub(super) const fn new(received: ReceivedRequest, call: IngressCall) -> Self {
        Self { received, call, has_answer: false }
    }

    /// Records that the answer has begun.
    pub(super) const fn answered(&mut self) {
        self.has_answer = true;
    }

    /// Returns what has to be known to log that the answer did not reach its end.
    pub(super) fn unfinished_answer(&self) -> UnfinishedAnswer {
        UnfinishedAnswer {
            received: self.received.clone(),
            call: self.call.id.clone(),
            gate: self.call.last_gate.clone(),
            gates_attempted: self.call.gates_attempted,
            deadline: self.call.deadline,
        }
    }
}

impl Drop for UnansweredRequest {
    fn drop(&mut self) {
        if self.has_answer {
            return;
        }
        let progress =
            if self.call.gates_attempted == 0 { Progress::ReceivingBody } else { Progress::AtGate };
        self.unfinished_answer().log(progress, connection_end(&self.received.stop), NO_ERROR);
    }
}

/// A request whose answer has begun.
#[derive(Debug)]
pub struct UnfinishedAnswer {
    received: ReceivedRequest,
    call: CallId,
    gate: Option<Arc<str>>,
    gates_attempted: u32,
    deadline: Instant,
}

impl UnfinishedAnswer {
    /// Logs that the connection to the caller ended before the answer did.
    pub(super) fn log_connection_ended(&self) {
        self.log(Progress::SendingAnswer, connection_end(&self.received.stop), NO_ERROR);
    }

    /// Logs that the answer broke off at its source.
    pub(super) fn log_aborted(&self, error: impl Display) {
        self.log(Progress::SendingAnswer, Cause::AnswerAborted, error);
    }

    fn log(&self, progress: Progress, cause: Cause, error: impl Display) {
        let now = Instant::now();
        let request_id = self.received.request_id.as_ref().and_then(|id| id.to_str().ok());
        let since_stop = self.received.stop.elapsed();
        let Some(left_out) = LINE_LIMIT.admit(since_stop.is_some(), now) else {
            return;
        };
        let millis = |time: Duration| time.as_millis();
        log_event!(
            Warn,
            "request ended without a whole answer",
            request = request_id.unwrap_or("none"),
            call = &self.call,
            route = &self.received.route,
            gate = self.gate.as_deref().unwrap_or("none"),
            gates_tried = self.gates_attempted,
            progress = progress,
            cause = cause,
            error = error,
            caller = self.received.remote,
            since_received_ms = millis(now - self.received.received_at),
            left_ms = millis(self.deadline.saturating_duration_since(now)),
            stopping = since_stop.is_some(),
            since_stop_ms = millis(since_stop.unwrap_or_default()),
            left_out = left_out,
        );
    }
}

/// Returns why the connection of a caller ended: by the node's stop, or otherwise.
fn connection_end(stop: &StopState) -> Cause {
    stop.ended_by().map_or(Cause::ConnectionEnded, Cause::NodeStopped)
}
