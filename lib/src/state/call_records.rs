//! Records of recent calls at a gate, which prevent a call from starting twice.
//!
//! The records are bounded. Removing one raises the sequence floor of its ingress: a call at or below the
//! floor without a record is never started, since it may have run before.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::protocol::call_id::CallId;

/// Number of independently locked shards of the records.
const SHARD_COUNT: usize = 16;

/// Limits on the records; counts and bytes apply to each of the sixteen shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLimits {
    /// Maximum number of records of ended calls.
    pub max_ended_calls: usize,
    /// Maximum total size of kept answers, in bytes.
    pub max_kept_answer_bytes: usize,
    /// Time for which the answer of an ended call is kept.
    pub answer_retention: Duration,
    /// Time after which the record of an ended call is removed, and then that of an idle ingress.
    pub record_retention: Duration,
}

impl Default for RecordLimits {
    fn default() -> Self {
        Self {
            max_ended_calls: 4_096,
            max_kept_answer_bytes: 1024 * 1024,
            answer_retention: Duration::from_secs(30),
            record_retention: Duration::from_mins(10),
        }
    }
}

/// State of a call that was received before, or may have been.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRecordState<A> {
    /// The call is running; its answer can be awaited through the handle.
    Running(A),
    /// The call has ended and its answer is kept.
    Kept(A),
    /// The call has ended and its answer is no longer available.
    Ended,
    /// The call was barred from starting before it was received.
    Fenced,
    /// The call has no record and is at or below the sequence floor: it may have run, and never starts.
    BelowFloor,
}

/// Numbers of kept answers that were dropped, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RemovedAnswers {
    /// Answers dropped because their retention time had elapsed.
    pub expired: u32,
    /// Answers dropped to stay within the size limit.
    pub evicted: u32,
}

/// Recorded state of one call.
#[derive(Debug)]
enum Record<A> {
    Running(A),
    Kept(A),
    Ended,
    Fenced,
}

/// Identity of one incarnation of an ingress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct IngressIncarnation {
    node: Arc<str>,
    incarnation: u64,
}

/// Records of one ingress incarnation in one shard.
#[derive(Debug)]
struct IngressRecords<A> {
    /// Highest sequence whose record was removed.
    sequence_floor: u64,
    /// Records by sequence.
    records: IndexMap<u64, Record<A>>,
    last_used_at: Instant,
}

/// An ended call whose answer is kept.
#[derive(Debug)]
struct KeptAnswer {
    call: CallId,
    bytes: usize,
    ended_at: Instant,
}

#[derive(Debug)]
struct Shard<A> {
    ingresses: IndexMap<IngressIncarnation, IngressRecords<A>>,
    /// Calls that ended or were fenced, and when; the oldest first.
    ended_calls: VecDeque<(CallId, Instant)>,
    /// The oldest first.
    kept_answers: VecDeque<KeptAnswer>,
    kept_answer_bytes: usize,
}

/// Records of the calls that a gate has received, each with a handle `A` to its answer.
#[derive(Debug)]
pub struct CallRecords<A> {
    limits: RecordLimits,
    shards: [Mutex<Shard<A>>; SHARD_COUNT],
}

impl<A> Default for CallRecords<A>
where
    A: Clone,
{
    fn default() -> Self {
        Self::new(RecordLimits::default())
    }
}

