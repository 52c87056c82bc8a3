//! `yuccactl explain` against nodes in the test process and stand-ins of an admin port.

#![expect(clippy::needless_raw_string_hashes, reason = "the snapshot tool writes raw strings with hashes")]

use std::process::Command;
use std::sync::Arc;

use serde_json::Value;
use serde_json::json;
use snapbox::assert_data_eq;
use snapbox::str;
use yuccatray::protocol::error_kind::ErrorKind;
use yuccatray::protocol::explain::CandidateState;
use yuccatray::protocol::explain::ConfigState;
use yuccatray::protocol::explain::Explanation;
use yuccatray::protocol::explain::LoadState;
use yuccatray::protocol::explain::QuotaServerState;
use yuccatray::protocol::explain::QuotaState;
use yuccatray::protocol::explain::Rejection;
use yuccatray::protocol::explain::RouteState;
use yuccatray::protocol::explain::TenantState;
use yuccatray::protocol::explain::Verdict;
use yuccatray::protocol::route::Destination;
use yuccatray_testutils::raw_http::RawUpstream;
use yuccatray_testutils::two_nodes::TwoNodes;

const KEY: &str = "4cme-k3y-7d1f";
const URL: &str = "http://shop.example/shop/1?x=1";

/// Runs `yuccactl explain` and returns its exit code, standard output and standard error.
async fn explain(arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yuccactl"));
    command.arg("explain").args(arguments).env_remove("YUCCATRAY_NODE");
    let output = tokio::task::spawn_blocking(move || command.output()).await;
    let output = output.expect("the task does not panic").expect("the binary runs");
    let code = output.status.code().expect("no signal ended the process");
    let text = |bytes| String::from_utf8(bytes).expect("the output is UTF-8");
    format!("exit code {code}\n{}{}", text(output.stdout), text(output.stderr))
}

fn candidate(node: &str, verdict: Verdict, load: LoadState) -> CandidateState {
    let is_candidate = !matches!(verdict, Verdict::Draining);
    CandidateState {
        node: Arc::from(node),
        zone: Arc::from("a"),
        member_state: Arc::from(if node == "vm-2" { "suspect" } else { "alive" }),
        slots: 9,
        verdict,
        expected_latency_us: is_candidate.then_some(41_250),
        load,
    }
}

fn explanation() -> Explanation {
    let load = LoadState { running: 3, queued: 1, limit: 9, service_time_us: 40_100, ..LoadState::default() };
    let load = LoadState { slowness_permille: 1_250, report_age_us: Some(120_000), ..load };
    Explanation {
        node: Arc::from("vm-1"),
        zone: Arc::from("a"),
        config: ConfigState {
            version: Some(Arc::from("00000007")),
            revision: 7,
            applied_ms_ago: Some(61_500),
            confirmed_ms_ago: Some(400),
        },
        route: Some(RouteState {
            name: Arc::from("browse"),
            host: Arc::from("shop.example"),
            path_prefix: Arc::from("/shop/"),
            public: false,
            max_attempts: 2,
            destinations: ["new", "old"].map(|name| Destination { service: name.into(), weight: 50 }).into(),
            next_service: Some(Arc::from("old")),
        }),
        tenant: Some(TenantState { outcome: "key".into(), accepted: true, name: Some(Arc::from("acme")) }),
        quota: Some(QuotaState {
            millirequests_per_s: 12_500,
            burst: 20,
            takes_token: true,
            server: Some(Arc::from("vm-3")),
            server_state: QuotaServerState::Responsive,
            waiting: 0,
            exceeded_retry_after_ms: Some(80),
        }),
        candidates: vec![
            candidate("vm-1", Verdict::Chosen, load),
            candidate("vm-2", Verdict::Outranked, LoadState { start_delay_us: 90_000, ..load }),
            candidate("vm-3", Verdict::Draining, LoadState::default()),
        ],
        choice: Some(Arc::from("vm-1")),
        rejection: Some(Rejection {
            error: ErrorKind::QuotaExceeded,
            status: 429,
            message: "the tenant has used up its request limit".to_owned(),
            retry_after_ms: Some(80),
        }),
        ..Explanation::default()
    }
}

/// Starts a stand-in of an admin port that gives one answer.
async fn admin_standin(status: &str, body: &str) -> RawUpstream {
    let length = body.len();
    RawUpstream::start(&format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}")).await
}

