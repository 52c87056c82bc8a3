//! Estimates the current service time and failure rate of an upstream from the calls through its gate.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::execution_progress::Execution;
use crate::coordination::execution_progress::ExecutionProgress;
use crate::coordination::execution_progress::micros;
use crate::coordination::near_capacity::NearCapacityComparison;

/// Smoothing of service times: the weight of a sample is one over this number.
const SMOOTHING: u64 = 16;
/// Smoothing of service times and failures after a trial, which outweighs older samples.
const TRIAL_SMOOTHING: u64 = 2;
/// Smoothing of the failure rate.
const FAILURE_SMOOTHING: u64 = 8;
/// Failure rate at which every call fails.
const ALL_FAILING_PERMILLE: u64 = 1_000;
/// Lower bound of the success rate in the estimate, which limits the cost of failures.
const MIN_SUCCESS_PERMILLE: u64 = 60;
/// Pause after the first failed trial; it doubles with each further one.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum pause after a failed trial.
const TRIAL_INTERVAL_MAX: Duration = Duration::from_secs(1);
/// Additional delay before a call that is not idempotent may serve as a trial.
const NON_IDEMPOTENT_TRIAL_DELAY: Duration = Duration::from_secs(1);

/// Time in which the weight of the last slowdown report against the mean of all reports falls to half.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_millis(150);
/// Smoothing of the mean of slowdown reports.
const SLOWDOWN_SMOOTHING: u64 = 32;
/// Share of the mean slowdown above which a slowdown is expected to be brief, in percent.
const ABOVE_MEAN_PERCENT: u64 = 150;
/// Time that a call is held for the end of a slowdown, in multiples of what the slowdown adds to it.
const MAX_HOLD_FACTOR: u32 = 2;
/// Age up to which a slowdown report may hold calls back.
const MAX_HOLD_REPORT_AGE: Duration = Duration::from_millis(250);
/// Lower bound of a slowdown report, in percent.
const MIN_SLOWDOWN_PERCENT: u64 = 10;
const PERMILLE: u64 = 1_000;
const PERCENT: u64 = 100;
const FULL_PERCENT: u32 = 100;
/// Smoothing of the mean typical time of calls, which changes only with the mix of calls.
const MIX_SMOOTHING: u64 = 64;

/// Outcome of an execution at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// A successful answer, with the time until its header section arrived.
    Succeeded(Duration),
    /// An error of the upstream itself.
    Failed,
    /// The sender gave up first, so that the elapsed time is only a lower bound of the service time.
    Abandoned,
}

/// Current estimate of service time and failure rate, updated when calls start and end.
///
/// Kinds of calls differ in their typical service times. If the typical time of a call is known, the estimate
/// uses the ratio of its service time to it, so that a change in the mix of calls is not mistaken for a
/// change of the upstream. A call keeps the VM slowdown at which it started, so its service time is divided
/// by that slowdown before it enters the estimate.
#[derive(Debug)]
pub struct ServiceEstimate {
    created_at: Instant,
    /// Mean service time of calls whose typical time is unknown.
    mean_service_us: u64,
    /// Mean typical time of the calls for which it is known; 0 before the first of them has ended.
    typical_us: u64,
    /// Mean service time of the same calls relative to their typical times, without VM slowdown; 0 likewise.
    slowness_permille: u64,
    /// Progress of the running calls whose typical time is known.
    progress: ExecutionProgress,
    /// Smoothed share of failed calls.
    failing_permille: u64,
    running: u32,
    /// Number of running calls whose typical time is unknown, and the sum of their start times.
    unclassified_running: u32,
    unclassified_starts_us: u64,
    trial_interval: Duration,
    next_trial: Instant,
    /// Maximum latency with which the trial under way succeeds.
    trial_max_latency: Option<Duration>,
    slowdown: Option<SlowdownReport>,
    near_capacity: NearCapacityComparison,
}

/// Last report of the upstream on the slowdown of its VM, and the mean of its reports.
#[derive(Clone, Copy, Debug)]
struct SlowdownReport {
    /// Execution time relative to normal; 200 means that calls take twice as long.
    percent: u64,
    mean_percent: u64,
    reported_at: Instant,
    /// Time of the first of the latest reports that are all well above the mean.
    above_mean_since: Option<Instant>,
}

