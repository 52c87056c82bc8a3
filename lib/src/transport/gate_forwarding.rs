//! Forwarding of admitted calls to the upstream, and checks of its responses.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use snafu::ResultExt;
use tokio::time::Instant;

use crate::coordination::admission::RejectReason;
use crate::log_event_limited;
use crate::protocol::answer::ErrorAnswer;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::external_fields::AnswerOrigin;
use crate::protocol::headers;
use crate::state::metrics::Metrics;
use crate::state::running_requests::RunningRequest;
use crate::transport::call_body::CallBody;
use crate::transport::call_body::buffer_if_small;
use crate::transport::call_guard::CallGuard;
use crate::transport::call_guard::SlotGuard;
use crate::transport::gate::GATE_RETRY_AFTER;
use crate::transport::gate::Gate;
use crate::transport::gate::GateCall;
use crate::transport::gate::Result;
use crate::transport::gate_log::log_if_late;
use crate::transport::gate_log::log_no_final_response;
use crate::transport::gate_notice::NoticeSource;
use crate::transport::upstream_fields::into_upstream_request;
use crate::transport::upstream_fields::set_execution_fields;
use crate::transport::upstream_fields::set_external_fields;
use crate::transport::upstream_fields::strip_node_fields;
use crate::transport::upstream_pool::IncompleteResponseSnafu;
use crate::transport::upstream_pool::UpstreamError;
use crate::transport::upstream_pool::UpstreamPool;

/// Why an exchange with the upstream brought no response.
#[derive(Debug)]
enum ExchangeError {
    /// The pool or the connection failed.
    Upstream(UpstreamError),
    /// The deadline of the call passed.
    TimedOut,
}

impl Gate {
    /// Requests admission for a call, sends it to the upstream and waits for the head of its response.
    pub(super) async fn forward(
        self: &Arc<Self>,
        call: &GateCall,
        request: Request<CallBody>,
        guard: &mut CallGuard,
    ) -> Result<Response<CallBody>> {
        let (slot, queued) = self.acquire_slot(call).await?;
        self.parents.insert(call.id.clone(), call.as_parent());
        let pool = self.pool_for(call)?;
        let request_id = self.request_id(&request);
        let running = request_id.clone().map(|id| (id, running_request(request.headers())));
        self.mark_running(call, slot, running, &pool, guard);
        let request = self.prepare_request(call, request, &pool);
        let result = self.exchange(call, request, &pool, guard).await;
        let response = result.map_err(|error| self.record_failed_exchange(call, &error, &pool, guard))?;
        let response = self.verify_origin(call, response, request_id.as_ref(), &pool, guard)?;
        guard.record_status(response.status());
        let mut response = self.prepare_response(response);
        self.report_execution(call, &mut response, queued, guard);
        Ok(response)
    }

    /// Waits until the call is admitted; returns its slot and the time that it was queued.
    async fn acquire_slot(self: &Arc<Self>, call: &GateCall) -> Result<(SlotGuard, Duration)> {
        let mut slot = SlotGuard::without_slot(Arc::clone(self), call.id.clone());
        let requested_at = Instant::now();
        self.admit(call, &mut slot).await?;
        Ok((slot, requested_at.elapsed()))
    }

    /// Returns the connections to the upstream if it serves the requested service.
    fn pool_for(&self, call: &GateCall) -> Result<Arc<UpstreamPool>> {
        let pool = self.pool.load_full().ok_or_else(no_upstream_error)?;
        if *pool.service() != call.service {
            self.count("other_service");
            return Err(other_service(&call.service, pool.service()));
        }
        Ok(pool)
    }

    /// Returns the identity that an external request carries.
    fn request_id(&self, request: &Request<CallBody>) -> Option<HeaderValue> {
        let fields = self.external_fields.as_ref()?;
        request.headers().get(&fields.request_id).cloned()
    }

