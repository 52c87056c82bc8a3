//! Nodes as processes of their own.

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

/// A node that runs as a process, killed when dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    child: Child,
    /// For callers.
    pub ingress: SocketAddr,
    /// For the other nodes.
    pub peer: SocketAddr,
    /// For the node's own upstream.
    pub announce: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    settings: NamedTempFile,
}

/// Time that a node gets to say that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(10);

/// Settings of a node on loopback with free ports.
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
    /// Starts the binary with the settings and waits until it is ready.
    ///
    /// # Panics
    ///
    /// When it does not start.
    #[must_use]
    pub fn start(binary: &Path, settings: &Value) -> Self {
        let log = NamedTempFile::new().expect("a temporary file can be made");
        Self::start_logged(binary, settings, log.path())
    }

    /// The same, with what it writes added to the file at `log`.
    ///
    /// # Panics
    ///
    /// When it does not start.
    #[must_use]
    pub fn start_logged(binary: &Path, settings: &Value, log: &Path) -> Self {
        let file = NamedTempFile::new().expect("a temporary file can be made");
        std::fs::write(file.path(), settings.to_string()).expect("the settings can be written");
        let output = OpenOptions::new().create(true).append(true).open(log).expect("the log can be written");
        let before = output.metadata().expect("a file has a length").len();
        let child = Command::new(binary)
            .arg("--settings")
            .arg(file.path())
            .stdout(output)
            .spawn()
            .expect("the node starts");
        let line = ready_line(log, before);
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

    /// Writes the settings file anew, with the same content.
    ///
    /// # Panics
    ///
    /// When it can't be written.
    pub fn touch_settings(&self) {
        let text = std::fs::read(self.settings.path()).expect("the settings can be read");
        std::fs::write(self.settings.path(), text).expect("the settings can be written");
    }

    /// What each thread of the process does at present: its name, state, processor time and where it waits.
    #[must_use]
    pub fn threads(&self) -> Vec<String> {
        let folder = format!("/proc/{}/task", self.child.id());
        let threads = std::fs::read_dir(folder).into_iter().flatten().flatten();
        // A thread that ends meanwhile has nothing to tell.
        let read = |thread: &Path, file: &str| std::fs::read_to_string(thread.join(file)).unwrap_or_default();
        threads
            .map(|thread| {
                let path = thread.path();
                format!("{} waits in {:?}", read(&path, "stat").trim(), read(&path, "wchan").trim())
            })
            .collect()
    }

    /// How the process ended, if it has.
    ///
    /// # Panics
    ///
    /// When the system can't tell.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the process can be asked for")
    }

    /// Sends a signal to the process.
    ///
    /// # Panics
    ///
    /// When the process is gone.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id fits");
        kill(Pid::from_raw(pid), signal).expect("the process takes the signal");
    }

    /// Waits for the process to end.
    ///
    /// # Panics
    ///
    /// When it was waited for before.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process can be waited for")
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _killed = self.child.kill();
        let _reaped = self.child.wait();
    }
}

/// The line of the log, past `before`, that says where the node listens.
fn ready_line(log: &Path, before: u64) -> String {
    let until = Instant::now() + READY_TIMEOUT;
    loop {
        let text = std::fs::read(log).expect("the log can be read");
        let text = String::from_utf8_lossy(&text[usize::try_from(before).unwrap_or(0)..]).into_owned();
        let ready =
            text.split_inclusive('\n').find(|line| line.starts_with("ready ") && line.ends_with('\n'));
        if let Some(line) = ready {
            return line.to_owned();
        }
        assert!(Instant::now() < until, "the node is not ready in time: {text}");
        std::thread::sleep(READY_POLL);
    }
}

fn named_addr(line: &str, name: &str) -> SocketAddr {
    let word = line.split_whitespace().find_map(|word| word.strip_prefix(name));
    word.and_then(|word| word.parse().ok()).unwrap_or_else(|| panic!("no {name} in {line:?}"))
}
