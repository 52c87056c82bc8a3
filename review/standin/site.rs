//! A small deployment on loopback: a store, and machines of one node and one worker each.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http::exchange;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;

pub const HOST: &str = "hulo84.example";
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
/// Ports of the nodes; each run begins at another one.
const FIRST_PORT: u16 = 12_000;
const LAST_PORT: u16 = 30_000;
/// Time within which a started site has to serve requests.
const START_TIMEOUT: Duration = Duration::from_secs(15);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// A machine of the deployment.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub service: String,
    /// Where clients send requests.
    pub outbound: SocketAddr,
    pub readiness: SocketAddr,
    pub control: SocketAddr,
    pub inbound: SocketAddr,
    pub worker: Option<Worker>,
    settings: PathBuf,
    process: Option<Child>,
}

/// The deployment; its processes end when it is dropped.
pub struct Site {
    pub record: Record,
    pub store: Store,
    pub machines: Vec<Machine>,
    root: PathBuf,
    folder: PathBuf,
}

/// A route of the configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_s: f64,
    pub target_s: f64,
}

impl Site {
    /// Starts the machines given by zone and service, with the settings of the deploy file.
    pub fn start(root: &Path, record: &Record, places: &[(&str, &str)], routes: &[Route]) -> io::Result<Self> {
        let (store, store_addr) = Store::start()?;
        store.write("/objects/config/main", &configuration("00000004", routes));
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let template = std::fs::read_to_string(root.join("deploy/settings.jsonc"))?;
        let mut site =
            Self { record: record.clone(), store, machines: Vec::new(), root: root.to_owned(), folder };
        let mut port = FIRST_PORT + (std::process::id() % 1_000) as u16 * 12;
        for (index, (zone, service)) in places.iter().enumerate() {
            let name = format!("sidecar-{zone}-{index}");
            let addrs = free_addrs(&mut port, 4)?;
            let settings = site.folder.join(format!("{name}.conf"));
            let text = template
                .replace("{{Node}}", &name)
                .replace("{{Region}}", "dakar")
                .replace("{{Zone}}", zone)
                .replace("{{Listen.Outbound}}", &addrs[0].to_string())
                .replace("{{Listen.Inbound}}", &addrs[1].to_string())
                .replace("{{Listen.Control}}", &addrs[2].to_string())
                .replace("{{Listen.ReadinessAddr}}", &addrs[3].to_string())
                .replace("{{Service}}", service)
                .replace("{{Platform.Address}}", &store_addr.to_string());
            std::fs::write(&settings, text)?;
            site.machines.push(Machine {
                name,
                zone: (*zone).to_owned(),
                service: (*service).to_owned(),
                outbound: addrs[0],
                inbound: addrs[1],
                control: addrs[2],
                readiness: addrs[3],
                worker: None,
                settings,
                process: None,
            });
        }
        for index in 0..site.machines.len() {
            site.start_node(index)?;
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let machine = &site.machines[index];
            let (zone, service) = (machine.zone.clone(), machine.service.clone());
            let id = format!("i-{index}");
            let worker = Worker::start(&id, &service, &zone, listener, machine.control, record)?;
            site.machines[index].worker = Some(worker);
        }
        if let Err(error) = site.wait_until_served(routes) {
            site.record_logs();
            return Err(error);
        }
        Ok(site)
    }

    /// Starts the node of a machine with the program of the deploy file.
    pub fn start_node(&mut self, index: usize) -> io::Result<()> {
        let machine = &mut self.machines[index];
        let log = std::fs::File::create(self.folder.join(format!("{}.log", machine.name)))?;
        let program = self.root.join("target/release/yuccatrayd");
        let child = Command::new(program)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("YUCCATRAY_SETTINGS", &machine.settings)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.add(format!("machine {}: node started", machine.name));
        machine.process = Some(child);
        Ok(())
    }

