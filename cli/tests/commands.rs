//! Every command by the real binary against the platform's stand-in, in whole output.

#![expect(clippy::needless_raw_string_hashes, reason = "the snapshot tool writes strings so")]

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

/// The platform and a way to run the command line against it.
struct Bench {
    platform: RunningPlatform,
}

impl Bench {
    async fn start() -> Self {
        let platform = PlatformStandin::start(SocketAddr::from(([127, 0, 0, 1], 0))).await;
        Self { platform: platform.expect("the platform listens") }
    }

    fn api(&self) -> HttpPlatform {
        HttpPlatform::new(self.platform.addr, Duration::from_secs(5))
    }

    fn run(&self, words: &[&str]) -> String {
        run(self.platform.addr, words)
    }

    fn apply(&self, text: &str, words: &[&str]) -> String {
        let mut file = NamedTempFile::new().expect("a temporary file can be made");
        file.write_all(text.as_bytes()).expect("the objects can be written");
        let path = file.path().display().to_string();
        self.run(&[&["apply", "--file", &path], words].concat()).replace(&path, "FILE")
    }

    fn fail(&self, faults: PlatformFaults) {
        self.platform.standin.set_faults(faults);
    }

    async fn write(&self, kind: ObjectKind, name: &str, value: Value) {
        self.api().put(kind, name, &value, Precondition::Absent).await.expect("the object is new");
    }
}

