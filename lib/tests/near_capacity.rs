//! The comparison of calls that start near the capacity of an upstream with those that do not.

use std::time::Duration;

use tokio::time::Instant;
use yuccatray::coordination::near_capacity::NearCapacityComparison;
use yuccatray::coordination::near_capacity::is_near_capacity;

/// Calls after which the comparison knows a side.
const ENOUGH_CALLS: u32 = 16;

/// Returns a comparison after calls of the given slowness, in thousandths, on both sides.
fn comparison(below_permille: u64, near_permille: u64, now: Instant) -> NearCapacityComparison {
    let mut comparison = NearCapacityComparison::new();
    for _ in 0..ENOUGH_CALLS {
        comparison.record(false, below_permille, now);
        comparison.record(true, near_permille, now);
    }
    comparison
}

#[test]
fn is_near_capacity_above_four_fifths_of_slots() {
    assert!(!is_near_capacity(9, 12));
    assert!(is_near_capacity(10, 12));
    assert!(is_near_capacity(1, 1));
}

#[test]
fn costs_throughput_when_slowdown_exceeds_slots_gained() {
    let now = Instant::now();
    assert!(comparison(1_000, 1_700, now).costs_throughput(now));
    assert!(!comparison(1_000, 1_200, now).costs_throughput(now));
    assert!(!comparison(1_000, 1_000, now).costs_throughput(now));
}

#[test]
fn costs_throughput_unknown_before_enough_calls() {
    let now = Instant::now();
    let mut comparison = NearCapacityComparison::new();
    assert!(!comparison.costs_throughput(now));
    for _ in 1..ENOUGH_CALLS {
        comparison.record(true, 3_000, now);
    }
    assert!(!comparison.costs_throughput(now));
}

#[test]
fn costs_throughput_until_calls_below_capacity_are_known() {
    let now = Instant::now();
    let mut comparison = NearCapacityComparison::new();
    for _ in 0..ENOUGH_CALLS {
        comparison.record(true, 1_000, now);
    }
    assert!(comparison.costs_throughput(now), "no call started below capacity yet");
    for _ in 0..ENOUGH_CALLS {
        comparison.record(false, 1_000, now);
    }
    assert!(!comparison.costs_throughput(now), "both sides are equally fast");
}

#[test]
fn costs_throughput_compared_anew_after_its_validity() {
    let now = Instant::now();
    let mut comparison = comparison(1_000, 1_700, now);
    let later = now + Duration::from_secs(31);
    assert!(!comparison.costs_throughput(later), "the upstream may have changed");
    for _ in 0..ENOUGH_CALLS {
        comparison.record(true, 1_000, later);
    }
    assert!(!comparison.costs_throughput(later), "earlier calls near capacity do not count any more");
}

#[test]
fn costs_throughput_despite_single_very_slow_call() {
    let now = Instant::now();
    let mut comparison = comparison(1_000, 1_000, now);
    comparison.record(true, 1_000_000, now);
    assert!(!comparison.costs_throughput(now));
}
