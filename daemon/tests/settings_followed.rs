//! The settings file changes while the node runs, with a signal and without one.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::Stdio;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::Value;
use tempfile::NamedTempFile;
use yuccatray_testutils::daemon_process::loopback_settings;

/// A node whose output the test reads, killed when dropped.
struct Watched {
    child: Child,
    lines: BufReader<ChildStdout>,
    file: NamedTempFile,
}

impl Watched {
    fn start(settings: &Value) -> Self {
        let file = NamedTempFile::new().expect("a temporary file can be made");
        std::fs::write(file.path(), settings.to_string()).expect("the settings can be written");
        let mut child = Command::new(Path::new(env!("CARGO_BIN_EXE_yuccatrayd")))
            .env("YUCCATRAY_SETTINGS", file.path())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the node starts");
        let lines = BufReader::new(child.stdout.take().expect("standard output is piped"));
        let mut watched = Self { child, lines, file };
        watched.until("ready ");
        watched
    }

    /// Reads on until a line with the text.
    fn until(&mut self, text: &str) -> String {
        let mut line = String::new();
        loop {
            line.clear();
            let read = self.lines.read_line(&mut line).expect("standard output is text");
            assert!(read > 0, "the node ended before it wrote {text:?}");
            if line.contains(text) {
                return line;
            }
        }
    }

    fn write(&self, text: &str) {
        std::fs::write(self.file.path(), text).expect("the settings can be written");
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id fits");
        kill(Pid::from_raw(pid), signal).expect("the process takes the signal");
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        // It may have ended already.
        let _killed = self.child.kill();
        let _reaped = self.child.wait();
    }
}

fn settings() -> Value {
    loopback_settings("vm-1", "a", SocketAddr::from(([127, 0, 0, 1], 9)), &[])
}

#[test]
fn hangup_settings_reloaded_and_the_rest_said() {
    let mut node = Watched::start(&settings());
    let mut next = settings();
    next["log"] = serde_json::json!({ "level": "debug" });
    next["gossip"] = serde_json::json!({ "interval_ms": 400 });
    node.write(&next.to_string());
    node.signal(Signal::SIGHUP);
    let line = node.until("settings reloaded");
    assert!(line.contains("live=log after_restart=gossip"), "{line}");
    node.signal(Signal::SIGHUP);
    node.until("settings unchanged");
}

#[test]
fn file_changed_without_a_signal_noticed() {
    let mut node = Watched::start(&settings());
    let mut next = settings();
    next["node"]["zone"] = "b".into();
    node.write(&next.to_string());
    let line = node.until("settings reloaded");
    assert!(line.contains("cause=file") && line.contains("after_restart=node"), "{line}");
}

#[test]
fn settings_wrong_refused_and_the_node_goes_on() {
    let mut node = Watched::start(&settings());
    node.write("{ \"node\": 7 }");
    node.signal(Signal::SIGHUP);
    node.until("settings refused, going on");
    node.write(&settings().to_string());
    node.signal(Signal::SIGHUP);
    let line = node.until("settings reloaded");
    assert!(line.contains("after_restart=nothing"), "{line}");
}