impl SlowdownReport {
    /// Returns the first report, or the next one after `previous`.
    fn new(percent: u64, previous: Option<Self>, now: Instant) -> Self {
        let mean_percent = previous.map_or(percent, |previous| {
            (previous.mean_percent * (SLOWDOWN_SMOOTHING - 1) + percent) / SLOWDOWN_SMOOTHING
        });
        let is_above_mean = percent * PERCENT > mean_percent * ABOVE_MEAN_PERCENT;
        let above_mean_since = previous.and_then(|previous| previous.above_mean_since);
        let above_mean_since = is_above_mean.then(|| above_mean_since.unwrap_or(now));
        Self { percent, mean_percent, reported_at: now, above_mean_since }
    }

    /// Returns the longest typical time of a call that is worth starting now, or `None` if any call is.
    ///
    /// By starting now a call loses what the slowdown adds to its service time. It is held until the slowdown
    /// has lasted [`MAX_HOLD_FACTOR`] times as long as that, since the slowdown may not be brief after all.
    fn longest_call_to_start(&self, now: Instant) -> Option<Duration> {
        let slow_for = now.saturating_duration_since(self.above_mean_since?);
        let is_recent = now.saturating_duration_since(self.reported_at) <= MAX_HOLD_REPORT_AGE;
        let added_percent = u32::try_from(self.percent - self.mean_percent).unwrap_or(u32::MAX);
        is_recent.then(|| slow_for * FULL_PERCENT / added_percent.saturating_mul(MAX_HOLD_FACTOR).max(1))
    }

    /// Returns the slowdown expected at `now`: the last report, which decays towards the mean with age.
    fn percent(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.reported_at);
        let halvings = u32::try_from(age.as_micros() / SLOWDOWN_HALF_LIFE.as_micros()).unwrap_or(u32::MAX);
        let decayed = |distance: u64| distance.checked_shr(halvings).unwrap_or(0);
        if self.percent > self.mean_percent {
            self.mean_percent + decayed(self.percent - self.mean_percent)
        } else {
            self.mean_percent - decayed(self.mean_percent - self.percent)
        }
    }
}

