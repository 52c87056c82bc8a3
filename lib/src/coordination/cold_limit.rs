//! Limits the rate at which calls start at an upstream that is cold, or may be.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::recent_starts::RecentStarts;

/// Span in which the number of starts is limited.
const WINDOW: Duration = Duration::from_secs(1);
/// Shorter span in which a quarter of the starts is allowed, so that a cold upstream gets no burst of a whole second.
const PACING_WINDOW: Duration = Duration::from_millis(250);
/// Pacing windows in one window.
const PACING_WINDOWS: usize = 4;
/// Calls per health response, as a divisor of the calls that may start in a second.
const CALLS_PER_PROBE_DIVISOR: usize = 2;
/// Time in which an upstream usually answers a probe.
const EXPECTED_PROBE_TIME: Duration = Duration::from_millis(10);
/// Time without a health response after which calls are expected to wait for the limit instead of the response.
const PROBE_OVERDUE_AFTER: Duration = Duration::from_millis(50);

/// Whether the upstream is cold, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdState {
    /// The upstream may be cold.
    Unconfirmed,
    /// The upstream said that it is cold until this time.
    Cold(Instant),
    /// A health response said that the upstream is warm.
    Warm,
}

impl ColdState {
    /// Returns the name in log lines and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unconfirmed => "unconfirmed",
            Self::Cold(_) => "cold",
            Self::Warm => "warm",
        }
    }
}

/// Reason for a change of the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdCause {
    /// The service began to declare a cold rate.
    Declared,
    /// A new incarnation of the upstream has registered.
    NewUpstream,
    /// A heartbeat named the time that the upstream stays cold, or none.
    Heartbeat,
    /// A health response named the time that the upstream stays cold, or none.
    HealthResponse,
    /// A connection to the upstream was refused or reset.
    ConnectionFailed,
    /// A probe got no health response.
    ProbeFailed,
    /// The upstream may have been restarted while it got no calls.
    OutOfUse,
}

impl ColdCause {
    /// Returns the name in log lines.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Declared => "declared",
            Self::NewUpstream => "new_upstream",
            Self::Heartbeat => "heartbeat",
            Self::HealthResponse => "health_response",
            Self::ConnectionFailed => "connection_failed",
            Self::ProbeFailed => "probe_failed",
            Self::OutOfUse => "out_of_use",
        }
    }
}

/// Change of the state, with what the upstream was sent meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdChange {
    /// New state.
    pub state: ColdState,
    /// Reason for the change.
    pub cause: ColdCause,
    /// Time since the upstream was last known to be warm, or since the limit was declared.
    pub limited_for: Duration,
    /// Calls started in that time.
    pub limited_starts: u64,
    /// Calls started since the last probe was sent that found the upstream warm.
    pub unconfirmed_starts: u64,
}

/// Probe of the health path, as it was when it was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthProbe {
    /// Calls that had been started.
    started: u64,
    /// Number of reasons known by then to consider the upstream cold.
    suspicions: u64,
}

/// Limits the calls that start at an upstream while it is cold or may be.
///
/// A cold upstream gets at most the declared number of calls in any second. An upstream that is warm gets as many
/// from the sending of one answered probe on, and then waits for the next answer. Therefore an upstream that becomes
/// cold unnoticed gets no more than that number either. Without a declared rate nothing is limited or recorded.
#[derive(Debug)]
pub struct ColdLimit {
    /// Calls that a cold upstream may get in a second.
    max_starts: Option<usize>,
    state: ColdState,
    /// Calls started since the limit was created.
    started: u64,
    /// Calls that had been started when the last probe was sent that found the upstream warm.
    confirmed: u64,
    /// Calls that may have been started in all before a further health response is needed.
    permitted: u64,
    /// Number of reasons to consider the upstream cold; a probe sent before the last one proves nothing.
    suspicions: u64,
    /// The probe sent last.
    last_probe: HealthProbe,
    /// Whether the last probe got no answer.
    probe_failed: bool,
    /// The latest starts, of which any may still delay another one.
    recent_starts: RecentStarts,
    /// Time at which the last call of those allowed without a further health response started.
    used_up_at: Instant,
    /// Time at which the upstream was last known to be warm, or the limit was declared.
    limited_since: Instant,
    /// Calls started since then.
    limited_starts: u64,
}

