//! What a gate remembers about calls, so that none starts twice.
//!
//! Records are bounded. Forgetting one raises the floor of its ingress: a sequence at or
//! below the floor that has no record is never started, whatever it was.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::protocol::call_id::CallId;

const SHARDS: usize = 16;

/// Bounds on what is remembered; counts and bytes are per shard of sixteen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordBounds {
    /// Ended calls remembered by a shard.
    pub max_ended: usize,
    /// Bytes of answers kept by a shard.
    pub max_kept_bytes: usize,
    /// Time for which an answer is kept.
    pub keep_answer_for: Duration,
    /// Time for which an ended call, and then an idle ingress, is remembered.
    pub remember_for: Duration,
}

impl Default for RecordBounds {
    fn default() -> Self {
        Self {
            max_ended: 4_096,
            max_kept_bytes: 1024 * 1024,
            keep_answer_for: Duration::from_secs(30),
            remember_for: Duration::from_mins(10),
        }
    }
}

/// What is known of a call that was seen before, or may have been.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRecordState<A> {
    /// Taken in and not ended; its answer can be attached to.
    Running(A),
    /// Ended, and its answer is kept.
    Kept(A),
    /// Ended, and its answer is not kept any more.
    Ended,
    /// Refused for good before it was ever seen.
    Fenced,
    /// Too old to tell; it will not start.
    Forgotten,
}

/// Kept answers that were dropped, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RemovedAnswers {
    /// Dropped because their time was over.
    pub expired: u32,
    /// Dropped to make room for later ones.
    pub evicted: u32,
}

#[derive(Debug)]
enum Record<A> {
    Running(A),
    Kept(A),
    Ended,
    Fenced,
}

/// One life of one ingress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct IngressId {
    node: Arc<str>,
    incarnation: u64,
}

/// Calls of one ingress that fall into one shard.
#[derive(Debug)]
struct IngressCalls<A> {
    floor: u64,
    records: IndexMap<u64, Record<A>>,
    seen_at: Instant,
}

#[derive(Debug)]
struct KeptAnswer {
    call: CallId,
    bytes: usize,
    ended_at: Instant,
}

#[derive(Debug)]
struct Shard<A> {
    ingresses: IndexMap<IngressId, IngressCalls<A>>,
    ended: VecDeque<(CallId, Instant)>,
    kept: VecDeque<KeptAnswer>,
    kept_bytes: usize,
}

/// Records of the calls that one gate has seen, each with a handle `A` on its answer.
#[derive(Debug)]
pub struct CallRecords<A> {
    bounds: RecordBounds,
    shards: [Mutex<Shard<A>>; SHARDS],
}

impl<A> Default for CallRecords<A>
where
    A: Clone,
{
    fn default() -> Self {
        Self::new(RecordBounds::default())
    }
}

impl<A> CallRecords<A>
where
    A: Clone,
{
    /// Empty records within the given bounds.
    #[must_use]
    pub fn new(bounds: RecordBounds) -> Self {
        Self { bounds, shards: std::array::from_fn(|_| Mutex::new(Shard::new())) }
    }

    /// Records that a call arrived, to be answered through `answer`.
    ///
    /// # Errors
    ///
    /// With what is known of the call when it must not start.
    pub fn begin(&self, call: &CallId, answer: A, now: Instant) -> Result<(), CallRecordState<A>> {
        let mut shard = self.shard(call).lock();
        let ingress = shard.ingress(call, now, self.bounds);
        if let Some(seen) = ingress.seen(call.sequence) {
            return Err(seen);
        }
        ingress.records.insert(call.sequence, Record::Running(answer));
        Ok(())
    }

    /// Records that a call ended; its answer is kept when its size is given.
    pub fn finish(&self, call: &CallId, answer_bytes: Option<usize>, now: Instant) -> RemovedAnswers {
        let mut shard = self.shard(call).lock();
        if shard.end(call, answer_bytes.is_some(), now, self.bounds) {
            shard.ended.push_back((call.clone(), now));
            if let Some(bytes) = answer_bytes {
                shard.kept_bytes += bytes;
                shard.kept.push_back(KeptAnswer { call: call.clone(), bytes, ended_at: now });
            }
        }
        shard.trim(now, self.bounds)
    }

    /// Forgets a running call that is proved not to have started, so that it may come again.
    pub fn abandon(&self, call: &CallId) {
        let mut shard = self.shard(call).lock();
        if matches!(shard.record(call), Some(Record::Running(_))) {
            shard.remove(call);
        }
    }

    /// What is known of a call; one never seen is fenced, so that it can't start later.
    #[must_use]
    pub fn resolve(&self, call: &CallId, now: Instant) -> CallRecordState<A> {
        let mut shard = self.shard(call).lock();
        shard.drop_expired(now, self.bounds);
        let ingress = shard.ingress(call, now, self.bounds);
        if let Some(seen) = ingress.seen(call.sequence) {
            return seen;
        }
        ingress.records.insert(call.sequence, Record::Fenced);
        shard.ended.push_back((call.clone(), now));
        shard.trim(now, self.bounds);
        CallRecordState::Fenced
    }

    /// Bytes of answers kept at present.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().kept_bytes).sum()
    }

    fn shard(&self, call: &CallId) -> &Mutex<Shard<A>> {
        let index = usize::try_from(call.sequence % SHARDS as u64).unwrap_or(0);
        &self.shards[index]
    }
}

