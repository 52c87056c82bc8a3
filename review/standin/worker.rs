//! Stand-in for an application worker: runs requests, sends check-ins, drains and leaves.
//!
//! The query of a request says how it is handled: `work` is the run time in milliseconds, and with `early` = 1
//! the worker answers a long request before it has read the body, keeps the connection and reads on.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Connection;
use crate::http::Head;
use crate::http::exchange;
use crate::http::json_post;
use crate::http::number;
use crate::record::Record;

/// Requests that a worker runs at the same time.
pub const SLOTS: usize = 9;
/// Interval between two check-ins.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time within which a check-in has to be acknowledged.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which a running request checks whether its connection was closed.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A request that reached a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    /// Time since the start of the run.
    pub at: Duration,
    /// When the worker ended it with an answer; `None` if it was rejected, dropped or cut.
    pub answered_at: Option<Duration>,
    pub ran: bool,
}

struct State {
    id: String,
    service: String,
    zone: String,
    addr: SocketAddr,
    control: SocketAddr,
    born_ms: u64,
    record: Record,
    sequence: AtomicU64,
    draining: AtomicBool,
    gone: AtomicBool,
    running: AtomicUsize,
    arrivals: Mutex<Vec<Arrival>>,
    open: Mutex<Vec<std::net::TcpStream>>,
}

/// One boot of a worker; clones share it.
#[derive(Clone)]
pub struct Worker {
    state: Arc<State>,
}

