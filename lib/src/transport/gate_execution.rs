//! Execution of calls that may run only once, independently of the connection that brought them.

use std::sync::Arc;

use http::Request;
use http_body_util::BodyExt;
use http_body_util::Either;
use tokio::time::Instant;

use crate::protocol::answer::ErrorAnswer;
use crate::protocol::call_id::CallId;
use crate::protocol::error_kind::ErrorKind;
use crate::state::call_records::CallRecordState;
use crate::transport::answer_relay::AnswerRelay;
use crate::transport::call_body::CallBody;
use crate::transport::call_body::GuardedBody;
use crate::transport::call_guard::CallGuard;
use crate::transport::gate::GATE_RETRY_AFTER;
use crate::transport::gate::Gate;
use crate::transport::gate::GateCall;
use crate::transport::gate::GateResponse;
use crate::transport::gate::Result;
use crate::transport::request_reception::receive_small_body;
use crate::transport::request_reception::request_truncated;

impl Gate {
    /// Completes a call that must be executed at most once, even if its ingress has disconnected.
    pub(super) async fn execute_detached(
        self: Arc<Self>,
        call: GateCall,
        request: Request<CallBody>,
        record: RecordGuard,
    ) {
        let relay = &record.relay;
        tokio::select! {
            () = relay.cancelled() => relay.fail(cancelled_by_caller()),
            () = self.execute_to_completion(&call, request, relay) => {}
        }
    }

    async fn execute_to_completion(
        self: &Arc<Self>,
        call: &GateCall,
        request: Request<CallBody>,
        relay: &AnswerRelay,
    ) {
        let mut guard = CallGuard::default();
        let received = tokio::select! {
            biased;
            received = receive_small_body(request, call.deadline) => received,
            () = relay.reconnected() => Err(request_truncated("its connection failed")),
        };
        let request = match received {
            Ok(request) => request,
            Err(answer) => return relay.fail(answer),
        };
        let response = match self.forward(call, request, &mut guard).await {
            Ok(response) => response,
            Err(answer) => return relay.fail(answer),
        };
        let (head, body) = response.into_parts();
        relay.write_head(head);
        let mut body = GuardedBody::new(body, guard);
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => relay.write_frame(frame).await,
                Err(_) => return relay.finish(false),
            }
        }
        relay.finish(true);
    }

    /// Answers a request for a call that is already on record.
    ///
    /// Only the same request with an issued idempotency key shares the answer of the first one.
    pub(super) async fn answer_duplicate(
        &self,
        call: &GateCall,
        record: CallRecordState<Arc<AnswerRelay>>,
        fingerprint: u64,
    ) -> Result<GateResponse> {
        match record {
            CallRecordState::Running(relay) | CallRecordState::Kept(relay)
                if call.has_issued_key && relay.fingerprint() == fingerprint =>
            {
                self.count("answer_shared");
                let read = tokio::time::timeout_at(call.deadline, relay.read()).await;
                let timed_out =
                    |_elapsed| ErrorAnswer::new(ErrorKind::DeadlineWhileRunning, "the first copy runs still");
                Ok(read.map_err(timed_out)??.map(Either::Right))
            }
            record => Err(self.duplicate_rejection(&record)),
        }
    }

    fn duplicate_rejection(&self, record: &CallRecordState<Arc<AnswerRelay>>) -> ErrorAnswer {
        self.count("duplicate_call");
        match record {
            CallRecordState::Fenced => {
                let message = "the call was given up before it arrived";
                ErrorAnswer::new(ErrorKind::NoUpstream, message).retry_after(GATE_RETRY_AFTER)
            }
            _ => ErrorAnswer::new(ErrorKind::DuplicateCall, "this call was already here"),
        }
    }
}

/// Record of a running call, marked as ended when dropped.
#[derive(Debug)]
pub(super) struct RecordGuard {
    pub(super) gate: Arc<Gate>,
    pub(super) id: CallId,
    pub(super) relay: Arc<AnswerRelay>,
    /// Whether a request that was not executed may be sent again under the same identity.
    pub(super) may_be_resent: bool,
}

impl Drop for RecordGuard {
    fn drop(&mut self) {
        if self.may_be_resent && self.relay.is_not_executed() {
            return self.gate.records.remove_unexecuted(&self.id);
        }
        let replayable_bytes = self.relay.replayable_bytes();
        if replayable_bytes.is_none() {
            // Unblocks readers of the relay, since no further part of the answer will be written.
            self.relay.finish(false);
            self.gate.count("answer_not_kept");
        }
        let removed = self.gate.records.finish(&self.id, replayable_bytes, Instant::now());
        self.gate.count_many("answer_expired", removed.expired);
        self.gate.count_many("answer_evicted", removed.evicted);
    }
}

fn cancelled_by_caller() -> ErrorAnswer {
    ErrorAnswer::new(ErrorKind::OutcomeUnknown, "the caller left and the call was cancelled")
}
