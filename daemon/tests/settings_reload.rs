//! Reloading of the settings file while the node runs, on SIGHUP and by the periodic check.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::Stdio;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::sys::stat::Mode;
use nix::unistd::Pid;
use nix::unistd::mkfifo;
use serde_json::Value;
use tempfile::NamedTempFile;
use tempfile::TempDir;
use yuccatray_testutils::daemon_process::loopback_settings;

/// A node process whose log the test reads; killed when dropped.
struct NodeProcess {
    child: Child,
    lines: BufReader<ChildStdout>,
    settings_file: NamedTempFile,
}

impl NodeProcess {
    /// Starts a node and waits until it is ready.
    fn start(settings: &Value) -> Self {
        let settings_file = NamedTempFile::new().expect("a temporary file can be created");
        std::fs::write(settings_file.path(), settings.to_string()).expect("the settings file can be written");
        let mut child = Command::new(Path::new(env!("CARGO_BIN_EXE_yuccatrayd")))
            .env("YUCCATRAY_SETTINGS", settings_file.path())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the node starts");
        let lines = BufReader::new(child.stdout.take().expect("standard output is piped"));
        let mut node_process = Self { child, lines, settings_file };
        node_process.wait_for_line("ready ");
        node_process
    }

    /// Reads standard output up to the next line that contains the text, and returns that line.
    fn wait_for_line(&mut self, text: &str) -> String {
        let mut line = String::new();
        loop {
            line.clear();
            let read_bytes = self.lines.read_line(&mut line).expect("standard output is UTF-8");
            assert!(read_bytes > 0, "the node ended before it wrote {text:?}");
            if line.contains(text) {
                return line;
            }
        }
    }

    fn write_settings(&self, text: &str) {
        std::fs::write(self.settings_file.path(), text).expect("the settings file can be written");
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id fits");
        kill(Pid::from_raw(pid), signal).expect("the signal can be sent");
    }
}

/// A node process that waits for its settings, which come through a named pipe; killed when dropped.
struct StartingProcess {
    child: Child,
    pipe: Option<File>,
    settings_path: PathBuf,
    _folder: TempDir,
}

impl StartingProcess {
    /// Starts a node and waits until it reads its settings.
    fn start() -> Self {
        let folder = TempDir::new().expect("a temporary folder can be created");
        let settings_path = folder.path().join("settings.jsonc");
        mkfifo(&settings_path, Mode::S_IRWXU).expect("a named pipe can be created");
        let child = Command::new(Path::new(env!("CARGO_BIN_EXE_yuccatrayd")))
            .env("YUCCATRAY_SETTINGS", &settings_path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the node starts");
        // Opening a pipe to write waits until the node has opened it to read.
        let pipe = File::options().write(true).open(&settings_path).expect("the pipe can be opened");
        Self { child, pipe: Some(pipe), settings_path, _folder: folder }
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id fits");
        kill(Pid::from_raw(pid), signal).expect("the signal can be sent");
    }

    /// Puts a settings file in the place of the pipe and hands the settings to the node through the pipe.
    ///
    /// The file holds `next_settings`.
    fn hand_over_settings(&mut self, settings: &Value, next_settings: &Value) {
        let next_path = self.settings_path.with_extension("next");
        std::fs::write(&next_path, next_settings.to_string()).expect("the settings file can be written");
        std::fs::rename(&next_path, &self.settings_path).expect("the settings file can be renamed");
        let mut pipe = self.pipe.take().expect("the settings are handed over once");
        pipe.write_all(settings.to_string().as_bytes()).expect("the node reads its settings");
    }

    /// Returns the output of the node up to its end, and its exit code.
    fn output(&mut self) -> (String, Option<i32>) {
        let mut output = String::new();
        let mut stdout = self.child.stdout.take().expect("standard output is piped");
        stdout.read_to_string(&mut output).expect("standard output is UTF-8");
        let status = self.child.wait().expect("the process can be waited for");
        (output, status.code())
    }

    /// Returns the first line of the output that contains the text.
    fn line_with(&mut self, text: &str) -> String {
        let stdout = self.child.stdout.take().expect("standard output is piped");
        let mut lines = BufReader::new(stdout).lines().map(|line| line.expect("standard output is UTF-8"));
        lines.find(|line| line.contains(text)).unwrap_or_else(|| panic!("no line with {text:?}"))
    }
}

impl Drop for StartingProcess {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _killed = self.child.kill();
        let _reaped = self.child.wait();
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _killed = self.child.kill();
        let _reaped = self.child.wait();
    }
}