impl Worker {
    /// Starts a worker at `addr` that checks in at `control`.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        listener: TcpListener,
        control: SocketAddr,
        record: &Record,
    ) -> io::Result<Self> {
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let worker = Self {
            state: Arc::new(State {
                id: id.to_owned(),
                service: service.to_owned(),
                zone: zone.to_owned(),
                addr: listener.local_addr()?,
                control,
                born_ms,
                record: record.clone(),
                sequence: AtomicU64::new(0),
                draining: AtomicBool::new(false),
                gone: AtomicBool::new(false),
                running: AtomicUsize::new(0),
                arrivals: Mutex::default(),
                open: Mutex::default(),
            }),
        };
        let serving = worker.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_gone() {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    serving.state.open.lock().unwrap().push(copy);
                }
                let worker = serving.clone();
                std::thread::spawn(move || {
                    let _ended = worker.serve(Connection::new(stream));
                });
            }
        });
        let beating = worker.clone();
        std::thread::spawn(move || {
            while !beating.is_gone() {
                let _missed = beating.check_in();
                std::thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        Ok(worker)
    }

    fn is_gone(&self) -> bool {
        self.state.gone.load(Ordering::SeqCst)
    }

    /// Returns the requests that have reached the worker.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.arrivals.lock().unwrap().clone()
    }

    /// Sends one check-in and returns when it was acknowledged.
    pub fn check_in(&self) -> io::Result<Duration> {
        let State { id, service, zone, addr, control, born_ms, record, .. } = &*self.state;
        let sequence = self.state.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let draining = self.state.draining.load(Ordering::SeqCst);
        let state = if draining { "draining" } else { "ready" };
        let body = format!(
            "{{\"Address\":\"{addr}\",\"Info\":{{\"Service\":\"{service}\",\"Version\":\"v1\",\"Zone\":\"{zone}\",\
             \"Slots\":{SLOTS}}},\"Status\":{{\"State\":\"{state}\",\"Seq\":{sequence},\"ColdRemainingS\":0}},\
             \"born\":{born_ms}}}"
        );
        let request = json_post(&format!("/rpc?call=instances.heartbeat&of={id}"), &body);
        let (head, _) = exchange(*control, &request, ACK_TIMEOUT)?;
        if head.status() / 100 != 2 {
            return Err(io::Error::other(head.start));
        }
        if draining {
            record.add(format!("worker {id}: check-in 'draining' acknowledged"));
        }
        Ok(record.now())
    }

    /// Says that the worker is draining, and returns when that was acknowledged.
    pub fn drain(&self) -> io::Result<Duration> {
        self.state.draining.store(true, Ordering::SeqCst);
        self.check_in()
    }

    /// Says that the worker leaves, and ends it: every connection closes.
    pub fn leave(&self) -> io::Result<()> {
        let State { id, control, record, addr, .. } = &*self.state;
        let request = json_post(&format!("/rpc?call=instances.leave&of={id}"), "{}");
        let told = exchange(*control, &request, ACK_TIMEOUT);
        self.state.gone.store(true, Ordering::SeqCst);
        record.add(format!("worker {id}: leaves and exits"));
        let _wakes_the_listener = Connection::open(*addr);
        for stream in self.state.open.lock().unwrap().drain(..) {
            let _closed = stream.shutdown(std::net::Shutdown::Both);
        }
        told.map(|_| ())
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(head) = connection.read_head()? {
            let target = head.target().to_owned();
            if target == "/health" {
                self.answer_health(&mut connection)?;
                continue;
            }
            if number(&target, "early") == 1 {
                let index = self.arrive(&head);
                self.begin(index);
                let id = head.get("request-id").unwrap_or_default();
                self.send_answer(&mut connection, id, 200, "", b"early")?;
                self.finish(index);
                connection.read_body(&head)?;
                self.state.record.add(format!("worker {}: rest of {id} read", self.state.id));
                continue;
            }
            let index = self.arrive(&head);
            let body = connection.read_body(&head)?;
            self.handle(&mut connection, &head, &body, index)?;
        }
        Ok(())
    }

    fn handle(&self, connection: &mut Connection, head: &Head, body: &[u8], index: usize) -> io::Result<()> {
        let id = head.get("request-id").unwrap_or_default();
        let expected = head.get("expect-instance");
        if expected.is_some_and(|expected| expected != self.state.id) {
            let own = format!("Instance-Id: {}\r\n", self.state.id);
            return self.send_answer(connection, id, 421, &own, b"");
        }
        if self.state.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            self.state.running.fetch_sub(1, Ordering::SeqCst);
            return self.send_answer(connection, id, 503, "Not-Run: 1\r\n", b"");
        }
        self.begin(index);
        let finished = self.run(connection, Duration::from_millis(number(head.target(), "work")));
        self.state.running.fetch_sub(1, Ordering::SeqCst);
        if !finished {
            self.state.record.add(format!("worker {}: {id} dropped, its connection closed", self.state.id));
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let text = format!("{} {id} {}", self.state.id, body.len());
        self.send_answer(connection, id, 200, "", text.as_bytes())?;
        self.finish(index);
        self.state.record.add(format!("worker {}: {id} ran and was answered", self.state.id));
        Ok(())
    }

    /// Works on a request and returns whether its connection stayed open.
    fn run(&self, connection: &Connection, work: Duration) -> bool {
        let ends_at = Instant::now() + work;
        while Instant::now() < ends_at {
            std::thread::sleep(CLOSE_CHECK_INTERVAL);
            if connection.is_closed_by_peer() {
                return false;
            }
        }
        true
    }

    /// Records that the head of a request has arrived.
    fn arrive(&self, head: &Head) -> usize {
        let id = head.get("request-id").unwrap_or_default().to_owned();
        self.state.record.add(format!("worker {}: {id} arrives: {}", self.state.id, head.start));
        let mut arrivals = self.state.arrivals.lock().unwrap();
        arrivals.push(Arrival { id, at: self.state.record.now(), answered_at: None, ran: false });
        arrivals.len() - 1
    }

    /// Records that the worker begins to work on a request.
    fn begin(&self, index: usize) {
        self.state.arrivals.lock().unwrap()[index].ran = true;
    }

    fn finish(&self, index: usize) {
        let at = self.state.record.now();
        self.state.arrivals.lock().unwrap()[index].answered_at = Some(at);
    }

    fn load(&self) -> String {
        format!("Server-Load: {},0,{SLOTS},100\r\n", self.state.running.load(Ordering::SeqCst))
    }

    /// Fields of every answer: the load and, while the worker leaves, the notice of it.
    fn common_fields(&self) -> String {
        let leaving = if self.state.draining.load(Ordering::SeqCst) { "Server-Leaving: 1\r\n" } else { "" };
        format!("{}{leaving}", self.load())
    }

    fn answer_health(&self, connection: &mut Connection) -> io::Result<()> {
        let status = if self.state.draining.load(Ordering::SeqCst) { 503 } else { 200 };
        let fields = self.common_fields();
        let own = &self.state.id;
        let text = format!("HTTP/1.1 {status} Health\r\nInstance-Id: {own}\r\n{fields}Content-Length: 0\r\n\r\n");
        connection.send(text.as_bytes())
    }

    fn send_answer(
        &self,
        connection: &mut Connection,
        id: &str,
        status: u16,
        fields: &str,
        body: &[u8],
    ) -> io::Result<()> {
        let common = self.common_fields();
        let length = body.len();
        let mut answer = format!(
            "HTTP/1.1 {status} Answer\r\nRequest-Id: {id}\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
             {common}{fields}Content-Length: {length}\r\n\r\n"
        )
        .into_bytes();
        answer.extend_from_slice(body);
        connection.send(&answer)
    }
}
