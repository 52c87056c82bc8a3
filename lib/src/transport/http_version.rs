//! The HTTP version that a client uses on a new connection, told by the first bytes that it sends.

use std::io;
use std::time::Duration;

use tokio::net::TcpStream;

/// Version of HTTP on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HttpVersion {
    Http1,
    Http2,
}

/// First bytes of every HTTP/2 connection, which are no method of HTTP/1.1.
const HTTP2_START: &[u8] = b"PRI ";
/// Pause before the first bytes are looked at again while too few have arrived.
const PARTIAL_START_PAUSE: Duration = Duration::from_millis(1);

/// Waits for the first bytes of a connection and returns the version that they belong to.
///
/// Nothing is taken from the connection. One that the client closes counts as HTTP/1.1.
///
/// # Errors
///
/// Returns an error if the connection fails, or if a client that has started to send does not go on
/// within `timeout`.
pub(super) async fn client_version(stream: &TcpStream, timeout: Duration) -> io::Result<HttpVersion> {
    stream.readable().await?;
    tokio::time::timeout(timeout, version_of_start(stream)).await?
}

async fn version_of_start(stream: &TcpStream) -> io::Result<HttpVersion> {
    let mut start = [0; HTTP2_START.len()];
    loop {
        let received = stream.peek(&mut start).await?;
        if received == 0 || start[..received] != HTTP2_START[..received] {
            return Ok(HttpVersion::Http1);
        }
        if received == HTTP2_START.len() {
            return Ok(HttpVersion::Http2);
        }
        tokio::time::sleep(PARTIAL_START_PAUSE).await;
    }
}
