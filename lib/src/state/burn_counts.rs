//! Counts of an ingress's calls by service, priority and result, kept over sliding windows.
//!
//! The service level reports (burn rates) of a node are computed from them.

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

/// Number of independently locked shards of the counts.
const SHARD_COUNT: usize = 2;
/// Resolution of the counts for windows of up to five minutes.
const SHORT_SLOT_LENGTH: Duration = Duration::from_secs(10);
/// Slots that cover five minutes.
const SHORT_SLOT_COUNT: u64 = 30;
/// Resolution of the counts for windows of up to six hours.
const LONG_SLOT_LENGTH: Duration = Duration::from_mins(5);
/// Slots that cover six hours.
const LONG_SLOT_COUNT: u64 = 72;
/// Resolution of the latency histograms, coarse because each slot has a histogram of its own.
const LATENCY_SLOT_LENGTH: Duration = Duration::from_mins(30);
/// Slots that cover `LATENCY_WINDOW`.
const LATENCY_SLOT_COUNT: u64 = 2;
/// Window of the reported latency histograms.
const LATENCY_WINDOW: Duration = Duration::from_hours(1);

/// Service and priority of counted calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BurnKey {
    /// Service called.
    pub service: Arc<str>,
    /// Priority of the call.
    pub priority: Arc<str>,
}

/// Result of a call, measured against its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectiveResult {
    /// An upstream answered successfully within the objective.
    Good,
    /// An upstream answered too late or with an error.
    MissedWithAnswer(MissCause),
    /// No upstream returned a complete answer.
    MissedWithoutAnswer(MissCause),
    /// The caller disconnected before the objective had elapsed.
    CallerLeft,
}

/// Counts and latencies of one key in one shard, by time slot.
#[derive(Debug)]
struct SlottedCounts {
    short_windows: TimeRing<CallCounts>,
    long_windows: TimeRing<CallCounts>,
    latencies: TimeRing<Histogram<u32>>,
}

/// Counts of ended calls by service and priority.
///
/// Each thread is assigned to one of a few shards, which keeps lock contention low.
#[derive(Debug)]
pub struct BurnCounts {
    started: Instant,
    shards: [Mutex<IndexMap<BurnKey, SlottedCounts>>; SHARD_COUNT],
}

impl BurnCounts {
    /// Creates empty counts for a node that started at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { started: now, shards: std::array::from_fn(|_| Mutex::default()) }
    }

    /// Returns the time since the node started.
    #[must_use]
    pub fn uptime(&self, now: Instant) -> Duration {
        now - self.started
    }

    /// Counts a call that ended at `now`, `latency` after it started.
    pub fn record(&self, key: &BurnKey, result: ObjectiveResult, latency: Duration, now: Instant) {
        let uptime = self.uptime(now);
        let mut shard = self.shards[thread_shard_index()].lock();
        if !shard.contains_key(key) {
            shard.insert(key.clone(), SlottedCounts::new());
        }
        if let Some(counts) = shard.get_mut(key) {
            counts.record(result, latency, uptime);
        }
    }

    /// Returns the counts of each key, of one `service` if given, with the objectives of `config`.
    ///
    /// Removes keys without a call in the longest window.
    pub fn rows(&self, service: Option<&str>, config: &ConfigSnapshot, now: Instant) -> Vec<BurnRow> {
        let uptime = self.uptime(now);
        let mut totals = IndexMap::<BurnKey, KeyTotals>::new();
        for shard in &self.shards {
            let mut shard = shard.lock();
            shard.retain(|_, counts| {
                counts.long_windows.recent(uptime, Window::SixHours.length()).next().is_some()
            });
            for (key, counts) in
                shard.iter().filter(|(key, _)| service.is_none_or(|name| *name == *key.service))
            {
                totals.entry(key.clone()).or_default().add(counts, uptime);
            }
        }
        totals.into_iter().map(|(key, total)| total.into_row(key, config)).collect()
    }
}

