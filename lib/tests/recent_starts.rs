//! What is remembered of the latest starts, and for how long.

use std::time::Duration;

use tokio::time::Instant;
use yuccatray::coordination::recent_starts::RecentStarts;

const WINDOW: Duration = Duration::from_secs(1);

// Guards against memory that grows with the number of starts that a window may contain.
#[test]
fn record_holds_no_more_times_than_starts_in_the_window() {
    let begin = Instant::now();
    let mut starts = RecentStarts::new(WINDOW, begin);
    starts.assume(usize::MAX / 2, begin);
    assert_eq!((starts.len(), starts.held_times()), (usize::MAX / 2, 0));
    for at_ms in 0..10_000 {
        starts.record(usize::MAX, begin + Duration::from_millis(at_ms));
        assert!(starts.held_times() <= 1_000, "{} times after {at_ms} ms", starts.held_times());
    }
    assert_eq!(starts.len(), 1_000, "the assumed starts are older than the window");
}

#[test]
fn record_keeps_the_latest_starts_allowed_in_the_window() {
    let begin = Instant::now();
    let mut starts = RecentStarts::new(WINDOW, begin);
    assert!(starts.is_empty());
    starts.assume(2, begin);
    for at_ms in [100, 200] {
        starts.record(3, begin + Duration::from_millis(at_ms));
    }
    let times: Vec<Instant> = (0..4).filter_map(|index| starts.get(index)).collect();
    let expected_ms = [0, 100, 200];
    assert_eq!(times, expected_ms.map(|at_ms| begin + Duration::from_millis(at_ms)));
    starts.record(1, begin + Duration::from_millis(300));
    assert_eq!((starts.len(), starts.get(0)), (1, Some(begin + Duration::from_millis(300))));
}
