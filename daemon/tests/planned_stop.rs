//! Node processes with the settings of the deploy file that are asked to stop while requests are under way.

use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use tokio::task::JoinSet;
use tokio::time::Instant;
use yuccatray_platform_testutils::client_connection::ExchangeEnd;
use yuccatray_platform_testutils::lost_requests::PlannedStop;
use yuccatray_platform_testutils::lost_requests::SentRequest;
use yuccatray_platform_testutils::lost_requests::find_loss;
use yuccatray_platform_testutils::paced_body::BodyPace;
use yuccatray_platform_testutils::process_site::ClientTarget;
use yuccatray_platform_testutils::process_site::ProcessMember;
use yuccatray_platform_testutils::process_site::ProcessSite;
use yuccatray_platform_testutils::process_site::SitePlan;
use yuccatray_platform_testutils::timed_request::TimedRequest;
use yuccatray_platform_testutils::timed_worker::Execution;
use yuccatray_platform_testutils::work::Work;

const NODES: usize = 4;
/// Timeout of the routes, later than the end of every process of these tests, in seconds.
const LONG_TIMEOUT_S: f64 = 60.0;
/// Time before the last sixth of the grace period at which the workers end their requests.
const WORK_MARGIN: Duration = Duration::from_millis(300);
/// Time after the end of the grace period at which a request ends that the process can't wait for.
const WORK_AFTER_END: Duration = Duration::from_secs(1);
/// Time before the end of the grace period at which a process has to be gone.
const END_MARGIN: Duration = Duration::from_millis(50);

/// A grace period, and times after the signal at which requests are sent, in milliseconds.
struct Row {
    grace_s: u32,
    sent_after_ms: &'static [u64],
}

/// Requests sent while the node is still in use by its clients, which ask for readiness once a second.
const ROWS: [Row; 4] = [
    Row { grace_s: 3, sent_after_ms: &[0, 1_000] },
    Row { grace_s: 6, sent_after_ms: &[0, 1_000, 2_000] },
    Row { grace_s: 10, sent_after_ms: &[0, 1_000, 2_000] },
    Row { grace_s: 20, sent_after_ms: &[0, 1_000, 2_000] },
];

/// Nodes whose logs are read, so many that a lost line shows.
const LOGGING_NODES: usize = 12;
/// Id of the request that is still at work when its node ends.
const ENDLESS: &str = "endless";
/// Interval between two looks at the workers while waiting.
const POLL: Duration = Duration::from_millis(10);

fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_yuccatrayd"))
}

fn unsafe_request(id: String, work: Duration, time_limit: Duration) -> TimedRequest {
    TimedRequest {
        id,
        method: Method::POST,
        work: Work::with_time(work),
        time_limit,
        body: Bytes::from_static(b"order"),
        body_pace: BodyPace::default(),
    }
}

/// Guards against requests cut at a fixed time after SIGTERM, whatever the grace period of the deployment is.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_end_within_the_grace_period_answered_by_stopping_node() {
    let mut rows = JoinSet::new();
    for row in ROWS {
        rows.spawn(check_row(row));
    }
    let mut violations: Vec<String> = rows.join_all().await.into_iter().flatten().collect();
    violations.sort();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Stops one of four nodes while its requests are under way, and returns what went wrong.
