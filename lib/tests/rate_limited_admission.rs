//! Admission at a gate whose upstream has a rate limit, on a computed clock.

use std::time::Duration;

use tokio::time::Instant;
use yuccatray::coordination::admission::Admission;
use yuccatray::coordination::admission::AdmissionOutcome;
use yuccatray::coordination::admission::AdmissionRequest;
use yuccatray::coordination::admission::QueueDecision;
use yuccatray::coordination::admission::QueueKey;
use yuccatray::coordination::admission::RejectReason;
use yuccatray::coordination::admission::SlotGrant;
use yuccatray::coordination::priority_queue::CallerKey;
use yuccatray::coordination::priority_queue::PriorityRule;
use yuccatray::coordination::service_estimate::ExecutionOutcome;
use yuccatray::protocol::call_head::CallOrigin;
use yuccatray::protocol::load_report::LoadReport;
use yuccatray::protocol::rate_limit::RateLimit;

const SERVICE_TIME: Duration = Duration::from_millis(10);
const TIMEOUT: Duration = Duration::from_secs(2);
const WINDOW: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(5);

fn limit(text: &str) -> RateLimit {
    text.parse().expect("the text is a rate")
}

fn gate(now: Instant) -> Admission {
    let rule = PriorityRule {
        min_share_percent: 10,
        max_queue: 100,
        max_caller_queue_percent: 100,
        objective: Duration::from_secs(1),
        serve_late: true,
        usable_slots_percent: 100,
    };
    Admission::new(12, &[rule; 3], now)
}

fn request(priority: u8, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        priority,
        caller: CallerKey(1),
        caller_weight: None,
        deadline: now + TIMEOUT,
        start_by: None,
        objective_at: None,
        typical_time: Some(SERVICE_TIME),
        max_gate_latency: None,
        origin: CallOrigin::Caller,
        idempotent: true,
    }
}

/// Offers one call each step for `duration` and returns the times at which calls started.
fn starts_under_load(admission: &mut Admission, start: Instant, duration: Duration) -> Vec<Instant> {
    let mut started_at = Vec::new();
    let mut running: Vec<SlotGrant> = Vec::new();
    let mut now = start;
    while now < start + duration {
        let mut decisions = admission.start_held_calls(now);
        for grant in running.extract_if(.., |grant| now - grant.started() >= SERVICE_TIME) {
            decisions.extend(admission.release(grant, ExecutionOutcome::Succeeded(SERVICE_TIME), now));
        }
        let outcome = admission.request_admission(request(1, now), now);
        let mut granted: Vec<SlotGrant> = decisions.into_iter().filter_map(granted_slot).collect();
        if let AdmissionOutcome::Admitted(grant) = outcome {
            granted.push(grant);
        }
        started_at.extend(granted.iter().map(|_| now));
        running.extend(granted);
        now += STEP;
    }
    started_at
}

fn granted_slot(decision: QueueDecision) -> Option<SlotGrant> {
    match decision {
        QueueDecision::Admit(_, grant) => Some(grant),
        QueueDecision::Reject(..) => None,
    }
}

/// Submits a call that has to wait and returns its key.
fn queue_call(admission: &mut Admission, priority: u8, now: Instant) -> QueueKey {
    match admission.request_admission(request(priority, now), now) {
        AdmissionOutcome::Queued(key) => key,
        other => panic!("the call waits: {other:?}"),
    }
}

/// Starts calls until the rate limit permits no further one at `now`.
fn use_up_burst(admission: &mut Admission, now: Instant) {
    while admission.load(now).start_delay_us == 0 {
        let outcome = admission.request_admission(request(1, now), now);
        assert!(matches!(outcome, AdmissionOutcome::Admitted(_)), "{outcome:?}");
    }
}

/// Returns the largest number of starts in any window.
fn most_in_window(started_at: &[Instant]) -> usize {
    let in_window =
        |start: Instant| started_at.iter().filter(|at| **at >= start && **at - start <= WINDOW).count();
    started_at.iter().map(|start| in_window(*start)).max().unwrap_or(0)
}

