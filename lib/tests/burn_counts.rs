//! Counting of calls against their latency objectives: miss causes, time windows and expiry.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::Deserializer;
use http::StatusCode;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::advance;
use yuccatray::coordination::call_measurement::BodyEnd;
use yuccatray::coordination::call_measurement::CallMeasurement;
use yuccatray::coordination::call_measurement::miss_cause;
use yuccatray::protocol::burn::BurnRow;
use yuccatray::protocol::burn::CallCounts;
use yuccatray::protocol::burn::LATENCY_RESOLUTION_US;
use yuccatray::protocol::burn::MissCause;
use yuccatray::protocol::burn::Window;
use yuccatray::protocol::error_kind::ErrorKind;
use yuccatray::protocol::error_kind::Execution;
use yuccatray::protocol::published::Published;
use yuccatray::state::burn_counts::BurnCounts;
use yuccatray::state::burn_counts::BurnKey;
use yuccatray::state::config_table::ConfigTable;

const OBJECTIVE: Duration = Duration::from_millis(100);

fn key() -> BurnKey {
    BurnKey { service: Arc::from("deposits"), priority: Arc::from("deposit") }
}

fn measure(counts: &Arc<BurnCounts>) -> CallMeasurement {
    CallMeasurement::new(Arc::clone(counts), key(), OBJECTIVE, Instant::now())
}

fn row(counts: &BurnCounts) -> BurnRow {
    let rows = counts.rows(None, &ConfigTable::new().snapshot(), Instant::now());
    assert_eq!(rows.len(), 1);
    rows.into_iter().next().expect("one row was asserted")
}

fn window(row: &BurnRow, window: Window) -> CallCounts {
    let matching = row.windows.iter().find(|counts| counts.window == window);
    matching.expect("every window has counts").counts
}

async fn record_answer(
    counts: &Arc<BurnCounts>,
    queue_time: Duration,
    latency: Duration,
    status: StatusCode,
) {
    let measurement = measure(counts);
    advance(latency).await;
    measurement.record_response_head(status, queue_time);
    measurement.record_body_end(BodyEnd::Complete, Instant::now());
}

#[tokio::test(start_paused = true)]
async fn record_attributes_late_answer_to_slowest_part() {
    let counts = Arc::new(BurnCounts::new(Instant::now()));
    record_answer(&counts, Duration::ZERO, OBJECTIVE, StatusCode::OK).await;
    record_answer(&counts, Duration::from_millis(90), Duration::from_millis(150), StatusCode::OK).await;
    record_answer(&counts, Duration::from_millis(10), Duration::from_millis(150), StatusCode::OK).await;
    record_answer(&counts, Duration::ZERO, Duration::from_millis(1), StatusCode::BAD_GATEWAY).await;
    record_answer(&counts, Duration::ZERO, Duration::from_millis(1), StatusCode::NOT_FOUND).await;
    let retried = measure(&counts);
    advance(Duration::from_millis(120)).await;
    retried.record_retry(Instant::now());
    advance(Duration::from_millis(20)).await;
    retried.record_response_head(StatusCode::OK, Duration::ZERO);
    retried.record_body_end(BodyEnd::Complete, Instant::now());

    let counted = window(&row(&counts), Window::OneMinute);
    assert_eq!(counted.good, 2);
    assert_eq!(counted.missed.count(MissCause::Queueing), 1);
    assert_eq!(counted.missed.count(MissCause::UpstreamTime), 1);
    assert_eq!(counted.missed.count(MissCause::UpstreamError), 1);
    assert_eq!(counted.missed.count(MissCause::Retries), 1);
    assert_eq!(counted.calls(), 6);
}

#[tokio::test(start_paused = true)]
async fn record_caller_disconnect_is_a_miss_only_after_objective() {
    let counts = Arc::new(BurnCounts::new(Instant::now()));
    drop(measure(&counts));
    let late = measure(&counts);
    advance(OBJECTIVE + Duration::from_millis(1)).await;
    drop(late);

    let counted = window(&row(&counts), Window::OneMinute);
    assert_eq!(counted.left, 1);
    assert_eq!(counted.missed.count(MissCause::CallerGone), 1);
    assert_eq!(counted.calls(), 1);
}

#[tokio::test(start_paused = true)]
async fn record_counts_each_call_once() {
    let counts = Arc::new(BurnCounts::new(Instant::now()));
    let measurement = measure(&counts);
    measurement.record_failure(ErrorKind::Overloaded, Instant::now());
    measurement.record_body_end(BodyEnd::CallerDisconnected, Instant::now());
    drop(measurement);

    let counted = window(&row(&counts), Window::OneMinute);
    assert_eq!(counted.missed.count(MissCause::Rejection), 1);
    assert_eq!((counted.calls(), counted.left), (1, 0));
}