async fn check_row(row: Row) -> Vec<String> {
    let plan = SitePlan {
        nodes: NODES,
        grace_s: row.grace_s,
        safe_timeout_s: LONG_TIMEOUT_S,
        unsafe_timeout_s: LONG_TIMEOUT_S,
    };
    let mut site = ProcessSite::start(binary(), &plan).await;
    let (stopping, neighbour) = (site.members[0].client_target(), site.members[1].client_target());
    let time_limit = Duration::from_secs(row.grace_s.into()) + WORK_AFTER_END;
    let endless = unsafe_request(ENDLESS.to_owned(), time_limit, time_limit).send_to(stopping.clone());
    let endless = tokio::spawn(endless);
    while executions_of(&site, ENDLESS).is_empty() {
        tokio::time::sleep(POLL).await;
    }
    let stop = site.members[0].begin_stop(&plan);
    let mut requests = JoinSet::new();
    for after_ms in row.sent_after_ms {
        for (number, target) in [&stopping, &stopping, &neighbour].into_iter().enumerate() {
            let id = format!("{}-{after_ms}-{number}", target.name);
            requests.spawn(send_after(Duration::from_millis(*after_ms), stop, id, target.clone()));
        }
    }
    let mut violations = Vec::new();
    match site.members[0].wait_for_end(&stop).await {
        None => violations.push("the process still runs at the end of the grace period".to_owned()),
        Some(after) if after + END_MARGIN > stop.grace => {
            violations.push(format!("the process ends {after:?} after the signal"));
        }
        Some(_) => {}
    }
    let ended_requests = requests.join_all().await;
    let endless = endless.await.expect("the request ends").expect("the node accepts the connection");
    site.wait_until_idle().await;
    for sent in ended_requests {
        violations.extend(unanswered(&site, sent.as_ref(), &stop));
    }
    let loss = find_loss(&endless, &executions_of(&site, ENDLESS), Some(&stop));
    violations.extend(loss.map(|loss| format!("{loss}: {}", describe(&site, &endless, &stop))));
    violations.into_iter().map(|violation| format!("grace of {} s: {violation}", row.grace_s)).collect()
}

/// Sends a request that its worker ends shortly before the last sixth of the grace period.
async fn send_after(
    after: Duration,
    stop: PlannedStop,
    id: String,
    target: ClientTarget,
) -> Option<SentRequest> {
    tokio::time::sleep_until(stop.signalled_at + after).await;
    let work = stop.last_sixth_at() - WORK_MARGIN - Instant::now();
    let time_limit = stop.signalled_at + stop.grace - Instant::now();
    unsafe_request(id, work, time_limit).send_to(target).await
}

/// Returns a description of the request unless a worker's whole answer was received.
fn unanswered(site: &ProcessSite, sent: Option<&SentRequest>, stop: &PlannedStop) -> Option<String> {
    let Some(sent) = sent else {
        return Some("a connection was not accepted".to_owned());
    };
    let answered = matches!(&sent.end, ExchangeEnd::Answered(answer) if answer.status == StatusCode::OK);
    let loss = find_loss(sent, &executions_of(site, &sent.id), Some(stop));
    if answered && loss.is_none() {
        return None;
    }
    let loss = loss.map_or_else(|| "no answer of a worker".to_owned(), |loss| loss.to_string());
    Some(format!("{loss}: {}", describe(site, sent, stop)))
}

fn executions_of(site: &ProcessSite, id: &str) -> Vec<Execution> {
    site.executions().into_iter().filter(|execution| execution.request_id == id).collect()
}

/// Describes a request with its times in milliseconds after the signal.
fn describe(site: &ProcessSite, sent: &SentRequest, stop: &PlannedStop) -> String {
    let after_ms = |at: Instant| at.saturating_duration_since(stop.signalled_at).as_millis();
    let end = match &sent.end {
        ExchangeEnd::Answered(answer) => answer.status.to_string(),
        ExchangeEnd::NotSent => "the connection closed before it was sent".to_owned(),
        ExchangeEnd::Cut { cause } => cause.clone(),
    };
    let (sent_ms, ended_ms) = (after_ms(sent.sent_at), after_ms(sent.ended_at));
    let executions = executions_of(site, &sent.id).into_iter().map(|execution| {
        let started = execution.started_at.map(after_ms).unwrap_or_default();
        let ended = execution.end.map(|(end, at)| format!("{end:?} {}", after_ms(at))).unwrap_or_default();
        format!("at {} from {started} to {ended}", execution.instance_id)
    });
    let executions: Vec<String> = executions.collect();
    let log_lines: Vec<String> =
        site.members.iter().flat_map(|member| member.log_lines(&[&sent.id])).collect();
    format!(
        "{} sent {sent_ms}, ended {ended_ms}: {end}; {}\n{}",
        sent.id,
        executions.join(", "),
        log_lines.join("\n")
    )
}

