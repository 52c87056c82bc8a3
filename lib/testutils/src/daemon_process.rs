//! Nodes as processes of their own.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

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
    _settings: NamedTempFile,
}

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
        let file = NamedTempFile::new().expect("a temporary file can be made");
        std::fs::write(file.path(), settings.to_string()).expect("the settings can be written");
        let mut child = Command::new(binary)
            .arg("--settings")
            .arg(file.path())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the node starts");
        let mut lines = BufReader::new(child.stdout.take().expect("standard output is piped"));
        let mut line = String::new();
        while !line.starts_with("ready ") {
            line.clear();
            let read = lines.read_line(&mut line).expect("standard output is text");
            assert!(read > 0, "the node ended before it was ready");
        }
        let addr = |name: &str| named_addr(&line, name);
        Self {
            ingress: addr("ingress="),
            peer: addr("peer="),
            announce: addr("announce="),
            admin: addr("admin="),
            child,
            _settings: file,
        }
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

fn named_addr(line: &str, name: &str) -> SocketAddr {
    let word = line.split_whitespace().find_map(|word| word.strip_prefix(name));
    word.and_then(|word| word.parse().ok()).unwrap_or_else(|| panic!("no {name} in {line:?}"))
}
