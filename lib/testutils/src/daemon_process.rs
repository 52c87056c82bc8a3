//! Starts, signals and stops nodes that run as separate processes.

use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::Value;
use serde_json::json;
use tempfile::NamedTempFile;

/// A node that runs as a separate process, which is killed on drop.
#[derive(Debug)]
pub struct DaemonProcess {
    child: Child,
    /// Listening address for callers.
    pub ingress: SocketAddr,
    /// Listening address for the other nodes.
    pub peer: SocketAddr,
    /// Listening address for announcements of the node's own upstream.
    pub announce: SocketAddr,
    /// Listening address for operators.
    pub admin: SocketAddr,
    settings: NamedTempFile,
}

/// Maximum time from the start of the process to its `ready` line.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the log is searched for the `ready` line.
const READY_POLL: Duration = Duration::from_millis(10);

/// Returns the settings of a node that listens on free loopback ports.
#[must_use]
pub fn loopback_settings(name: &str, zone: &str, platform: SocketAddr, seeds: &[SocketAddr]) -> Value {
    json!({
        "node": { "name": name, "region": "test", "zone": zone },
        "listen": {
            "ingress_addr": "127.0.0.1:0",
            "peer_addr": "127.0.0.1:0",
            "announce_addr": "127.0.0.1:0",
            "admin_addr": "127.0.0.1:0",
        },
        "seeds": seeds,
        "platform": { "addr": platform },
    })
}

impl DaemonProcess {
    /// Starts the binary with the settings and waits until the node is ready.
    ///
    /// The standard output of the node is discarded.
    ///
    /// # Panics
    ///
    /// When the node does not start or is not ready within 20 seconds.
    #[must_use]
    pub fn start(binary: &Path, settings: &Value) -> Self {
        let log = NamedTempFile::new().expect("a temporary file can be created");
        Self::start_with_log(binary, settings, log.path())
    }

    /// Starts the binary as [`Self::start`] does and appends its standard output to the file at `log`.
    ///
    /// # Panics
    ///
    /// When the node does not start or is not ready within 20 seconds.
    #[must_use]
    pub fn start_with_log(binary: &Path, settings: &Value, log: &Path) -> Self {
        Self::start_with_text(binary, &settings.to_string(), log)
    }

    /// Starts the binary as [`Self::start_with_log`] does, with the text of a settings file.
    ///
    /// # Panics
    ///
    /// When the node does not start or is not ready within 20 seconds.
    #[must_use]
    pub fn start_with_text(binary: &Path, settings: &str, log: &Path) -> Self {
        let file = NamedTempFile::new().expect("a temporary file can be created");
        std::fs::write(file.path(), settings).expect("the settings can be written");
        let log_file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .expect("the log can be opened for appending");
        let log_offset = log_file.metadata().expect("the log has metadata").len();
        let child = Command::new(binary)
            .arg("--settings")
            .arg(file.path())
            .stdout(log_file)
            .spawn()
            .expect("the node starts");
        let line = ready_line(log, log_offset);
        let addr = |name: &str| named_addr(&line, name);
        Self {
            ingress: addr("ingress="),
            peer: addr("peer="),
            announce: addr("announce="),
            admin: addr("admin="),
            child,
            settings: file,
        }
    }

    /// Rewrites the settings file with the same content, which changes its modification time.
    ///
    /// # Panics
    ///
    /// When the file can't be read or written.
    pub fn rewrite_settings(&self) {
        let text = std::fs::read(self.settings.path()).expect("the settings can be read");
        std::fs::write(self.settings.path(), text).expect("the settings can be written");
    }

    /// Writes `text` to the settings file.
    ///
    /// # Panics
    ///
    /// When the file can't be written.
    pub fn write_settings(&self, text: &str) {
        std::fs::write(self.settings.path(), text).expect("the settings can be written");
    }

    /// Returns, for each thread of the process, its kernel statistics and the kernel function it waits in.
    ///
    /// The statistics are the line of `/proc/PID/task/TID/stat`, with name, state and processor time.
    #[must_use]
    pub fn thread_states(&self) -> Vec<String> {
        let folder = format!("/proc/{}/task", self.child.id());
        let threads = std::fs::read_dir(folder).into_iter().flatten().flatten();
        // A thread may end between the listing and the read; its files are then gone.
        let read = |thread: &Path, file: &str| std::fs::read_to_string(thread.join(file)).unwrap_or_default();
        threads
            .map(|thread| {
                let path = thread.path();
                format!("{} waits in {:?}", read(&path, "stat").trim(), read(&path, "wchan").trim())
            })
            .collect()
    }

    /// Returns the exit status of the process, or `None` while it runs.
    ///
    /// # Panics
    ///
    /// When the system can't report the state of the process.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the state of the process can be read")
    }

    /// Sends a signal to the process.
    ///
    /// # Panics
    ///
    /// When the process no longer exists.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id fits into an i32");
        kill(Pid::from_raw(pid), signal).expect("the signal can be sent");
    }

    /// Waits until the process ends and returns its exit status.
    ///
    /// # Panics
    ///
    /// When the system can't wait for the process.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process can be waited for")
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // Both calls fail if the process has already ended.
        let _killed = self.child.kill();
        let _reaped = self.child.wait();
    }
}

/// Waits for the `ready` line, which lists the listening addresses, after byte `log_offset` of the log.
///
/// # Panics
///
/// When the line is not written within [`READY_TIMEOUT`].
fn ready_line(log: &Path, log_offset: u64) -> String {
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        let text = std::fs::read(log).expect("the log can be read");
        let text = String::from_utf8_lossy(&text[usize::try_from(log_offset).unwrap_or(0)..]).into_owned();
        let ready =
            text.split_inclusive('\n').find(|line| line.starts_with("ready ") && line.ends_with('\n'));
        if let Some(line) = ready {
            return line.to_owned();
        }
        assert!(Instant::now() < deadline, "the node is not ready in time: {text}");
        std::thread::sleep(READY_POLL);
    }
}

/// Returns the address that follows `name` (for instance `peer=`) in the `ready` line.
fn named_addr(line: &str, name: &str) -> SocketAddr {
    let field = line.split_whitespace().find_map(|field| field.strip_prefix(name));
    field.and_then(|field| field.parse().ok()).unwrap_or_else(|| panic!("no {name} in {line:?}"))
}
