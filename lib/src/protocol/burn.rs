//! What a node reports of its service levels.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Significant digits of the latency histograms: their relative error is below 1 %.
pub const LATENCY_SIGNIFICANT_DIGITS: u8 = 2;
/// Smallest latency that the histograms tell apart, in microseconds.
pub const LATENCY_RESOLUTION_US: u64 = 16;
/// Largest latency that the histograms hold, in microseconds.
pub const LATENCY_MAX_US: u64 = 3_600_000_000;

/// A time up to the present over which calls are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Window {
    /// One minute.
    #[serde(rename = "1m")]
    OneMinute,
    /// Five minutes.
    #[serde(rename = "5m")]
    FiveMinutes,
    /// Half an hour.
    #[serde(rename = "30m")]
    HalfHour,
    /// One hour.
    #[serde(rename = "1h")]
    OneHour,
    /// Six hours.
    #[serde(rename = "6h")]
    SixHours,
}

impl Window {
    /// Every window, the shortest first.
    pub const ALL: [Self; 5] =
        [Self::OneMinute, Self::FiveMinutes, Self::HalfHour, Self::OneHour, Self::SixHours];

    /// The length of the window.
    #[must_use]
    pub const fn length(self) -> Duration {
        match self {
            Self::OneMinute => Duration::from_mins(1),
            Self::FiveMinutes => Duration::from_mins(5),
            Self::HalfHour => Duration::from_mins(30),
            Self::OneHour => Duration::from_hours(1),
            Self::SixHours => Duration::from_hours(6),
        }
    }

    /// The name in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::OneMinute => "1m",
            Self::FiveMinutes => "5m",
            Self::HalfHour => "30m",
            Self::OneHour => "1h",
            Self::SixHours => "6h",
        }
    }
}

/// What made a call miss its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MissCause {
    /// Most of its time went by in the queue of a gate.
    Queueing,
    /// Most of its time went by at the upstream.
    UpstreamTime,
    /// The upstream answered with a status of 500 or above, or broke off its answer.
    UpstreamError,
    /// It was rejected before it ran.
    Rejection,
    /// It may have run and the caller can't know.
    UnknownOutcome,
    /// Most of its time went by in earlier attempts.
    Retries,
    /// The caller left after the objective had passed.
    CallerGone,
}

impl MissCause {
    /// Every cause.
    pub const ALL: [Self; 7] = [
        Self::Queueing,
        Self::UpstreamTime,
        Self::UpstreamError,
        Self::Rejection,
        Self::UnknownOutcome,
        Self::Retries,
        Self::CallerGone,
    ];

    /// The name in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Queueing => "queueing",
            Self::UpstreamTime => "upstream_time",
            Self::UpstreamError => "upstream_error",
            Self::Rejection => "rejection",
            Self::UnknownOutcome => "unknown_outcome",
            Self::Retries => "retries",
            Self::CallerGone => "caller_gone",
        }
    }
}

/// Calls that missed their objective, by cause; a cause without calls is left out on the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissCounts {
    #[serde(default, skip_serializing_if = "is_zero")]
    queueing: u64,
    #[serde(default, skip_serializing_if = "is_zero")]
    upstream_time: u64,
    #[serde(default, skip_serializing_if = "is_zero")]
    upstream_error: u64,
    #[serde(default, skip_serializing_if = "is_zero")]
    rejection: u64,
    #[serde(default, skip_serializing_if = "is_zero")]
    unknown_outcome: u64,
    #[serde(default, skip_serializing_if = "is_zero")]
    retries: u64,
    #[serde(default, skip_serializing_if = "is_zero")]
    caller_gone: u64,
}

impl MissCounts {
    /// The count of one cause.
    #[must_use]
    pub const fn of(&self, cause: MissCause) -> u64 {
        match cause {
            MissCause::Queueing => self.queueing,
            MissCause::UpstreamTime => self.upstream_time,
            MissCause::UpstreamError => self.upstream_error,
            MissCause::Rejection => self.rejection,
            MissCause::UnknownOutcome => self.unknown_outcome,
            MissCause::Retries => self.retries,
            MissCause::CallerGone => self.caller_gone,
        }
    }

    /// Adds to the count of one cause.
    pub const fn add(&mut self, cause: MissCause, calls: u64) {
        let count = match cause {
            MissCause::Queueing => &mut self.queueing,
            MissCause::UpstreamTime => &mut self.upstream_time,
            MissCause::UpstreamError => &mut self.upstream_error,
            MissCause::Rejection => &mut self.rejection,
            MissCause::UnknownOutcome => &mut self.unknown_outcome,
            MissCause::Retries => &mut self.retries,
            MissCause::CallerGone => &mut self.caller_gone,
        };
        *count += calls;
    }

    /// The count of all causes.
    #[must_use]
    pub fn total(&self) -> u64 {
        MissCause::ALL.into_iter().map(|cause| self.of(cause)).sum()
    }

    /// The cause of most misses, or nothing when there were none.
    #[must_use]
    pub fn main_cause(&self) -> Option<MissCause> {
        let cause = MissCause::ALL.into_iter().rev().max_by_key(|cause| self.of(*cause))?;
        (self.of(cause) > 0).then_some(cause)
    }
}

/// Calls of one service and priority over some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls that met their objective.
    pub good: u64,
    /// Calls that missed it.
    pub missed: MissCounts,
    /// Calls whose caller left before the objective had passed; neither good nor missed.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub left: u64,
}

impl CallCounts {
    /// Calls that count against the objective, met or missed.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.good + self.missed.total()
    }

    /// Adds the counts of other calls.
    pub fn merge(&mut self, other: &Self) {
        self.good += other.good;
        self.left += other.left;
        for cause in MissCause::ALL {
            self.missed.add(cause, other.missed.of(cause));
        }
    }
}

/// The objective that a service's calls of one priority are held against.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// Latency objective, in milliseconds.
    pub objective_ms: u64,
    /// Share of calls that have to meet it, in percent.
    pub target_percent: f64,
}

/// The counts of one window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window.
    pub window: Window,
    /// What was counted in it.
    #[serde(flatten)]
    pub counts: CallCounts,
}

/// What one node counted of one service and priority.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// Service called.
    pub service: Arc<str>,
    /// Priority of the calls.
    pub priority: Arc<str>,
    /// Objective in force, or nothing when the configuration no longer has one.
    pub objective: Option<Objective>,
    /// Counts by window, the shortest first.
    pub windows: Vec<WindowCounts>,
    /// Latencies of answered calls over the last hour, in microseconds:
    /// a histogram in the V2 format of `HdrHistogram`, in Base64.
    pub latency_us: String,
}

/// What one node counted as the ingress of calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Name of the node.
    pub node: Arc<str>,
    /// Its incarnation; a later life of the name starts with empty counts.
    pub incarnation: u64,
    /// Its region.
    pub region: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Time since it started, in milliseconds.
    pub uptime_ms: u64,
    /// Services and priorities that it took calls for.
    pub rows: Vec<BurnRow>,
}

/// Whether a count says nothing, in the form that serde asks for.
#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde hands out references")]
const fn is_zero(count: &u64) -> bool {
    *count == 0
}
