//! A fleet of node processes on loopback, to measure the overhead of the control plane.

use std::io::BufRead;
use std::io::BufReader;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http::Request;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::json;
use snafu::ResultExt;
use snafu::Snafu;
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::time::Instant;
use yuccatray::transport::admin_server::NodeReport;

/// Result of an operation on the fleet.
pub type Result<T, E = ProcessFleetError> = std::result::Result<T, E>;

/// Region and availability zone of the nodes in turn; as in the deployment that the design targets.
const ZONES: [(&str, &str); 7] = [
    ("north", "north-a"),
    ("middle", "middle-a"),
    ("south", "south-a"),
    ("north", "north-b"),
    ("middle", "middle-b"),
    ("south", "south-b"),
    ("north", "north-c"),
];

/// Number of nodes that serve as seeds.
const SEED_NODES: usize = 3;

/// Peer port of every node; each node has an IP address of its own.
const PEER_PORT: u16 = 7101;
/// Admin port of every node.
const ADMIN_PORT: u16 = 7301;
/// Maximum admin requests in flight.
const MAX_CONCURRENT_REQUESTS: usize = 32;
/// Interval between polls of the nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Unit of CPU times in `/proc/PID/stat`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Reason why an operation on the fleet failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ProcessFleetError {
    /// A system call failed.
    #[snafu(display("{operation}"))]
    System {
        /// Attempted operation.
        operation: &'static str,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// A node exited during startup.
    #[snafu(display("node {node} exited before it was ready"))]
    NotReady {
        /// Index of the node.
        node: usize,
    },
    /// A condition was not met in time.
    #[snafu(display("not reached within {waited:?}: {condition}"))]
    Timeout {
        /// Name of the condition.
        condition: &'static str,
        /// Time waited.
        waited: Duration,
    },
}

/// Resources that a node has used since it started.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeUsage {
    /// Control messages sent and received.
    pub messages: f64,
    /// Bytes of control messages sent.
    pub sent_bytes: f64,
    /// Bytes of control messages received.
    pub received_bytes: f64,
    /// CPU time, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

/// Node processes, killed when the fleet is dropped.
#[derive(Debug)]
pub struct ProcessFleet {
    binary: PathBuf,
    settings_directory: TempDir,
    platform_addr: SocketAddr,
    processes: Vec<Option<Child>>,
    stopping: Vec<Child>,
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        for index in 0..self.processes.len() {
            self.crash(index);
        }
        self.kill_stopping();
    }
}

impl ProcessFleet {
    /// Creates a fleet of `nodes`, without starting them.
    ///
    /// # Errors
    ///
    /// When no directory for the settings files can be created.
    pub fn new(binary: &Path, nodes: usize, platform_addr: SocketAddr) -> Result<Self> {
        let settings_directory = TempDir::new().context(SystemSnafu { operation: "creating a directory" })?;
        let processes = (0..nodes).map(|_| None).collect();
        Ok(Self {
            binary: binary.to_path_buf(),
            settings_directory,
            platform_addr,
            processes,
            stopping: Vec::new(),
        })
    }

    /// Starts a node without waiting for it; see [`Self::wait_started`].
    ///
    /// # Errors
    ///
    /// When the settings can't be written or the process can't be started.
    pub fn start(&mut self, index: usize) -> Result<()> {
        let path = self.settings_directory.path().join(format!("{index}.json"));
        std::fs::write(&path, self.node_settings(index))
            .context(SystemSnafu { operation: "writing settings" })?;
        let child = Command::new(&self.binary)
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .context(SystemSnafu { operation: "starting a node" })?;
        self.processes[index] = Some(child);
        Ok(())
    }

    /// Waits until a node prints that it is ready.
    ///
    /// # Errors
    ///
    /// When the node exits or prints something else first.
    pub fn wait_started(&mut self, index: usize) -> Result<()> {
        let output = self.processes[index].as_mut().and_then(|child| child.stdout.take());
        let mut line = String::new();
        if let Some(output) = output {
            BufReader::new(output)
                .read_line(&mut line)
                .context(SystemSnafu { operation: "reading a node's output" })?;
        }
        if line.starts_with("ready ") { Ok(()) } else { NotReadySnafu { node: index }.fail() }
    }

    /// Starts all nodes concurrently and waits until they are ready.
    ///
    /// # Errors
    ///
    /// When a node does not start.
    pub fn start_all(&mut self) -> Result<()> {
        for index in 0..self.processes.len() {
            self.start(index)?;
        }
        for index in 0..self.processes.len() {
            self.wait_started(index)?;
        }
        Ok(())
    }

    /// Kills a node with SIGKILL, so that it can't announce that it leaves.
    pub fn crash(&mut self, index: usize) {
        if let Some(mut child) = self.processes[index].take() {
            // The process may have exited already.
            let _killed = child.kill();
            let _reaped = child.wait();
        }
    }

    /// Sends SIGTERM to a node, which no longer counts as running while it shuts down.
    pub fn terminate(&mut self, index: usize) {
        let Some(child) = self.processes[index].take() else {
            return;
        };
        let pid = i32::try_from(child.id()).unwrap_or(0);
        if pid > 0 && kill(Pid::from_raw(pid), Signal::SIGTERM).is_err() {
            log::debug!("node {index} has already exited");
        }
        self.stopping.push(child);
    }

