//! The cases of the second review that are shown by a script. `cases NAME` runs one and exits with its result.

mod support;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use support::*;

/// Deadline of requests that need no special one, in milliseconds.
const DEADLINE_MS: u32 = 2_000;
/// Longest time that a case may take.
const CASE_LIMIT: Duration = Duration::from_secs(100);
/// Time after which a client gives up reading.
const CLIENT_LIMIT: Duration = Duration::from_secs(9);

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    end_after(CASE_LIMIT);
    let record = Arc::new(Record::default());
    let result = match name.as_str() {
        "cold-rate" => cold_rate(&record),
        "slow-reader" => slow_reader(&record),
        "chunked-get" => chunked_get(&record),
        "control-path" => control_path(&record),
        other => {
            record.note(format!("no case is named {other:?}"));
            NOT_RUN
        }
    };
    let words = match result {
        HELD => "the rule held",
        BROKEN => "the rule was broken",
        _ => "the case could not run",
    };
    record.note(words);
    record.save();
    clean_up();
    std::process::exit(result);
}

/// Two nodes in one zone, each with its worker; the clients of a case use the first node.
struct Site {
    store: Store,
    first: Node,
    _second: Node,
    worker_a: Worker,
    worker_b: Worker,
}

const RULES: [Rule; 4] = [
    Rule { prefix: "/browse/", kind: "safe", service: "svc-a", timeout_s: 3.0, max_attempts: 2 },
    Rule { prefix: "/lookup/", kind: "safe", service: "svc-b", timeout_s: 3.0, max_attempts: 2 },
    Rule { prefix: "/order/", kind: "unsafe", service: "svc-b", timeout_s: 6.5, max_attempts: 2 },
    Rule { prefix: "/", kind: "safe", service: "svc-b", timeout_s: 3.0, max_attempts: 2 },
];

impl Site {
    /// Starts the site; `None` if it does not serve.
    fn start<F>(record: &Record, behaviour: F) -> Option<Self>
    where
        F: Fn(&Worker, &Received, &mut TcpStream) -> bool + Clone + Send + Sync + 'static,
    {
        let (store, store_addr) = Store::start();
        store.put("config", "main", &configuration(7, &RULES, &["svc-a", "svc-b"]));
        let first = Node::start("node-1", "zone-a", "svc-a", store_addr);
        let second = Node::start("node-2", "zone-a", "svc-b", store_addr);
        let worker_a = Worker::start("i-a", "svc-a", behaviour.clone());
        let worker_b = Worker::start("i-b", "svc-b", behaviour);
        worker_a.keep_checking_in(first.control);
        worker_b.keep_checking_in(second.control);
        let is_served = wait_served(&first, "/browse/warm", 3) && wait_served(&first, "/lookup/warm", 3);
        record.note(format!("two nodes serve: {is_served}"));
        // The machines are in touch StableWindowS after their start.
        thread::sleep(Duration::from_secs(4));
        (is_served && first.is_ready()).then_some(Self { store, first, _second: second, worker_a, worker_b })
    }

    fn runs_of(&self, id: &str) -> Vec<(&'static str, Received)> {
        let a = self.worker_a.runs_of(id).into_iter().map(|run| ("svc-a", run));
        let b = self.worker_b.runs_of(id).into_iter().map(|run| ("svc-b", run));
        a.chain(b).collect()
    }
}

