//! Tests the exit codes and the output of the `yuccatray-burn` binary.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Command;
use std::process::Output;
use std::time::Duration;

use serde_json::Value;
use snapbox::assert_data_eq;
use yuccatray::node::Node;
use yuccatray::protocol::settings::Settings;
use yuccatray::transport::admin_client::read_report;
use yuccatray::transport::admin_server::NodeReport;
use yuccatray_standin::platform::PlatformStandin;
use yuccatray_testutils::daemon_process::loopback_settings;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const TIMEOUT: Duration = Duration::from_secs(10);

async fn run_burn(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yuccatray-burn"));
    command.args(arguments);
    let output = tokio::task::spawn_blocking(move || command.output());
    output.await.expect("the task does not panic").expect("the binary runs")
}

async fn start_node(name: &str, platform: SocketAddr, seeds: &[SocketAddr]) -> Node {
    let settings = loopback_settings(name, "dakar-a", platform, seeds).to_string();
    let settings = Settings::parse(&settings).expect("the settings are valid");
    Node::start(&settings).await.expect("the node starts")
}

async fn wait_for_members(admin: SocketAddr, count: usize) {
    loop {
        let report: NodeReport = read_report(admin, "/v1/node", TIMEOUT).await.expect("the node answers");
        if report.members.len() == count {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test]
async fn burn_no_node_fails_with_hint() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("a listener has an address");
    drop(listener);
    let output = run_burn(&["--node", &addr.to_string()]).await;
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).expect("stderr is UTF-8").replace(&addr.to_string(), "ADDR");
    assert_data_eq!(
        text,
        "error: cannot read the list of members from the node at ADDR: cannot connect: \
         Connection refused (os error 111)\n\
         hint: --node (or YUCCATRAY_NODE) is the admin address of any node of the fleet\n"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn burn_check_missing_node_exit_code() {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = PlatformStandin::start(any_port).await.expect("the platform starts");
    let first = start_node("vm-1", platform.addr, &[]).await;
    let second = start_node("vm-2", platform.addr, &[first.addrs().peer]).await;
    let admin = first.addrs().admin;
    wait_for_members(admin, 2).await;
    let node = admin.to_string();
    let complete = run_burn(&["--node", &node, "--check"]).await;
    assert_eq!(complete.status.code(), Some(0));

    second.stop().await;
    let partial = run_burn(&["--node", &node, "--check", "--output", "json"]).await;
    assert_eq!(partial.status.code(), Some(4));
    let partial: Value = serde_json::from_slice(&partial.stdout).expect("stdout is JSON");
    assert_eq!(partial["missing"][0]["node"], "vm-2");
    assert_eq!(partial["nodes"][0]["node"], "vm-1");
    first.stop().await;
}
