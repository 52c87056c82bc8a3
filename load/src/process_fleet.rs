//! A fleet of node processes on loopback, for measuring what acting together costs.

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

/// Result of running the processes.
pub type Result<T, E = ProcessFleetError> = std::result::Result<T, E>;

/// Zones and the region of each, as at the size that the design aims at.
const ZONES: [(&str, &str); 7] = [
    ("north", "north-a"),
    ("middle", "middle-a"),
    ("south", "south-a"),
    ("north", "north-b"),
    ("middle", "middle-b"),
    ("south", "south-b"),
    ("north", "north-c"),
];

/// Nodes that the others join through.
const SEEDS: usize = 3;

const PEER_PORT: u16 = 7101;
const ADMIN_PORT: u16 = 7301;
const CONCURRENT_READS: usize = 32;
const POLL: Duration = Duration::from_millis(100);
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: u64 = 4_096;

/// Why the fleet can't be run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ProcessFleetError {
    /// The system refused.
    #[snafu(display("{what}"))]
    System {
        /// What was tried.
        what: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
    /// A node ended at once.
    #[snafu(display("node {node} ended before it was ready"))]
    NotReady {
        /// Position of the node.
        node: usize,
    },
    /// A state was not reached.
    #[snafu(display("not reached in {waited:?}: {what}"))]
    TooLong {
        /// The state.
        what: &'static str,
        /// How long it was waited for.
        waited: Duration,
    },
}

/// What a node has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Control messages sent and received.
    pub messages: f64,
    /// Bytes of those, sent.
    pub sent_bytes: f64,
    /// Bytes of those, received.
    pub received_bytes: f64,
    /// Processor time, in seconds.
    pub processor_seconds: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

/// Node processes, ended when dropped.
#[derive(Debug)]
pub struct ProcessFleet {
    binary: PathBuf,
    directory: TempDir,
    platform: SocketAddr,
    children: Vec<Option<Child>>,
    stopping: Vec<Child>,
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        for place in 0..self.children.len() {
            self.crash(place);
        }
        self.end_stopping();
    }
}

impl ProcessFleet {
    /// A fleet of `nodes`, none of them running yet.
    ///
    /// # Errors
    ///
    /// When settings can't be written.
    pub fn new(binary: &Path, nodes: usize, platform: SocketAddr) -> Result<Self> {
        let directory = TempDir::new().context(SystemSnafu { what: "making a directory" })?;
        let children = (0..nodes).map(|_| None).collect();
        Ok(Self { binary: binary.to_path_buf(), directory, platform, children, stopping: Vec::new() })
    }

    /// Starts the node of a place; [`Self::wait_started`] waits for it.
    ///
    /// # Errors
    ///
    /// When the process can't be started.
    pub fn start(&mut self, place: usize) -> Result<()> {
        let path = self.directory.path().join(format!("{place}.json"));
        std::fs::write(&path, self.settings(place)).context(SystemSnafu { what: "writing settings" })?;
        let child = Command::new(&self.binary)
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .context(SystemSnafu { what: "starting a node" })?;
        self.children[place] = Some(child);
        Ok(())
    }

    /// Waits until the node of a place listens.
    ///
    /// # Errors
    ///
    /// When it ended instead.
    pub fn wait_started(&mut self, place: usize) -> Result<()> {
        let output = self.children[place].as_mut().and_then(|child| child.stdout.take());
        let mut line = String::new();
        if let Some(output) = output {
            BufReader::new(output).read_line(&mut line).context(SystemSnafu { what: "reading output" })?;
        }
        if line.starts_with("ready ") { Ok(()) } else { NotReadySnafu { node: place }.fail() }
    }

    /// Starts every node at once.
    ///
    /// # Errors
    ///
    /// When one does not start.
    pub fn start_all(&mut self) -> Result<()> {
        for place in 0..self.children.len() {
            self.start(place)?;
        }
        for place in 0..self.children.len() {
            self.wait_started(place)?;
        }
        Ok(())
    }

    /// Ends a node without a word.
    pub fn crash(&mut self, place: usize) {
        if let Some(mut child) = self.children[place].take() {
            // It may have ended already.
            let _killed = child.kill();
            let _reaped = child.wait();
        }
    }

    /// Asks a node to stop; it ends in its own time and no longer counts as running.
    pub fn terminate(&mut self, place: usize) {
        let Some(child) = self.children[place].take() else {
            return;
        };
        let pid = i32::try_from(child.id()).unwrap_or(0);
        if pid > 0 && kill(Pid::from_raw(pid), Signal::SIGTERM).is_err() {
            log::debug!("node {place} had ended already");
        }
        self.stopping.push(child);
    }