/// LOST: a valid configuration with a high `ColdPerS` ends the process of every node beside that service.
fn cold_rate(record: &Record) -> i32 {
    const REQUESTS: usize = 6;
    /// Requests that a machine in touch may lose by the rule.
    const ALLOWED_LOSSES: usize = 3;
    const STARTS: usize = 3;
    let behaviour = |worker: &Worker, request: &Received, stream: &mut TcpStream| {
        if request.method == "POST" {
            thread::sleep(Duration::from_millis(4_500));
        }
        answer_soundly(worker, request, stream, b"done")
    };
    let Some(mut site) = Site::start(record, behaviour) else {
        return NOT_RUN;
    };
    let to = site.first.outbound;
    let requests: Vec<_> = (0..REQUESTS)
        .map(|number| thread::spawn(move || on_kept_connection(to, format!("3a0000000000000{number}"))))
        .collect();
    thread::sleep(Duration::from_millis(500));
    let cold_per_s = if with_trouble() { "1000000000" } else { "13.0" };
    let plain = configuration(8, &RULES, &["svc-a", "svc-b"]);
    let next = plain.replace(
        r#""Name":"svc-a","HealthPath""#,
        &format!(r#""Name":"svc-a","ColdStartS":3.0,"ColdPerS":{cold_per_s},"HealthPath""#),
    );
    site.store.put("config", "main", &next);
    record.note(format!("config/main 00000008 is written; ColdPerS of svc-a is {cold_per_s}"));
    let mut lost = 0;
    for request in requests {
        let Some((id, answer)) = request.join().ok().flatten() else {
            return NOT_RUN;
        };
        let runs = site.runs_of(&id).len();
        let is_lost = runs > 0 && !(answer.status != 0 && answer.whole);
        lost += usize::from(is_lost);
        record.note(format!("POST /order/{id} on a kept connection; answer {}; runs {runs}; lost {is_lost}", answer.status));
    }
    let mut ends = usize::from(wait_until(Duration::from_secs(2), || site.first.has_ended()));
    record.note(format!("the process of node-1 ended by itself: {}", ends > 0));
    while ends > 0 && ends < STARTS {
        site.first.kill();
        site.first.run();
        if !wait_until(Duration::from_secs(10), || site.first.has_ended()) {
            break;
        }
        ends += 1;
        record.note(format!("started again, it ended by itself again; {ends} ends"));
    }
    record.note(format!("last line of its log: {:?}", site.first.log().lines().rev().find(|line| line.contains("memory"))));
    if lost > ALLOWED_LOSSES || ends >= STARTS { BROKEN } else { HELD }
}

/// Sends one request, and on the same connection one that is not idempotent.
fn on_kept_connection(to: SocketAddr, id: String) -> Option<(String, Answer)> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(CLIENT_LIMIT)).ok()?;
    let mut reader = Reader::new(stream.try_clone().ok()?);
    stream.write_all(&get("/lookup/warm", &format!("{id}w"), DEADLINE_MS)).ok()?;
    if read_answer(&mut reader).status != 200 {
        return None;
    }
    let request = format!(
        "POST /order/{id} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 6000\r\nContent-Length: 5\r\n\r\nquilt"
    );
    stream.write_all(request.as_bytes()).ok()?;
    Some((id, read_answer(&mut reader)))
}

/// LOST: a stopping node breaks off a request whose worker has not read its long body for three seconds.
fn slow_reader(record: &Record) -> i32 {
    const REQUESTS: usize = 4;
    const BODY_BYTES: usize = 600_000;
    /// The last sixth of GraceS, 6 s, in which a worker at work excuses the node.
    const EXCUSED_FROM_S: f64 = 5.0;
    let Some(site) = Site::start(record, |worker, request, stream| {
        answer_soundly(worker, request, stream, b"done")
    }) else {
        return NOT_RUN;
    };
    // The whole time of work; with the disruption, the worker leaves the body unread meanwhile.
    let work = Duration::from_millis(4_300);
    if with_trouble() {
        *site.worker_b.reads_on_after.lock().unwrap() = work;
    } else {
        *site.worker_b.works_after_body.lock().unwrap() = work;
    }
    let stopped_at = Instant::now();
    site.first.signal("TERM");
    record.note("SIGTERM to node-1");
    let to = site.first.outbound;
    thread::sleep(Duration::from_millis(200));
    let requests: Vec<_> = (0..REQUESTS)
        .map(|number| thread::spawn(move || post(to, format!("9b0000000000000{number}"), BODY_BYTES)))
        .collect();
    let (mut lost, mut answered) = (0, 0);
    for request in requests {
        let Ok((id, answer, sent_at, ended_at)) = request.join() else {
            return NOT_RUN;
        };
        let runs = site.runs_of(&id).len();
        let after = |at: Instant| at.saturating_duration_since(stopped_at).as_secs_f64();
        let is_stamped = answer.whole && answer.field("Server-Stamp").is_some();
        let is_lost = runs > 0 && !is_stamped && after(ended_at) < EXCUSED_FROM_S;
        lost += usize::from(is_lost);
        answered += usize::from(is_stamped);
        record.note(format!(
            "POST /order/{id} of {BODY_BYTES} bytes, last byte sent {:.2} s and ended {:.2} s after the SIGTERM; answer {} {:?}, stamped {is_stamped}; runs {runs}; lost {is_lost}",
            after(sent_at),
            after(ended_at),
            answer.status,
            String::from_utf8_lossy(&answer.body)
        ));
    }
    record.note(format!("{answered} of {REQUESTS} got their worker's answer"));
    if lost > 0 { BROKEN } else { HELD }
}