/// Guards against cut calls that no log tells of, since the process ends before the line is written.
#[tokio::test(flavor = "multi_thread")]
async fn cut_calls_logged_before_the_process_ends() {
    let plan = SitePlan {
        nodes: LOGGING_NODES,
        grace_s: 6,
        safe_timeout_s: LONG_TIMEOUT_S,
        unsafe_timeout_s: LONG_TIMEOUT_S,
    };
    let mut site = ProcessSite::start(binary(), &plan).await;
    let time_limit = Duration::from_secs(plan.grace_s.into()) + WORK_AFTER_END;
    let mut requests = JoinSet::new();
    for member in &site.members {
        let request = unsafe_request(format!("{ENDLESS}-{}", member.name), time_limit, time_limit);
        requests.spawn(request.send_to(member.client_target()));
    }
    while site.executions().iter().filter(|execution| execution.request_id != "warm").count() < LOGGING_NODES
    {
        tokio::time::sleep(POLL).await;
    }
    let stops: Vec<PlannedStop> = site.members.iter().map(|member| member.begin_stop(&plan)).collect();
    for (member, stop) in site.members.iter_mut().zip(&stops) {
        assert!(member.wait_for_end(stop).await.is_some(), "{} ends in time", member.name);
    }
    let sent = requests.join_all().await;
    let cut = sent.iter().flatten().filter(|sent| matches!(sent.end, ExchangeEnd::Cut { .. }));
    let nodes_that_cut: Vec<&str> = cut.map(|sent| &*sent.node).collect();
    let is_silent = |member: &&ProcessMember| member.log_lines(&["calls were cut short"]).is_empty();
    let silent = site.members.iter().filter(is_silent).map(|member| &*member.name);
    let silent: Vec<&str> = silent.filter(|name| nodes_that_cut.contains(name)).collect();
    assert!(!nodes_that_cut.is_empty(), "some calls are cut");
    assert_eq!(silent, Vec::<&str>::new(), "nodes that cut a call and did not log it");
}

/// Times at which requests are sent to a node before it stops, after the stop of the node beside their worker.
const SENT_AFTER_GATE_MS: [u64; 6] = [0, 400, 800, 1_200, 1_600, 1_900];
/// Time between the stop of a gate's node and that of the ingress's node.
const STOP_GAP: Duration = Duration::from_secs(2);

/// Guards against requests that a stopping gate takes and cuts, before the node that took them may give them up.
#[tokio::test(flavor = "multi_thread")]
async fn requests_not_cut_by_gate_that_stops_before_their_ingress() {
    let timeout_s = 6.0;
    let plan = SitePlan { nodes: 3, grace_s: 6, safe_timeout_s: timeout_s, unsafe_timeout_s: timeout_s };
    let mut site = ProcessSite::start(binary(), &plan).await;
    let ingress = site.members[0].client_target();
    let gate_stop = site.members[1].begin_stop(&plan);
    let mut requests = JoinSet::new();
    for after_ms in SENT_AFTER_GATE_MS {
        let id = format!("after-{after_ms}");
        let request = unsafe_request(id, Duration::from_millis(4_500), Duration::from_secs_f64(timeout_s));
        let target = ingress.clone();
        requests.spawn(async move {
            tokio::time::sleep_until(gate_stop.signalled_at + Duration::from_millis(after_ms)).await;
            request.send_to(target).await
        });
    }
    tokio::time::sleep_until(gate_stop.signalled_at + STOP_GAP).await;
    let stop = site.members[0].begin_stop(&plan);
    let sent = requests.join_all().await;
    assert!(site.members[0].wait_for_end(&stop).await.is_some(), "the ingress ends in time");
    site.wait_until_idle().await;
    let lost = sent.iter().flatten().filter_map(|request| {
        let loss = find_loss(request, &executions_of(&site, &request.id), Some(&stop))?;
        Some(format!("{loss}: {}", describe(&site, request, &stop)))
    });
    assert_eq!(lost.collect::<Vec<_>>(), Vec::<String>::new());
}