#[tokio::test(start_paused = true)]
async fn record_ignores_errors_of_the_caller() {
    let counts = Arc::new(BurnCounts::new(Instant::now()));
    measure(&counts).record_failure(ErrorKind::BodyTooLarge, Instant::now());
    let rows = counts.rows(None, &ConfigTable::new().snapshot(), Instant::now());
    assert_eq!(rows, []);
}

#[test]
fn cause_of_unknown_outcome_only_for_unknown_execution() {
    for kind in ErrorKind::ALL {
        let unknown = kind.properties().execution == Execution::OutcomeUnknown;
        assert_eq!(miss_cause(kind) == Some(MissCause::UnknownOutcome), unknown, "{kind}");
    }
}

#[tokio::test(start_paused = true)]
async fn rows_windows_expire_after_their_length() {
    let counts = Arc::new(BurnCounts::new(Instant::now()));
    record_answer(&counts, Duration::ZERO, Duration::from_millis(1), StatusCode::OK).await;
    let ages = [
        (Duration::from_secs(30), 5),
        (Duration::from_mins(2), 4),
        (Duration::from_mins(10), 3),
        (Duration::from_mins(40), 2),
        (Duration::from_hours(2), 1),
    ];
    let started = Instant::now();
    for (age, expected_windows) in ages {
        advance(age.saturating_sub(started.elapsed())).await;
        let row = row(&counts);
        let windows_with_call = row.windows.iter().filter(|counts| counts.counts.good == 1).count();
        assert_eq!(windows_with_call, expected_windows, "after {age:?}");
    }
    advance(Duration::from_hours(7)).await;
    assert_eq!(counts.rows(None, &ConfigTable::new().snapshot(), Instant::now()), []);
}

#[tokio::test(start_paused = true)]
async fn rows_sum_counts_of_all_threads() {
    let counts = Arc::new(BurnCounts::new(Instant::now()));
    let now = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..8 {
            let counts = Arc::clone(&counts);
            scope.spawn(move || {
                for _ in 0..1_000 {
                    let measurement = CallMeasurement::new(Arc::clone(&counts), key(), OBJECTIVE, now);
                    measurement.record_response_head(StatusCode::OK, Duration::ZERO);
                    measurement.record_body_end(BodyEnd::Complete, now);
                }
            });
        }
    });
    assert_eq!(window(&row(&counts), Window::SixHours).good, 8_000);
}

#[tokio::test(start_paused = true)]
async fn rows_objective_follows_configuration() {
    let counts = Arc::new(BurnCounts::new(Instant::now()));
    record_answer(&counts, Duration::ZERO, Duration::from_millis(1), StatusCode::OK).await;
    let config = ConfigTable::new();
    let published: Published = serde_json::from_value(json!({
        "service": "deposits",
        "revision": 1,
        "epoch": 1,
        "config": {
            "sources": {
                "service_uid": "u",
                "service_version": 1,
                "priority_set_version": 1,
                "upstream_rule_version": 1
            },
            "service": { "priority_set": "p", "upstream_rule": "r", "default_priority": "deposit" },
            "priorities": { "priorities": { "deposit": { "objective_ms": 100, "target_percent": 99.9 } } },
            "upstream_rule": {},
        }
    }))
    .expect("the published configuration is valid");
    assert_eq!(row(&counts).objective, None);
    config.apply(published);
    let rows = counts.rows(Some("deposits"), &config.snapshot(), Instant::now());
    assert_eq!(rows[0].objective.map(|objective| objective.objective_ms), Some(100));
    assert_eq!(counts.rows(Some("orders"), &config.snapshot(), Instant::now()), []);
}

#[tokio::test(start_paused = true)]
async fn rows_latency_within_documented_error() {
    let counts = Arc::new(BurnCounts::new(Instant::now()));
    let mut all_exact_us = Vec::new();
    for step in 1..=1_000_u64 {
        let latency = Duration::from_micros(step * step * 7);
        record_answer(&counts, Duration::ZERO, latency, StatusCode::OK).await;
        all_exact_us.push(step * step * 7);
    }
    let bytes = STANDARD.decode(row(&counts).latency_us).expect("the latency histogram is Base64");
    let histogram: Histogram<u32> =
        Deserializer::new().deserialize(&mut bytes.as_slice()).expect("the bytes are a serialized histogram");
    assert_eq!(histogram.len(), 1_000);
    for rank in [0, 100, 499, 899, 989, 998, 999] {
        let exact_us = all_exact_us[rank];
        let decoded_us = histogram.value_at_quantile(
            f64::from(u32::try_from(rank).expect("the rank fits in 32 bits") + 1) / 1_000.0,
        );
        let max_error_us = exact_us / 100 + LATENCY_RESOLUTION_US;
        assert!(
            decoded_us.abs_diff(exact_us) <= max_error_us,
            "rank {rank}: decoded {decoded_us} us, recorded {exact_us} us"
        );
    }
}
