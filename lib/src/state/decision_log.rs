//! A bounded in-memory log of a node's latest decisions about single calls, for call traces.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::protocol::call_id::CallId;
use crate::protocol::trace::Decision;
use crate::protocol::trace::TraceStep;

/// Number of independently locked shards of the log.
const SHARD_COUNT: usize = 8;
/// Capacity of each shard, in decisions.
const DECISIONS_PER_SHARD: usize = 2_048;

/// One decision and the time since the node's start at which it was made.
#[derive(Debug)]
struct LogEntry {
    call: CallId,
    since_start: Duration,
    step: TraceStep,
}

/// A bounded log of decisions, sharded by the sequence of the call.
///
/// Consecutive calls of an ingress fall into different shards, which keeps lock contention low.
#[derive(Debug)]
pub struct DecisionLog {
    started: Instant,
    /// Time of the start since the Unix epoch.
    started_unix: Duration,
    shards: [Mutex<VecDeque<LogEntry>>; SHARD_COUNT],
}

impl DecisionLog {
    /// Creates an empty log for a node that started at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        let now_unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            started: now,
            started_unix: now_unix.saturating_sub(now.elapsed()),
            shards: std::array::from_fn(|_| Mutex::default()),
        }
    }

    /// Records a step of a call, evicting the shard's oldest entry if the shard is full.
    pub fn record(&self, call: &CallId, step: TraceStep, now: Instant) {
        let mut shard = self.shards[shard_index(call)].lock();
        if shard.len() == DECISIONS_PER_SHARD {
            shard.pop_front();
        }
        shard.push_back(LogEntry { call: call.clone(), since_start: now - self.started, step });
    }

    /// Returns the logged decisions about one call, the oldest first.
    #[must_use]
    pub fn decisions(&self, call: &CallId) -> Vec<Decision> {
        let shard = self.shards[shard_index(call)].lock();
        let entries = shard.iter().filter(|entry| entry.call == *call);
        entries.map(|entry| self.decision(entry)).collect()
    }

    /// Returns the age of the oldest entry in the shard of the call, or the uptime if the shard is empty.
    ///
    /// Decisions about the call that are older than this may have been evicted.
    #[must_use]
    pub fn retention(&self, call: &CallId, now: Instant) -> Duration {
        let shard = self.shards[shard_index(call)].lock();
        let uptime = now - self.started;
        shard.front().map_or(uptime, |oldest| uptime.saturating_sub(oldest.since_start))
    }

    fn decision(&self, entry: &LogEntry) -> Decision {
        let unix_time = self.started_unix + entry.since_start;
        Decision {
            at_unix_us: u64::try_from(unix_time.as_micros()).unwrap_or(u64::MAX),
            step: entry.step.clone(),
        }
    }
}

fn shard_index(call: &CallId) -> usize {
    usize::try_from(call.sequence % SHARD_COUNT as u64).unwrap_or(0)
}
