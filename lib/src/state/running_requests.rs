//! Identities of the external requests that an upstream is executing, to recognise the ones that it makes itself.

use http::HeaderValue;
use indexmap::IndexMap;
use parking_lot::Mutex;

/// Requests that the upstream beside a node is executing, by the identity that their callers gave them.
#[derive(Debug, Default)]
pub struct RunningRequests {
    /// Number of executions of each request; a hedged request may run twice at the same upstream.
    executions: Mutex<IndexMap<HeaderValue, u32>>,
}

impl RunningRequests {
    /// Records that a request is passed to the upstream.
    pub fn insert(&self, id: HeaderValue) {
        *self.executions.lock().entry(id).or_default() += 1;
    }

    /// Records that an execution of a request has ended.
    pub fn remove(&self, id: &HeaderValue) {
        let mut executions = self.executions.lock();
        let Some(count) = executions.get_mut(id) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            executions.swap_remove(id);
        }
    }

    /// Returns whether the upstream is executing the request with the given identity.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        HeaderValue::from_str(id).is_ok_and(|id| self.executions.lock().contains_key(&id))
    }
}
