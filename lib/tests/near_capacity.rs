//! The comparison of calls that start near the capacity of an upstream with those that do not.

use std::time::Duration;

use tokio::time::Instant;
use yuccatray::coordination::near_capacity::NearCapacityComparison;
use yuccatray::coordination::near_capacity::is_near_capacity;

/// Slots of the upstream, and how many of them are below its capacity.
const SLOTS: u32 = 12;
const BELOW: u32 = 9;
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
fn usable_slots_below_capacity_when_slowdown_exceeds_slots_gained() {
    let now = Instant::now();
    assert_eq!(comparison(1_000, 1_700, now).usable_slots(SLOTS, now), BELOW);
    assert_eq!(comparison(1_000, 1_200, now).usable_slots(SLOTS, now), SLOTS);
    assert_eq!(comparison(1_000, 1_000, now).usable_slots(SLOTS, now), SLOTS);
}

#[test]
fn usable_slots_of_small_upstream_all_unless_half_complete_more() {
    let now = Instant::now();
    assert_eq!(comparison(1_000, 1_700, now).usable_slots(2, now), 2, "one slot would complete fewer calls");
    assert_eq!(comparison(1_000, 2_100, now).usable_slots(2, now), 1);
    assert_eq!(comparison(1_000, 3_000, now).usable_slots(1, now), 1);
    assert_eq!(comparison(1_000, 3_000, now).usable_slots(0, now), 0);
}

#[test]
fn usable_slots_all_before_enough_calls() {
    let now = Instant::now();
    let mut comparison = NearCapacityComparison::new();
    assert_eq!(comparison.usable_slots(SLOTS, now), SLOTS);
    for _ in 1..ENOUGH_CALLS {
        comparison.record(true, 3_000, now);
    }
    assert_eq!(comparison.usable_slots(SLOTS, now), SLOTS);
}

#[test]
fn usable_slots_below_capacity_until_calls_there_are_known() {
    let now = Instant::now();
    let mut comparison = NearCapacityComparison::new();
    for _ in 0..ENOUGH_CALLS {
        comparison.record(true, 1_000, now);
    }
    assert_eq!(comparison.usable_slots(SLOTS, now), BELOW, "no call started below capacity yet");
    for _ in 0..ENOUGH_CALLS {
        comparison.record(false, 1_000, now);
    }
    assert_eq!(comparison.usable_slots(SLOTS, now), SLOTS, "both sides are equally fast");
}

#[test]
fn usable_slots_compared_anew_after_validity() {
    let now = Instant::now();
    let mut comparison = comparison(1_000, 1_700, now);
    let later = now + Duration::from_secs(31);
    assert_eq!(comparison.usable_slots(SLOTS, later), SLOTS, "the upstream may have changed");
    for _ in 0..ENOUGH_CALLS {
        comparison.record(true, 1_000, later);
    }
    assert_eq!(
        comparison.usable_slots(SLOTS, later),
        SLOTS,
        "earlier calls near capacity do not count any more"
    );
}

#[test]
fn usable_slots_all_despite_single_very_slow_call() {
    let now = Instant::now();
    let mut comparison = comparison(1_000, 1_000, now);
    comparison.record(true, 1_000_000, now);
    assert_eq!(comparison.usable_slots(SLOTS, now), SLOTS);
}