impl SlottedCounts {
    const fn new() -> Self {
        Self {
            short_windows: TimeRing::new(SHORT_SLOT_LENGTH, SHORT_SLOT_COUNT),
            long_windows: TimeRing::new(LONG_SLOT_LENGTH, LONG_SLOT_COUNT),
            latencies: TimeRing::new(LATENCY_SLOT_LENGTH, LATENCY_SLOT_COUNT),
        }
    }

    fn record(&mut self, result: ObjectiveResult, latency: Duration, uptime: Duration) {
        increment(self.short_windows.slot_mut(uptime, CallCounts::default), result);
        increment(self.long_windows.slot_mut(uptime, CallCounts::default), result);
        if matches!(result, ObjectiveResult::Good | ObjectiveResult::MissedWithAnswer(_)) {
            let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            // Never fails: the histogram resizes itself for values up to the maximum used here.
            let _recorded =
                self.latencies.slot_mut(uptime, latency_histogram).record(micros.min(LATENCY_MAX_US));
        }
    }

    fn window_counts(&self, window: Window, uptime: Duration) -> CallCounts {
        let ring = if window <= Window::FiveMinutes { &self.short_windows } else { &self.long_windows };
        let mut total = CallCounts::default();
        for counts in ring.recent(uptime, window.length()) {
            total.merge(counts);
        }
        total
    }
}

const fn increment(counts: &mut CallCounts, result: ObjectiveResult) {
    match result {
        ObjectiveResult::Good => counts.good += 1,
        ObjectiveResult::MissedWithAnswer(cause) | ObjectiveResult::MissedWithoutAnswer(cause) => {
            counts.missed.add(cause, 1);
        }
        ObjectiveResult::CallerLeft => counts.left += 1,
    }
}

/// Counts and latencies of one key, summed over the shards.
#[derive(Debug)]
struct KeyTotals {
    windows: [CallCounts; Window::ALL.len()],
    latency: Histogram<u32>,
}

impl Default for KeyTotals {
    fn default() -> Self {
        Self { windows: [CallCounts::default(); Window::ALL.len()], latency: latency_histogram() }
    }
}

impl KeyTotals {
    fn add(&mut self, counts: &SlottedCounts, uptime: Duration) {
        for (total, window) in self.windows.iter_mut().zip(Window::ALL) {
            total.merge(&counts.window_counts(window, uptime));
        }
        for slot in counts.latencies.recent(uptime, LATENCY_WINDOW) {
            self.latency += slot;
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
            latency_us: encode_histogram(&self.latency),
        }
    }
}

/// Creates an empty histogram of latencies in microseconds, which grows as needed.
///
/// # Panics
///
/// If the protocol's histogram constants are not valid bounds.
#[must_use]
pub fn latency_histogram() -> Histogram<u32> {
    let mut histogram = Histogram::new_with_bounds(
        LATENCY_RESOLUTION_US,
        2 * LATENCY_RESOLUTION_US,
        LATENCY_SIGNIFICANT_DIGITS,
    )
    .expect("the histogram bounds of the protocol are valid");
    histogram.auto(true);
    histogram
}

/// Returns the latency objective that a service's configuration sets for a priority.
fn objective(config: &PublishedConfig, priority: &str) -> Option<Objective> {
    let spec = config.priorities.priorities.get(priority)?;
    Some(Objective { objective_ms: spec.objective_ms, target_percent: spec.target_percent })
}

/// Returns a histogram in the compressed HDR V2 format, Base64-encoded, or an empty string on failure.
fn encode_histogram(histogram: &Histogram<u32>) -> String {
    let mut bytes = Vec::new();
    match V2DeflateSerializer::new().serialize(histogram, &mut bytes) {
        Ok(_) => STANDARD.encode(bytes),
        Err(error) => {
            log::error!("cannot serialise the latency histogram; error={error}");
            String::new()
        }
    }
}

/// Returns the shard of the calling thread; shards are assigned to threads round-robin.
fn thread_shard_index() -> usize {
    static NEXT_THREAD: AtomicUsize = AtomicUsize::new(0);
    thread_local! {
        static SHARD_INDEX: usize = NEXT_THREAD.fetch_add(1, Ordering::Relaxed) % SHARD_COUNT;
    }
    SHARD_INDEX.with(|index| *index)
}
