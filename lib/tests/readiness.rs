//! Liveness and readiness of a node from its start to its stop.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use tokio::sync::oneshot;
use yuccatray::node::Node;
use yuccatray::protocol::headers;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::protocol::settings::Settings;
use yuccatray::transport::admin_server::DRAINING_PATH;
use yuccatray::transport::admin_server::NodeReport;
use yuccatray::transport::platform::Platform;
use yuccatray::transport::platform_http::HttpPlatform;
use yuccatray_standin::platform::PlatformStandin;
use yuccatray_standin::upstream::UpstreamBehaviour;
use yuccatray_standin::upstream::UpstreamStandin;
use yuccatray_testutils::daemon_process::loopback_settings;
use yuccatray_testutils::fleet::node_report;
use yuccatray_testutils::http_client::send_request;
use yuccatray_testutils::objects::service_objects;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn probe(admin: SocketAddr, target: &str) -> (StatusCode, String) {
    let request = Request::get(target).body(Bytes::new()).expect("the request is valid");
    let answer = send_request(admin, request).await;
    (answer.status(), String::from_utf8_lossy(answer.body()).into_owned())
}

async fn wait_until_ready(admin: SocketAddr) {
    while probe(admin, "/readyz").await.0 != StatusCode::OK {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn declare_service(platform: &HttpPlatform) {
    for (kind, name, value) in service_objects("orders") {
        let kind = ObjectKind::from_name(kind).expect("the kind exists");
        platform.put(kind, &name, &value, Precondition::Absent).await.expect("the object is new");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn readyz_from_start_to_stop() {
    let platform = PlatformStandin::start(any_port()).await.expect("the platform starts");
    let settings = loopback_settings("vm-1", "dakar-a", platform.addr, &[]).to_string();
    let node = Node::start(&Settings::parse(&settings).expect("the settings are valid")).await;
    let node = node.expect("the node starts");
    let addrs = node.addrs();
    let not_ready = (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n".to_owned());
    assert_eq!(probe(addrs.admin, "/readyz").await, not_ready);
    assert_eq!(probe(addrs.admin, "/livez").await, (StatusCode::OK, "alive\n".to_owned()));

    declare_service(&HttpPlatform::new(platform.addr, Duration::from_secs(10))).await;
    wait_until_ready(addrs.admin).await;

    let behaviour = UpstreamBehaviour { mean_service_us: 2_000_000, ..UpstreamBehaviour::default() };
    let upstream = UpstreamStandin::new(1, behaviour, 7);
    let upstream = upstream.start(any_port()).await.expect("the upstream starts");
    upstream.announce(addrs.announce, "orders", 1);
    let (stopped_sender, stopped_receiver) = oneshot::channel();
    let call = tokio::spawn(call_until_executed(addrs.ingress));
    while upstream.standin.executions().is_empty() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let stop = tokio::spawn(async move {
        let shutdown = node.stop().await;
        assert!(stopped_sender.send(()).is_ok(), "the test keeps the receiver");
        shutdown
    });
    while probe(addrs.admin, "/readyz").await.1 != "stopping\n" {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert_eq!(probe(addrs.admin, "/livez").await.0, StatusCode::OK);
    assert_eq!(call.await.expect("the call does not panic"), StatusCode::OK);
    stopped_receiver.await.expect("the node stops");
    let shutdown = stop.await.expect("the node stops");
    assert!(shutdown.callers_finished && shutdown.peers_finished);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_of_stop_not_ended_by_operator() {
    let platform = PlatformStandin::start(any_port()).await.expect("the platform starts");
    let settings = loopback_settings("vm-1", "dakar-a", platform.addr, &[]).to_string();
    let node = Node::start(&Settings::parse(&settings).expect("the settings are valid")).await;
    let node = node.expect("the node starts");
    let addrs = node.addrs();
    declare_service(&HttpPlatform::new(platform.addr, Duration::from_secs(10))).await;
    wait_until_ready(addrs.admin).await;
    let behaviour = UpstreamBehaviour { mean_service_us: 2_000_000, ..UpstreamBehaviour::default() };
    let upstream = UpstreamStandin::new(1, behaviour, 7);
    let upstream = upstream.start(any_port()).await.expect("the upstream starts");
    upstream.announce(addrs.announce, "orders", 1);
    let call = tokio::spawn(call_until_executed(addrs.ingress));
    while upstream.standin.executions().is_empty() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert!(request_draining(addrs.admin, Method::PUT).await);
    assert!(!request_draining(addrs.admin, Method::DELETE).await);
    let stop = tokio::spawn(node.stop());
    while !node_report(addrs.admin).await.draining {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert!(request_draining(addrs.admin, Method::DELETE).await, "the stop still drains the upstream");
    assert_eq!(call.await.expect("the call does not panic"), StatusCode::OK);
    let shutdown = stop.await.expect("the node stops");
    assert!(shutdown.callers_finished && shutdown.peers_finished);
}

/// Sends a request about the draining of a node's upstream and returns whether it is drained afterwards.
async fn request_draining(admin: SocketAddr, method: Method) -> bool {
    let request = Request::builder().method(method).uri(DRAINING_PATH).body(Bytes::new());
    let answer = send_request(admin, request.expect("the request is valid")).await;
    let report: NodeReport = serde_json::from_slice(answer.body()).expect("the report is JSON");
    report.draining
}

/// Repeats a call until an upstream executes it; returns the status of its answer.
async fn call_until_executed(ingress: SocketAddr) -> StatusCode {
    loop {
        let request = Request::post("/").header(headers::SERVICE, "orders").body(Bytes::new());
        let answer = send_request(ingress, request.expect("the request is valid")).await;
        if !answer.headers().contains_key(headers::ERROR) {
            return answer.status();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
