//! A node process with the relays that inject faults into its connections.

use std::fs::OpenOptions;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nix::sys::signal::Signal;
use parking_lot::Mutex;
use serde_json::Value;
use serde_json::json;
use yuccatray_testutils::daemon_process::DaemonProcess;
use yuccatray_testutils::fault_relay::Fault;
use yuccatray_testutils::fault_relay::FaultRelay;

use crate::disturbance::Disturbance;
use crate::findings::Finding;

/// Time within which a node must stop before it is killed; longer than its own shutdown timeout.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
const SHUTDOWN_TIMEOUT_MS: u64 = 5_000;
/// Time between two signals to a process that stops.
const REPEATED_SIGNAL_INTERVAL: Duration = Duration::from_millis(100);

/// Current addresses of a node, and the terminations of its processes so far.
#[derive(Debug)]
pub struct NodeStatus {
    ingress: Mutex<SocketAddr>,
    announce: Mutex<SocketAddr>,
    kills: AtomicU64,
    stops: AtomicU64,
}

/// Terminations of a node's processes up to a point in time.
///
/// Each one is counted twice: when it begins, and when the next process runs. An odd count therefore means
/// that one is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terminations {
    /// Kills with `SIGKILL`.
    pub kills: u64,
    /// Stops with `SIGTERM`.
    pub stops: u64,
}

impl Terminations {
    /// Returns whether a process was killed between `self` and `later`.
    #[must_use]
    pub const fn killed_until(&self, later: Self) -> bool {
        self.kills != later.kills || !later.kills.is_multiple_of(2)
    }

    /// Returns whether a process was stopped between `self` and `later`.
    #[must_use]
    pub const fn stopped_until(&self, later: Self) -> bool {
        self.stops != later.stops || !later.stops.is_multiple_of(2)
    }
}

impl NodeStatus {
    /// Returns the current address for calls.
    #[must_use]
    pub fn ingress(&self) -> SocketAddr {
        *self.ingress.lock()
    }

    /// Returns the current address for announcements of the upstream.
    #[must_use]
    pub fn announce(&self) -> SocketAddr {
        *self.announce.lock()
    }

    /// Returns the terminations of the node's processes so far.
    #[must_use]
    pub fn terminations(&self) -> Terminations {
        Terminations { kills: self.kills.load(Ordering::SeqCst), stops: self.stops.load(Ordering::SeqCst) }
    }
}

/// Configuration of a node.
#[derive(Clone, Debug)]
pub struct SoakNodeConfig {
    /// Path of the node binary.
    pub binary: PathBuf,
    /// File to which the node's log is written.
    pub log: PathBuf,
    /// Settings of the node, without the address that it advertises and its shutdown timeout.
    pub settings: Value,
    /// Whether a process that stops gets further signals and rewritten settings.
    pub repeat_signals: bool,
}

/// A node process and the relays in front of it and its upstream.
#[derive(Debug)]
pub struct SoakNode {
    config: SoakNodeConfig,
    settings: Value,
    process: Arc<Mutex<DaemonProcess>>,
    /// Addresses and terminations, shared with the callers.
    pub status: Arc<NodeStatus>,
    /// Relay for the connections from other nodes.
    pub peer_relay: FaultRelay,
    upstream_relay: FaultRelay,
    /// Serialises the operations on the process.
    process_operation: tokio::sync::Mutex<()>,
}

impl SoakNode {
    /// Starts the node and the relays, of which one leads to the upstream at `upstream`.
    pub async fn start(config: SoakNodeConfig, upstream: SocketAddr) -> Self {
        let peer_relay = FaultRelay::start().await;
        let upstream_relay = FaultRelay::start().await;
        upstream_relay.set_target(upstream);
        let mut settings = config.settings.clone();
        settings["listen"]["advertised_peer_addr"] = json!(peer_relay.addr);
        settings["limits"] = json!({ "shutdown_timeout_ms": SHUTDOWN_TIMEOUT_MS });
        let process = launch(&config, &settings).await;
        peer_relay.set_target(process.peer);
        let status = Arc::new(NodeStatus {
            ingress: Mutex::new(process.ingress),
            announce: Mutex::new(process.announce),
            kills: AtomicU64::new(0),
            stops: AtomicU64::new(0),
        });
        Self {
            config,
            settings,
            process: Arc::new(Mutex::new(process)),
            status,
            peer_relay,
            upstream_relay,
            process_operation: tokio::sync::Mutex::new(()),
        }
    }

    /// Returns the address at which the node reaches its upstream.
    #[must_use]
    pub const fn upstream_addr(&self) -> SocketAddr {
        self.upstream_relay.addr
    }

    /// Applies a disturbance of the process or its relays and waits for its end; others have no effect.
    ///
    /// Returns a finding, which names the node by its index, if the process did not stop in time.
    pub async fn apply(&self, disturbance: Disturbance, index: usize) -> Option<Finding> {
        match disturbance {
            Disturbance::Kill => self.kill().await,
            Disturbance::Terminate => {
                return (!self.terminate().await).then_some(Finding::DidNotStop(index));
            }
            Disturbance::Pause(duration) => self.pause(duration).await,
            Disturbance::Hangup => self.send_hangup().await,
            Disturbance::TouchSettings => self.touch_settings().await,
            Disturbance::PeerFault(fault, duration) => self.inject_peer_fault(fault, duration).await,
            Disturbance::UpstreamFault(fault, duration) => self.inject_upstream_fault(fault, duration).await,
            Disturbance::PeerDelay { delay, duration } => self.delay_peers(delay, duration).await,
            Disturbance::PlatformDown(_)
            | Disturbance::PlatformSlow(_)
            | Disturbance::PlatformLosesAnswers(..)
            | Disturbance::ColdRestart
            | Disturbance::StoreCut(_)
            | Disturbance::HistoryLost => {}
        }
        None
    }

