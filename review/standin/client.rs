//! Clients: requests as the platform's clients send them, and what became of each.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use crate::http::Connection;
use crate::http::Head;
use crate::http::exchange;
use crate::record::Record;
use crate::site::HOST;

/// Time limit of a readiness check.
const READINESS_TIMEOUT: Duration = Duration::from_millis(900);

/// What a client saw of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    /// When the last byte of the request was sent.
    pub sent_at: Duration,
    /// When the answer was complete or the connection had ended.
    pub ended_at: Duration,
    /// Status of the complete answer; `None` if the connection ended without one.
    pub status: Option<u16>,
}

/// Returns the head of a request with a body of this length.
pub fn request_head(method: &str, target: &str, id: &str, deadline_ms: u64, length: usize) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Content-Length: {length}\r\n\r\n"
    )
}

/// Sends a request on a connection and waits for its answer.
pub fn call(connection: &mut Connection, request: &[u8], id: &str, record: &Record) -> Outcome {
    record.add(format!("client: sends {id}"));
    let sent = connection.send(request);
    let sent_at = record.now();
    let answer = sent.and_then(|()| read_answer(connection, id));
    let outcome = Outcome { id: id.to_owned(), sent_at, ended_at: record.now(), status: answer.as_ref().ok().map(Head::status) };
    match answer {
        Ok(head) => record.add(format!("client: {id} answered {}", head.start)),
        Err(error) => record.add(format!("client: {id} ended without a complete answer: {error}")),
    }
    outcome
}

/// Reads the answer to the request with this id.
pub fn read_answer(connection: &mut Connection, id: &str) -> io::Result<Head> {
    let head = connection.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    connection.read_body(&head)?;
    match head.get("request-id") {
        Some(echoed) if echoed != id => Err(io::Error::other(format!("an answer to {echoed}"))),
        _ => Ok(head),
    }
}

/// Returns whether a node answers its readiness check with 200.
pub fn is_ready(readiness: SocketAddr) -> bool {
    let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    exchange(readiness, request, READINESS_TIMEOUT).is_ok_and(|(head, _)| head.status() == 200)
}
