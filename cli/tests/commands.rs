//! Compares the whole output of the `yuccactl` commands, run against a stand-in for the platform.

#![expect(clippy::needless_raw_string_hashes, reason = "the snapshot tool writes raw strings with hashes")]

use std::io::Write;
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use snapbox::assert_data_eq;
use snapbox::str;
use tempfile::NamedTempFile;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::transport::platform::Platform;
use yuccatray::transport::platform_http::HttpPlatform;
use yuccatray_standin::platform::PlatformFaults;
use yuccatray_standin::platform::PlatformStandin;
use yuccatray_standin::platform::RunningPlatform;
use yuccatray_testutils::raw_http::RawUpstream;
use yuccatray_testutils::two_nodes::TwoNodes;

const RULE: &str = r#"{ "kind": "UpstreamRule", "name": "workers", "spec": { "max_connections": 50 } }"#;
const SERVICE: &str = r#"[
  { "kind": "UpstreamRule", "name": "workers", "spec": { "max_connections": 50 } },
  { "kind": "PrioritySet", "name": "two", "spec": { "priorities": { "urgent": { "objective_ms": 100 } } } },
  { "kind": "Service", "name": "orders", "spec":
    { "priority_set": "two", "upstream_rule": "workers", "default_priority": "urgent" } },
]"#;

/// A stand-in for the platform, with methods that run `yuccactl` against it.
struct PlatformFixture {
    platform: RunningPlatform,
}

impl PlatformFixture {
    async fn start() -> Self {
        let platform = PlatformStandin::start(SocketAddr::from(([127, 0, 0, 1], 0))).await;
        Self { platform: platform.expect("the platform stand-in starts") }
    }

    fn api(&self) -> HttpPlatform {
        HttpPlatform::new(self.platform.addr, Duration::from_secs(5))
    }

    fn run(&self, arguments: &[&str]) -> String {
        run(self.platform.addr, arguments)
    }

    /// Runs `yuccactl apply` on a file with the given text.
    fn apply(&self, text: &str, arguments: &[&str]) -> String {
        let mut file = NamedTempFile::new().expect("a temporary file can be created");
        file.write_all(text.as_bytes()).expect("the object file can be written");
        let path = file.path().display().to_string();
        self.run(&[&["apply", "--file", &path], arguments].concat()).replace(&path, "FILE")
    }

    /// Sets the faults that the platform injects from now on.
    fn set_faults(&self, faults: PlatformFaults) {
        self.platform.standin.set_faults(faults);
    }

    async fn create_object(&self, kind: ObjectKind, name: &str, value: Value) {
        self.api().put(kind, name, &value, Precondition::Absent).await.expect("the object is new");
    }
}