impl<A> IngressCalls<A>
where
    A: Clone,
{
    fn seen(&self, sequence: u64) -> Option<CallRecordState<A>> {
        let Some(record) = self.records.get(&sequence) else {
            return (sequence <= self.floor).then_some(CallRecordState::Forgotten);
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
        Self { ingresses: IndexMap::new(), ended: VecDeque::new(), kept: VecDeque::new(), kept_bytes: 0 }
    }

    fn ingress(&mut self, call: &CallId, now: Instant, bounds: RecordBounds) -> &mut IngressCalls<A> {
        let id = IngressId { node: Arc::clone(&call.node), incarnation: call.incarnation };
        if !self.ingresses.contains_key(&id) {
            self.forget_idle(now, bounds);
        }
        let fresh = || IngressCalls { floor: 0, records: IndexMap::new(), seen_at: now };
        let ingress = self.ingresses.entry(id).or_insert_with(fresh);
        ingress.seen_at = now;
        ingress
    }

    /// Forgets lives of ingresses that left no record and were silent for long.
    fn forget_idle(&mut self, now: Instant, bounds: RecordBounds) {
        self.ingresses
            .retain(|_, ingress| !ingress.records.is_empty() || now - ingress.seen_at < bounds.remember_for);
    }

    /// Turns a running record into an ended one; false when there is none.
    fn end(&mut self, call: &CallId, keep: bool, now: Instant, bounds: RecordBounds) -> bool {
        let Some(record) = self.ingress(call, now, bounds).records.get_mut(&call.sequence) else {
            return false;
        };
        match std::mem::replace(record, Record::Ended) {
            Record::Running(answer) if keep => *record = Record::Kept(answer),
            Record::Running(_) => {}
            other => {
                *record = other;
                return false;
            }
        }
        true
    }

    fn trim(&mut self, now: Instant, bounds: RecordBounds) -> RemovedAnswers {
        let mut removed = RemovedAnswers { expired: self.drop_expired(now, bounds), evicted: 0 };
        while self.kept_bytes > bounds.max_kept_bytes && self.drop_oldest_answer() {
            removed.evicted += 1;
        }
        while self.oldest_ended_goes(now, bounds) {
            self.forget_oldest_ended();
        }
        removed
    }

    fn drop_expired(&mut self, now: Instant, bounds: RecordBounds) -> u32 {
        let mut expired = 0;
        while self.kept.front().is_some_and(|kept| now - kept.ended_at >= bounds.keep_answer_for) {
            self.drop_oldest_answer();
            expired += 1;
        }
        expired
    }

    fn drop_oldest_answer(&mut self) -> bool {
        let Some(kept) = self.kept.pop_front() else {
            return false;
        };
        self.kept_bytes -= kept.bytes;
        if let Some(record) = self.record(&kept.call) {
            *record = Record::Ended;
        }
        true
    }

    fn record(&mut self, call: &CallId) -> Option<&mut Record<A>> {
        let id = IngressId { node: Arc::clone(&call.node), incarnation: call.incarnation };
        self.ingresses.get_mut(&id)?.records.get_mut(&call.sequence)
    }

    fn remove(&mut self, call: &CallId) {
        let id = IngressId { node: Arc::clone(&call.node), incarnation: call.incarnation };
        if let Some(ingress) = self.ingresses.get_mut(&id) {
            ingress.records.swap_remove(&call.sequence);
        }
    }

    fn oldest_ended_goes(&self, now: Instant, bounds: RecordBounds) -> bool {
        let too_many = self.ended.len() > bounds.max_ended;
        self.ended.front().is_some_and(|(_, at)| too_many || now - *at >= bounds.remember_for)
    }

    /// Forgets the call that ended first and raises the floor of its ingress over it.
    fn forget_oldest_ended(&mut self) {
        let Some((call, _)) = self.ended.pop_front() else {
            return;
        };
        self.drop_answer_of(&call);
        let id = IngressId { node: Arc::clone(&call.node), incarnation: call.incarnation };
        if let Some(ingress) = self.ingresses.get_mut(&id) {
            ingress.records.swap_remove(&call.sequence);
            ingress.floor = ingress.floor.max(call.sequence);
        }
    }

    fn drop_answer_of(&mut self, call: &CallId) {
        if let Some(position) = self.kept.iter().position(|kept| kept.call == *call)
            && let Some(kept) = self.kept.remove(position)
        {
            self.kept_bytes -= kept.bytes;
        }
    }
}