/// Exit code, standard output and standard error of one command.
fn run(platform: SocketAddr, words: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_yuccactl"))
        .args(["--platform", &platform.to_string(), "--request-timeout-ms", "2000"])
        .args(words)
        .env_remove("YUCCATRAY_PLATFORM")
        .env_remove("YUCCATRAY_NODE")
        .output()
        .expect("the command runs");
    let code = output.status.code().expect("no signal ends it");
    let text = |bytes| String::from_utf8(bytes).expect("output is text");
    format!("exit code {code}\n{}{}", text(output.stdout), text(output.stderr))
        .replace(&platform.to_string(), "PLATFORM")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_creates_changes_and_leaves() {
    let bench = Bench::start().await;
    assert_data_eq!(
        bench.apply(SERVICE, &["--dry-run"]),
        str![[r#"
exit code 0
UpstreamRule/workers created
PrioritySet/two created
Service/orders created

"#]]
    );
    assert_eq!(bench.platform.standin.counts().writes, 0, "a dry run writes nothing");
    assert_data_eq!(
        bench.apply(SERVICE, &[]),
        str![[r#"
exit code 0
UpstreamRule/workers created
PrioritySet/two created
Service/orders created

"#]]
    );
    assert_data_eq!(
        bench.apply(&SERVICE.replace("100", "200"), &["--output", "json"]),
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
async fn apply_wrong_objects() {
    let bench = Bench::start().await;
    let wrong = SERVICE.replace("50", "0").replace("\"default_priority\"", "\"first_priority\"");
    assert_data_eq!(
        bench.apply(&wrong, &[]),
        str![[r#"
exit code 2
error: 3 problem(s)
  /0/spec/max_connections: is 0; allowed is 1 or more
  /2/spec/default_priority: is missing
  /2/spec/first_priority: is no known field; allowed here: priority_set, upstream_rule, default_priority, default_timeout_ms, idempotent_methods, max_body_bytes, retry, hedge, measuring

"#]]
    );
    assert_data_eq!(
        bench.apply(&wrong, &["--output", "json"]),
        str![[r#"
exit code 2
{"error":"3 problem(s)","exit_code":2,"problems":[{"field":"/0/spec/max_connections","problem":"is 0; allowed is 1 or more"},{"field":"/2/spec/default_priority","problem":"is missing"},{"field":"/2/spec/first_priority","problem":"is no known field; allowed here: priority_set, upstream_rule, default_priority, default_timeout_ms, idempotent_methods, max_body_bytes, retry, hedge, measuring"}],"hint":null}

"#]]
    );
    assert_data_eq!(
        bench.run(&["apply", "--file", "no-such-file"]),
        str![[r#"
exit code 2
error: cannot read no-such-file: No such file or directory (os error 2)

"#]]
    );
    assert_eq!(bench.platform.standin.counts().writes, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_expected_version() {
    let bench = Bench::start().await;
    assert_data_eq!(
        bench.apply(RULE, &["--expect-version", "0"]),
        str![[r#"
exit code 0
UpstreamRule/workers created

"#]]
    );
    assert_data_eq!(
        bench.apply(&RULE.replace("50", "60"), &["--expect-version", "7"]),
        str![[r#"
exit code 4
error: UpstreamRule/workers: somebody else changed it first
hint: it is now at version 1; read it again, then apply again

"#]]
    );
    assert_data_eq!(
        bench.apply(&RULE.replace("50", "60"), &["--expect-version", "1"]),
        str![[r#"
exit code 0
UpstreamRule/workers changed

"#]]
    );
    assert_data_eq!(
        bench.apply(SERVICE, &["--expect-version", "1"]),
        str![[r#"
exit code 2
error: --expect-version goes with one object, and the file has 3
hint: apply the objects one by one, each with the version that `yuccactl get` shows

"#]]
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_lost_answer_read_back() {
    let bench = Bench::start().await;
    bench.fail(PlatformFaults { lose_answers: 1, ..PlatformFaults::default() });
    assert_data_eq!(
        bench.apply(RULE, &[]),
        str![[r#"
exit code 0
UpstreamRule/workers created

"#]]
    );
    assert_eq!(bench.platform.standin.counts().writes, 1, "nothing was written twice");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delete_lost_answer_read_back() {
    let bench = Bench::start().await;
    bench.write(ObjectKind::UpstreamRule, "workers", json!({})).await;
    bench.fail(PlatformFaults { lose_answers: 1, ..PlatformFaults::default() });
    assert_data_eq!(
        bench.run(&["delete", "upstreamrule", "workers"]),
        str![[r#"
exit code 0
UpstreamRule/workers deleted

"#]]
    );
    assert_eq!(bench.platform.standin.counts().writes, 2, "one write and one delete");
    assert_data_eq!(
        bench.run(&["delete", "upstreamrule", "workers", "--output", "json"]),
        str![[r#"
exit code 3
{"error":"no UpstreamRule named /"workers/"","exit_code":3,"problems":[],"hint":"`yuccactl list UpstreamRule` shows what there is"}

"#]]
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_down_and_throttled() {
    let bench = Bench::start().await;
    bench.fail(PlatformFaults { down: true, ..PlatformFaults::default() });
    assert_data_eq!(
        bench.run(&["list", "service"]),
        str![[r#"
exit code 1
error: the platform gave no answer: nothing within 2s
hint: is --platform (or YUCCATRAY_PLATFORM) the address of the object API?

"#]]
    );
    bench.fail(PlatformFaults { max_reads_per_second: 1, ..PlatformFaults::default() });
    for _ in 0..3 {
        bench.run(&["list", "service"]);
    }
    let refused = bench.platform.standin.counts().throttled;
    assert!(refused > 0, "three reads in a second are above one");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn get_list_describe() {
    let bench = Bench::start().await;
    bench.apply(SERVICE, &[]);
    assert_data_eq!(
        bench.run(&["get", "UpstreamRule", "workers"]),
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
        bench.run(&["list", "UpstreamRule"]),
        str![[r#"
exit code 0
NAME     VERSION
workers  1

"#]]
    );
    assert_data_eq!(
        bench.run(&["list", "UpstreamRule", "--output", "json"]),
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
        bench.run(&["describe", "PrioritySet", "two"]),
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
        bench.run(&["describe", "Service", "orders", "--output", "json"]),
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
        bench.run(&["get", "Service", "quilts"]),
        str![[r#"
exit code 3
error: no Service named "quilts"
hint: `yuccactl list Service` shows what there is

"#]]
    );
    assert_data_eq!(
        bench.run(&["get", "Quilt", "orders"]),
        str![[r#"
exit code 2
error: no kind named "Quilt"
hint: the kinds are Service, PrioritySet, UpstreamRule, Published, ServiceStatus, Lease, Rendezvous, Routes

"#]]
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wait_refused_and_applied() {
    let bench = Bench::start().await;
    bench.apply(SERVICE, &[]);
    assert_data_eq!(
        bench.run(&["wait", "orders", "--timeout-ms", "150"]),
        str![[r#"
exit code 5
error: timed out: nothing is known of the latest version of Service/orders

"#]]
    );
    let status = |accepted: bool| {
        json!({
            "observed_version": 3, "accepted": accepted, "revision": 1, "applied_nodes": 2, "known_nodes": 2,
            "applied": accepted, "ready_upstreams": 0,
            "problems": [{ "field": "/spec/priority_set", "problem": "is gone" }],
        })
    };
    bench.write(ObjectKind::ServiceStatus, "orders", status(false)).await;
    assert_data_eq!(
        bench.run(&["wait", "orders", "--timeout-ms", "150"]),
        str![[r#"
exit code 5
error: timed out: Service/orders was refused: /spec/priority_set: is gone

"#]]
    );
    let version = Precondition::Version(4);
    let written = bench.api().put(ObjectKind::ServiceStatus, "orders", &status(true), version).await;
    written.expect("nobody else writes here");
    assert_data_eq!(
        bench.run(&["wait", "orders"]),
        str![[r#"
exit code 0
Service/orders revision 1

"#]]
    );
    assert_data_eq!(
        bench.run(&["wait", "orders", "--for", "ready", "--timeout-ms", "150"]),
        str![[r#"
exit code 5
error: timed out: Service/orders is applied on 2 of 2 nodes and has 0 ready upstreams

"#]]
    );
    assert_data_eq!(
        bench.run(&["wait", "quilts"]),
        str![[r#"
exit code 3
error: no Service named "quilts"
hint: `yuccactl list Service` shows what there is

"#]]
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn watch_through_broken_watches() {
    let bench = Bench::start().await;
    bench.apply(RULE, &[]);
    bench.fail(PlatformFaults { break_watches: true, ..PlatformFaults::default() });
    let platform = bench.platform.addr;
    let watching = tokio::task::spawn_blocking(move || {
        run(platform, &["watch", "UpstreamRule", "--count", "3", "--timeout-ms", "30000"])
    });
    while bench.platform.standin.counts().watches == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    bench.apply(&RULE.replace("50", "60"), &[]);
    bench.fail(PlatformFaults::default());
    bench.run(&["delete", "UpstreamRule", "workers"]);
    assert_data_eq!(
        watching.await.expect("no panic"),
        str![[r#"
exit code 0
present workers version 1
changed workers version 2
deleted workers version 3

"#]]
    );
    assert_data_eq!(
        bench.run(&["watch", "UpstreamRule", "--timeout-ms", "100"]),
        str![[r#"
exit code 0

"#]]
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_and_undo() {
    let upstream = RawUpstream::start("HTTP/1.1 204 No Content\r\n\r\n").await;
    let nodes = TwoNodes::start(upstream.addr, 1_000).await;
    let admin = nodes.beside.addrs().admin.to_string();
    let platform = nodes.platform.addr;
    assert_data_eq!(
        run(platform, &["drain", "--node", &admin]),
        str![[r#"
exit code 0
vm-1 draining, running 0

"#]]
    );
    // The upstream goes on announcing that it takes work; the order stands.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let seen = run(platform, &["nodes", "--node", &admin]);
    let ports: Vec<String> = [&nodes.beside, &nodes.far].map(|node| node.addrs().ingress.to_string()).into();
    assert_data_eq!(
        seen.replace(&ports[0], "ADDR").replace(&ports[1], "ADDR"),
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
error: node at PLATFORM gave no report: expected ident at line 1 column 2
hint: is --node (or YUCCATRAY_NODE) the admin address of a node?

"#]]
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_and_completions() {
    let bench = Bench::start().await;
    let version = env!("CARGO_PKG_VERSION");
    assert_eq!(bench.run(&["version"]), format!("exit code 0\nyuccactl {version}\n"));
    assert_data_eq!(
        bench.run(&["version", "--output", "json"]).replace(version, "VERSION"),
        str![[r#"
exit code 0
{
  "yuccactl": "VERSION"
}

"#]]
    );
    for shell in ["bash", "zsh", "fish"] {
        let script = bench.run(&["completions", shell]);
        assert!(script.starts_with("exit code 0\n"), "{shell}");
        assert!(script.contains("describe") && script.contains("yuccactl"), "{shell}");
    }
}