impl ColdLimit {
    /// Creates the limit of a service that declares no cold rate.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            max_starts: None,
            state: ColdState::Unconfirmed,
            started: 0,
            confirmed: 0,
            permitted: 0,
            suspicions: 0,
            last_probe: HealthProbe { started: 0, suspicions: 0 },
            probe_failed: false,
            recent_starts: RecentStarts::new(WINDOW, now),
            used_up_at: now,
            limited_since: now,
            limited_starts: 0,
        }
    }

    /// Sets or removes the number of calls that a cold upstream may get in a second.
    ///
    /// When a limit is first set, half of the calls count as just started: an earlier process of the node may have sent
    /// as many as are allowed.
    pub fn set_max_starts(&mut self, max_starts_per_s: Option<u32>, now: Instant) -> Option<ColdChange> {
        let was_declared = self.max_starts.is_some();
        self.max_starts = max_starts_per_s.map(|rate| usize::try_from(rate).unwrap_or(usize::MAX).max(1));
        match self.max_starts {
            Some(max_starts) if !was_declared => {
                self.recent_starts.assume(max_starts.div_ceil(2), now);
                self.state = ColdState::Warm;
                self.suspect(ColdCause::Declared, now)
            }
            _ => None,
        }
    }

    /// Returns whether a cold rate is declared.
    #[must_use]
    pub const fn is_declared(&self) -> bool {
        self.max_starts.is_some()
    }

    /// Returns what is known of the upstream.
    #[must_use]
    pub const fn state(&self) -> ColdState {
        self.state
    }

    /// Limits the upstream until the next health response, since it may have become cold.
    pub fn suspect(&mut self, cause: ColdCause, now: Instant) -> Option<ColdChange> {
        self.max_starts?;
        self.suspicions += 1;
        self.probe_failed = false;
        self.change_state(ColdState::Unconfirmed, cause, now)
    }

    /// Records a heartbeat that says for how long the upstream stays cold.
    ///
    /// One that says that the upstream is warm counts only after a failed probe, and permits half as many calls as a
    /// health response, because the upstream may have become cold since it was sent.
    pub fn record_heartbeat(&mut self, cold_for: Duration, now: Instant) -> Option<ColdChange> {
        let max_starts = self.max_starts?;
        if !cold_for.is_zero() {
            let until = match self.state {
                ColdState::Cold(until) => until.max(now + cold_for),
                _ => now + cold_for,
            };
            return self.record_cold_until(until, ColdCause::Heartbeat, now);
        }
        if !self.probe_failed || self.is_cold(now) {
            return None;
        }
        self.permitted = self.started + (max_starts / 2) as u64;
        self.change_state(ColdState::Warm, ColdCause::Heartbeat, now)
    }

    /// Records that a probe is sent now.
    pub const fn begin_probe(&mut self) -> HealthProbe {
        self.last_probe = HealthProbe { started: self.started, suspicions: self.suspicions };
        self.last_probe
    }

    /// Records the answer to a probe, which says for how long the upstream stays cold.
    ///
    /// That it is warm proves nothing if there was a reason since the probe was sent to consider it cold.
    pub fn record_health(
        &mut self,
        probe: HealthProbe,
        cold_for: Duration,
        now: Instant,
    ) -> Option<ColdChange> {
        let max_starts = self.max_starts?;
        if !cold_for.is_zero() {
            return self.record_cold_until(now + cold_for, ColdCause::HealthResponse, now);
        }
        if probe.suspicions != self.suspicions {
            return None;
        }
        self.confirmed = self.confirmed.max(probe.started);
        self.permitted = self.permitted.max(probe.started + max_starts as u64);
        self.probe_failed = false;
        self.change_state(ColdState::Warm, ColdCause::HealthResponse, now)
    }

    /// Records that a probe got no health response.
    pub fn record_probe_failure(&mut self, probe: HealthProbe, now: Instant) -> Option<ColdChange> {
        self.max_starts?;
        if probe.suspicions != self.suspicions || probe.started < self.confirmed {
            return None;
        }
        self.probe_failed = true;
        if self.is_cold(now) {
            return None;
        }
        self.change_state(ColdState::Unconfirmed, ColdCause::ProbeFailed, now)
    }

    /// Returns whether a health response is needed to learn that the upstream is warm, or still is.
    #[must_use]
    pub fn needs_probe(&self, has_queued_calls: bool, now: Instant) -> bool {
        let Some(max_starts) = self.max_starts else {
            return false;
        };
        let started_since_probe = self.started - self.last_probe.started;
        let calls_per_probe = (max_starts / CALLS_PER_PROBE_DIVISOR).max(1);
        let is_unconfirmed = self.state != ColdState::Warm && !self.is_cold(now);
        let is_recently_suspected = self.last_probe.suspicions != self.suspicions;
        started_since_probe >= calls_per_probe as u64
            || (is_unconfirmed && (is_recently_suspected || started_since_probe > 0 || has_queued_calls))
            || (has_queued_calls && self.state == ColdState::Warm && self.remaining_starts() == 0)
    }

    /// Returns the end of the time for which the upstream said that it stays cold.
    #[must_use]
    pub fn cold_until(&self, now: Instant) -> Option<Instant> {
        match self.state {
            ColdState::Cold(until) if self.max_starts.is_some() && now < until => Some(until),
            _ => None,
        }
    }

    /// Records that a call starts now.
    pub fn record_start(&mut self, now: Instant) {
        let Some(max_starts) = self.max_starts else {
            return;
        };
        self.recent_starts.record(max_starts, now);
        self.started += 1;
        if self.state != ColdState::Warm {
            self.limited_starts += 1;
        } else if self.remaining_starts() == 0 {
            self.used_up_at = now;
        }
    }

    /// Returns the time until a call may start, with `calls_ahead` others starting before it.
    #[must_use]
    pub fn delay(&self, calls_ahead: u32, now: Instant) -> Duration {
        let Some(max_starts) = self.max_starts else {
            return Duration::ZERO;
        };
        if self.state == ColdState::Warm && u64::from(calls_ahead) < self.remaining_starts() {
            return Duration::ZERO;
        }
        let calls_ahead = usize::try_from(calls_ahead).unwrap_or(usize::MAX);
        let limited = self.window_delay(max_starts, WINDOW, calls_ahead, now);
        let paced = self.window_delay(max_starts.div_ceil(PACING_WINDOWS), PACING_WINDOW, calls_ahead, now);
        let delay = limited.max(paced);
        let is_answer_expected = self.state == ColdState::Warm
            && (self.remaining_starts() > 0 || now < self.used_up_at + PROBE_OVERDUE_AFTER);
        if is_answer_expected { delay.min(EXPECTED_PROBE_TIME) } else { delay }
    }

    /// Returns the calls that may start without a further health response while the upstream is warm.
    const fn remaining_starts(&self) -> u64 {
        self.permitted.saturating_sub(self.started)
    }

    /// Returns the time until a call may start so that no window contains more than `max_starts` starts.
    fn window_delay(
        &self,
        max_starts: usize,
        window: Duration,
        calls_ahead: usize,
        now: Instant,
    ) -> Duration {
        let known = self.recent_starts.len();
        let Some(index) = known.saturating_add(calls_ahead).checked_sub(max_starts) else {
            return Duration::ZERO;
        };
        // A call that starts after as many others as a window may contain waits for one of those as well.
        let windows = if index < known { 0 } else { (index - known) / max_starts + 1 };
        let started_at =
            index.checked_sub(windows * max_starts).and_then(|index| self.recent_starts.get(index));
        let windows = u32::try_from(windows).unwrap_or(u32::MAX);
        let further = window.saturating_mul(windows);
        started_at.map_or(further, |at| (at + window).saturating_duration_since(now).saturating_add(further))
    }

    /// Returns whether the time for which the upstream said that it stays cold has not passed.
    fn is_cold(&self, now: Instant) -> bool {
        self.cold_until(now).is_some()
    }

    fn record_cold_until(&mut self, until: Instant, cause: ColdCause, now: Instant) -> Option<ColdChange> {
        self.suspicions += 1;
        self.probe_failed = false;
        self.change_state(ColdState::Cold(until), cause, now)
    }

    /// Sets the state; returns the change unless the upstream merely stays cold for another time.
    fn change_state(&mut self, state: ColdState, cause: ColdCause, now: Instant) -> Option<ColdChange> {
        let previous = std::mem::replace(&mut self.state, state);
        if previous.name() == state.name() {
            return None;
        }
        if previous == ColdState::Warm {
            self.limited_since = now;
            self.limited_starts = 0;
        }
        Some(ColdChange {
            state,
            cause,
            limited_for: now.saturating_duration_since(self.limited_since),
            limited_starts: self.limited_starts,
            unconfirmed_starts: self.started - self.confirmed,
        })
    }
}
