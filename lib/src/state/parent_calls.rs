//! The calls that an upstream is executing, looked up as parents of the calls that it makes itself.

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::protocol::call_head::ParentCall;
use crate::protocol::call_id::CallId;

/// Number of independently locked shards.
const SHARD_COUNT: usize = 16;

/// The calls that the upstream beside a node is executing, by identity.
#[derive(Debug)]
pub struct ParentCalls {
    shards: [Mutex<IndexMap<CallId, ParentCall>>; SHARD_COUNT],
}

impl Default for ParentCalls {
    fn default() -> Self {
        Self { shards: std::array::from_fn(|_| Mutex::default()) }
    }
}

impl ParentCalls {
    /// Records a call that is passed to the upstream.
    pub fn insert(&self, id: CallId, call: ParentCall) {
        self.shard(&id).lock().insert(id, call);
    }

    /// Removes a call whose execution at the upstream has ended.
    pub fn remove(&self, id: &CallId) {
        self.shard(id).lock().swap_remove(id);
    }

    /// Returns the call with the given identity if the upstream is executing it.
    #[must_use]
    pub fn get(&self, id: &CallId) -> Option<ParentCall> {
        self.shard(id).lock().get(id).cloned()
    }

    /// Returns the calls that the upstream is executing.
    #[must_use]
    pub fn running(&self) -> Vec<(CallId, ParentCall)> {
        let mut running = Vec::new();
        for shard in &self.shards {
            running.extend(shard.lock().iter().map(|(id, call)| (id.clone(), call.clone())));
        }
        running
    }

    fn shard(&self, id: &CallId) -> &Mutex<IndexMap<CallId, ParentCall>> {
        let index = usize::try_from(id.sequence % SHARD_COUNT as u64).unwrap_or(0);
        &self.shards[index]
    }
}
