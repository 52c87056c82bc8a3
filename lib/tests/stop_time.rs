//! How long a node takes to stop while the platform does not answer.

use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::Instant;
use yuccatray::node::Node;
use yuccatray::protocol::settings::Settings;
use yuccatray_testutils::daemon_process::loopback_settings;

const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a call to the platform, longer than the stop may take.
const PLATFORM_TIMEOUT_MS: u64 = 30_000;
/// Time beyond the shutdown timeout that a busy machine may need.
const MARGIN: Duration = Duration::from_secs(4);

#[tokio::test(flavor = "multi_thread")]
async fn stop_ends_in_time_while_platform_is_silent() {
    let platform = TcpListener::bind(("127.0.0.1", 0)).await.expect("loopback has a free port");
    let addr = platform.local_addr().expect("a listener has an address");
    let accepting = tokio::spawn(async move {
        let mut connections = Vec::new();
        while let Ok((connection, _)) = platform.accept().await {
            connections.push(connection);
        }
    });
    let mut settings = loopback_settings("vm-1", "a", addr, &[]);
    settings["platform"]["timeout_ms"] = PLATFORM_TIMEOUT_MS.into();
    settings["limits"]["shutdown_timeout_ms"] =
        u64::try_from(SHUTDOWN_TIMEOUT.as_millis()).expect("the timeout is short").into();
    let settings = Settings::parse(&settings.to_string()).expect("the settings are valid");
    let node = Node::start(&settings).await.expect("the node starts");
    tokio::time::sleep(SHUTDOWN_TIMEOUT).await;
    let started = Instant::now();
    let stopped = tokio::time::timeout(SHUTDOWN_TIMEOUT + MARGIN, node.stop()).await;
    assert!(stopped.is_ok(), "the node has not stopped after {:?}", started.elapsed());
    accepting.abort();
}
