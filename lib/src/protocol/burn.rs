//! Service-level report of a node: calls that met or missed their latency objective, by window and cause.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Significant digits of the latency histograms; two keep the relative error below 1 %.
pub const LATENCY_SIGNIFICANT_DIGITS: u8 = 2;
/// Smallest latency that the histograms resolve, in microseconds.
pub const LATENCY_RESOLUTION_US: u64 = 16;
/// Largest latency that the histograms record, in microseconds; longer ones are clamped to it.
pub const LATENCY_MAX_US: u64 = 3_600_000_000;

/// Sliding time window over which calls are counted.
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

    /// Returns the length of the window.
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

    /// Returns the name in reports.
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

/// Main cause for which a call missed its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MissCause {
    /// The largest part of the latency was queueing at a gate.
    Queueing,
    /// The largest part of the latency was service time at the upstream.
    UpstreamTime,
    /// The upstream answered with a status of 500 or above, or its answer ended early.
    UpstreamError,
    /// The call was rejected before it was executed.
    Rejection,
    /// The call may have been executed, but its outcome is unknown.
    UnknownOutcome,
    /// The largest part of the latency was earlier attempts.
    Retries,
    /// The caller disconnected after the objective had passed.
    CallerGone,
}

impl MissCause {
    /// Every cause, in the order of reports.
    pub const ALL: [Self; 7] = [
        Self::Queueing,
        Self::UpstreamTime,
        Self::UpstreamError,
        Self::Rejection,
        Self::UnknownOutcome,
        Self::Retries,
        Self::CallerGone,
    ];

    /// Returns the name in reports.
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

/// Calls that missed their objective, by cause; zero counts are omitted on the wire.
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
    /// Returns the count of one cause.
    #[must_use]
    pub const fn count(&self, cause: MissCause) -> u64 {
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

    /// Adds calls to the count of one cause.
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

    /// Returns the sum over all causes.
    #[must_use]
    pub fn total(&self) -> u64 {
        MissCause::ALL.into_iter().map(|cause| self.count(cause)).sum()
    }

    /// Returns the cause of most misses, or `None` when there were none; a tie goes to the first of `ALL`.
    #[must_use]
    pub fn main_cause(&self) -> Option<MissCause> {
        let cause = MissCause::ALL.into_iter().rev().max_by_key(|cause| self.count(*cause))?;
        (self.count(cause) > 0).then_some(cause)
    }
}

/// Counts of the calls of one service and priority in some period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls that met their objective.
    pub good: u64,
    /// Calls that missed their objective, by cause.
    pub missed: MissCounts,
    /// Calls whose caller disconnected before the objective had passed; neither good nor missed.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub left: u64,
}

impl CallCounts {
    /// Returns the calls measured against the objective, met or missed.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.good + self.missed.total()
    }

    /// Adds the counts of another period or node.
    pub fn merge(&mut self, other: &Self) {
        self.good += other.good;
        self.left += other.left;
        for cause in MissCause::ALL {
            self.missed.add(cause, other.missed.count(cause));
        }
    }
}

/// Service-level objective for the calls of one service and priority.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// Latency objective, in milliseconds.
    pub objective_ms: u64,
    /// Share of calls that have to meet the latency objective, in percent.
    pub target_percent: f64,
}

/// Call counts of one window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Window that the counts cover.
    pub window: Window,
    /// Calls that ended in the window.
    #[serde(flatten)]
    pub counts: CallCounts,
}

/// Counts and latencies of one service and priority at one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the priority.
    pub priority: Arc<str>,
    /// Objective currently configured, or `None` when the configuration no longer has one.
    pub objective: Option<Objective>,
    /// Counts by window, shortest first.
    pub windows: Vec<WindowCounts>,
    /// Latencies of the calls answered in the last hour, in microseconds.
    ///
    /// A Base64-encoded histogram in the V2 format of `HdrHistogram`.
    pub latency_us: String,
}

/// Service-level report of one node about the calls that it received as their ingress.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Name of the node.
    pub node: Arc<str>,
    /// Incarnation of the node; a new incarnation starts with empty counts.
    pub incarnation: u64,
    /// Region of the node.
    pub region: Arc<str>,
    /// Availability zone of the node.
    pub zone: Arc<str>,
    /// Time since the node started, in milliseconds.
    pub uptime_ms: u64,
    /// Counts for each service and priority that the node received calls for.
    pub rows: Vec<BurnRow>,
}

/// Returns whether a count is zero; the signature is that of serde's `skip_serializing_if`.
#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
const fn is_zero(count: &u64) -> bool {
    *count == 0
}
