//! Identities of the external requests that an upstream is executing, to recognise the ones that it makes itself.

use std::sync::Arc;

use http::HeaderValue;
use indexmap::IndexMap;
use parking_lot::Mutex;

/// A request that the upstream beside a node is executing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRequest {
    /// Name of the tenant that the request belongs to, if it belongs to one.
    pub tenant: Option<Arc<str>>,
}

/// Requests that the upstream beside a node is executing, by the identity that their callers gave them.
#[derive(Debug, Default)]
pub struct RunningRequests {
    /// Executions of each request, the earliest first; a hedged request may run twice at the same upstream.
    executions: Mutex<IndexMap<HeaderValue, Vec<RunningRequest>>>,
}

impl RunningRequests {
    /// Records that a request is passed to the upstream.
    pub fn insert(&self, id: HeaderValue, request: RunningRequest) {
        self.executions.lock().entry(id).or_default().push(request);
    }

    /// Records that an execution of a request has ended.
    pub fn remove(&self, id: &HeaderValue, request: &RunningRequest) {
        let mut executions = self.executions.lock();
        let Some(running) = executions.get_mut(id) else {
            return;
        };
        if let Some(index) = running.iter().position(|other| other == request) {
            running.remove(index);
        }
        if running.is_empty() {
            executions.swap_remove(id);
        }
    }

    /// Returns the request with the given identity if the upstream is executing it.
    ///
    /// Callers choose the identities. Of several requests with one identity, the one that started first is returned,
    /// so that a later one can't change the tenant of an earlier one's calls.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<RunningRequest> {
        let id = HeaderValue::from_str(id).ok()?;
        self.executions.lock().get(&id).and_then(|running| running.first().cloned())
    }
}