    /// Kills the process and restarts it.
    pub async fn kill(&self) {
        let _guard = self.process_operation.lock().await;
        self.status.kills.fetch_add(1, Ordering::SeqCst);
        {
            let mut process = self.process.lock();
            process.signal(Signal::SIGKILL);
            let _ended = process.wait();
        }
        self.restart().await;
        self.status.kills.fetch_add(1, Ordering::SeqCst);
    }

    /// Stops the process, waits for it to exit and restarts it.
    ///
    /// Returns false if it did not exit within the stop timeout and was killed.
    pub async fn terminate(&self) -> bool {
        let _guard = self.process_operation.lock().await;
        self.status.stops.fetch_add(1, Ordering::SeqCst);
        self.process.lock().signal(Signal::SIGTERM);
        let exited = tokio::time::timeout(STOP_TIMEOUT, async {
            tokio::select! {
                () = self.wait_until_exited() => (),
                () = self.repeat_signals_until_exited(), if self.config.repeat_signals => (),
            }
        });
        let exited = exited.await.is_ok();
        if !exited {
            self.log_threads();
        }
        let killed = u64::from(!exited);
        self.status.kills.fetch_add(killed, Ordering::SeqCst);
        self.restart().await;
        self.status.kills.fetch_add(killed, Ordering::SeqCst);
        self.status.stops.fetch_add(1, Ordering::SeqCst);
        exited
    }

    async fn wait_until_exited(&self) {
        while self.process.lock().exit_status().is_none() {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }

    /// Sends SIGTERM and SIGHUP in turn and rewrites the settings, until the process has exited.
    async fn repeat_signals_until_exited(&self) {
        for signal in [Signal::SIGTERM, Signal::SIGHUP].into_iter().cycle() {
            tokio::time::sleep(REPEATED_SIGNAL_INTERVAL).await;
            let mut process = self.process.lock();
            if process.exit_status().is_some() {
                return;
            }
            process.rewrite_settings();
            process.signal(signal);
        }
    }

    /// Suspends the process for `duration`.
    pub async fn pause(&self, duration: Duration) {
        let _guard = self.process_operation.lock().await;
        self.process.lock().signal(Signal::SIGSTOP);
        tokio::time::sleep(duration).await;
        self.process.lock().signal(Signal::SIGCONT);
    }

    /// Sends `SIGHUP`, on which the process reloads its settings.
    pub async fn send_hangup(&self) {
        let _guard = self.process_operation.lock().await;
        self.process.lock().signal(Signal::SIGHUP);
    }

    /// Rewrites the settings file with the same content.
    pub async fn touch_settings(&self) {
        let _guard = self.process_operation.lock().await;
        self.process.lock().rewrite_settings();
    }

    /// Injects a fault into the open connections from other nodes for `duration`.
    pub async fn inject_peer_fault(&self, fault: Fault, duration: Duration) {
        self.peer_relay.break_open_connections(fault);
        tokio::time::sleep(duration).await;
        self.peer_relay.release_stalled();
    }

    /// Injects a fault into the open connections between the node and its upstream for `duration`.
    pub async fn inject_upstream_fault(&self, fault: Fault, duration: Duration) {
        self.break_upstream_connections(fault);
        tokio::time::sleep(duration).await;
        self.upstream_relay.release_stalled();
    }

    /// Injects a fault into the open connections between the node and its upstream.
    pub fn break_upstream_connections(&self, fault: Fault) {
        self.upstream_relay.break_open_connections(fault);
    }

    /// Delays all traffic from other nodes by `delay` for `duration`.
    pub async fn delay_peers(&self, delay: Duration, duration: Duration) {
        self.peer_relay.set_delay(delay);
        tokio::time::sleep(duration).await;
        self.peer_relay.set_delay(Duration::ZERO);
    }

    /// Returns whether the current process has exited without being stopped or killed.
    #[must_use]
    pub fn exited_unexpectedly(&self) -> bool {
        self.process.lock().exit_status().is_some()
    }

    /// Appends the state of all threads of a stuck process to the node's log.
    fn log_threads(&self) {
        let threads = self.process.lock().thread_states().join("\n");
        let written = OpenOptions::new()
            .append(true)
            .open(&self.config.log)
            .and_then(|mut log| writeln!(log, "the process did not stop; its threads:\n{threads}"));
        if let Err(error) = written {
            eprintln!("cannot log the threads in {}: {error}", self.config.log.display());
        }
    }

    async fn restart(&self) {
        let process = launch(&self.config, &self.settings).await;
        self.peer_relay.set_target(process.peer);
        *self.status.ingress.lock() = process.ingress;
        *self.status.announce.lock() = process.announce;
        // This drops the previous process, which kills it if it still runs.
        *self.process.lock() = process;
    }
}

async fn launch(config: &SoakNodeConfig, settings: &Value) -> DaemonProcess {
    let (config, settings) = (config.clone(), settings.clone());
    let process = tokio::task::spawn_blocking(move || {
        DaemonProcess::start_with_log(&config.binary, &settings, &config.log)
    });
    process.await.expect("the node starts")
}
