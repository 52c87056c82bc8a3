//! A node as a process, the upstream beside it, and the relays around both.

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
use tokio::task::JoinHandle;
use yuccatray::transport::announce_server::Announcement;
use yuccatray_standin::upstream::put_announcement;
use yuccatray_testutils::daemon_process::DaemonProcess;
use yuccatray_testutils::daemon_process::loopback_settings;
use yuccatray_testutils::fault_relay::Fault;
use yuccatray_testutils::fault_relay::FaultRelay;
use yuccatray_testutils::fleet::SERVICE;
use yuccatray_testutils::logging_upstream::ExecutionLog;
use yuccatray_testutils::logging_upstream::LoggingUpstream;
use yuccatray_testutils::logging_upstream::LogicalClock;

/// Slots of each upstream.
const SLOTS: u32 = 8;
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);
/// Time that a node gets to stop before it is killed, past its own shutdown timeout.
const STOP_PATIENCE: Duration = Duration::from_secs(8);
const STOP_POLL: Duration = Duration::from_millis(20);
const SHUTDOWN_TIMEOUT_MS: u64 = 5_000;

/// Where a place's node is reached at present, and what ends its processes had.
#[derive(Debug)]
pub struct Reach {
    ingress: Mutex<SocketAddr>,
    announce: Mutex<SocketAddr>,
    kills: AtomicU64,
    stops: AtomicU64,
}

/// The ends of a node's processes by a moment, each counted when it begins and when the next one runs.
///
/// So an odd count says that one is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ends {
    /// Without notice.
    pub kills: u64,
    /// By order.
    pub stops: u64,
}

impl Ends {
    /// Whether a process was killed between `self` and the later moment.
    #[must_use]
    pub const fn killed_until(&self, later: Self) -> bool {
        self.kills != later.kills || !later.kills.is_multiple_of(2)
    }

    /// Whether a process was told to stop between `self` and the later moment.
    #[must_use]
    pub const fn stopped_until(&self, later: Self) -> bool {
        self.stops != later.stops || !later.stops.is_multiple_of(2)
    }
}

impl Reach {
    /// Where the node takes calls.
    #[must_use]
    pub fn ingress(&self) -> SocketAddr {
        *self.ingress.lock()
    }

    /// The ends of the node's processes so far.
    #[must_use]
    pub fn ends(&self) -> Ends {
        Ends { kills: self.kills.load(Ordering::SeqCst), stops: self.stops.load(Ordering::SeqCst) }
    }
}

/// What a place is started with.
#[derive(Clone, Debug)]
pub struct Start {
    /// The node's program.
    pub binary: PathBuf,
    /// Where the node's logs go.
    pub log: PathBuf,
    /// Name of the node.
    pub name: String,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Peer addresses of other nodes.
    pub seeds: Vec<SocketAddr>,
}

/// A node and its upstream.
#[derive(Debug)]
pub struct Place {
    start: Start,
    settings: Value,
    process: Arc<Mutex<DaemonProcess>>,
    /// Where the node is at present.
    pub reach: Arc<Reach>,
    /// Stands between this node and the others.
    pub peer_relay: FaultRelay,
    upstream_relay: FaultRelay,
    _upstream: LoggingUpstream,
    announcing: JoinHandle<()>,
    /// One order to the process at a time.
    orders: tokio::sync::Mutex<()>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.announcing.abort();
    }
}

impl Place {
    /// Starts the node and its upstream.
    pub async fn start(start: Start, log: &ExecutionLog, ticker: &LogicalClock) -> Self {
        let peer_relay = FaultRelay::start().await;
        let upstream_relay = FaultRelay::start().await;
        let mut settings = loopback_settings(&start.name, "a", start.platform, &start.seeds);
        settings["listen"]["advertised_peer_addr"] = json!(peer_relay.addr);
        settings["limits"] = json!({ "shutdown_timeout_ms": SHUTDOWN_TIMEOUT_MS });
        let process = launch(&start, &settings).await;
        peer_relay.set_target(process.peer);
        let reach = Arc::new(Reach {
            ingress: Mutex::new(process.ingress),
            announce: Mutex::new(process.announce),
            kills: AtomicU64::new(0),
            stops: AtomicU64::new(0),
        });
        let upstream = LoggingUpstream::start(log.clone(), ticker.clone()).await;
        upstream_relay.set_target(upstream.addr);
        let announcing = tokio::spawn(announce(Arc::clone(&reach), upstream_relay.addr));
        Self {
            start,
            settings,
            process: Arc::new(Mutex::new(process)),
            reach,
            peer_relay,
            upstream_relay,
            _upstream: upstream,
            announcing,
            orders: tokio::sync::Mutex::new(()),
        }
    }

