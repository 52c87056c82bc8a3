//! The two machines of a zone that follow the store are lost right before a change of the configuration.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::http::exchange;
use crate::record::Record;
use crate::site::HOST;
use crate::site::Route;
use crate::site::SIGKILL;
use crate::site::Site;
use crate::site::configuration;

const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// Time in which the nodes find each other and settle who follows the store; more than `StableWindowS`.
const CALM: Duration = Duration::from_secs(14);
/// Time between the loss and the change.
const GAP: Duration = Duration::from_millis(100);
/// Time after the change for which the nodes are observed.
const OBSERVED: Duration = Duration::from_millis(4_500);
/// Time between two requests to one node.
const INTERVAL: Duration = Duration::from_millis(50);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const MACHINES: usize = 12;
/// Service of the even machines, to which the route leads before the change.
const OLD: &str = "huvo11a";
/// Service of the odd machines, to which it leads afterwards.
const NEW: &str = "lovo22d";

const fn routes(service: &'static str) -> [Route; 2] {
    let moved = Route { prefix: "/leny950/", kind: "safe", service, timeout_s: 1.0, target_s: 0.3 };
    [moved, Route { prefix: "/puka111/", kind: "safe", service: NEW, timeout_s: 1.0, target_s: 0.3 }]
}

/// Runs the case and returns whether the rule held.
pub fn run(root: &Path, record: &Record, trouble: bool) -> io::Result<bool> {
    let service = |index: usize| if index.is_multiple_of(2) { OLD } else { NEW };
    let places: Vec<_> = (0..MACHINES).map(|index| ("dakar-medina", service(index))).collect();
    let site = Site::start(root, record, &places, &routes(OLD))?;
    std::thread::sleep(CALM);
    let followers = followers_of_store(&site);
    record.add(format!("machines that follow the store, by the system's own entry there: {followers:?}"));
    if followers.len() != 2 {
        return Err(io::Error::other("the entry does not name two machines"));
    }
    let lost = if trouble { followers } else { Vec::new() };
    for index in &lost {
        site.signal(*index, SIGKILL);
    }
    std::thread::sleep(GAP);
    site.store.write("/objects/config/main", &configuration("0000000c", &routes(NEW)));
    let acked_at = record.now();
    record.add("operator: version 0000000c acknowledged");
    let calm_machines = (0..MACHINES).filter(|index| !lost.contains(index));
    let observers: Vec<_> =
        calm_machines.map(|index| observe(index, site.machines[index].outbound, acked_at, record)).collect();
    let late: usize = observers.into_iter().map(|observer| observer.join().unwrap_or_default()).sum();
    record.add(format!("{late} requests were run by the old service too late"));
    site.record_logs();
    Ok(late == 0)
}

/// Returns the machines whose nodes the system names in the store as those to meet.
fn followers_of_store(site: &Site) -> Vec<usize> {
    let entries = site.store.specs("/objects/yuccatray-rendezvous").join(" ");
    let is_named = |index: &usize| entries.contains(&format!("\"{}\"", site.machines[*index].inbound));
    (0..MACHINES).filter(is_named).collect()
}

/// Sends requests to a node and returns how many were run by the old service too late after the change.
fn observe(index: usize, outbound: SocketAddr, acked_at: Duration, record: &Record) -> JoinHandle<usize> {
    let record = record.clone();
    std::thread::spawn(move || {
        let mut late = 0;
        let mut last_old = Duration::ZERO;
        for number in 0.. {
            let sent_at = record.now();
            if sent_at > acked_at + OBSERVED {
                break;
            }
            if is_run_by_old_service(outbound, &format!("c{index}-{number}")) {
                last_old = sent_at - acked_at;
                late += usize::from(last_old > CONFIG_APPLY);
            }
            std::thread::sleep(INTERVAL);
        }
        record.add(format!(
            "machine {index}: the last request run by the old service was sent {last_old:?} after the ack, {late} too late"
        ));
        late
    })
}

/// Sends one request; the workers of the old service are those of the even machines.
fn is_run_by_old_service(outbound: SocketAddr, id: &str) -> bool {
    let request = format!(
        "GET /leny950/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 1000\r\nConnection: close\r\n\r\n"
    );
    let Ok((head, body)) = exchange(outbound, request.as_bytes(), REQUEST_TIMEOUT) else {
        return false;
    };
    let body = String::from_utf8_lossy(&body).into_owned();
    let worker = body.strip_prefix("i-").and_then(|rest| rest.split(' ').next()).and_then(|text| text.parse().ok());
    head.status() == 200 && worker.is_some_and(|worker: usize| worker.is_multiple_of(2))
}