    /// Records the call as running and passes its slot to the guard, which releases it.
    fn mark_running(
        &self,
        call: &GateCall,
        mut slot: SlotGuard,
        running: Option<(HeaderValue, RunningRequest)>,
        pool: &Arc<UpstreamPool>,
        guard: &mut CallGuard,
    ) {
        if let Some((request_id, request)) = running {
            slot.record_running(request_id, request);
        }
        guard.set_slot(slot, Arc::clone(pool), call.deadline);
        if self.external_fields.is_some() {
            // Only external upstreams are bound to stop at the deadline that the request names.
            guard.release_after(call.deadline);
        }
    }

    /// Returns the request in the form in which the upstream receives it.
    fn prepare_request(
        &self,
        call: &GateCall,
        request: Request<CallBody>,
        pool: &UpstreamPool,
    ) -> Request<CallBody> {
        let mut request = into_upstream_request(request, pool.addr());
        if let Some(fields) = &self.external_fields {
            set_external_fields(request.headers_mut(), fields, pool.instance(), call.deadline);
        }
        request
    }

    /// Sends the request and receives the response, whole if it is small, until the deadline of the call.
    async fn exchange(
        &self,
        call: &GateCall,
        request: Request<CallBody>,
        pool: &UpstreamPool,
        guard: &mut CallGuard,
    ) -> Result<Response<CallBody>, ExchangeError> {
        let connect_by = connect_by(call, Instant::now());
        let exchange = async {
            let may_still_send = || self.may_still_send(pool);
            let response = pool.send(request, connect_by, may_still_send, guard.connection_mut()).await?;
            buffer_if_small(response, call.deadline).await.context(IncompleteResponseSnafu)
        };
        let result = tokio::time::timeout_at(call.deadline, exchange).await;
        result.map_err(|_elapsed| ExchangeError::TimedOut)?.map_err(ExchangeError::Upstream)
    }

    /// Records the outcome of a failed exchange at the guard and returns the error for its call.
    fn record_failed_exchange(
        &self,
        call: &GateCall,
        error: &ExchangeError,
        pool: &UpstreamPool,
        guard: &mut CallGuard,
    ) -> ErrorAnswer {
        match error {
            ExchangeError::Upstream(UpstreamError::Draining) => {
                guard.record_not_sent();
                self.rejection(call, RejectReason::Draining)
            }
            ExchangeError::Upstream(error) => {
                guard.record_failure();
                if error.is_connection_failure() {
                    self.record_connection_failure(pool);
                }
                self.upstream_error_answer(call, error)
            }
            ExchangeError::TimedOut => {
                guard.record_failure();
                self.count("deadline_while_running");
                guard.discard_suspect_connections();
                ErrorAnswer::new(ErrorKind::DeadlineWhileRunning, "the upstream did not answer in time")
            }
        }
    }

    /// Returns the response unless its head shows that it is not the upstream's response to this request.
    fn verify_origin(
        &self,
        call: &GateCall,
        mut response: Response<CallBody>,
        request_id: Option<&HeaderValue>,
        pool: &UpstreamPool,
        guard: &mut CallGuard,
    ) -> Result<Response<CallBody>> {
        let Some(fields) = &self.external_fields else {
            return Ok(response);
        };
        let report = fields.upstream_load(response.headers());
        if let Some(report) = report {
            self.record_slowdown(report.slowdown_percent);
        }
        let origin = fields.origin(response.status(), response.headers(), request_id);
        if matches!(origin, AnswerOrigin::Genuine | AnswerOrigin::NotExecuted) {
            self.observe_notice(pool, fields.notice(response.headers()), NoticeSource::Call);
        }
        response.headers_mut().remove(&fields.load);
        let answer = match origin {
            AnswerOrigin::Genuine => return Ok(response),
            AnswerOrigin::NotExecuted => {
                guard.record_not_executed(response.body());
                self.count("upstream_refused");
                let load = self.load();
                ErrorAnswer::new(ErrorKind::UpstreamRefused, "the upstream refused the call before it ran")
                    .retry_after(GATE_RETRY_AFTER)
                    .with_load(load)
            }
            AnswerOrigin::OtherInstance => {
                guard.record_failure();
                self.count("other_instance");
                ErrorAnswer::new(ErrorKind::NoUpstream, "another instance has the upstream's address")
                    .retry_after(GATE_RETRY_AFTER)
            }
            AnswerOrigin::Foreign => {
                guard.record_failure();
                self.count("foreign_answer");
                ErrorAnswer::new(ErrorKind::OutcomeUnknown, "an answer that the upstream did not make for it")
            }
        };
        log_event_limited!(
            Info,
            "upstream response discarded",
            call = &call.id,
            origin = format_args!("{origin:?}"),
            upstream_load = format_args!("{report:?}"),
        );
        Err(answer)
    }