impl ServiceEstimate {
    /// Creates an estimate without samples.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            created_at: now,
            mean_service_us: 0,
            typical_us: 0,
            slowness_permille: 0,
            progress: ExecutionProgress::new(),
            failing_permille: 0,
            running: 0,
            unclassified_running: 0,
            unclassified_starts_us: 0,
            trial_interval: Duration::ZERO,
            next_trial: now,
            trial_max_latency: None,
            slowdown: None,
            near_capacity: NearCapacityComparison::new(),
        }
    }

    /// Records the upstream's report of the execution time on its VM relative to normal, in percent.
    ///
    /// 100 is normal, and 200 means that calls take twice as long.
    pub fn record_slowdown(&mut self, percent: u32, now: Instant) {
        let percent = u64::from(percent).max(MIN_SLOWDOWN_PERCENT);
        self.slowdown = Some(SlowdownReport::new(percent, self.slowdown, now));
    }

    /// Forgets how slow and how often failing the upstream was, as after a time without calls.
    ///
    /// Slowness is relative to typical times, which change while other upstreams execute the calls.
    pub const fn reset_slowness(&mut self) {
        if self.slowness_permille > 0 {
            self.slowness_permille = PERMILLE;
        }
        self.mean_service_us = 0;
        self.failing_permille = 0;
        self.near_capacity = NearCapacityComparison::new();
    }

    /// Returns the longest typical time of a call that is worth starting now, or `None` if any call is.
    ///
    /// Longer calls gain by waiting for the end of a brief slowdown of the VM.
    #[must_use]
    pub fn longest_call_to_start(&self, now: Instant) -> Option<Duration> {
        self.slowdown.and_then(|slowdown| slowdown.longest_call_to_start(now))
    }

    /// Returns the expected execution time on the upstream's VM relative to normal, in percent.
    ///
    /// It is 100 before the first report.
    #[must_use]
    pub fn slowdown_percent(&self, now: Instant) -> u64 {
        self.slowdown.map_or(PERCENT, |slowdown| slowdown.percent(now))
    }

    /// Returns the execution time on the upstream's VM relative to normal without brief slowdowns, in percent.
    ///
    /// It is at least 100: a fast phase may be over before a call that starts now.
    #[must_use]
    pub fn lasting_slowdown_percent(&self, now: Instant) -> u32 {
        let lasting =
            self.slowdown.map_or(PERCENT, |slowdown| slowdown.percent(now).min(slowdown.mean_percent));
        u32::try_from(lasting.max(PERCENT)).unwrap_or(u32::MAX)
    }

    /// Returns the current service time of calls relative to the typical time of their kind, in thousandths.
    ///
    /// It is 0 until the upstream has reported its slowdown or a call of known typical time has succeeded.
    #[must_use]
    pub fn slowness_permille(&self, now: Instant) -> u64 {
        if self.slowness_permille == 0 && self.slowdown.is_none() {
            return 0;
        }
        let by_answers = if self.slowness_permille == 0 { PERMILLE } else { self.slowness_permille };
        let by_report = by_answers * self.slowdown_percent(now) / PERCENT;
        self.per_good_answer(by_report.max(by_answers + self.overdue_permille(now) / SMOOTHING))
    }

    /// Returns the expected service time of a call if the upstream's VM were at normal speed.
    #[must_use]
    pub fn service_time_at_normal_speed(&self, typical_time: Duration) -> Duration {
        let slowness_permille = self.per_good_answer(self.slowness_permille.max(PERMILLE));
        Duration::from_micros(micros(typical_time).saturating_mul(slowness_permille) / PERMILLE)
    }

    /// Returns whether the last slowdown report is older than `age`, or there was none.
    #[must_use]
    pub fn slowdown_report_is_older_than(&self, age: Duration, now: Instant) -> bool {
        self.slowdown.is_none_or(|slowdown| now.saturating_duration_since(slowdown.reported_at) > age)
    }

    /// Records that a call took a slot.
    pub fn start(&mut self, execution: Execution) {
        self.running += 1;
        let start_us = self.since_creation_us(execution.started);
        if let Some(expected_service_us) = execution.expected_service_us() {
            self.progress.add(expected_service_us, start_us);
        } else {
            self.unclassified_running += 1;
            self.unclassified_starts_us += start_us;
        }
    }

    /// Records that a call released its slot.
    pub fn finish(&mut self, execution: Execution, outcome: ExecutionOutcome, now: Instant) {
        self.running = self.running.saturating_sub(1);
        let start_us = self.since_creation_us(execution.started);
        if let Some(expected_service_us) = execution.expected_service_us() {
            self.progress.remove(expected_service_us, start_us);
        } else {
            self.unclassified_running = self.unclassified_running.saturating_sub(1);
            self.unclassified_starts_us = self.unclassified_starts_us.saturating_sub(start_us);
        }
        let trial = self.trial_max_latency.take();
        match outcome {
            ExecutionOutcome::Succeeded(duration) => {
                self.record_success(micros(duration), execution, trial.is_some());
                self.compare_near_capacity(micros(duration), execution, now);
            }
            ExecutionOutcome::Failed => self.record_failure(),
            ExecutionOutcome::Abandoned => {
                let age_us = micros(now.saturating_duration_since(execution.started));
                self.record_abandoned(age_us, execution);
            }
        }
        if let Some(max_latency) = trial {
            self.finish_trial(
                matches!(outcome, ExecutionOutcome::Succeeded(duration) if duration <= max_latency),
                now,
            );
        }
    }

    /// Returns the smoothed service time of successful answers, in microseconds; 0 before the first one.
    #[must_use]
    pub const fn mean_service_us(&self) -> u64 {
        if self.typical_us == 0 {
            return self.mean_service_us;
        }
        self.typical_us.saturating_mul(self.slowness_permille) / PERMILLE
    }

    /// Returns the current cost of a successful answer, in microseconds.
    ///
    /// Running calls that exceed their expected time raise it before they end, and failures raise it too. A
    /// sudden slowdown thus shows at once, and an upstream that fails fast does not appear to be fast.
    #[must_use]
    pub fn current_service_us(&self, now: Instant) -> u64 {
        if self.typical_us > 0 {
            return self.typical_us.saturating_mul(self.slowness_permille(now)) / PERMILLE;
        }
        self.per_good_answer(self.mean_service_us.max(self.mean_age_us(now)))
    }

    /// Returns the cost of one successful answer, including the failed calls per success.
    fn per_good_answer(&self, cost: u64) -> u64 {
        let success_permille =
            ALL_FAILING_PERMILLE.saturating_sub(self.failing_permille).max(MIN_SUCCESS_PERMILLE);
        cost.saturating_mul(ALL_FAILING_PERMILLE) / success_permille
    }

    /// Claims a trial of an upstream that appears worse than others, and returns whether it is granted.
    ///
    /// A trial is a single call that may correct the estimate. Idempotent calls may claim one earlier than
    /// others, since an ingress can hedge them elsewhere.
    pub fn claim_trial(&mut self, max_latency: Duration, idempotent: bool, now: Instant) -> bool {
        let allowed_at =
            if idempotent { self.next_trial } else { self.next_trial + NON_IDEMPOTENT_TRIAL_DELAY };
        if self.running > 0 || now < allowed_at {
            return false;
        }
        self.trial_max_latency = Some(max_latency);
        true
    }

    /// Records the service time of a successful answer, and lowers the failure rate.
    fn record_success(&mut self, service_us: u64, execution: Execution, trial: bool) {
        let smoothing = if trial { TRIAL_SMOOTHING } else { SMOOTHING };
        match execution.typical_us() {
            None => self.mean_service_us = smoothed(self.mean_service_us, service_us, smoothing),
            Some(typical_us) => {
                self.typical_us = smoothed(self.typical_us, typical_us, MIX_SMOOTHING);
                let slowness_permille = execution.slowness_permille(service_us, typical_us).max(1);
                self.slowness_permille = smoothed(self.slowness_permille, slowness_permille, smoothing);
            }
        }
        let failure_smoothing = if trial { TRIAL_SMOOTHING } else { FAILURE_SMOOTHING };
        self.failing_permille -= self.failing_permille.div_ceil(failure_smoothing);
    }

    /// Records how slow the call was, by whether it started near the capacity of the upstream.
    fn compare_near_capacity(&mut self, service_us: u64, execution: Execution, now: Instant) {
        if let Some(typical_us) = execution.typical_us() {
            let slowness_permille = execution.slowness_permille(service_us, typical_us);
            self.near_capacity.record(execution.near_capacity, slowness_permille, now);
        }
    }

    /// Returns how many of `slots` to use, without those near capacity if they cost throughput.
    #[must_use]
    pub fn usable_slots(&self, slots: u32, now: Instant) -> u32 {
        self.near_capacity.usable_slots(slots, now)
    }

    /// Records an abandoned call if it already took longer than the mean.
    fn record_abandoned(&mut self, age_us: u64, execution: Execution) {
        match execution.typical_us() {
            None if self.mean_service_us > 0 && age_us > self.mean_service_us => {
                self.mean_service_us = smoothed(self.mean_service_us, age_us, SMOOTHING);
            }
            Some(typical_us) if self.slowness_permille > 0 => {
                let slowness_permille = execution.slowness_permille(age_us, typical_us);
                if slowness_permille > self.slowness_permille {
                    self.slowness_permille = smoothed(self.slowness_permille, slowness_permille, SMOOTHING);
                }
            }
            _ => {}
        }
    }

    /// Raises the failure rate.
    const fn record_failure(&mut self) {
        self.failing_permille += (ALL_FAILING_PERMILLE - self.failing_permille) / FAILURE_SMOOTHING;
    }

    /// Schedules the next trial: at once after a success, and with exponential backoff after a failure.
    fn finish_trial(&mut self, passed: bool, now: Instant) {
        let backoff = (self.trial_interval * 2).clamp(TRIAL_INTERVAL, TRIAL_INTERVAL_MAX);
        self.trial_interval = if passed { Duration::ZERO } else { backoff };
        self.next_trial = now + self.trial_interval;
    }

    /// Returns the mean age of the running calls whose typical time is unknown, in microseconds.
    fn mean_age_us(&self, now: Instant) -> u64 {
        let running = u64::from(self.unclassified_running);
        if running == 0 {
            return 0;
        }
        (running * self.since_creation_us(now)).saturating_sub(self.unclassified_starts_us) / running
    }

    /// Returns by how many expected times the running calls are overdue in total, in thousandths.
    ///
    /// The calls are taken together, since a single long call among several is no sign of a slow upstream.
    fn overdue_permille(&self, now: Instant) -> u64 {
        let expected = self.progress.executions() * self.slowness_permille.max(PERMILLE);
        self.progress.elapsed_permille(self.since_creation_us(now)).saturating_sub(expected)
    }

    fn since_creation_us(&self, now: Instant) -> u64 {
        micros(now.saturating_duration_since(self.created_at))
    }
}

/// Returns the moving average with one more sample; the first sample is taken as it is.
const fn smoothed(old: u64, sample: u64, smoothing: u64) -> u64 {
    if old == 0 { sample } else { (old * (smoothing - 1) + sample) / smoothing }
}
