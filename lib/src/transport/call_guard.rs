//! Guards of the slot and the connection that a call occupies until the upstream has finished with it.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::StatusCode;
use http_body::Body;
use tokio::runtime::Handle;
use tokio::time::Instant;

use crate::coordination::admission::SlotGrant;
use crate::coordination::service_estimate::ExecutionOutcome;
use crate::protocol::call_id::CallId;
use crate::transport::call_body::BodyGuard;
use crate::transport::call_body::CallBody;
use crate::transport::gate::Gate;
use crate::transport::gate_log::log_answer_aborted;
use crate::transport::gate_log::log_given_up;
use crate::transport::upstream_pool::PooledConnection;
use crate::transport::upstream_pool::UpstreamPool;

/// Time after its deadline until which an upstream may still work on a call.
const UPSTREAM_STOP_MARGIN: Duration = Duration::from_millis(250);

/// Slot of the upstream, released when dropped.
#[derive(Debug)]
pub struct SlotGuard {
    gate: Arc<Gate>,
    id: CallId,
    grant: Option<SlotGrant>,
    /// Identity of an external request, recorded as running at the gate.
    request_id: Option<HeaderValue>,
    /// Outcome that is reported to the gate when the slot is released.
    outcome: ExecutionOutcome,
}

impl SlotGuard {
    /// Creates a guard for a call to which the gate has not granted a slot yet.
    #[must_use]
    pub const fn without_slot(gate: Arc<Gate>, id: CallId) -> Self {
        Self { gate, id, grant: None, request_id: None, outcome: ExecutionOutcome::Abandoned }
    }

    /// Stores the slot that the gate granted.
    pub const fn grant(&mut self, grant: SlotGrant) {
        self.grant = Some(grant);
    }

    /// Records the external request as running until the slot is released.
    pub fn record_running(&mut self, request_id: HeaderValue) {
        self.gate.running_requests.insert(request_id.clone());
        self.request_id = Some(request_id);
    }

    /// Records a success with its service time, or a failure, according to the status of the response.
    fn record_status(&mut self, status: StatusCode) {
        self.outcome = match &self.grant {
            Some(grant) if !status.is_server_error() => {
                ExecutionOutcome::Succeeded(grant.started().elapsed())
            }
            _ => ExecutionOutcome::Failed,
        };
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if let Some(request_id) = &self.request_id {
            self.gate.running_requests.remove(request_id);
        }
        if let Some(grant) = self.grant {
            self.gate.finish_call(&self.id, grant, self.outcome);
        }
    }
}

/// Slot and connection of a call, kept until the upstream has finished with the call.
#[derive(Debug, Default)]
pub struct CallGuard {
    slot: Option<SlotGuard>,
    pool: Option<Arc<UpstreamPool>>,
    connection: Option<PooledConnection>,
    /// Deadline of the call.
    deadline: Option<Instant>,
    /// Time at which the upstream has certainly given the call up; `None` if it may never do so.
    given_up_at: Option<Instant>,
}

impl CallGuard {
    /// Stores the slot of the call, the pool that provides its connection, and the deadline of the call.
    pub fn set_slot(&mut self, slot: SlotGuard, pool: Arc<UpstreamPool>, deadline: Instant) {
        self.slot = Some(slot);
        self.pool = Some(pool);
        self.deadline = Some(deadline);
    }

    /// Limits how long the slot stays taken after a call that the upstream neither answers nor closes.
    ///
    /// The upstream stops working on the call at its `deadline`.
    pub fn release_after(&mut self, deadline: Instant) {
        self.given_up_at = Some(deadline + UPSTREAM_STOP_MARGIN);
    }

    /// Returns the place where the pool stores the connection in use.
    pub const fn connection_mut(&mut self) -> &mut Option<PooledConnection> {
        &mut self.connection
    }

    /// Marks the connection as suspect after a timeout: idle ones opened no later than it are not reused.
    pub fn discard_suspect_connections(&self) {
        if let (Some(pool), Some(connection)) = (&self.pool, &self.connection) {
            pool.discard_older_idle(connection);
        }
    }

    /// Returns the slot that the call holds, if it still holds one.
    #[must_use]
    pub fn slot_grant(&self) -> Option<SlotGrant> {
        self.slot.as_ref().and_then(|slot| slot.grant)
    }

    /// Records a success with its service time, or a failure, according to the status of the response.
    pub fn record_status(&mut self, status: StatusCode) {
        if let Some(slot) = &mut self.slot {
            slot.record_status(status);
        }
    }

    /// Records that the upstream rejected the call before executing it.
    ///
    /// The connection returns to the pool if the whole response has been read; otherwise it is closed.
    pub fn record_not_executed(&mut self, body: &CallBody) {
        if let Some(slot) = &mut self.slot {
            slot.outcome = ExecutionOutcome::Abandoned;
        }
        self.ended(body.is_end_stream() || matches!(body, CallBody::Buffered { .. }));
    }

    /// Records that the call was not sent to the upstream.
    pub const fn record_not_sent(&mut self) {
        if let Some(slot) = &mut self.slot {
            slot.outcome = ExecutionOutcome::Abandoned;
        }
    }

    /// Records that the call failed at the upstream.
    pub const fn record_failure(&mut self) {
        if let Some(slot) = &mut self.slot {
            slot.outcome = ExecutionOutcome::Failed;
        }
    }

    fn log_given_up(&self, progress: &'static str) {
        if let Some(slot) = &self.slot {
            log_given_up(&slot.id, progress, slot.gate.stop_state());
        }
    }

    /// Closes the connection and releases the slot once the upstream has closed it as well.
    fn close_connection(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        let slot = self.slot.take();
        let given_up_at = self.given_up_at;
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(async move {
                match given_up_at {
                    Some(latest_end) => connection.close_until(latest_end).await,
                    None => connection.close().await,
                }
                drop(slot);
            });
        }
    }
}

impl BodyGuard for CallGuard {
    fn aborted(&mut self, error: &impl Display) {
        if let Some(slot) = &self.slot {
            let running = slot.grant.map(|grant| grant.started().elapsed()).unwrap_or_default();
            log_answer_aborted(&slot.id, running, slot.gate.stop_state(), error);
            if let Some(pool) = &self.pool {
                slot.gate.record_connection_failure(pool);
            }
        }
        self.close_connection();
    }

    fn dropped(&mut self) {
        self.log_given_up("sending_answer");
        self.close_connection();
    }

    fn ended(&mut self, whole: bool) {
        if !whole {
            return self.close_connection();
        }
        if let (Some(connection), Some(pool)) = (self.connection.take(), &self.pool) {
            let upload_end = self.deadline.unwrap_or_else(Instant::now) + UPSTREAM_STOP_MARGIN;
            pool.return_connection(connection, upload_end);
        }
        self.slot = None;
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if self.connection.is_some() {
            self.log_given_up("running");
        }
        self.close_connection();
    }
}
