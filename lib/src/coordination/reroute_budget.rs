//! Budget that decides whether a gate may reroute a call instead of queueing it.

use std::sync::atomic::AtomicI32;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Maximum credit, in calls.
const MAX_CREDIT: i32 = 32;
/// Credit that a rerouted call adds when a gate admits it.
///
/// Rerouting pays as long as one rerouted call in five finds a gate: a hop is much shorter than the time
/// that a call loses at a slow or full upstream.
const ADMITTED_REROUTE_CREDIT: i32 = 4;
/// One call in this many may be rerouted while there is no credit.
const CALLS_PER_PROBE: u32 = 16;

/// Budget for rerouting calls, which is open while rerouted calls find a gate that admits them.
///
/// When every gate is full, rerouting costs hops and finds no better gate. Only calls that were rerouted
/// already tell that: a rejection by the first gate says nothing about the others, which may be idle while
/// most VMs are slow. Without credit, only one call in 16 may be rerouted, until gates accept calls again.
#[derive(Debug)]
pub struct RerouteBudget {
    credit: AtomicI32,
    calls_without_credit: AtomicU32,
}

impl Default for RerouteBudget {
    fn default() -> Self {
        Self { credit: AtomicI32::new(MAX_CREDIT), calls_without_credit: AtomicU32::new(0) }
    }
}

impl RerouteBudget {
    /// Returns whether the next attempt may be rerouted; without credit, each query counts as one attempt.
    pub fn permits_reroute(&self) -> bool {
        self.has_credit()
            || self.calls_without_credit.fetch_add(1, Ordering::Relaxed).is_multiple_of(CALLS_PER_PROBE)
    }

    /// Returns whether rerouted calls have recently found a gate that admits them.
    pub fn has_credit(&self) -> bool {
        self.credit.load(Ordering::Relaxed) > 0
    }

    /// Records that a gate admitted a call that it could have rejected; `reroutes` earlier gates did so.
    pub fn record_admitted(&self, reroutes: usize) {
        self.add_credit(if reroutes > 0 { ADMITTED_REROUTE_CREDIT } else { 1 });
    }

    /// Records that a gate rejected a call so that it is rerouted; `reroutes` earlier gates did so before.
    pub fn record_reroute(&self, reroutes: usize) {
        if reroutes > 0 {
            self.add_credit(-1);
        }
    }

    /// Changes the credit within its bounds.
    fn add_credit(&self, delta: i32) {
        let add = |credit: i32| Some((credit + delta).clamp(0, MAX_CREDIT));
        let _previous = self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }
}
