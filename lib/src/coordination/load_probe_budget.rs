//! Limits the load probes that a gate sends to its upstream, and the effect of their results on its slots.

use std::time::Duration;

use tokio::time::Instant;

use crate::protocol::service_spec::MeasuringSpec;

/// Time after which a higher number of gates no longer counts.
const PEAK_RETENTION: Duration = Duration::from_mins(10);
const PERCENT: f64 = 100.0;

/// One node's share of the load probes that a service may send to its upstreams.
///
/// The share is the declared rate divided by the highest recent number of gates, and the first probe is
/// allowed one whole interval after the start. This keeps the rate of the service within its limit when a
/// gate is briefly missing from the membership and when a node restarts.
#[derive(Clone, Copy, Debug)]
pub struct LoadProbeBudget {
    last_probe_at: Instant,
    last_probe_duration: Duration,
    peak_gates: u32,
    peak_at: Instant,
}

impl LoadProbeBudget {
    /// Creates the budget of a node that starts at `now`.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self { last_probe_at: now, last_probe_duration: Duration::ZERO, peak_gates: 1, peak_at: now }
    }

    /// Records the number of gates of the service in this node's membership.
    pub fn record_gate_count(&mut self, gates: u32, now: Instant) {
        if gates >= self.peak_gates || now - self.peak_at > PEAK_RETENTION {
            self.peak_gates = gates.max(1);
            self.peak_at = now;
        }
    }

    /// Returns whether a probe may start now, and if so charges it to the budget.
    pub fn try_acquire(&mut self, spec: &MeasuringSpec, slots: u32, now: Instant) -> bool {
        let Some(interval) = self.interval(spec, slots) else {
            return false;
        };
        if now.saturating_duration_since(self.last_probe_at) < interval {
            return false;
        }
        self.last_probe_at = now;
        true
    }

    /// Records how long the upstream was busy with the last probe.
    pub const fn record_probe_duration(&mut self, duration: Duration) {
        self.last_probe_duration = duration;
    }

    /// Returns the minimum time between two probes, or `None` when the service allows no probes.
    fn interval(&self, spec: &MeasuringSpec, slots: u32) -> Option<Duration> {
        if spec.probes_per_second <= 0.0 || spec.upstream_time_percent <= 0.0 {
            return None;
        }
        let rate_interval_s = f64::from(self.peak_gates) / spec.probes_per_second;
        let probe_slots = spec.upstream_time_percent / PERCENT * f64::from(slots.max(1));
        let time_share_interval_s = self.last_probe_duration.as_secs_f64() / probe_slots;
        Duration::try_from_secs_f64(rate_interval_s.max(time_share_interval_s)).ok()
    }
}

/// Returns the slots that a gate reserves for work that the upstream reports and the gate did not admit.
///
/// The reserve is limited to `max_influence_percent` of the slots, so that a wrong report has a bounded
/// effect, and one slot always stays usable. A report below `known` reserves nothing.
#[must_use]
pub fn reserved_slots(reported: u32, known: u32, slots: u32, max_influence_percent: u32) -> u32 {
    let max_reserved = slots * max_influence_percent / 100;
    reported.saturating_sub(known).min(max_reserved).min(slots.saturating_sub(1))
}
