//! Log lines of a gate on the calls that it rejects, answers late or does not finish.

use std::fmt::Display;
use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::admission::SlotGrant;
use crate::log_event;
use crate::log_event_limited;
use crate::protocol::call_head::ParentCall;
use crate::protocol::call_id::CallId;
use crate::protocol::load_report::LoadReport;
use crate::transport::gate::GateCall;
use crate::transport::stop_state::StopState;
use crate::transport::upstream_pool::UpstreamError;

/// Maximum number of calls that are logged one by one as the node ends.
const MAX_UNFINISHED_LINES: usize = 100;

/// Logs a call that the gate rejected, and the load on which it decided.
pub(super) fn log_rejection(call: &GateCall, reason: &'static str, load: LoadReport) {
    log_event_limited!(
        Info,
        "gate rejected a call",
        call = &call.id,
        reason = reason,
        priority = call.priority,
        running = load.running,
        queued = load.queued,
        limit = load.limit,
        service_time_us = load.service_time_us,
        usual_ms = call.typical_time.unwrap_or_default().as_millis(),
        left_ms = call.deadline.saturating_duration_since(Instant::now()).as_millis(),
    );
}

/// Logs that the upstream sent no final response to a request, which is named by its call or by its path.
pub(super) fn log_no_final_response(request: &impl Display, purpose: &'static str, error: &UpstreamError) {
    log_event_limited!(
        Warn,
        "upstream sent no final response",
        request = request,
        purpose = purpose,
        status = error.status_text(),
        error = error,
    );
}

/// Logs a call whose answer began after its objective, and the conditions under which it started.
///
/// They tell a long wait from a slow VM, a nearly full upstream and a call that takes long by itself.
pub(super) fn log_if_late(call: &GateCall, grant: SlotGrant, queued: Duration, limit: u32) {
    let now = Instant::now();
    let Some(late_by) = call.objective_at.and_then(|at| now.checked_duration_since(at)) else {
        return;
    };
    let execution = grant.execution();
    log_event_limited!(
        Info,
        "answer missed its objective at the gate",
        call = &call.id,
        priority = call.priority,
        late_ms = late_by.as_millis(),
        queued_ms = queued.as_millis(),
        service_ms = now.saturating_duration_since(execution.started).as_millis(),
        usual_ms = call.typical_time.unwrap_or_default().as_millis(),
        start_slowdown_percent = execution.slowdown_percent,
        start_slots_in_use = execution.slots_in_use,
        limit = limit,
        may_reroute = call.max_gate_latency.is_some(),
        max_gate_latency_ms = call.max_gate_latency.unwrap_or_default().as_millis(),
    );
}

/// Logs the calls that are running and the number of those that wait, as the node ends.
pub(super) fn log_unfinished(running: &[(CallId, ParentCall)], queued: usize) {
    if running.is_empty() && queued == 0 {
        return;
    }
    log_event!(Warn, "calls are left at the gate as the node ends", running = running.len(), queued = queued);
    let now = Instant::now();
    for (id, call) in running.iter().take(MAX_UNFINISHED_LINES) {
        log_event!(
            Warn,
            "call is running as the node ends",
            call = id,
            priority = call.priority,
            left_ms = call.deadline.saturating_duration_since(now).as_millis(),
        );
    }
}

/// Logs a call whose answer broke off at the upstream.
pub(super) fn log_answer_aborted(id: &CallId, running: Duration, stop: &StopState, error: impl Display) {
    log_event_limited!(
        Warn,
        "answer broke off at the upstream",
        call = id,
        running_ms = running.as_millis(),
        error = error,
        stopping = stop.has_begun(),
    );
}

/// Logs a call that was given up while the node stops, by its ingress or by the end of its connection.
pub(super) fn log_given_up(id: &CallId, progress: &'static str, stop: &StopState) {
    let Some(since_stop) = stop.elapsed() else {
        return;
    };
    log_event_limited!(
        Info,
        "call was given up at a gate that stops",
        call = id,
        progress = progress,
        since_stop_ms = since_stop.as_millis(),
    );
}