impl<A> CallRecords<A>
where
    A: Clone,
{
    /// Creates empty records with the given limits.
    #[must_use]
    pub fn new(limits: RecordLimits) -> Self {
        Self { limits, shards: std::array::from_fn(|_| Mutex::new(Shard::new())) }
    }

    /// Records a new call as running, with the handle to its future answer.
    ///
    /// # Errors
    ///
    /// Returns the state of the call if it must not start.
    pub fn begin(&self, call: &CallId, answer: A, now: Instant) -> Result<(), CallRecordState<A>> {
        let mut shard = self.shard(call).lock();
        let ingress = shard.ingress_mut(call, now, self.limits);
        if let Some(state) = ingress.known_state(call.sequence) {
            return Err(state);
        }
        ingress.records.insert(call.sequence, Record::Running(answer));
        Ok(())
    }

    /// Records the end of a call and keeps its answer if `answer_bytes` gives its size.
    ///
    /// Returns the numbers of answers dropped to enforce the limits.
    pub fn finish(&self, call: &CallId, answer_bytes: Option<usize>, now: Instant) -> RemovedAnswers {
        let mut shard = self.shard(call).lock();
        if shard.mark_ended(call, answer_bytes.is_some(), now, self.limits) {
            shard.ended_calls.push_back((call.clone(), now));
            if let Some(bytes) = answer_bytes {
                shard.kept_answer_bytes += bytes;
                shard.kept_answers.push_back(KeptAnswer { call: call.clone(), bytes, ended_at: now });
            }
        }
        shard.enforce_limits(now, self.limits)
    }

    /// Removes the record of a call that provably did not execute, so that the caller may repeat it.
    pub fn remove_unexecuted(&self, call: &CallId) {
        let mut shard = self.shard(call).lock();
        if matches!(shard.record_mut(call), Some(Record::Running(_))) {
            shard.remove_record(call);
        }
    }

    /// Returns the state of a call; an unknown call is fenced, which bars it from starting later.
    #[must_use]
    pub fn resolve_or_fence(&self, call: &CallId, now: Instant) -> CallRecordState<A> {
        let mut shard = self.shard(call).lock();
        shard.drop_expired_answers(now, self.limits);
        let ingress = shard.ingress_mut(call, now, self.limits);
        if let Some(state) = ingress.known_state(call.sequence) {
            return state;
        }
        ingress.records.insert(call.sequence, Record::Fenced);
        shard.ended_calls.push_back((call.clone(), now));
        shard.enforce_limits(now, self.limits);
        CallRecordState::Fenced
    }

    /// Returns the total size of the answers kept at present, in bytes.
    #[must_use]
    pub fn kept_answer_bytes(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().kept_answer_bytes).sum()
    }

    fn shard(&self, call: &CallId) -> &Mutex<Shard<A>> {
        let index = usize::try_from(call.sequence % SHARD_COUNT as u64).unwrap_or(0);
        &self.shards[index]
    }
}

impl<A> IngressRecords<A>
where
    A: Clone,
{
    fn known_state(&self, sequence: u64) -> Option<CallRecordState<A>> {
        let Some(record) = self.records.get(&sequence) else {
            return (sequence <= self.sequence_floor).then_some(CallRecordState::BelowFloor);
        };
        Some(match record {
            Record::Running(answer) => CallRecordState::Running(answer.clone()),
            Record::Kept(answer) => CallRecordState::Kept(answer.clone()),
            Record::Ended => CallRecordState::Ended,
            Record::Fenced => CallRecordState::Fenced,
        })
    }
}

impl<A> Shard<A> {
    fn new() -> Self {
        Self {
            ingresses: IndexMap::new(),
            ended_calls: VecDeque::new(),
            kept_answers: VecDeque::new(),
            kept_answer_bytes: 0,
        }
    }

    /// Returns the records of a call's ingress incarnation, created if there are none.
    fn ingress_mut(&mut self, call: &CallId, now: Instant, limits: RecordLimits) -> &mut IngressRecords<A> {
        let id = IngressIncarnation { node: Arc::clone(&call.node), incarnation: call.incarnation };
        if !self.ingresses.contains_key(&id) {
            self.remove_idle_ingresses(now, limits);
        }
        let empty = || IngressRecords { sequence_floor: 0, records: IndexMap::new(), last_used_at: now };
        let ingress = self.ingresses.entry(id).or_insert_with(empty);
        ingress.last_used_at = now;
        ingress
    }

