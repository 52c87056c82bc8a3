//! What a call holds at its gate until the upstream has let go of it.

use std::sync::Arc;

use http::StatusCode;
use http_body::Body;
use tokio::runtime::Handle;

use crate::coordination::admission::Grant;
use crate::coordination::service_estimate::Ended;
use crate::protocol::call_id::CallId;
use crate::transport::call_body::BodyGuard;
use crate::transport::call_body::CallBody;
use crate::transport::gate::Gate;
use crate::transport::upstream_pool::PooledConnection;
use crate::transport::upstream_pool::UpstreamPool;

/// A slot of the upstream, given back when dropped.
#[derive(Debug)]
pub struct Slot {
    gate: Arc<Gate>,
    id: CallId,
    grant: Option<Grant>,
    ended: Ended,
}

impl Slot {
    /// No slot yet, of the given gate for the given call.
    #[must_use]
    pub const fn wanted(gate: Arc<Gate>, id: CallId) -> Self {
        Self { gate, id, grant: None, ended: Ended::Abandoned }
    }

    /// The gate granted the slot.
    pub const fn grant(&mut self, grant: Grant) {
        self.grant = Some(grant);
    }

    /// Takes in what the header section of the upstream's answer says of the upstream.
    fn judge(&mut self, status: StatusCode) {
        self.ended = match &self.grant {
            Some(grant) if !status.is_server_error() => Ended::Good(grant.started().elapsed()),
            _ => Ended::Failed,
        };
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(grant) = self.grant {
            self.gate.ended(&self.id, grant, self.ended);
        }
    }
}

/// Holds a call's slot and connection until the upstream has let go of the call.
#[derive(Debug, Default)]
pub struct GateGuard {
    slot: Option<Slot>,
    pool: Option<Arc<UpstreamPool>>,
    connection: Option<PooledConnection>,
}

impl GateGuard {
    /// Holds a slot for a call that goes over a connection of the pool.
    pub fn hold(&mut self, slot: Slot, pool: Arc<UpstreamPool>) {
        self.slot = Some(slot);
        self.pool = Some(pool);
    }

    /// Where the connection in use stands.
    pub const fn connection(&mut self) -> &mut Option<PooledConnection> {
        &mut self.connection
    }

    /// The connection gave no answer in time; those as old are not used again.
    pub fn suspect_connection(&self) {
        if let (Some(pool), Some(connection)) = (&self.pool, &self.connection) {
            pool.suspect(connection);
        }
    }

    /// Takes in what the header section of the upstream's answer says of the upstream.
    pub fn judge(&mut self, status: StatusCode) {
        if let Some(slot) = &mut self.slot {
            slot.judge(status);
        }
    }

    /// The upstream refused the call before it ran; its connection serves on when it is idle.
    pub fn refused(&mut self, body: &CallBody) {
        if let Some(slot) = &mut self.slot {
            slot.ended = Ended::Abandoned;
        }
        self.ended(body.is_end_stream() || matches!(body, CallBody::Kept { .. }));
    }

    /// The upstream gave no answer.
    pub const fn failed(&mut self) {
        if let Some(slot) = &mut self.slot {
            slot.ended = Ended::Failed;
        }
    }

    /// Closes the connection; the slot stays busy until the upstream has done so too.
    fn let_go(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        let slot = self.slot.take();
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(async move {
                connection.close().await;
                drop(slot);
            });
        }
    }
}

impl BodyGuard for GateGuard {
    fn ended(&mut self, whole: bool) {
        if !whole {
            return self.let_go();
        }
        if let (Some(connection), Some(pool)) = (self.connection.take(), &self.pool) {
            pool.give_back(connection);
        }
        self.slot = None;
    }
}

impl Drop for GateGuard {
    fn drop(&mut self) {
        self.let_go();
    }
}
