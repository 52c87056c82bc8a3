//! How long callers of a route have waited, as inferred from the timeouts that they send.

use std::time::Duration;

use yuccatray::state::usual_timeout::UsualTimeout;

const USUAL: Duration = Duration::from_millis(500);
const LEFT: Duration = Duration::from_millis(380);

#[test]
fn first_attempt_has_not_waited() {
    let timeouts = UsualTimeout::default();
    for _ in 0..10 {
        assert_eq!(timeouts.record(USUAL), Duration::ZERO);
    }
}

#[test]
fn caller_that_comes_back_has_waited_what_its_timeout_lacks() {
    let timeouts = UsualTimeout::default();
    for _ in 0..10 {
        timeouts.record(USUAL);
    }
    assert_eq!(timeouts.record(LEFT), USUAL.saturating_sub(LEFT));
    assert_eq!(timeouts.record(USUAL * 2), Duration::ZERO, "a longer timeout tells of no wait");
}

#[test]
fn first_attempts_outvoted_for_a_while_are_recognised_again() {
    let timeouts = UsualTimeout::default();
    for millis in 0..200 {
        timeouts.record(Duration::from_millis(100 + millis));
    }
    for _ in 0..3 {
        timeouts.record(USUAL);
    }
    assert_eq!(timeouts.record(USUAL), Duration::ZERO);
    assert_eq!(timeouts.record(LEFT), USUAL.saturating_sub(LEFT));
}

#[test]
fn new_usual_timeout_replaces_an_old_one() {
    let timeouts = UsualTimeout::default();
    for _ in 0..1_000 {
        timeouts.record(USUAL);
    }
    for _ in 0..100 {
        timeouts.record(LEFT);
    }
    assert_eq!(timeouts.record(LEFT), Duration::ZERO);
}