#[test]
fn rate_limit_bounds_starts_in_every_window() {
    for rate in ["0.4", "5", "18.2", "31.7"] {
        let start = Instant::now();
        let mut admission = gate(start);
        admission.set_rate_limit(Some(limit(rate)), start);
        let started_at = starts_under_load(&mut admission, start, Duration::from_secs(12));
        let requests_per_s: f64 = rate.parse().expect("the rate is a number");
        let most = most_in_window(&started_at);
        let allowed = 6.0 * requests_per_s + 5.0;
        assert!(
            f64::from(u32::try_from(most).expect("few calls")) <= allowed,
            "{most} starts at {rate} a second"
        );
        let at_full_rate = 12.0 * requests_per_s;
        let total = f64::from(u32::try_from(started_at.len()).expect("few calls"));
        assert!(total >= 0.9 * at_full_rate, "the rate is used: {total} starts at {rate} a second");
    }
}

#[test]
fn rate_limit_starts_most_urgent_queued_call_first() {
    let start = Instant::now();
    let mut admission = gate(start);
    admission.set_rate_limit(Some(limit("5")), start);
    use_up_burst(&mut admission, start);
    let _less_urgent = queue_call(&mut admission, 2, start);
    let urgent = queue_call(&mut admission, 0, start);
    let next_start_at = admission.next_start_at(start).expect("only the rate limit keeps the calls waiting");
    let decisions = admission.start_held_calls(next_start_at);
    assert!(matches!(decisions[..], [QueueDecision::Admit(key, _)] if key == urgent), "{decisions:?}");
}

#[test]
fn rate_limit_rejects_at_once_what_cannot_start_in_time_with_true_retry_time() {
    let start = Instant::now();
    let mut admission = gate(start);
    admission.set_rate_limit(Some(limit("2")), start);
    use_up_burst(&mut admission, start);
    let mut queued = 0;
    let rejection = loop {
        match admission.request_admission(request(1, start), start) {
            AdmissionOutcome::Queued(_) => queued += 1,
            AdmissionOutcome::Rejected(reason) => break reason,
            AdmissionOutcome::Admitted(grant) => panic!("the rate is used up: {grant:?}"),
        }
    };
    assert_eq!(rejection, RejectReason::TooLate);
    assert!(queued <= 4, "{queued} calls wait for 2 starts a second within {TIMEOUT:?}");
    let retry_hint = admission.retry_hint(start);
    let expected = Duration::from_millis(500) * queued;
    assert!(retry_hint >= expected, "a slot is free after {expected:?} at the earliest, not {retry_hint:?}");
}

#[test]
fn rate_limit_above_expected_latency_reroutes_call() {
    let start = Instant::now();
    let mut admission = gate(start);
    admission.set_rate_limit(Some(limit("5")), start);
    use_up_burst(&mut admission, start);
    let impatient =
        AdmissionRequest { max_gate_latency: Some(Duration::from_millis(50)), ..request(1, start) };
    let outcome = admission.request_admission(impatient, start);
    assert_eq!(outcome, AdmissionOutcome::Rejected(RejectReason::GateTooSlow));
}

#[test]
fn withdrawn_rate_limit_starts_queued_calls() {
    let start = Instant::now();
    let mut admission = gate(start);
    admission.set_rate_limit(Some(limit("1")), start);
    use_up_burst(&mut admission, start);
    queue_call(&mut admission, 1, start);
    let decisions = admission.set_rate_limit(None, start);
    assert_eq!(decisions.len(), 1, "{decisions:?}");
    assert_eq!(admission.load(start).start_delay_us, 0);
}

#[test]
fn rate_limit_of_zero_lets_a_trial_call_start() {
    let start = Instant::now();
    let mut admission = gate(start);
    admission.set_rate_limit(Some(limit("0")), start);
    let started_at = starts_under_load(&mut admission, start, Duration::from_secs(12));
    assert!(!started_at.is_empty(), "an upstream can withdraw its limit only in an answer");
    assert!(most_in_window(&started_at) <= 5, "{started_at:?}");
}

#[test]
fn rate_limit_parse_rejects_what_is_no_rate() {
    for text in ["", "fast", "-1", "NaN", "inf", "1,5"] {
        assert!(text.parse::<RateLimit>().is_err(), "{text:?}");
    }
    assert_eq!(limit(" 18.2 ").to_string(), "18.200");
}

#[test]
fn load_report_with_start_delay_reads_back_and_extends_older_form() {
    let report = LoadReport { running: 1, limit: 12, start_delay_us: 55_000, ..LoadReport::default() };
    assert_eq!(report.to_string().parse(), Ok(report));
    let older =
        LoadReport { running: 1, queued: 2, limit: 12, service_time_us: 900, ..LoadReport::default() };
    assert_eq!("1/2/12/900".parse(), Ok(older));
}