    /// Kills the process and starts it again.
    pub async fn kill(&self) {
        let _order = self.orders.lock().await;
        self.reach.kills.fetch_add(1, Ordering::SeqCst);
        {
            let mut process = self.process.lock();
            process.signal(Signal::SIGKILL);
            let _ended = process.wait();
        }
        self.start_again().await;
        self.reach.kills.fetch_add(1, Ordering::SeqCst);
    }

    /// Tells the process to stop, waits for its end and starts it again.
    ///
    /// False when it did not end by itself.
    pub async fn terminate(&self) -> bool {
        let _order = self.orders.lock().await;
        self.reach.stops.fetch_add(1, Ordering::SeqCst);
        self.process.lock().signal(Signal::SIGTERM);
        let ended = tokio::time::timeout(STOP_PATIENCE, async {
            while self.process.lock().exit_status().is_none() {
                tokio::time::sleep(STOP_POLL).await;
            }
        });
        let ended = ended.await.is_ok();
        if !ended {
            self.note_threads();
        }
        let killed = u64::from(!ended);
        self.reach.kills.fetch_add(killed, Ordering::SeqCst);
        self.start_again().await;
        self.reach.kills.fetch_add(killed, Ordering::SeqCst);
        self.reach.stops.fetch_add(1, Ordering::SeqCst);
        ended
    }

    /// Lets the process stand still for a while.
    pub async fn pause(&self, lasts: Duration) {
        let _order = self.orders.lock().await;
        self.process.lock().signal(Signal::SIGSTOP);
        tokio::time::sleep(lasts).await;
        self.process.lock().signal(Signal::SIGCONT);
    }

    /// Tells the process that its settings have changed.
    pub async fn hang_up(&self) {
        let _order = self.orders.lock().await;
        self.process.lock().signal(Signal::SIGHUP);
    }

    /// Writes the settings file anew.
    pub async fn touch_settings(&self) {
        let _order = self.orders.lock().await;
        self.process.lock().rewrite_settings();
    }

    /// Strikes the open connections from other nodes, and lets them go on after a while.
    pub async fn strike_peers(&self, fault: Fault, lasts: Duration) {
        self.peer_relay.break_open_connections(fault);
        tokio::time::sleep(lasts).await;
        self.peer_relay.release_stalled();
    }

    /// The same between the node and its upstream.
    pub async fn strike_upstream(&self, fault: Fault, lasts: Duration) {
        self.upstream_relay.break_open_connections(fault);
        tokio::time::sleep(lasts).await;
        self.upstream_relay.release_stalled();
    }

    /// Holds back what comes from other nodes for a while.
    pub async fn slow_peers(&self, delay: Duration, lasts: Duration) {
        self.peer_relay.set_delay(delay);
        tokio::time::sleep(lasts).await;
        self.peer_relay.set_delay(Duration::ZERO);
    }

    /// Whether the process ended though nobody told it to.
    #[must_use]
    pub fn ended_by_itself(&self) -> bool {
        self.process.lock().exit_status().is_some()
    }

    /// Adds to the node's log where its threads stand, for a process that is stuck.
    fn note_threads(&self) {
        let threads = self.process.lock().thread_states().join("\n");
        let noted = OpenOptions::new()
            .append(true)
            .open(&self.start.log)
            .and_then(|mut log| writeln!(log, "stuck, its threads:\n{threads}"));
        if let Err(error) = noted {
            eprintln!("cannot note the threads of {}: {error}", self.start.name);
        }
    }

    async fn start_again(&self) {
        let process = launch(&self.start, &self.settings).await;
        self.peer_relay.set_target(process.peer);
        *self.reach.ingress.lock() = process.ingress;
        *self.reach.announce.lock() = process.announce;
        // The former process is dropped, and so killed if it still runs.
        *self.process.lock() = process;
    }
}

async fn launch(start: &Start, settings: &Value) -> DaemonProcess {
    let (start, settings) = (start.clone(), settings.clone());
    let launched = tokio::task::spawn_blocking(move || {
        DaemonProcess::start_with_log(&start.binary, &settings, &start.log)
    });
    launched.await.expect("the node starts")
}

/// Announces the upstream to whatever process stands at the place.
async fn announce(reach: Arc<Reach>, upstream: SocketAddr) {
    let announcement =
        Announcement { service: Arc::from(SERVICE), addr: upstream, slots: SLOTS, draining: false };
    loop {
        let node = *reach.announce.lock();
        // A node that is down hears the next one.
        let _told = tokio::time::timeout(ANNOUNCE_INTERVAL * 2, put_announcement(node, &announcement)).await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