/// Posts a body over a new connection; returns when it was sent and when it ended as well.
fn post(to: SocketAddr, id: String, bytes: usize) -> (String, Answer, Instant, Instant) {
    let head = format!(
        "POST /order/{id} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 6000\r\nContent-Length: {bytes}\r\n\r\n"
    );
    let Ok(mut stream) = TcpStream::connect(to) else {
        return (id, Answer::default(), Instant::now(), Instant::now());
    };
    let _ = stream.set_read_timeout(Some(CLIENT_LIMIT));
    let _ = stream.set_write_timeout(Some(CLIENT_LIMIT));
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.write_all(&vec![b'u'; bytes]);
    let sent_at = Instant::now();
    let answer = read_answer(&mut Reader::new(stream));
    (id, answer, sent_at, Instant::now())
}

/// UNASKED: a worker runs a request without its body, if the client sends the body of a GET in chunks.
fn chunked_get(record: &Record) -> i32 {
    let Some(site) = Site::start(record, |worker, request, stream| {
        answer_soundly(worker, request, stream, format!("{} bytes", request.body.len()).as_bytes())
    }) else {
        return NOT_RUN;
    };
    let body = r#"{"colour":"indigo","size":"king"}"#;
    let mut changed = 0;
    for (number, path) in ["/browse/quilts", "/lookup/quilts", "/browse/cloth", "/lookup/cloth"].iter().enumerate() {
        let id = format!("5c0000000000000{number}");
        let framed = if with_trouble() {
            format!("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
        } else {
            format!("Content-Length: {}\r\n\r\n{body}", body.len())
        };
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\nContent-Type: application/json\r\n{framed}"
        );
        let answer = exchange(site.first.outbound, request.as_bytes(), CLIENT_LIMIT);
        record.note(format!(
            "sent GET {path} {id} with a body of {} bytes; answer {} {:?}",
            body.len(),
            answer.status,
            String::from_utf8_lossy(&answer.body)
        ));
        for (service, run) in site.runs_of(&id) {
            let is_changed = run.body != body.as_bytes();
            changed += usize::from(is_changed);
            record.note(format!(
                "{service} ran {} {} {id} with a body of {} bytes; changed {is_changed}",
                run.method,
                run.target,
                run.body.len()
            ));
        }
    }
    if changed > 0 { BROKEN } else { HELD }
}

/// MIXED: a request whose path begins like a control message between nodes is answered by a node as a success.
fn control_path(record: &Record) -> i32 {
    let Some(site) = Site::start(record, |worker, request, stream| {
        answer_soundly(worker, request, stream, b"pattern")
    }) else {
        return NOT_RUN;
    };
    let folder = if with_trouble() { "yuccatray.peer.v1.Peer" } else { "yuccatray.peer.v2.Peer" };
    let mut wrong = 0;
    for number in 0..4 {
        let id = format!("7e0000000000000{number}");
        let path = format!("/{folder}/pattern-{number}");
        let answer = exchange(site.first.outbound, &get(&path, &id, DEADLINE_MS), CLIENT_LIMIT);
        let is_stamped = answer.field("Server-Stamp").is_some();
        let is_wrong = (200..300).contains(&answer.status) && (!is_stamped || answer.body != b"pattern");
        wrong += usize::from(is_wrong);
        record.note(format!(
            "sent GET {path} {id}; answer {} {:?}; stamped {is_stamped}; fields {:?}; runs {}; wrong {is_wrong}",
            answer.status,
            String::from_utf8_lossy(&answer.body),
            answer.fields,
            site.runs_of(&id).len()
        ));
    }
    if wrong > 0 { BROKEN } else { HELD }
}
