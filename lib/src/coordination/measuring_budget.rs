//! When a gate may measure its upstream.

use std::time::Duration;

use tokio::time::Instant;

use crate::protocol::service_spec::MeasuringSpec;

const PEAK_KEPT_FOR: Duration = Duration::from_mins(10);
const PERCENT: f64 = 100.0;

/// One node's part of what a service may spend on measuring its upstreams.
///
/// The part is the declared rate over the most gates seen of late, and the first
/// measurement comes one whole interval after the start. So neither a gate that is not
/// seen for a moment nor a restart adds to the sum.
#[derive(Clone, Copy, Debug)]
pub struct MeasuringBudget {
    last: Instant,
    last_took: Duration,
    peak_gates: u32,
    peak_at: Instant,
}

impl MeasuringBudget {
    /// A budget of a node that starts now.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self { last: now, last_took: Duration::ZERO, peak_gates: 1, peak_at: now }
    }

    /// Takes in how many gates the service has by this node's word.
    pub fn observe_gates(&mut self, gates: u32, now: Instant) {
        if gates >= self.peak_gates || now - self.peak_at > PEAK_KEPT_FOR {
            self.peak_gates = gates.max(1);
            self.peak_at = now;
        }
    }

    /// Whether a measurement may start now; if so, it is charged.
    pub fn claim(&mut self, spec: &MeasuringSpec, slots: u32, now: Instant) -> bool {
        let Some(interval) = self.interval(spec, slots) else {
            return false;
        };
        if now.saturating_duration_since(self.last) < interval {
            return false;
        }
        self.last = now;
        true
    }

    /// Takes in how long the upstream was busy with the measurement.
    pub const fn took(&mut self, took: Duration) {
        self.last_took = took;
    }

    /// Least time between two measurements; nothing when none is allowed.
    fn interval(&self, spec: &MeasuringSpec, slots: u32) -> Option<Duration> {
        if spec.probes_per_second <= 0.0 || spec.upstream_time_percent <= 0.0 {
            return None;
        }
        let by_rate = f64::from(self.peak_gates) / spec.probes_per_second;
        let slot_share = spec.upstream_time_percent / PERCENT * f64::from(slots.max(1));
        let by_time = self.last_took.as_secs_f64() / slot_share;
        Duration::try_from_secs_f64(by_rate.max(by_time)).ok()
    }
}

/// Slots that a gate leaves free for work which the upstream reports and the gate doesn't know.
///
/// A report that is wrong can't take more than the stated share of the slots, and one that
/// says too little changes nothing.
#[must_use]
pub fn withheld_slots(reported: u32, known: u32, slots: u32, max_influence_percent: u32) -> u32 {
    let most = slots * max_influence_percent / 100;
    reported.saturating_sub(known).min(most).min(slots.saturating_sub(1))
}