    /// Removes ingress incarnations that have no records and have been idle for `record_retention`.
    fn remove_idle_ingresses(&mut self, now: Instant, limits: RecordLimits) {
        self.ingresses.retain(|_, ingress| {
            !ingress.records.is_empty() || now - ingress.last_used_at < limits.record_retention
        });
    }

    /// Marks a running call as ended; returns false if no such call is running.
    fn mark_ended(&mut self, call: &CallId, keep_answer: bool, now: Instant, limits: RecordLimits) -> bool {
        let Some(record) = self.ingress_mut(call, now, limits).records.get_mut(&call.sequence) else {
            return false;
        };
        match std::mem::replace(record, Record::Ended) {
            Record::Running(answer) if keep_answer => *record = Record::Kept(answer),
            Record::Running(_) => {}
            other => {
                *record = other;
                return false;
            }
        }
        true
    }

    /// Drops answers and removes records until the shard is within its limits.
    fn enforce_limits(&mut self, now: Instant, limits: RecordLimits) -> RemovedAnswers {
        let mut removed = RemovedAnswers { expired: self.drop_expired_answers(now, limits), evicted: 0 };
        while self.kept_answer_bytes > limits.max_kept_answer_bytes && self.drop_oldest_answer() {
            removed.evicted += 1;
        }
        while self.must_remove_oldest_ended(now, limits) {
            self.remove_oldest_ended();
        }
        removed
    }

    /// Drops answers whose retention time has elapsed and returns their number.
    fn drop_expired_answers(&mut self, now: Instant, limits: RecordLimits) -> u32 {
        let mut expired = 0;
        while self.kept_answers.front().is_some_and(|kept| now - kept.ended_at >= limits.answer_retention) {
            self.drop_oldest_answer();
            expired += 1;
        }
        expired
    }

    /// Drops the oldest kept answer; returns false if none is kept.
    fn drop_oldest_answer(&mut self) -> bool {
        let Some(kept) = self.kept_answers.pop_front() else {
            return false;
        };
        self.kept_answer_bytes -= kept.bytes;
        if let Some(record) = self.record_mut(&kept.call) {
            *record = Record::Ended;
        }
        true
    }

    fn record_mut(&mut self, call: &CallId) -> Option<&mut Record<A>> {
        let id = IngressIncarnation { node: Arc::clone(&call.node), incarnation: call.incarnation };
        self.ingresses.get_mut(&id)?.records.get_mut(&call.sequence)
    }

    fn remove_record(&mut self, call: &CallId) {
        let id = IngressIncarnation { node: Arc::clone(&call.node), incarnation: call.incarnation };
        if let Some(ingress) = self.ingresses.get_mut(&id) {
            ingress.records.swap_remove(&call.sequence);
        }
    }

    fn must_remove_oldest_ended(&self, now: Instant, limits: RecordLimits) -> bool {
        let over_limit = self.ended_calls.len() > limits.max_ended_calls;
        self.ended_calls
            .front()
            .is_some_and(|(_, ended_at)| over_limit || now - *ended_at >= limits.record_retention)
    }

    /// Removes the record of the call that ended first and raises the sequence floor of its ingress to it.
    fn remove_oldest_ended(&mut self) {
        let Some((call, _)) = self.ended_calls.pop_front() else {
            return;
        };
        self.drop_answer(&call);
        let id = IngressIncarnation { node: Arc::clone(&call.node), incarnation: call.incarnation };
        if let Some(ingress) = self.ingresses.get_mut(&id) {
            ingress.records.swap_remove(&call.sequence);
            ingress.sequence_floor = ingress.sequence_floor.max(call.sequence);
        }
    }

    fn drop_answer(&mut self, call: &CallId) {
        if let Some(position) = self.kept_answers.iter().position(|kept| kept.call == *call)
            && let Some(kept) = self.kept_answers.remove(position)
        {
            self.kept_answer_bytes -= kept.bytes;
        }
    }
}
