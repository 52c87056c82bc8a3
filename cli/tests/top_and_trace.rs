//! `yuccactl top` and `yuccactl trace` against a running fleet.

use std::net::SocketAddr;
use std::process::Command;
use std::process::Output;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use snapbox::assert_data_eq;
use snapbox::str;
use yuccatray::node::Node;
use yuccatray::protocol::headers;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::protocol::settings::Settings;
use yuccatray::transport::platform::Platform;
use yuccatray::transport::platform_http::HttpPlatform;
use yuccatray_standin::platform::PlatformStandin;
use yuccatray_standin::upstream::UpstreamBehaviour;
use yuccatray_standin::upstream::UpstreamStandin;
use yuccatray_testutils::daemon_process::loopback_settings;
use yuccatray_testutils::http_client::send_request;
use yuccatray_testutils::objects::service_objects;

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Writes a service and the objects that it refers to.
async fn declare_service(platform: &HttpPlatform) {
    for (kind, name, value) in service_objects("orders") {
        let kind = ObjectKind::from_name(kind).expect("the kind exists");
        platform.put(kind, &name, &value, Precondition::Absent).await.expect("the object is new");
    }
}

async fn start_node(name: &str, platform: SocketAddr, seeds: &[SocketAddr]) -> Node {
    let settings = loopback_settings(name, "dakar-a", platform, seeds).to_string();
    let settings = Settings::parse(&settings).expect("the settings are valid");
    Node::start(&settings).await.expect("the node starts")
}

fn order_request() -> Request<Bytes> {
    let request = Request::post("/commissions/7").header(headers::SERVICE, "orders");
    request.body(Bytes::from_static(b"cloth")).expect("the request is valid")
}

/// Sends calls until one succeeds and returns the identity of that call.
async fn first_successful_call(ingress: SocketAddr) -> String {
    loop {
        let response = send_request(ingress, order_request()).await;
        if response.status() == StatusCode::OK {
            let call_id = response.headers()[headers::CALL].to_str().expect("the call identity is text");
            return call_id.to_owned();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Runs `yuccactl` without blocking the nodes of this process.
async fn yuccactl(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yuccactl"));
    command.args(arguments);
    let task = tokio::task::spawn_blocking(move || command.output());
    task.await.expect("the task does not panic").expect("the binary runs")
}

fn text(bytes: Vec<u8>) -> String {
    String::from_utf8(bytes).expect("the output is UTF-8")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn trace_and_top_of_running_fleet() {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = PlatformStandin::start(any_port).await.expect("the platform stand-in starts");
    declare_service(&HttpPlatform::new(platform.addr, Duration::from_secs(10))).await;
    let gate = start_node("vm-gate", platform.addr, &[]).await;
    let ingress = start_node("vm-ingress", platform.addr, &[gate.addrs().peer]).await;
    let upstream = UpstreamStandin::new(10, UpstreamBehaviour::default(), 7);
    let upstream = upstream.start(any_port).await.expect("the upstream stand-in starts");
    upstream.announce(gate.addrs().announce, "orders", 10);
    let call_id = first_successful_call(ingress.addrs().ingress).await;
    let admin_addr = gate.addrs().admin.to_string();

    let trace = yuccactl(&["trace", &call_id, "--node", &admin_addr, "--output", "json"]).await;
    assert_eq!(trace.status.code(), Some(0));
    let trace: Value = serde_json::from_slice(&trace.stdout).expect("the output is JSON");
    let steps: Vec<(&str, &str)> = trace["decisions"]
        .as_array()
        .expect("decisions are a list")
        .iter()
        .map(|line| (line["node"].as_str().unwrap_or_default(), line["step"].as_str().unwrap_or_default()))
        .collect();
    assert!(steps.contains(&("vm-ingress", "sent")), "{steps:?}");
    assert!(steps.contains(&("vm-gate", "arrived")), "{steps:?}");
    assert!(steps.contains(&("vm-gate", "passed")), "{steps:?}");
    assert!(steps.contains(&("vm-ingress", "answered")), "{steps:?}");
    assert_eq!(trace["silent"], json!([]));

    let unknown_call = yuccactl(&["trace", "vm-gate.1.1", "--node", &admin_addr]).await;
    assert_eq!(unknown_call.status.code(), Some(3));
    assert_data_eq!(
        text(unknown_call.stderr),
        str![["
error: no node returned a trace of call vm-gate.1.1

"]]
    );

    let top = yuccactl(&["top", "--once", "--node", &admin_addr]).await;
    assert_eq!(top.status.code(), Some(0));
    assert_data_eq!(
        text(top.stdout),
        str![["
SERVICE  GATES  RUNNING  QUEUED  SLOTS
orders   1      0        0       10

SERVICE  PRIORITY  CALLS/S 1M  IN OBJECTIVE 1M  BURN 5M  BURNED BY
orders   urgent [..]

"]]
    );
    ingress.stop().await;
    gate.stop().await;
}
