//! A node gets a second SIGTERM while it stops: the requests that it has passed on must still be answered.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::client::Outcome;
use crate::client::call;
use crate::client::is_ready;
use crate::client::request_head;
use crate::http::Connection;
use crate::record::Record;
use crate::site::Route;
use crate::site::SIGTERM;
use crate::site::Site;

const GRACE: Duration = Duration::from_secs(6);
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time between the two signals.
const SIGNAL_GAP: Duration = Duration::from_millis(700);
const CLIENTS: usize = 8;
const DEADLINE_MS: u64 = 2_500;
/// Work of each request, well within its time budget.
const WORK_MS: u64 = 400;
const READINESS_INTERVAL: Duration = Duration::from_secs(1);
const MISSES: u32 = 2;
const BODY: &[u8; 1_200] = &[b'q'; 1_200];

const ROUTES: [Route; 1] =
    [Route { prefix: "/puka111/", kind: "unsafe", service: "wuno96b", timeout_s: 2.5, target_s: 0.4 }];
const PLACES: [(&str, &str); 3] =
    [("dakar-medina", "wuno96b"), ("dakar-plateau", "wuno96b"), ("dakar-ouakam", "wuno96b")];

/// Runs the case and returns whether the rule held.
pub fn run(root: &Path, record: &Record, trouble: bool) -> io::Result<bool> {
    let mut site = Site::start(root, record, &PLACES, &ROUTES)?;
    let machine = &site.machines[0];
    let (outbound, readiness) = (machine.outbound, machine.readiness);
    let may_send = Arc::new(AtomicBool::new(true));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut threads = Vec::new();
    for client in 0..CLIENTS {
        let (may_send, outcomes, record) = (Arc::clone(&may_send), Arc::clone(&outcomes), record.clone());
        threads.push(std::thread::spawn(move || {
            let mut connection: Option<Connection> = None;
            for number in 0.. {
                if !may_send.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(mut open) = connection.take().map_or_else(|| Connection::open(outbound), Ok) else {
                    return;
                };
                let _unsupported = open.stream.set_read_timeout(Some(Duration::from_secs(8)));
                let id = format!("c{client}-{number}");
                let target = format!("/puka111/{number}?work={WORK_MS}");
                let mut request = request_head("POST", &target, &id, DEADLINE_MS, BODY.len()).into_bytes();
                request.extend_from_slice(BODY);
                let outcome = call(&mut open, &request, &id, &record);
                if outcome.status.is_some() {
                    connection = Some(open);
                }
                outcomes.lock().unwrap().push(outcome);
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(3));
    let first_signal_at = record.now();
    site.signal(0, SIGTERM);
    let checker_may_send = Arc::clone(&may_send);
    let checker = std::thread::spawn(move || {
        let mut misses = 0;
        while misses < MISSES {
            std::thread::sleep(READINESS_INTERVAL);
            misses = if is_ready(readiness) { 0 } else { misses + 1 };
        }
        checker_may_send.store(false, Ordering::SeqCst);
    });
    if trouble {
        std::thread::sleep(SIGNAL_GAP);
        site.signal(0, SIGTERM);
    }
    while !site.has_ended(0) && record.now() < first_signal_at + GRACE {
        std::thread::sleep(Duration::from_millis(5));
    }
    let has_ended = site.has_ended(0);
    record.add(format!("machine {}: node has ended: {has_ended}", site.machines[0].name));
    may_send.store(false, Ordering::SeqCst);
    for thread in threads {
        let _ended = thread.join();
    }
    let _ended = checker.join();
    let outcomes = outcomes.lock().unwrap().clone();
    let lost = outcomes.iter().filter(|outcome| is_lost(&site, outcome, first_signal_at)).collect::<Vec<_>>();
    for outcome in &lost {
        record.add(format!("LOST: {outcome:?}"));
    }
    record.add(format!("{} requests, {} of them lost", outcomes.len(), lost.len()));
    site.record_logs();
    if outcomes.is_empty() {
        return Err(io::Error::other("no request was sent"));
    }
    Ok(lost.is_empty())
}

/// Returns whether the end of a request breaks the rule LOST.
///
/// The workers of this case neither break off nor run longer than `WORK_MS`, so no excuse of the rule applies to a
/// request that ends before the last sixth of the grace time and within its time budget.
fn is_lost(site: &Site, outcome: &Outcome, first_signal_at: Duration) -> bool {
    let passed_on = (0..site.machines.len())
        .flat_map(|index| site.worker(index).arrivals())
        .any(|arrival| arrival.id == outcome.id && arrival.ran);
    let held_for = outcome.ended_at.saturating_sub(outcome.sent_at);
    outcome.status.is_none()
        && outcome.ended_at >= first_signal_at
        && outcome.ended_at < first_signal_at + GRACE * 5 / 6
        && held_for < Duration::from_millis(DEADLINE_MS)
        && (passed_on || held_for > LOSS_SLACK)
}
