//! A node is stopped while it holds requests back behind long uploads that their worker has answered early: these
//! requests are cut without having been sent to a worker.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::client::Outcome;
use crate::early_answer_drain::CALM;
use crate::early_answer_drain::DEADLINE_MS;
use crate::early_answer_drain::STEP;
use crate::early_answer_drain::follow;
use crate::early_answer_drain::upload;
use crate::record::Record;
use crate::site::Route;
use crate::site::SIGTERM;
use crate::site::Site;

const GRACE: Duration = Duration::from_secs(6);
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time after the signal at which the requests are sent: before two readiness checks can have missed.
const SENT_AFTER: Duration = Duration::from_millis(1_500);
/// Time over which a client sends a long body, within its time budget.
const UPLOAD: Duration = Duration::from_millis(4_700);
const UPLOADS: usize = 4;
const FOLLOWERS: usize = 6;
const WORK_MS: u64 = 200;

const ROUTES: [Route; 1] =
    [Route { prefix: "/puka111/", kind: "unsafe", service: "wuno96b", timeout_s: 5.0, target_s: 0.8 }];
const PLACES: [(&str, &str); 2] = [("dakar-medina", "wuno96b"), ("dakar-plateau", "wuno96b")];

/// Runs the case and returns whether the rule held.
pub fn run(root: &Path, record: &Record, trouble: bool) -> io::Result<bool> {
    let mut site = Site::start(root, record, &PLACES, &ROUTES)?;
    std::thread::sleep(CALM);
    let outbound = site.machines[0].outbound;
    let signal_at = record.now();
    site.signal(0, SIGTERM);
    std::thread::sleep(SENT_AFTER);
    let uploads: Vec<_> = (0..UPLOADS).map(|number| upload(outbound, number, trouble, UPLOAD, record)).collect();
    std::thread::sleep(STEP);
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let followers: Vec<_> =
        (0..FOLLOWERS).map(|number| follow(outbound, number, WORK_MS, &outcomes, record)).collect();
    while !site.has_ended(0) && record.now() < signal_at + GRACE {
        std::thread::sleep(Duration::from_millis(5));
    }
    let has_ended = site.has_ended(0);
    record.add(format!("machine {}: node has ended: {has_ended}", site.machines[0].name));
    for thread in uploads.into_iter().chain(followers) {
        let _ended = thread.join();
    }
    let outcomes = outcomes.lock().unwrap().clone();
    let lost: Vec<_> = outcomes.iter().filter(|outcome| is_lost(&site, outcome)).collect();
    for outcome in &lost {
        record.add(format!("LOST: {outcome:?}, sent {:?} after the signal", outcome.sent_at - signal_at));
    }
    record.add(format!("{} of {} ordinary requests lost", lost.len(), outcomes.len()));
    site.record_logs();
    if outcomes.len() < FOLLOWERS {
        return Err(io::Error::other("not all requests were sent"));
    }
    Ok(lost.is_empty())
}

/// Returns whether the end of a request breaks the rule LOST.
///
/// The excuse for a worker that is still at work can't apply to a request that no worker has got.
fn is_lost(site: &Site, outcome: &Outcome) -> bool {
    let reached_a_worker = (0..site.machines.len())
        .flat_map(|index| site.worker(index).arrivals())
        .any(|arrival| arrival.id == outcome.id);
    let held_for = outcome.ended_at - outcome.sent_at;
    outcome.status.is_none()
        && !reached_a_worker
        && held_for > LOSS_SLACK
        && held_for < Duration::from_millis(DEADLINE_MS)
}