    /// Removes header fields that must not leave the gate and adds the load of the gate.
    fn prepare_response(&self, response: Response<CallBody>) -> Response<CallBody> {
        let (mut head, body) = response.into_parts();
        headers::strip_hop_by_hop(&mut head.headers);
        strip_node_fields(&mut head.headers);
        if let Ok(load) = HeaderValue::from_str(&self.load().to_string()) {
            head.headers.insert(headers::LOAD, load);
        }
        Response::from_parts(head, body)
    }

    /// Adds how the call was executed to its response, and logs a call that was late.
    fn report_execution(
        &self,
        call: &GateCall,
        response: &mut Response<CallBody>,
        queued: Duration,
        guard: &CallGuard,
    ) {
        if let Some(grant) = guard.slot_grant() {
            log_if_late(call, grant, queued, self.load().limit);
            set_execution_fields(response.headers_mut(), queued, grant.execution().slowdown_percent);
        }
    }

    /// Returns the error for a call whose exchange with the upstream failed.
    fn upstream_error_answer(&self, call: &GateCall, error: &UpstreamError) -> ErrorAnswer {
        log::debug!("exchange with the upstream failed; call={} error={error}", call.id);
        if error.proves_not_executed() {
            self.count("upstream_unreachable");
            return ErrorAnswer::new(ErrorKind::NoUpstream, error.to_string()).retry_after(GATE_RETRY_AFTER);
        }
        self.record_no_final_response(&call.id, "call", error);
        self.count("upstream_lost");
        ErrorAnswer::new(ErrorKind::OutcomeUnknown, error.to_string())
    }

    /// Counts and logs a request that ended because the upstream sent no final response; other errors are ignored.
    pub(super) fn record_no_final_response(
        &self,
        request: &impl Display,
        purpose: &'static str,
        error: &UpstreamError,
    ) {
        if error.is_no_final_response() {
            Metrics::count(&self.metrics.no_final_responses, purpose);
            log_no_final_response(request, purpose, error);
        }
    }
}

/// Returns what the gate has to remember of a request while the upstream is executing it.
fn running_request(fields: &HeaderMap) -> RunningRequest {
    let tenant = fields.get(&headers::TENANT).and_then(|name| std::str::from_utf8(name.as_bytes()).ok());
    RunningRequest { tenant: tenant.map(Arc::from) }
}

/// Returns the latest time at which the connection for a call has to be open.
///
/// A call that got its slot at once after its latest start did not wait; the deadline alone limits it.
fn connect_by(call: &GateCall, now: Instant) -> Instant {
    let start_by = call.start_by.filter(|start_by| *start_by > now);
    start_by.map_or(call.deadline, |start_by| start_by.min(call.deadline))
}

fn other_service(requested: &str, served: &str) -> ErrorAnswer {
    let message = format!("the upstream here serves {served}, not {requested}");
    ErrorAnswer::new(ErrorKind::NoUpstream, message).retry_after(GATE_RETRY_AFTER)
}

fn no_upstream_error() -> ErrorAnswer {
    ErrorAnswer::new(ErrorKind::NoUpstream, "no upstream has announced itself here")
        .retry_after(GATE_RETRY_AFTER)
}
