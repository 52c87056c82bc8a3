//! The calls that an upstream is running, as parents of the calls that it makes itself.

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::protocol::call_head::ParentCall;
use crate::protocol::call_id::CallId;

const SHARDS: usize = 16;

/// The calls that the upstream beside a node is running.
#[derive(Debug)]
pub struct ParentCalls {
    shards: [Mutex<IndexMap<CallId, ParentCall>>; SHARDS],
}

impl Default for ParentCalls {
    fn default() -> Self {
        Self { shards: std::array::from_fn(|_| Mutex::default()) }
    }
}

impl ParentCalls {
    /// The upstream gets a call.
    pub fn insert(&self, id: CallId, call: ParentCall) {
        self.shard(&id).lock().insert(id, call);
    }

    /// The upstream let go of a call.
    pub fn remove(&self, id: &CallId) {
        self.shard(id).lock().swap_remove(id);
    }

    /// The call of that identity, while it runs.
    #[must_use]
    pub fn get(&self, id: &CallId) -> Option<ParentCall> {
        self.shard(id).lock().get(id).cloned()
    }

    fn shard(&self, id: &CallId) -> &Mutex<IndexMap<CallId, ParentCall>> {
        let index = usize::try_from(id.sequence % SHARDS as u64).unwrap_or(0);
        &self.shards[index]
    }
}