    /// Kills the nodes that are still shutting down.
    pub fn kill_stopping(&mut self) {
        for mut child in self.stopping.drain(..) {
            // The process may have exited already.
            let _killed = child.kill();
            let _reaped = child.wait();
        }
    }

    /// Returns the name of a node.
    #[must_use]
    pub fn node_name(index: usize) -> String {
        format!("vm-{index}")
    }

    /// Waits until the report of every running node has met a condition, and returns the time since `since`.
    ///
    /// # Errors
    ///
    /// When the condition is not met within `timeout` after `since`.
    pub async fn wait_all<F>(
        &self,
        condition: &'static str,
        since: Instant,
        timeout: Duration,
        is_met: F,
    ) -> Result<Duration>
    where
        F: Fn(&NodeReport) -> bool,
    {
        let mut pending: Vec<usize> = self.running_nodes();
        loop {
            let reports: Vec<(usize, Option<NodeReport>)> = stream::iter(pending.clone())
                .map(|index| async move { (index, get_report(index).await) })
                .buffer_unordered(MAX_CONCURRENT_REQUESTS)
                .collect()
                .await;
            let is_pending = |report: Option<NodeReport>| !report.is_some_and(|report| is_met(&report));
            let still_pending =
                reports.into_iter().filter_map(|(index, report)| is_pending(report).then_some(index));
            pending = still_pending.collect();
            if pending.is_empty() {
                return Ok(since.elapsed());
            }
            if since.elapsed() > timeout {
                return TimeoutSnafu { condition, waited: timeout }.fail();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the resources that each running node has used since it started.
    pub async fn usage(&self) -> Vec<NodeUsage> {
        let usages = self.running_nodes().into_iter().map(|index| {
            let pid = self.processes[index].as_ref().map_or(0, Child::id);
            async move { get_usage(index, pid).await }
        });
        stream::iter(usages).buffered(MAX_CONCURRENT_REQUESTS).collect().await
    }

    /// Returns the indices of the running nodes.
    fn running_nodes(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|index| self.processes[*index].is_some()).collect()
    }

    /// Returns the settings file of a node.
    fn node_settings(&self, index: usize) -> String {
        let (region, zone) = ZONES[index % ZONES.len()];
        let seeds: Vec<SocketAddr> = (0..SEED_NODES.min(self.processes.len()))
            .map(|seed| SocketAddr::from((node_ip(seed), PEER_PORT)))
            .collect();
        let listen = |port: u16| SocketAddr::from((node_ip(index), port));
        json!({
            "node": { "name": Self::node_name(index), "region": region, "zone": zone },
            "listen": {
                "ingress_addr": listen(0),
                "peer_addr": listen(PEER_PORT),
                "announce_addr": listen(0),
                "admin_addr": listen(ADMIN_PORT),
            },
            "seeds": seeds,
            "platform": { "addr": self.platform_addr },
            "log": { "level": "error" },
        })
        .to_string()
    }
}

/// Returns the IP address of a node: 127.77.x.y, where x.y is the index plus one as two bytes.
fn node_ip(index: usize) -> Ipv4Addr {
    let index = u16::try_from(index + 1).unwrap_or(u16::MAX);
    let [high, low] = index.to_be_bytes();
    Ipv4Addr::new(127, 77, high, low)
}

/// Fetches the report of a node, or `None` if it can't be read.
async fn get_report(index: usize) -> Option<NodeReport> {
    serde_json::from_slice(&get_admin(index, "/v1/node").await?).ok()
}

/// Reads the resource usage of a node from its metrics and from `/proc`; missing figures are 0.
async fn get_usage(index: usize, pid: u32) -> NodeUsage {
    let text = get_admin(index, "/metrics").await.unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    let sum = |metric: &str, label: &str| -> f64 {
        let lines = text.lines().filter(|line| line.starts_with(metric) && line.contains(label));
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    };
    let bytes = "yuccatray_control_bytes_total";
    NodeUsage {
        messages: sum("yuccatray_control_messages_total", ""),
        sent_bytes: sum(bytes, "direction=\"sent\""),
        received_bytes: sum(bytes, "direction=\"received\""),
        cpu_seconds: cpu_seconds(pid),
        resident_bytes: resident_bytes(pid),
    }
}

/// Returns the user and system CPU time of a process, in seconds.
fn cpu_seconds(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let ticks = after_name.split_whitespace().skip(11).take(2);
    ticks.filter_map(|ticks| ticks.parse::<f64>().ok()).sum::<f64>() / CLOCK_TICKS_PER_SECOND
}

/// Returns the resident memory of a process, in bytes.
fn resident_bytes(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Sends a GET request to the admin address of a node and returns the response body.
async fn get_admin(index: usize, target: &str) -> Option<Bytes> {
    let addr = SocketAddr::from((node_ip(index), ADMIN_PORT));
    let request = Request::get(target).header(HOST, addr.to_string()).body(Empty::<Bytes>::new()).ok()?;
    let stream = TcpStream::connect(addr).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(connection);
    let response = sender.send_request(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    driver.abort();
    Some(body)
}
