//! Log lines for the steps of a node's stop and for the calls that its end leaves unfinished.

use std::fmt;
use std::sync::Arc;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::log_event;
use crate::node::in_flight::InFlightCounter;
use crate::transport::stop_state::StopEnd;
use crate::transport::stop_state::StopState;

/// A step of a node's stop that has been reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopStep {
    /// The node reports that it is not ready, and still serves.
    NotReady,
    /// The gate takes no new work, and callers are asked to close their connections.
    Draining,
    /// Peers have been told, or the time for it is over.
    LeaveAnnounced,
    /// The listener for callers closes, and open connections take no further request.
    CallersClosing,
    /// Every request of callers has ended.
    CallersFinished,
    /// Time is over with requests of callers in flight.
    CallersUnfinished,
    /// The upstream executes no call.
    GateIdle,
    /// Time is over with calls running at the upstream.
    GateBusy,
    /// Every request of peers has ended.
    PeersFinished,
    /// Time is over with requests of peers in flight.
    PeersUnfinished,
    /// The connections that are left are closed.
    Ended,
}

impl fmt::Display for StopStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotReady => "not_ready",
            Self::Draining => "draining",
            Self::LeaveAnnounced => "leave_announced",
            Self::CallersClosing => "callers_closing",
            Self::CallersFinished => "callers_finished",
            Self::CallersUnfinished => "callers_unfinished",
            Self::GateIdle => "gate_idle",
            Self::GateBusy => "gate_busy",
            Self::PeersFinished => "peers_finished",
            Self::PeersUnfinished => "peers_unfinished",
            Self::Ended => "ended",
        })
    }
}

/// Log of one stop; if it is dropped before [`Self::end`], the stop was given up.
#[derive(Debug)]
pub(super) struct StopLog {
    began_at: Instant,
    stop_by: Instant,
    state: Arc<StopState>,
    counter: InFlightCounter,
    /// Tokens that close the connections that are left, in the order in which they are cancelled.
    closing: [CancellationToken; 3],
    has_ended: bool,
}

impl StopLog {
    /// Records the begin of a stop that has to end by `stop_by`.
    pub(super) fn begin(stop_by: Instant, counter: InFlightCounter, closing: [CancellationToken; 3]) -> Self {
        let began_at = Instant::now();
        let state = Arc::clone(counter.gate.stop_state());
        state.begin(began_at);
        state.limit(stop_by);
        let log = Self { began_at, stop_by, state, counter, closing, has_ended: false };
        log.reached(StopStep::NotReady);
        log
    }

    /// Logs a step with the time since the begin, the time left and the calls in flight.
    pub(super) fn reached(&self, step: StopStep) {
        let now = Instant::now();
        let in_flight = self.counter.in_flight();
        log_event!(
            Info,
            "stop step reached",
            step = step,
            since_stop_ms = (now - self.began_at).as_millis(),
            left_ms = self.stop_by.saturating_duration_since(now).as_millis(),
            of_callers = in_flight.of_callers,
            running = in_flight.running,
            queued = in_flight.queued,
        );
    }

    /// Closes the connections that are left at the end of the stop.
    pub(super) fn end(mut self) {
        self.close_connections(StopEnd::Completed);
        self.has_ended = true;
    }

    fn close_connections(&self, end: StopEnd) {
        self.reached(StopStep::Ended);
        self.counter.gate.log_unfinished_calls();
        self.state.end(end);
        self.closing.iter().for_each(CancellationToken::cancel);
    }
}

impl Drop for StopLog {
    fn drop(&mut self) {
        if !self.has_ended {
            self.close_connections(StopEnd::GivenUp);
        }
    }
}
