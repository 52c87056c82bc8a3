//! Compares the whole output of the `yuccatrayd` binary when it checks or prints settings.

#![expect(clippy::needless_raw_string_hashes, reason = "the snapshot tool writes raw strings with hashes")]

use std::io::Write;
use std::process::Command;

use serde_json::Value;
use snapbox::assert_data_eq;
use snapbox::str;
use tempfile::NamedTempFile;
use yuccatray::protocol::checked_json::parse_jsonc;
use yuccatray::protocol::settings::Settings;

const ONLY_REQUIRED: &str = r#"{
  "node": { "name": "vm-1", "region": "dakar", "zone": "dakar-a" },
  "listen": {
    "ingress_addr": "127.0.0.1:7001", "peer_addr": "127.0.0.1:7101",
    "announce_addr": "127.0.0.1:7201", "admin_addr": "127.0.0.1:7301",
  },
  "platform": { "addr": "127.0.0.1:7800" },
}"#;

/// Checks a settings file with the given text and returns the exit code and output.
fn check(text: &str) -> String {
    let mut file = NamedTempFile::new().expect("a temporary file can be created");
    file.write_all(text.as_bytes()).expect("the settings file can be written");
    let path = file.path().display().to_string();
    run(&["--check", "--settings", &path]).replace(&path, "FILE")
}

/// Runs `yuccatrayd` and returns its exit code, standard output and standard error.
fn run(arguments: &[&str]) -> String {
    let output =
        Command::new(env!("CARGO_BIN_EXE_yuccatrayd")).args(arguments).output().expect("the node runs");
    let code = output.status.code().expect("no signal ended the process");
    let text = |bytes| String::from_utf8(bytes).expect("the output is UTF-8");
    format!("exit code {code}\n{}{}", text(output.stdout), text(output.stderr))
}

#[test]
fn check_valid_settings() {
    assert_data_eq!(
        check(ONLY_REQUIRED),
        str![[r#"
exit code 0
FILE: settings are valid

"#]]
    );
}

#[test]
fn check_reports_every_problem() {
    let text = r#"{
  "node": { "name": "vm 1", "region": "", "zone": "dakar-a", "rack": 7 },
  "listen": { "ingress_addr": "localhost:7001", "peer_addr": "127.0.0.1", "admin_addr": 7301 },
  "seeds": ["10.0.0.1:7101", "nowhere"],
  "platform": { "addr": "127.0.0.1:7800", "timeout_ms": 1 },
  "limits": { "max_replay_bytes": 99999999, "max_caller_connections": "many" },
  "log": { "level": "loud" },
  "colour": true,
}"#;
    assert_data_eq!(
        check(text),
        str![[r#"
exit code 2
error: FILE: 13 problem(s)
  /node/name: is "vm 1"; allowed is what matches ^[a-zA-Z0-9-]{1,63}$
  /node/region: is ""; allowed are 1 characters or more
  /node/rack: is no known field; allowed here: name, region, zone
  /listen/announce_addr: is missing
  /listen/ingress_addr: is "localhost:7001"; allowed is an IP number with a port, as in "127.0.0.1:7001"
  /listen/peer_addr: is "127.0.0.1"; allowed is an IP number with a port, as in "127.0.0.1:7001"
  /listen/admin_addr: is 7301; allowed is string
  /seeds/1: is "nowhere"; allowed is an IP number with a port, as in "127.0.0.1:7001"
  /platform/timeout_ms: is 1; allowed is 10 or more
  /limits/max_replay_bytes: is 99999999; allowed is 16777216 or less
  /limits/max_caller_connections: is "many"; allowed is integer
  /log/level: is "loud"; allowed is one of "error", "warn", "info", "debug", "trace"
  /colour: is no known field; allowed here: node, listen, seeds, platform, dialect, upstream, limits, gossip, peer_security, process, overload, log
hint: `yuccatrayd --print-defaults` shows every setting with its default

"#]]
    );
}

#[test]
fn check_announce_addr_not_loopback() {
    let text = ONLY_REQUIRED.replace("127.0.0.1:7201", "10.0.0.1:7201");
    assert_data_eq!(
        check(&text),
        str![[r#"
exit code 2
error: FILE: 1 problem(s)
  /listen/announce_addr: has to be a loopback address, since only the upstream beside the node may announce
hint: `yuccatrayd --print-defaults` shows every setting with its default

"#]]
    );
}

#[test]
fn check_duplicate_keys() {
    let text = ONLY_REQUIRED.replace(r#""zone": "dakar-a""#, r#""zone": "dakar-a", "zone": "dakar-b""#);
    let text = text.replace(r#""platform""#, r#""seeds": [], "seeds": [], "platform""#);
    assert_data_eq!(
        check(&text),
        str![[r#"
exit code 2
error: FILE: 2 problem(s)
  /node/zone: stands twice; allowed is one value
  /seeds: stands twice; allowed is one value
hint: `yuccatrayd --print-defaults` shows every setting with its default

"#]]
    );
}

#[test]
fn check_broken_syntax() {
    assert_data_eq!(
        check("{ \"node\": "),
        str![[r#"
exit code 2
error: FILE: not JSON with comments: Expected value after colon in object property on line 1 column 11
hint: `yuccatrayd --print-defaults` shows every setting with its default

"#]]
    );
}

#[test]
fn check_empty_file() {
    assert_data_eq!(
        check("// nothing\n"),
        str![[r#"
exit code 2
error: FILE: the file holds no value
hint: `yuccatrayd --print-defaults` shows every setting with its default

"#]]
    );
}

#[test]
fn check_missing_file() {
    assert_data_eq!(
        run(&["--check", "--settings", "no-such-file"]),
        str![[r#"
exit code 2
error: no-such-file: cannot read no-such-file: No such file or directory (os error 2)
hint: `yuccatrayd --print-defaults` shows every setting with its default

"#]]
    );
}

#[test]
fn print_defaults_match_code() {
    let printed = run(&["--print-defaults"]);
    let printed = printed.strip_prefix("exit code 0\n").expect("printing succeeds");
    let settings = Settings::parse(printed).expect("the printed settings are valid");
    assert_eq!(settings, Settings::parse(ONLY_REQUIRED).expect("the settings are valid"));
    let with_defaults: Value = serde_json::to_value(&settings).expect("the settings can be serialized");
    assert_eq!(
        parse_jsonc(printed).expect("the output is JSON with comments"),
        with_defaults,
        "every field is printed"
    );
}