    /// Sends a signal to the node of a machine.
    pub fn signal(&self, index: usize, signal: i32) {
        let machine = &self.machines[index];
        if let Some(process) = &machine.process {
            // SAFETY: the process is a child of this one that has not been waited for, so its id is still its own.
            unsafe { kill(process.id() as i32, signal) };
            self.record.add(format!("machine {}: signal {signal} sent", machine.name));
        }
    }

    /// Returns whether the node of a machine has ended.
    pub fn has_ended(&mut self, index: usize) -> bool {
        let process = self.machines[index].process.as_mut();
        process.is_none_or(|process| matches!(process.try_wait(), Ok(Some(_))))
    }

    pub fn worker(&self, index: usize) -> &Worker {
        self.machines[index].worker.as_ref().expect("every machine has a worker")
    }

    /// Copies the logs of the nodes to the end of the record.
    pub fn record_logs(&self) {
        for machine in &self.machines {
            let text = std::fs::read_to_string(self.folder.join(format!("{}.log", machine.name)));
            for line in text.unwrap_or_default().lines() {
                self.record.add(format!("log of {}: {line}", machine.name));
            }
        }
    }

    /// Waits until every machine serves every route.
    fn wait_until_served(&self, routes: &[Route]) -> io::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        for machine in &self.machines {
            for (number, route) in routes.iter().enumerate() {
                let mut tries = 0;
                loop {
                    tries += 1;
                    let request = format!(
                        "GET {}warm HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: warm-{}-{number}-{tries}\r\n\
                         Deadline-Ms: 1000\r\nConnection: close\r\n\r\n",
                        route.prefix, machine.name
                    );
                    let answer = exchange(machine.outbound, request.as_bytes(), Duration::from_secs(2));
                    if answer.is_ok_and(|(head, _)| head.status() == 200) {
                        break;
                    }
                    if Instant::now() > deadline {
                        return Err(io::Error::other(format!("{} does not serve {}", machine.name, route.prefix)));
                    }
                    std::thread::sleep(Duration::from_millis(50));
                }
            }
        }
        Ok(())
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for process in self.machines.iter_mut().filter_map(|machine| machine.process.as_mut()) {
            let _ended = process.kill();
            let _ended = process.wait();
        }
        let _kept = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns addresses whose ports are free for TCP and UDP.
///
/// The ports lie below those that the system gives to outgoing connections, so that they stay free until the nodes
/// listen on them.
fn free_addrs(first_port: &mut u16, count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut addrs = Vec::new();
    while addrs.len() < count {
        let addr = SocketAddr::from(([127, 0, 0, 1], *first_port));
        *first_port += 1;
        if *first_port >= LAST_PORT {
            return Err(io::Error::other("no port is free"));
        }
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            addrs.push(addr);
        }
    }
    Ok(addrs)
}

/// Returns a configuration with these routes, all of one host.
pub fn configuration(version: &str, routes: &[Route]) -> String {
    let rules = routes.iter().map(|Route { prefix, kind, service, timeout_s, target_s }| {
        format!(
            "{{\"Name\":\"r{}\",\"RouteType\":\"{kind}\",\"TargetLatencyS\":{target_s},\"Priority\":1,\
             \"Match\":{{\"PathPrefix\":\"{prefix}\"}},\"Action\":{{\"Service\":\"{service}\",\
             \"TimeoutS\":{timeout_s},\"MaxAttempts\":2}}}}",
            prefix.replace('/', "-")
        )
    });
    let rules = rules.collect::<Vec<_>>().join(",");
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    let clusters = services.iter().map(|service| {
        format!("{{\"Name\":\"{service}\",\"HealthPath\":\"/health\",\"MaxConnections\":220,\"Protocol\":\"h1\",\"Tls\":false}}")
    });
    let clusters = clusters.collect::<Vec<_>>().join(",");
    format!(
        "{{\"Version\":\"{version}\",\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\
         \"HeaderTimeoutS\":3,\"IdleTimeoutS\":15}},\"Listeners\":[{{\"Host\":\"{HOST}\",\"RouteRules\":[{rules}]}}],\
         \"Clusters\":[{clusters}]}}"
    )
}
