//! The latest decisions of a node about single calls.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::protocol::call_id::CallId;
use crate::protocol::trace::Decision;
use crate::protocol::trace::Step;

const SHARDS: usize = 8;
const DECISIONS_PER_SHARD: usize = 2_048;

#[derive(Debug)]
struct Logged {
    call: CallId,
    since_start: Duration,
    step: Step,
}

/// A bounded log; the calls that follow one another go to different shards.
#[derive(Debug)]
pub struct DecisionLog {
    started: Instant,
    started_unix: Duration,
    shards: [Mutex<VecDeque<Logged>>; SHARDS],
}

impl DecisionLog {
    /// An empty log of a node that started at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            started: now,
            started_unix: unix.saturating_sub(now.elapsed()),
            shards: std::array::from_fn(|_| Mutex::default()),
        }
    }

    /// Adds a step of a call, in place of the oldest one when the log is full.
    pub fn record(&self, call: &CallId, step: Step, now: Instant) {
        let mut shard = self.shards[shard_of(call)].lock();
        if shard.len() == DECISIONS_PER_SHARD {
            shard.pop_front();
        }
        shard.push_back(Logged { call: call.clone(), since_start: now - self.started, step });
    }

    /// The steps of one call that are still remembered, the oldest first.
    #[must_use]
    pub fn of(&self, call: &CallId) -> Vec<Decision> {
        let shard = self.shards[shard_of(call)].lock();
        let logged = shard.iter().filter(|logged| logged.call == *call);
        logged.map(|logged| self.decision(logged)).collect()
    }

    /// How far back the log reaches for calls like this one.
    #[must_use]
    pub fn remembered(&self, call: &CallId, now: Instant) -> Duration {
        let shard = self.shards[shard_of(call)].lock();
        let uptime = now - self.started;
        shard.front().map_or(uptime, |oldest| uptime.saturating_sub(oldest.since_start))
    }

    fn decision(&self, logged: &Logged) -> Decision {
        let at = self.started_unix + logged.since_start;
        Decision { at_unix_us: u64::try_from(at.as_micros()).unwrap_or(u64::MAX), step: logged.step.clone() }
    }
}

fn shard_of(call: &CallId) -> usize {
    usize::try_from(call.sequence % SHARDS as u64).unwrap_or(0)
}