/// Runs `yuccactl` and returns its exit code, standard output and standard error.
fn run(platform: SocketAddr, arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_yuccactl"))
        .args(["--platform", &platform.to_string(), "--request-timeout-ms", "2000"])
        .args(arguments)
        .env_remove("YUCCATRAY_PLATFORM")
        .env_remove("YUCCATRAY_NODE")
        .output()
        .expect("the command runs");
    let code = output.status.code().expect("no signal ended the process");
    let text = |bytes| String::from_utf8(bytes).expect("the output is UTF-8");
    format!("exit code {code}\n{}{}", text(output.stdout), text(output.stderr))
        .replace(&platform.to_string(), "PLATFORM")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_created_changed_unchanged() {
    let fixture = PlatformFixture::start().await;
    assert_data_eq!(
        fixture.apply(SERVICE, &["--dry-run"]),
        str![[r#"
exit code 0
UpstreamRule/workers created
PrioritySet/two created
Service/orders created

"#]]
    );
    assert_eq!(fixture.platform.standin.counts().writes, 0, "a dry run writes nothing");
    assert_data_eq!(
        fixture.apply(SERVICE, &[]),
        str![[r#"
exit code 0
UpstreamRule/workers created
PrioritySet/two created
Service/orders created

"#]]
    );
    assert_data_eq!(
        fixture.apply(&SERVICE.replace("100", "200"), &["--output", "json"]),
        str![[r#"
exit code 0
[
  {
    "kind": "UpstreamRule",
    "name": "workers",
    "outcome": "unchanged"
  },
  {
    "kind": "PrioritySet",
    "name": "two",
    "outcome": "changed"
  },
  {
    "kind": "Service",
    "name": "orders",
    "outcome": "unchanged"
  }
]

"#]]
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_invalid_objects() {
    let fixture = PlatformFixture::start().await;
    let invalid = SERVICE.replace("50", "0").replace("\"default_priority\"", "\"first_priority\"");
    assert_data_eq!(
        fixture.apply(&invalid, &[]),
        str![[r#"
exit code 2
error: 3 problem(s)
  /0/spec/max_connections: is 0; allowed is 1 or more
  /2/spec/default_priority: is missing
  /2/spec/first_priority: is no known field; allowed here: priority_set, upstream_rule, default_priority, default_timeout_ms, idempotent_methods, max_body_bytes, retry, hedge, measuring

"#]]
    );
    assert_data_eq!(
        fixture.apply(&invalid, &["--output", "json"]),
        str![[r#"
exit code 2
{"error":"3 problem(s)","exit_code":2,"problems":[{"field":"/0/spec/max_connections","problem":"is 0; allowed is 1 or more"},{"field":"/2/spec/default_priority","problem":"is missing"},{"field":"/2/spec/first_priority","problem":"is no known field; allowed here: priority_set, upstream_rule, default_priority, default_timeout_ms, idempotent_methods, max_body_bytes, retry, hedge, measuring"}],"hint":null}

"#]]
    );
    assert_data_eq!(
        fixture.run(&["apply", "--file", "no-such-file"]),
        str![[r#"
exit code 2
error: cannot read no-such-file: No such file or directory (os error 2)

"#]]
    );
    assert_eq!(fixture.platform.standin.counts().writes, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_expected_version() {
    let fixture = PlatformFixture::start().await;
    assert_data_eq!(
        fixture.apply(RULE, &["--expect-version", "0"]),
        str![[r#"
exit code 0
UpstreamRule/workers created

"#]]
    );
    assert_data_eq!(
        fixture.apply(&RULE.replace("50", "60"), &["--expect-version", "7"]),
        str![[r#"
exit code 4
error: UpstreamRule/workers: another writer changed it first
hint: it is now at version 1; get it again, then repeat the command

"#]]
    );
    assert_data_eq!(
        fixture.apply(&RULE.replace("50", "60"), &["--expect-version", "1"]),
        str![[r#"
exit code 0
UpstreamRule/workers changed

"#]]
    );
    assert_data_eq!(
        fixture.apply(SERVICE, &["--expect-version", "1"]),
        str![[r#"
exit code 2
error: --expect-version needs a file with one object, but this file has 3
hint: put each object in a file of its own and pass the version that `yuccactl get` shows

"#]]
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_lost_answer_read_back() {
    let fixture = PlatformFixture::start().await;
    fixture.set_faults(PlatformFaults { lose_answers: 1, ..PlatformFaults::default() });
    assert_data_eq!(
        fixture.apply(RULE, &[]),
        str![[r#"
exit code 0
UpstreamRule/workers created

"#]]
    );
    assert_eq!(fixture.platform.standin.counts().writes, 1, "the write was sent once");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delete_lost_answer_read_back() {
    let fixture = PlatformFixture::start().await;
    fixture.create_object(ObjectKind::UpstreamRule, "workers", json!({})).await;
    fixture.set_faults(PlatformFaults { lose_answers: 1, ..PlatformFaults::default() });
    assert_data_eq!(
        fixture.run(&["delete", "upstreamrule", "workers"]),
        str![[r#"
exit code 0
UpstreamRule/workers deleted

"#]]
    );
    assert_eq!(fixture.platform.standin.counts().writes, 2, "one write and one delete");
    assert_data_eq!(
        fixture.run(&["delete", "upstreamrule", "workers", "--output", "json"]),
        str![[r#"
exit code 3
{"error":"no UpstreamRule named /"workers/"","exit_code":3,"problems":[],"hint":"`yuccactl list UpstreamRule` lists the existing objects"}

"#]]
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_down_and_throttled() {
    let fixture = PlatformFixture::start().await;
    fixture.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    assert_data_eq!(
        fixture.run(&["list", "service"]),
        str![[r#"
exit code 1
error: the platform gave no answer: no response within 2s
hint: check that --platform (or YUCCATRAY_PLATFORM) is the address of the object API

"#]]
    );
    fixture.set_faults(PlatformFaults { max_reads_per_second: 1, ..PlatformFaults::default() });
    for _ in 0..3 {
        fixture.run(&["list", "service"]);
    }
    let throttled_requests = fixture.platform.standin.counts().throttled;
    assert!(throttled_requests > 0, "three reads in a second exceed the limit of one");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn get_list_describe() {
    let fixture = PlatformFixture::start().await;
    fixture.apply(SERVICE, &[]);
    assert_data_eq!(
        fixture.run(&["get", "UpstreamRule", "workers"]),
        str![[r#"
exit code 0
{
  "kind": "UpstreamRule",
  "name": "workers",
  "uid": "uid-1",
  "version": 1,
  "value": {
    "max_connections": 50
  }
}

"#]]
    );
    assert_data_eq!(
        fixture.run(&["list", "UpstreamRule"]),
        str![[r#"
exit code 0
NAME     VERSION
workers  1

"#]]
    );
    assert_data_eq!(
        fixture.run(&["list", "UpstreamRule", "--output", "json"]),
        str![[r#"
exit code 0
[
  {
    "kind": "UpstreamRule",
    "name": "workers",
    "uid": "uid-1",
    "version": 1,
    "value": {
      "max_connections": 50
    }
  }
]

"#]]
    );
    assert_data_eq!(
        fixture.run(&["describe", "PrioritySet", "two"]),
        str![[r#"
exit code 0
PrioritySet/two
  version 2
  spec
    priorities/urgent/objective_ms = 100
  used by
    Service/orders

"#]]
    );
    assert_data_eq!(
        fixture.run(&["describe", "Service", "orders", "--output", "json"]),
        str![[r#"
exit code 0
{
  "object": {
    "kind": "Service",
    "name": "orders",
    "uid": "uid-3",
    "version": 3,
    "value": {
      "priority_set": "two",
      "upstream_rule": "workers",
      "default_priority": "urgent"
    }
  },
  "status": null,
  "used_by": []
}

"#]]
    );
    assert_data_eq!(
        fixture.run(&["get", "Service", "quilts"]),
        str![[r#"
exit code 3
error: no Service named "quilts"
hint: `yuccactl list Service` lists the existing objects

"#]]
    );
    assert_data_eq!(
        fixture.run(&["get", "Quilt", "orders"]),
        str![[r#"
exit code 2
error: unknown kind "Quilt"
hint: the kinds are Service, PrioritySet, UpstreamRule, Published, ServiceStatus, Lease, Rendezvous, Routes, QuotaRoster, Evacuation

"#]]
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wait_rejected_and_applied() {
    let fixture = PlatformFixture::start().await;
    fixture.apply(SERVICE, &[]);
    assert_data_eq!(
        fixture.run(&["wait", "orders", "--timeout-ms", "150"]),
        str![[r#"
exit code 5
error: timed out: the latest version of Service/orders has no status yet

"#]]
    );
    let status = |accepted: bool| {
        json!({
            "observed_version": 3, "accepted": accepted, "revision": 1, "applied_nodes": 2, "known_nodes": 2,
            "applied": accepted, "ready_upstreams": 0,
            "problems": [{ "field": "/spec/priority_set", "problem": "is gone" }],
        })
    };
    fixture.create_object(ObjectKind::ServiceStatus, "orders", status(false)).await;
    assert_data_eq!(
        fixture.run(&["wait", "orders", "--timeout-ms", "150"]),
        str![[r#"
exit code 5
error: timed out: Service/orders was rejected: /spec/priority_set: is gone

"#]]
    );
    let version = Precondition::Version(4);
    let write_result = fixture.api().put(ObjectKind::ServiceStatus, "orders", &status(true), version).await;
    write_result.expect("the version of the status is current");
    assert_data_eq!(
        fixture.run(&["wait", "orders"]),
        str![[r#"
exit code 0
Service/orders revision 1

"#]]
    );
    assert_data_eq!(
        fixture.run(&["wait", "orders", "--for", "ready", "--timeout-ms", "150"]),
        str![[r#"
exit code 5
error: timed out: Service/orders is applied on 2 of 2 nodes and has 0 ready upstreams

"#]]
    );
    assert_data_eq!(
        fixture.run(&["wait", "quilts"]),
        str![[r#"
exit code 3
error: no Service named "quilts"
hint: `yuccactl list Service` lists the existing objects

"#]]
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn watch_resumed_after_interruption() {
    let fixture = PlatformFixture::start().await;
    fixture.apply(RULE, &[]);
    fixture.set_faults(PlatformFaults { break_watches: true, ..PlatformFaults::default() });
    let platform = fixture.platform.addr;
    let watch_task = tokio::task::spawn_blocking(move || {
        run(platform, &["watch", "UpstreamRule", "--count", "3", "--timeout-ms", "30000"])
    });
    while fixture.platform.standin.counts().watches == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    fixture.apply(&RULE.replace("50", "60"), &[]);
    fixture.set_faults(PlatformFaults::default());
    fixture.run(&["delete", "UpstreamRule", "workers"]);
    assert_data_eq!(
        watch_task.await.expect("the task does not panic"),
        str![[r#"
exit code 0
present workers version 1
changed workers version 2
deleted workers version 3

"#]]
    );
    assert_data_eq!(
        fixture.run(&["watch", "UpstreamRule", "--timeout-ms", "100"]),
        str![[r#"
exit code 0

"#]]
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_and_undo() {
    let upstream = RawUpstream::start("HTTP/1.1 204 No Content\r\n\r\n").await;
    let nodes = TwoNodes::start(upstream.addr, 1_000).await;
    let admin = nodes.gate_node.addrs().admin.to_string();
    let platform = nodes.platform.addr;
    assert_data_eq!(
        run(platform, &["drain", "--node", &admin]),
        str![[r#"
exit code 0
vm-1 draining, running 0

"#]]
    );
    // The upstream keeps announcing that it is not draining, which must not override the operator's drain.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let members = run(platform, &["nodes", "--node", &admin]);
    let ports: Vec<String> =
        [&nodes.gate_node, &nodes.ingress_node].map(|node| node.addrs().ingress.to_string()).into();
    assert_data_eq!(
        members.replace(&ports[0], "ADDR").replace(&ports[1], "ADDR"),
        str![[r#"
exit code 0
NAME  STATE  ZONE  SERVICE  SLOTS  DRAINING  INGRESS
vm-1  alive  a     orders   4      yes       ADDR
vm-2  alive  a     -        0      no        ADDR

"#]]
    );
    assert_data_eq!(
        run(platform, &["drain", "--undo", "--node", &admin, "--output", "json"]),
        str![[r#"
exit code 0
{
  "node": "vm-1",
  "draining": false,
  "running": 0
}

"#]]
    );
    assert_data_eq!(
        run(platform, &["drain", "--node", &platform.to_string()]),
        str![[r#"
exit code 1
error: node at PLATFORM returned no report: expected ident at line 1 column 2
hint: check that --node (or YUCCATRAY_NODE) is the admin address of a node

"#]]
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_and_completions() {
    let fixture = PlatformFixture::start().await;
    let version = env!("CARGO_PKG_VERSION");
    assert_eq!(fixture.run(&["version"]), format!("exit code 0\nyuccactl {version}\n"));
    assert_data_eq!(
        fixture.run(&["version", "--output", "json"]).replace(version, "VERSION"),
        str![[r#"
exit code 0
{
  "yuccactl": "VERSION"
}

"#]]
    );
    for shell in ["bash", "zsh", "fish"] {
        let script = fixture.run(&["completions", shell]);
        assert!(script.starts_with("exit code 0\n"), "{shell}");
        assert!(script.contains("describe") && script.contains("yuccactl"), "{shell}");
    }
}