fn settings() -> Value {
    loopback_settings("vm-1", "a", SocketAddr::from(([127, 0, 0, 1], 9)), &[])
}

#[test]
fn sighup_applies_log_section_and_lists_sections_that_need_restart() {
    let mut node = NodeProcess::start(&settings());
    let mut next = settings();
    next["log"] = serde_json::json!({ "level": "debug" });
    next["gossip"] = serde_json::json!({ "interval_ms": 400 });
    node.write_settings(&next.to_string());
    node.signal(Signal::SIGHUP);
    let line = node.wait_for_line("settings reloaded");
    assert!(line.contains("live=log after_restart=gossip"), "{line}");
    node.signal(Signal::SIGHUP);
    node.wait_for_line("settings unchanged");
}

#[test]
fn file_change_detected_without_signal() {
    let mut node = NodeProcess::start(&settings());
    let mut next = settings();
    next["node"]["zone"] = "b".into();
    node.write_settings(&next.to_string());
    let line = node.wait_for_line("settings reloaded");
    assert!(line.contains("cause=file") && line.contains("after_restart=node"), "{line}");
}

#[test]
fn invalid_settings_rejected_and_node_keeps_running() {
    let mut node = NodeProcess::start(&settings());
    node.write_settings("{ \"node\": 7 }");
    node.signal(Signal::SIGHUP);
    node.wait_for_line("invalid settings rejected, keeping the current ones");
    node.write_settings(&settings().to_string());
    node.signal(Signal::SIGHUP);
    // The text differs from that of the rejected file, so it is reloaded although no setting changed.
    let line = node.wait_for_line("settings reloaded");
    assert!(line.contains("after_restart=nothing"), "{line}");
}

#[test]
fn sighup_changes_limits_of_next_stop() {
    let mut first = settings();
    first["limits"] = serde_json::json!({ "unready_notice_ms": 600_000, "shutdown_timeout_ms": 600_000 });
    let mut node = NodeProcess::start(&first);
    let mut next = first.clone();
    next["limits"]["shutdown_timeout_ms"] = 100.into();
    node.write_settings(&next.to_string());
    node.signal(Signal::SIGHUP);
    let line = node.wait_for_line("settings reloaded");
    assert!(line.contains("live=limits after_restart=nothing"), "{line}");
    node.wait_for_line("shutdown_timeout_ms=100");
    node.signal(Signal::SIGTERM);
    // With the limits of the first file the process runs for ten minutes more.
    assert!(node.child.wait().expect("the process can be waited for").code().is_some());
}

/// Guards against a process that a SIGHUP kills, or a SIGTERM kills uncleanly, before it has read its settings.
#[test]
fn signals_before_start_handled_after_it() {
    for signals in
        [&[Signal::SIGTERM][..], &[Signal::SIGHUP, Signal::SIGINT], &[Signal::SIGTERM, Signal::SIGHUP]]
    {
        let mut starting = StartingProcess::start();
        for signal in signals {
            starting.signal(*signal);
        }
        starting.hand_over_settings(&settings(), &settings());
        let (output, exit_code) = starting.output();
        assert_eq!(exit_code, Some(0), "{signals:?}: {output}");
        assert!(output.contains("ready "), "{signals:?}: {output}");
    }
}

#[test]
fn settings_changed_during_start_reloaded() {
    let mut starting = StartingProcess::start();
    let mut current = settings();
    current["log"] = serde_json::json!({ "level": "debug" });
    let mut next = current.clone();
    next["node"]["zone"] = "b".into();
    starting.hand_over_settings(&current, &next);
    starting.signal(Signal::SIGHUP);
    // The line says either that the settings were reloaded or that they are unchanged.
    let line = starting.line_with("settings ");
    assert!(line.contains("settings reloaded") && line.contains("after_restart=node"), "{line}");
}

/// Guards against a stop under limits that the settings file no longer holds.
#[test]
fn stop_follows_settings_changed_just_before() {
    let mut first = settings();
    first["limits"] = serde_json::json!({ "unready_notice_ms": 600_000, "shutdown_timeout_ms": 600_000 });
    let mut node = NodeProcess::start(&first);
    let mut next = first.clone();
    next["limits"]["shutdown_timeout_ms"] = 100.into();
    node.write_settings(&next.to_string());
    node.signal(Signal::SIGTERM);
    let line = node.wait_for_line("stop step reached; step=not_ready");
    let left_ms = line.split(' ').find_map(|word| word.strip_prefix("left_ms="));
    let left_ms: u64 = left_ms.and_then(|text| text.parse().ok()).expect("the line tells the time left");
    assert!(left_ms <= 100, "{line}");
}
