//! What a gate remembers about calls, so that none starts twice.

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::protocol::call_id::CallId;

const SHARDS: usize = 16;
const RECORDS_PER_SHARD: usize = 4_096;

/// Where a call stands at its gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// Taken in and not finished.
    Running,
    /// Ended; the upstream let go of it.
    Finished,
    /// Refused for good before it was ever seen.
    Fenced,
}

/// Records of the calls that one gate has seen, bounded in number.
#[derive(Debug)]
pub struct CallRecords {
    shards: [Mutex<IndexMap<CallId, CallState>>; SHARDS],
}

impl Default for CallRecords {
    fn default() -> Self {
        Self { shards: std::array::from_fn(|_| Mutex::new(IndexMap::new())) }
    }
}

impl CallRecords {
    /// Records that a call arrived; false when it must not start.
    #[must_use]
    pub fn begin(&self, call: &CallId) -> bool {
        let mut shard = self.shard(call).lock();
        if shard.contains_key(call) {
            return false;
        }
        make_room(&mut shard);
        shard.insert(call.clone(), CallState::Running);
        true
    }

    /// Records that a call ended.
    pub fn finish(&self, call: &CallId) {
        if let Some(state) = self.shard(call).lock().get_mut(call) {
            *state = CallState::Finished;
        }
    }

    /// Where a call stands; one never seen is fenced, so that it can't start later.
    #[must_use]
    pub fn resolve(&self, call: &CallId) -> CallState {
        let mut shard = self.shard(call).lock();
        if let Some(state) = shard.get(call) {
            return *state;
        }
        make_room(&mut shard);
        shard.insert(call.clone(), CallState::Fenced);
        CallState::Fenced
    }

    fn shard(&self, call: &CallId) -> &Mutex<IndexMap<CallId, CallState>> {
        let index = usize::try_from(call.sequence % SHARDS as u64).unwrap_or(0);
        &self.shards[index]
    }
}

fn make_room(shard: &mut IndexMap<CallId, CallState>) {
    if shard.len() < RECORDS_PER_SHARD {
        return;
    }
    let oldest_ended = shard.values().position(|state| *state != CallState::Running);
    if let Some(index) = oldest_ended {
        shard.shift_remove_index(index);
    }
}
