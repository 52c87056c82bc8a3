//! Calls of an ingress held against their objectives, by service and priority.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::Serializer;
use hdrhistogram::serialization::V2DeflateSerializer;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::protocol::burn::BurnRow;
use crate::protocol::burn::CallCounts;
use crate::protocol::burn::LATENCY_MAX_US;
use crate::protocol::burn::LATENCY_RESOLUTION_US;
use crate::protocol::burn::LATENCY_SIGNIFICANT_DIGITS;
use crate::protocol::burn::MissCause;
use crate::protocol::burn::Objective;
use crate::protocol::burn::Window;
use crate::protocol::burn::WindowCounts;
use crate::protocol::published::PublishedConfig;
use crate::state::config_table::ConfigSnapshot;
use crate::state::time_ring::TimeRing;

const SHARDS: usize = 2;
const SHORT_SLOT: Duration = Duration::from_secs(10);
const SHORT_SLOTS: u64 = 30;
const LONG_SLOT: Duration = Duration::from_mins(5);
const LONG_SLOTS: u64 = 72;
const LATENCY_SLOT: Duration = Duration::from_mins(30);
const LATENCY_SLOTS: u64 = 2;
const LATENCY_WINDOW: Duration = Duration::from_hours(1);

/// Service and priority of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BurnKey {
    /// Service called.
    pub service: Arc<str>,
    /// Priority of the call.
    pub priority: Arc<str>,
}

/// How a call stands to its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// An upstream answered in time.
    Good,
    /// An upstream answered, too late or with an error.
    AnsweredMissed(MissCause),
    /// No upstream answered.
    Missed(MissCause),
    /// The caller left before the objective had passed.
    Left,
}

#[derive(Debug)]
struct Cell {
    short: TimeRing<CallCounts>,
    long: TimeRing<CallCounts>,
    latency: TimeRing<Histogram<u32>>,
}

/// Counts of ended calls.
///
/// Each thread counts in one of a few shards, so that threads rarely meet at a lock.
#[derive(Debug)]
pub struct BurnCounts {
    started: Instant,
    shards: [Mutex<IndexMap<BurnKey, Cell>>; SHARDS],
}

impl BurnCounts {
    /// Empty counts of a node that started at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { started: now, shards: std::array::from_fn(|_| Mutex::default()) }
    }

    /// Time since the node started.
    #[must_use]
    pub fn uptime(&self, now: Instant) -> Duration {
        now - self.started
    }

    /// Counts a call that ended at `now` after `took`.
    pub fn record(&self, key: &BurnKey, result: CallResult, took: Duration, now: Instant) {
        let at = self.uptime(now);
        let mut shard = self.shards[thread_shard()].lock();
        if !shard.contains_key(key) {
            shard.insert(key.clone(), Cell::new());
        }
        if let Some(cell) = shard.get_mut(key) {
            cell.record(result, took, at);
        }
    }

    /// Everything counted, with the objectives of `config`; forgets what is older than any window.
    pub fn rows(&self, service: Option<&str>, config: &ConfigSnapshot, now: Instant) -> Vec<BurnRow> {
        let at = self.uptime(now);
        let mut sums = IndexMap::<BurnKey, CellSum>::new();
        for shard in &self.shards {
            let mut shard = shard.lock();
            shard.retain(|_, cell| cell.long.recent(at, Window::SixHours.length()).next().is_some());
            for (key, cell) in
                shard.iter().filter(|(key, _)| service.is_none_or(|name| *name == *key.service))
            {
                sums.entry(key.clone()).or_default().add(cell, at);
            }
        }
        sums.into_iter().map(|(key, sum)| sum.into_row(key, config)).collect()
    }
}

impl Cell {
    const fn new() -> Self {
        Self {
            short: TimeRing::new(SHORT_SLOT, SHORT_SLOTS),
            long: TimeRing::new(LONG_SLOT, LONG_SLOTS),
            latency: TimeRing::new(LATENCY_SLOT, LATENCY_SLOTS),
        }
    }

    fn record(&mut self, result: CallResult, took: Duration, at: Duration) {
        count(self.short.at(at, CallCounts::default), result);
        count(self.long.at(at, CallCounts::default), result);
        if matches!(result, CallResult::Good | CallResult::AnsweredMissed(_)) {
            let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
            // The histogram grows as far as its largest latency, which bounds the value.
            let _recorded = self.latency.at(at, latency_histogram).record(micros.min(LATENCY_MAX_US));
        }
    }

    fn counts(&self, window: Window, at: Duration) -> CallCounts {
        let ring = if window <= Window::FiveMinutes { &self.short } else { &self.long };
        let mut sum = CallCounts::default();
        for counts in ring.recent(at, window.length()) {
            sum.merge(counts);
        }
        sum
    }
}

const fn count(counts: &mut CallCounts, result: CallResult) {
    match result {
        CallResult::Good => counts.good += 1,
        CallResult::AnsweredMissed(cause) | CallResult::Missed(cause) => counts.missed.add(cause, 1),
        CallResult::Left => counts.left += 1,
    }
}

/// The cells of one key, added up over the shards.
#[derive(Debug)]
struct CellSum {
    windows: [CallCounts; Window::ALL.len()],
    latency: Histogram<u32>,
}

impl Default for CellSum {
    fn default() -> Self {
        Self { windows: [CallCounts::default(); Window::ALL.len()], latency: latency_histogram() }
    }
}

impl CellSum {
    fn add(&mut self, cell: &Cell, at: Duration) {
        for (sum, window) in self.windows.iter_mut().zip(Window::ALL) {
            sum.merge(&cell.counts(window, at));
        }
        for latency in cell.latency.recent(at, LATENCY_WINDOW) {
            self.latency += latency;
        }
    }

    fn into_row(self, key: BurnKey, config: &ConfigSnapshot) -> BurnRow {
        let published = config.get(&key.service).and_then(|published| published.config.as_ref());
        let objective = published.and_then(|config| objective(config, &key.priority));
        let windows =
            Window::ALL.into_iter().zip(self.windows).map(|(window, counts)| WindowCounts { window, counts });
        BurnRow {
            service: key.service,
            priority: key.priority,
            objective,
            windows: windows.collect(),
            latency_us: encoded(&self.latency),
        }
    }
}

/// An empty histogram of latencies, in microseconds.
///
/// # Panics
///
/// When the constants of the protocol contradict one another.
#[must_use]
pub fn latency_histogram() -> Histogram<u32> {
    let mut histogram = Histogram::new_with_bounds(
        LATENCY_RESOLUTION_US,
        2 * LATENCY_RESOLUTION_US,
        LATENCY_SIGNIFICANT_DIGITS,
    )
    .expect("the bounds are valid");
    histogram.auto(true);
    histogram
}

fn objective(config: &PublishedConfig, priority: &str) -> Option<Objective> {
    let spec = config.priorities.priorities.get(priority)?;
    Some(Objective { objective_ms: spec.objective_ms, target_percent: spec.target_percent })
}

fn encoded(latency: &Histogram<u32>) -> String {
    let mut bytes = Vec::new();
    match V2DeflateSerializer::new().serialize(latency, &mut bytes) {
        Ok(_) => STANDARD.encode(bytes),
        Err(error) => {
            log::error!("cannot serialise latencies; error={error}");
            String::new()
        }
    }
}

/// The shard of the calling thread; threads get them in turn.
fn thread_shard() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    thread_local! {
        static MINE: usize = NEXT.fetch_add(1, Ordering::Relaxed) % SHARDS;
    }
    MINE.with(|mine| *mine)
}
