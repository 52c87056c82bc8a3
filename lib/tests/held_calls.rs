//! Calls that a gate holds or tries while the VM of its upstream reports its slowdown.

use std::time::Duration;

use tokio::time::Instant;
use yuccatray::coordination::admission::Admission;
use yuccatray::coordination::admission::AdmissionOutcome;
use yuccatray::coordination::admission::AdmissionRequest;
use yuccatray::coordination::admission::QueueDecision;
use yuccatray::coordination::priority_queue::CallerKey;
use yuccatray::coordination::priority_queue::PriorityRule;
use yuccatray::coordination::service_estimate::ExecutionOutcome;
use yuccatray::protocol::call_head::CallOrigin;

const SLOTS: u32 = 4;
const LONG_CALL: Duration = Duration::from_millis(200);
const SHORT_CALL: Duration = Duration::from_millis(20);
const REPORT_INTERVAL: Duration = Duration::from_millis(80);

/// Returns a gate whose VM has mostly been at normal speed and is slowed down fourfold from `now` on.
fn gate_on_slow_vm(now: Instant) -> Admission {
    let rule = PriorityRule {
        min_share_percent: 10,
        max_queue: 20,
        max_caller_queue_percent: 100,
        objective: Duration::from_millis(500),
        serve_late: true,
        usable_slots_percent: 100,
    };
    let mut admission = Admission::new(SLOTS, &[rule], now);
    assert_eq!(admission.record_slowdown(100, now), []);
    assert_eq!(admission.record_slowdown(400, now), []);
    admission
}

fn request(typical_time: Option<Duration>, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        priority: 0,
        caller: CallerKey(0),
        caller_weight: None,
        deadline: now + Duration::from_secs(3),
        start_by: None,
        objective_at: Some(now + Duration::from_millis(500)),
        typical_time,
        max_gate_latency: None,
        origin: CallOrigin::Caller,
        idempotent: true,
    }
}

/// Requests admission of a call that another gate may take instead, and executes it if it is admitted.
fn is_admitted_and_ends(admission: &mut Admission, service_time: Duration, now: Instant) -> bool {
    let max_gate_latency = Some(SHORT_CALL * 2);
    let request = AdmissionRequest { max_gate_latency, ..request(Some(SHORT_CALL), now) };
    let AdmissionOutcome::Admitted(grant) = admission.request_admission(request, now) else {
        return false;
    };
    admission.release(grant, ExecutionOutcome::Succeeded(service_time), now + service_time);
    true
}

fn admitted(decisions: &[QueueDecision]) -> usize {
    decisions.iter().filter(|decision| matches!(decision, QueueDecision::Admit(..))).count()
}

#[test]
fn call_on_briefly_slow_vm_starts_at_normal_speed() {
    let now = Instant::now();
    let mut admission = gate_on_slow_vm(now);
    let outcome = admission.request_admission(request(Some(LONG_CALL), now), now);
    assert!(matches!(outcome, AdmissionOutcome::Queued(_)), "{outcome:?}");
    let later = now + REPORT_INTERVAL;
    assert_eq!(admitted(&admission.record_slowdown(400, later)), 0, "the VM is still slow");
    assert_eq!(admitted(&admission.record_slowdown(100, later + REPORT_INTERVAL)), 1);
}

#[test]
fn call_on_lastingly_slow_vm_starts() {
    let now = Instant::now();
    let mut admission = gate_on_slow_vm(now);
    let outcome = admission.request_admission(request(Some(LONG_CALL), now), now);
    assert!(matches!(outcome, AdmissionOutcome::Queued(_)), "{outcome:?}");
    let mut at = now;
    let mut started = 0;
    while started == 0 {
        at += REPORT_INTERVAL;
        started = admitted(&admission.record_slowdown(400, at));
    }
    let added_at_most = LONG_CALL * 3;
    assert!(at - now <= added_at_most * 2 + REPORT_INTERVAL, "held for {:?}", at - now);
}

#[test]
fn short_call_starts_before_long_one_on_slow_vm() {
    let now = Instant::now();
    let mut admission = gate_on_slow_vm(now);
    let at = now + REPORT_INTERVAL * 2;
    admission.record_slowdown(400, at);
    let long = admission.request_admission(request(Some(LONG_CALL), at), at);
    assert!(matches!(long, AdmissionOutcome::Queued(_)), "{long:?}");
    let short = admission.request_admission(request(Some(SHORT_CALL), at), at);
    assert!(matches!(short, AdmissionOutcome::Admitted(_)), "it loses less than by waiting: {short:?}");
}

#[test]
fn call_of_unknown_typical_time_not_held() {
    let now = Instant::now();
    let mut admission = gate_on_slow_vm(now);
    let outcome = admission.request_admission(request(None, now), now);
    assert!(matches!(outcome, AdmissionOutcome::Admitted(_)), "{outcome:?}");
}

#[test]
fn call_not_held_by_outdated_slowdown_report() {
    let now = Instant::now();
    let mut admission = gate_on_slow_vm(now);
    let later = now + Duration::from_secs(1);
    let outcome = admission.request_admission(request(Some(LONG_CALL), later), later);
    assert!(matches!(outcome, AdmissionOutcome::Admitted(_)), "{outcome:?}");
}

#[test]
fn held_call_starts_when_reports_stop() {
    let now = Instant::now();
    let mut admission = gate_on_slow_vm(now);
    admission.request_admission(request(Some(LONG_CALL), now), now);
    assert!(admission.needs_slowdown_probe(now + Duration::from_secs(1)), "a held call needs reports");
    assert_eq!(admitted(&admission.start_held_calls(now + Duration::from_secs(1))), 1);
}

#[test]
fn upstream_that_was_slow_by_itself_gets_calls_again() {
    let start = Instant::now();
    let mut admission = gate_on_slow_vm(start);
    let mut at = start;
    for _ in 0..20 {
        at += REPORT_INTERVAL;
        admission.record_slowdown(100, at);
    }
    assert!(is_admitted_and_ends(&mut admission, LONG_CALL * 2, at), "nothing is known yet");
    at += LONG_CALL * 2;
    let mut admitted_calls = 0;
    for _ in 0..100 {
        at += REPORT_INTERVAL;
        admission.record_slowdown(100, at);
        admitted_calls += u32::from(is_admitted_and_ends(&mut admission, SHORT_CALL, at));
    }
    assert!(admitted_calls >= 90, "the upstream is fast again, and {admitted_calls} of 100 calls reach it");
}

#[test]
fn slow_vm_gets_no_trial_while_it_reports() {
    let start = Instant::now();
    let mut admission = gate_on_slow_vm(start);
    let mut at = start;
    for _ in 0..10 {
        at += REPORT_INTERVAL;
        admission.record_slowdown(400, at);
        assert!(!is_admitted_and_ends(&mut admission, SHORT_CALL * 4, at));
    }
}

#[test]
fn absurd_slowdown_report_holds_call_without_panic() {
    let now = Instant::now();
    let mut admission = gate_on_slow_vm(now);
    let at = now + REPORT_INTERVAL;
    assert_eq!(admission.record_slowdown(u32::MAX, at), []);
    let outcome = admission.request_admission(request(Some(LONG_CALL), at), at);
    assert!(matches!(outcome, AdmissionOutcome::Queued(_)), "{outcome:?}");
    assert_eq!(admitted(&admission.record_slowdown(100, at + REPORT_INTERVAL)), 1);
}
