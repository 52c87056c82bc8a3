//! A worker answers long requests before it has read them, and then drains: what its gate held back on those
//! connections must not reach it any more.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::client::Outcome;
use crate::client::call;
use crate::client::read_answer;
use crate::client::request_head;
use crate::http::Connection;
use crate::record::Record;
use crate::site::Route;
use crate::site::Site;

/// Time for which every machine is left alone first, so that all are in touch.
pub const CALM: Duration = Duration::from_millis(3_500);
const DRAIN: Duration = Duration::from_secs(2);
/// Time after the acknowledged drain at which the worker exits: `DRAIN` and a little longer.
const EXITS_AFTER: Duration = Duration::from_millis(3_500);
/// Time between the uploads, the requests that follow them and the drain.
pub const STEP: Duration = Duration::from_millis(200);
/// Time over which a client sends a long body.
const UPLOAD: Duration = Duration::from_millis(3_200);
const UPLOAD_BYTES: usize = 400_000;
const UPLOAD_STEPS: u32 = 80;
const UPLOADS: usize = 4;
const FOLLOWERS: usize = 6;
pub const DEADLINE_MS: u64 = 5_000;
const WORK_MS: u64 = 1_500;

const ROUTES: [Route; 1] =
    [Route { prefix: "/puka111/", kind: "unsafe", service: "wuno96b", timeout_s: 5.0, target_s: 0.8 }];
const PLACES: [(&str, &str); 2] = [("dakar-medina", "wuno96b"), ("dakar-plateau", "wuno96b")];

/// Runs the case and returns whether the rule held.
pub fn run(root: &Path, record: &Record, trouble: bool) -> io::Result<bool> {
    let site = Site::start(root, record, &PLACES, &ROUTES)?;
    std::thread::sleep(CALM);
    let outbound = site.machines[0].outbound;
    let uploads: Vec<_> = (0..UPLOADS).map(|number| upload(outbound, number, trouble, UPLOAD, record)).collect();
    std::thread::sleep(STEP);
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let followers: Vec<_> =
        (0..FOLLOWERS).map(|number| follow(outbound, number, WORK_MS, &outcomes, record)).collect();
    std::thread::sleep(STEP);
    let acked_at = site.worker(0).drain()?;
    std::thread::sleep((acked_at + EXITS_AFTER).saturating_sub(record.now()));
    site.worker(0).leave()?;
    for thread in uploads.into_iter().chain(followers) {
        let _ended = thread.join();
    }
    let late: Vec<_> =
        site.worker(0).arrivals().into_iter().filter(|arrival| arrival.at > acked_at + DRAIN && arrival.ran).collect();
    for arrival in &late {
        let outcome = outcomes.lock().unwrap().iter().find(|outcome| outcome.id == arrival.id).cloned();
        let late_by = arrival.at - acked_at - DRAIN;
        record.add(format!("DRAIN: {arrival:?} is {late_by:?} too late; the client saw {outcome:?}"));
    }
    record.add(format!("{} requests reached the draining worker too late", late.len()));
    site.record_logs();
    Ok(late.is_empty())
}

/// Sends a request with a long body, a part at a time.
pub fn upload(
    outbound: SocketAddr,
    number: usize,
    early: bool,
    duration: Duration,
    record: &Record,
) -> JoinHandle<()> {
    let record = record.clone();
    std::thread::spawn(move || {
        let id = format!("upload-{number}");
        let target = format!("/puka111/{id}?early={}", u8::from(early));
        let head = request_head("POST", &target, &id, DEADLINE_MS, UPLOAD_BYTES);
        let sending = || -> io::Result<()> {
            let mut connection = Connection::open(outbound)?;
            record.add(format!("client: sends {id}"));
            connection.send(head.as_bytes())?;
            let part = vec![b'u'; UPLOAD_BYTES / UPLOAD_STEPS as usize];
            let started = Instant::now();
            for step in 1..=UPLOAD_STEPS {
                connection.send(&part)?;
                std::thread::sleep((duration * step / UPLOAD_STEPS).saturating_sub(started.elapsed()));
            }
            record.add(format!("client: {id} sent whole"));
            let answer = read_answer(&mut connection, &id)?;
            record.add(format!("client: {id} answered {}", answer.start));
            Ok(())
        };
        if let Err(error) = sending() {
            record.add(format!("client: {id} failed: {error}"));
        }
    })
}

/// Sends an ordinary request.
pub fn follow(
    outbound: SocketAddr,
    number: usize,
    work_ms: u64,
    outcomes: &Arc<Mutex<Vec<Outcome>>>,
    record: &Record,
) -> JoinHandle<()> {
    let (record, outcomes) = (record.clone(), Arc::clone(outcomes));
    std::thread::spawn(move || {
        let id = format!("follower-{number}");
        let target = format!("/puka111/{id}?work={work_ms}");
        let mut request = request_head("POST", &target, &id, DEADLINE_MS, 5).into_bytes();
        request.extend_from_slice(b"order");
        match Connection::open(outbound) {
            Ok(mut connection) => {
                let outcome = call(&mut connection, &request, &id, &record);
                outcomes.lock().unwrap().push(outcome);
            }
            Err(error) => record.add(format!("client: {id} has no connection: {error}")),
        }
    })
}
