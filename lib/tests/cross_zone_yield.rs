//! What an answer from another zone is expected to cost, by how many attempts there were admitted.

use yuccatray::coordination::cross_zone_yield::CrossZoneYield;

/// Cost of crossing once.
const COST: u64 = 200;
/// Attempts after which the earlier ones hardly count.
const ATTEMPTS: usize = 200;

#[test]
fn cost_of_answer_is_one_crossing_while_all_are_admitted() {
    let zones = CrossZoneYield::default();
    for _ in 0..ATTEMPTS {
        zones.record(true);
    }
    // Integer arithmetic may lose a little of the full share.
    assert!((COST..COST * 104 / 100).contains(&zones.cost_of_answer(COST)), "{}", zones.cost_of_answer(COST));
}

#[test]
fn cost_of_answer_doubles_when_half_are_rejected() {
    let zones = CrossZoneYield::default();
    for attempt in 0..ATTEMPTS {
        zones.record(attempt % 2 == 0);
    }
    let cost = zones.cost_of_answer(COST);
    assert!((COST * 18 / 10..=COST * 24 / 10).contains(&cost), "{cost}");
}

#[test]
fn cost_of_answer_bounded_when_none_is_admitted_and_back_after_admissions() {
    let zones = CrossZoneYield::default();
    for _ in 0..ATTEMPTS {
        zones.record(false);
    }
    assert_eq!(zones.cost_of_answer(COST), COST * 4);
    for _ in 0..ATTEMPTS {
        zones.record(true);
    }
    assert!(zones.cost_of_answer(COST) < COST * 104 / 100, "{}", zones.cost_of_answer(COST));
}
