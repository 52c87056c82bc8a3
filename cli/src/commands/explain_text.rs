//! Text output of `yuccactl explain`.

use std::net::SocketAddr;

use yuccatray::protocol::explain::CallState;
use yuccatray::protocol::explain::CandidateState;
use yuccatray::protocol::explain::ConfigState;
use yuccatray::protocol::explain::Explanation;
use yuccatray::protocol::explain::QuotaServerState;
use yuccatray::protocol::explain::QuotaState;
use yuccatray::protocol::explain::Rejection;
use yuccatray::protocol::explain::RouteState;
use yuccatray::protocol::explain::TenantState;
use yuccatray::protocol::route::Destination;

use crate::output::print_table;

const THOUSANDTHS: u64 = 1_000;
const MICROS_PER_MILLI: u64 = 1_000;
/// Unknown value.
const UNKNOWN: &str = "-";
const HEADER: [&str; 13] = [
    "NODE", "ZONE", "LATENCY", "OWN", "RUNNING", "QUEUED", "LIMIT", "SERVICE", "SLOWNESS", "DELAY", "FAILED",
    "AGE", "WHY",
];

/// Prints the explanation of one node.
pub fn print_explanation(admin_addr: SocketAddr, explanation: &Explanation) {
    println!("node {} in zone {}, at {admin_addr}", explanation.node, explanation.zone);
    println!("config: {}", config_text(&explanation.config));
    println!("route: {}", explanation.route.as_ref().map_or_else(|| "none".to_owned(), route_text));
    if let Some(tenant) = &explanation.tenant {
        println!("tenant: {}", tenant_text(tenant));
    }
    if let Some(quota) = &explanation.quota {
        println!("quota: {}", quota_text(quota));
    }
    if let Some(call) = &explanation.call {
        println!("call: {}", call_text(call));
    }
    println!("result: {}", result_text(explanation));
    if !explanation.candidates.is_empty() {
        print_table(&HEADER, explanation.candidates.iter().map(candidate_row).collect());
    }
}

fn config_text(config: &ConfigState) -> String {
    let version = config.version.as_ref().map(|version| format!("version {version}, ")).unwrap_or_default();
    let applied = config.applied_ms_ago.map(|ms| format!(", applied {} ago", seconds(ms)));
    let confirmed = config.confirmed_ms_ago.map(|ms| format!(", confirmed {} ago", seconds(ms)));
    let (applied, confirmed) = (applied.unwrap_or_default(), confirmed.unwrap_or_default());
    format!("{version}revision {}{applied}{confirmed}", config.revision)
}

fn route_text(route: &RouteState) -> String {
    let RouteState { name, host, path_prefix, max_attempts, .. } = route;
    let public = if route.public { ", public" } else { "" };
    let destination = |destination: &Destination| format!("{} ({})", destination.service, destination.weight);
    let destinations: Vec<String> = route.destinations.iter().map(destination).collect();
    let next = route.next_service.as_deref().unwrap_or("none");
    let destinations = destinations.join(", ");
    format!(
        "{name}, {host}{path_prefix}{public}, up to {max_attempts} attempts, to {destinations}, next {next}"
    )
}

fn tenant_text(tenant: &TenantState) -> String {
    let name = tenant.name.as_deref().unwrap_or("none");
    let refused = if tenant.accepted { "" } else { "refused: " };
    format!("{name} ({refused}{})", tenant.outcome)
}

fn quota_text(quota: &QuotaState) -> String {
    let rate = decimal(quota.millirequests_per_s);
    let server = quota.server.as_deref().unwrap_or("none");
    let state = match quota.server_state {
        QuotaServerState::Unknown => "not known",
        QuotaServerState::NotAsked => "not asked yet",
        QuotaServerState::Responsive => "responsive",
        QuotaServerState::Unresponsive => "did not answer last",
    };
    let token = if quota.takes_token { "takes a token" } else { "takes no token" };
    let exceeded = quota.exceeded_retry_after_ms;
    let exceeded = exceeded.map(|ms| format!(", exceeded for {ms} ms")).unwrap_or_default();
    let (burst, waiting) = (quota.burst, quota.waiting);
    format!("{rate} requests/s, burst {burst}, {token}, server {server} {state}, {waiting} waiting{exceeded}")
}

fn call_text(call: &CallState) -> String {
    let CallState { service, priority, objective_ms, objective_left_ms, timeout_ms, .. } = call;
    let idempotent = if call.idempotent { "idempotent" } else { "not idempotent" };
    let typical = known_millis(call.typical_us);
    format!(
        "service {service}, priority {priority}, {idempotent}, objective {objective_ms} ms \
         ({objective_left_ms} ms left), timeout {timeout_ms} ms, typical service time {typical}"
    )
}

fn result_text(explanation: &Explanation) -> String {
    let choice = explanation.choice.as_deref();
    match (&explanation.rejection, choice) {
        (None, choice) => format!("would be sent to {}", choice.unwrap_or("none")),
        (Some(rejection), None) => rejection_text(rejection),
        (Some(rejection), Some(choice)) => {
            format!("{}; otherwise it would be sent to {choice}", rejection_text(rejection))
        }
    }
}

fn rejection_text(rejection: &Rejection) -> String {
    let Rejection { error, status, message, retry_after_ms } = rejection;
    let retry_after = retry_after_ms.map(|ms| format!(", retry after {ms} ms")).unwrap_or_default();
    format!("would be rejected with {status} {error}: {message}{retry_after}")
}

fn candidate_row(candidate: &CandidateState) -> Vec<String> {
    let load = &candidate.load;
    let slowness = load.slowness_permille;
    let reported =
        |count: u32| load.report_age_us.map_or_else(|| UNKNOWN.to_owned(), |_age| count.to_string());
    vec![
        candidate.node.to_string(),
        candidate.zone.to_string(),
        candidate.expected_latency_us.map_or_else(|| UNKNOWN.to_owned(), millis),
        load.own_calls.to_string(),
        reported(load.running),
        reported(load.queued),
        reported(load.limit),
        known_millis(load.service_time_us),
        if slowness == 0 { UNKNOWN.to_owned() } else { decimal(slowness) },
        millis(load.start_delay_us),
        load.consecutive_failures.to_string(),
        load.report_age_us.map_or_else(|| UNKNOWN.to_owned(), |us| seconds(us / MICROS_PER_MILLI)),
        reason_text(candidate),
    ]
}

/// Returns what became of a candidate, with what else speaks against it.
fn reason_text(candidate: &CandidateState) -> String {
    let mut reason = candidate.verdict.description().to_owned();
    if candidate.load.start_delay_us > 0 {
        reason.push_str(", cold or rate limit");
    }
    if &*candidate.member_state == "suspect" {
        reason.push_str(", suspected dead");
    }
    reason
}

fn known_millis(us: u64) -> String {
    if us == 0 { UNKNOWN.to_owned() } else { millis(us) }
}

fn millis(us: u64) -> String {
    format!("{} ms", decimal(us))
}

fn seconds(ms: u64) -> String {
    format!("{} s", decimal(ms))
}

/// Returns a number of thousandths as a decimal number with one digit after the point.
fn decimal(thousandths: u64) -> String {
    format!("{}.{}", thousandths / THOUSANDTHS, thousandths % THOUSANDTHS * 10 / THOUSANDTHS)
}