/// Guards against an output that leaves out a part of the explanation, and against requests that reach a node changed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn explain_prints_each_part() {
    let body = serde_json::to_string(&explanation()).expect("the explanation can be written as JSON");
    let node = admin_standin("200 OK", &body).await;
    let addr = node.addr.to_string();
    let field = format!("Authorization: Token {KEY}");
    let output = explain(&["GET", URL, "-H", &field, "--node", &addr]).await;
    assert_data_eq!(
        output.replace(&addr, "ADDR"),
        str![[r#"
exit code 0
node vm-1 in zone a, at ADDR
config: version 00000007, revision 7, applied 61.5 s ago, confirmed 0.4 s ago
route: browse, shop.example/shop/, up to 2 attempts, to new (50), old (50), next old
tenant: acme (key)
quota: 12.5 requests/s, burst 20, takes a token, server vm-3 responsive, 0 waiting, exceeded for 80 ms
result: would be rejected with 429 quota_exceeded: the tenant has used up its request limit, retry after 80 ms; otherwise it would be sent to vm-1
NODE  ZONE  LATENCY  OWN  RUNNING  QUEUED  LIMIT  SERVICE  SLOWNESS  DELAY    FAILED  AGE    WHY
vm-1  a     41.2 ms  0    3        1       9      40.1 ms  1.2       0.0 ms   0       0.1 s  chosen
vm-2  a     41.2 ms  0    3        1       9      40.1 ms  1.2       90.0 ms  0       0.1 s  another is as good or better, cold or rate limit, suspected dead
vm-3  a     -        0    -        -       -      -        -         0.0 ms   0       -      draining

"#]]
    );
    let request = node.requests().concat();
    assert!(request.starts_with("POST /v1/explain HTTP/1.1"), "{request}");
    let description = request.split_once("\r\n\r\n").map(|(_, body)| serde_json::from_str::<Value>(body));
    let expected = json!({
        "method": "GET", "host": "shop.example", "path": "/shop/1?x=1",
        "fields": [["Authorization", format!("Token {KEY}")]],
    });
    assert_eq!(description.expect("there is a body").expect("the body is JSON"), expected);
}

/// Guards against a node that fails unnoticed beside others that answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn explain_names_failed_node_and_exits_nonzero() {
    let body = serde_json::to_string(&explanation()).expect("the explanation can be written as JSON");
    let good = admin_standin("200 OK", &body).await;
    let error = r#"{"error":"no_configuration","message":"no configuration is known yet"}"#;
    let unconfigured = admin_standin("503 Service Unavailable", error).await;
    let (good, unconfigured) = (good.addr.to_string(), unconfigured.addr.to_string());
    let output = explain(&["GET", URL, "--node", &unconfigured, "--node", &good, "--output", "json"]).await;
    assert!(output.starts_with("exit code 1\n"), "{output}");
    assert!(output.contains(r#""choice": "vm-1""#) && output.contains(&unconfigured), "{output}");
    let both = format!("{good},{unconfigured}");
    let output = explain(&["GET", URL, "--node", &both]).await;
    let (_, message) = output.split_once("error: ").expect("there is an error");
    assert_data_eq!(
        message.replace(&unconfigured, "ADDR"),
        str![[r#"
no explanation from node at ADDR: the node responded with status 503 Service Unavailable: no_configuration: no configuration is known yet

"#]]
    );
}

/// Guards against arguments that hold a key and are quoted in an error.
#[tokio::test]
async fn explain_invalid_arguments_are_not_quoted() {
    let fields = [KEY.to_owned(), format!("{KEY} x: y"), format!("Authorization: Token\n{KEY}")];
    let fields = fields.iter().map(|field| ["GET", URL, "-H", field.as_str()]);
    let (with_user, bad_method) = (format!("http://{KEY}@shop.example/"), format!("{KEY}\u{e9}"));
    let token = format!("Token {KEY}");
    let others = [
        ["GET", &with_user, "-H", "a: b"],
        ["GET", KEY, "-H", "a: b"],
        [&bad_method, URL, "-H", "a: b"],
        ["GET", URL, "--header=a: b", &token],
    ];
    for arguments in fields.chain(others) {
        let output = explain(&arguments).await;
        assert!(output.starts_with("exit code 2\nerror: ") && !output.contains(KEY), "{output}");
    }
}

/// Guards against a command that real nodes do not understand.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn explain_real_nodes() {
    let upstream = RawUpstream::start("HTTP/1.1 204 No Content\r\n\r\n").await;
    let nodes = TwoNodes::start(upstream.addr, 1_000).await;
    let admin = nodes.ingress_node.addrs().admin.to_string();
    let service = ["-H", "yuccatray-service: orders", "--node", &admin];
    let output = explain(&[&["GET", "http://any/"], &service[..]].concat()).await;
    assert_data_eq!(
        output.replace(&admin, "ADDR"),
        str![[r#"
exit code 0
node vm-2 in zone a, at ADDR
config: revision 1
route: none
call: service orders, priority 0, idempotent, objective 1000 ms (1000 ms left), timeout 10000 ms, typical service time -
result: would be sent to vm-1
NODE  ZONE  LATENCY  OWN  RUNNING  QUEUED  LIMIT  SERVICE  SLOWNESS  DELAY   FAILED  AGE  WHY
vm-1  a     1.0 ms   0    -        -       -      -        -         0.0 ms  0       -    chosen
vm-2  a     -        0    -        -       -      -        -         0.0 ms  0       -    no announcement, or it expired

"#]]
    );
    let unknown = explain(&["GET", "http://any/", "-H", "yuccatray-service: x", "--node", &admin]).await;
    assert!(unknown.contains("would be rejected with 404 unknown_service"), "{unknown}");
    assert_eq!(upstream.started(), 0, "nothing is sent");
}