    /// Ends the nodes that were asked to stop and have not.
    pub fn end_stopping(&mut self) {
        for mut child in self.stopping.drain(..) {
            // It may have ended already.
            let _killed = child.kill();
            let _reaped = child.wait();
        }
    }

    /// Name of the node of a place.
    #[must_use]
    pub fn name(place: usize) -> String {
        format!("vm-{place}")
    }

    /// Waits until every running node's report satisfies `holds`; the time that it took.
    ///
    /// # Errors
    ///
    /// When it takes longer than `longest`.
    pub async fn wait_all<F>(
        &self,
        what: &'static str,
        since: Instant,
        longest: Duration,
        holds: F,
    ) -> Result<Duration>
    where
        F: Fn(&NodeReport) -> bool,
    {
        let mut open: Vec<usize> = self.running();
        loop {
            let reports: Vec<(usize, Option<NodeReport>)> = stream::iter(open.clone())
                .map(|place| async move { (place, report(place).await) })
                .buffer_unordered(CONCURRENT_READS)
                .collect()
                .await;
            let fails = |report: Option<NodeReport>| !report.is_some_and(|report| holds(&report));
            let failing = reports.into_iter().filter_map(|(place, report)| fails(report).then_some(place));
            open = failing.collect();
            if open.is_empty() {
                return Ok(since.elapsed());
            }
            if since.elapsed() > longest {
                return TooLongSnafu { what, waited: longest }.fail();
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// What each running node has used so far.
    pub async fn usage(&self) -> Vec<Usage> {
        let running = self.running().into_iter().map(|place| {
            let pid = self.children[place].as_ref().map_or(0, Child::id);
            async move { usage(place, pid).await }
        });
        stream::iter(running).buffered(CONCURRENT_READS).collect().await
    }

    fn running(&self) -> Vec<usize> {
        (0..self.children.len()).filter(|place| self.children[*place].is_some()).collect()
    }

    fn settings(&self, place: usize) -> String {
        let (region, zone) = ZONES[place % ZONES.len()];
        let seeds: Vec<SocketAddr> = (0..SEEDS.min(self.children.len()))
            .map(|seed| SocketAddr::from((host(seed), PEER_PORT)))
            .collect();
        let listen = |port: u16| SocketAddr::from((host(place), port));
        json!({
            "node": { "name": Self::name(place), "region": region, "zone": zone },
            "listen": {
                "ingress_addr": listen(0),
                "peer_addr": listen(PEER_PORT),
                "announce_addr": listen(0),
                "admin_addr": listen(ADMIN_PORT),
            },
            "seeds": seeds,
            "platform": { "addr": self.platform },
            "log": { "level": "error" },
        })
        .to_string()
    }
}

fn host(place: usize) -> Ipv4Addr {
    let place = u16::try_from(place + 1).unwrap_or(u16::MAX);
    let [high, low] = place.to_be_bytes();
    Ipv4Addr::new(127, 77, high, low)
}

async fn report(place: usize) -> Option<NodeReport> {
    serde_json::from_slice(&read(place, "/v1/node").await?).ok()
}

async fn usage(place: usize, pid: u32) -> Usage {
    let text = read(place, "/metrics").await.unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    let sum = |metric: &str, label: &str| -> f64 {
        let lines = text.lines().filter(|line| line.starts_with(metric) && line.contains(label));
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    };
    let bytes = "yuccatray_control_bytes_total";
    Usage {
        messages: sum("yuccatray_control_messages_total", ""),
        sent_bytes: sum(bytes, "direction=\"sent\""),
        received_bytes: sum(bytes, "direction=\"received\""),
        processor_seconds: processor_seconds(pid),
        resident_bytes: resident_bytes(pid),
    }
}

/// User and system time from the system's table of processes.
fn processor_seconds(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let ticks = after_name.split_whitespace().skip(11).take(2);
    ticks.filter_map(|ticks| ticks.parse::<f64>().ok()).sum::<f64>() / CLOCK_TICKS_PER_SECOND
}

fn resident_bytes(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

async fn read(place: usize, target: &str) -> Option<Bytes> {
    let addr = SocketAddr::from((host(place), ADMIN_PORT));
    let request = Request::get(target).header(HOST, addr.to_string()).body(Empty::<Bytes>::new()).ok()?;
    let stream = TcpStream::connect(addr).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(connection);
    let response = sender.send_request(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    driver.abort();
    Some(body)
}
