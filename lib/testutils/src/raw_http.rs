//! HTTP/1.1 as raw bytes, for malformed or unusual messages that an HTTP library does not send.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

const HEAD_END: &[u8] = b"\r\n\r\n";
const READ_BYTES: usize = 16_384;

/// Sends bytes over a new connection and returns all that the server sends until it closes the connection.
///
/// # Panics
///
/// When the server does not listen.
pub async fn raw_exchange(addr: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("the server listens");
    // A server that rejects the request early may close the connection before it has read everything.
    let _written = stream.write_all(request).await;
    read_to_close(&mut stream).await
}

/// Reads until the peer closes or resets the connection and returns the bytes as text.
pub async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    while let Ok(read) = stream.read(&mut buffer).await {
        if read == 0 {
            break;
        }
        bytes.extend_from_slice(&buffer[..read]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads one header section, byte by byte so that no byte of the body is consumed.
///
/// Returns what was read so far when the connection ends first.
pub async fn read_head(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(HEAD_END) {
        match stream.read(&mut byte).await {
            Ok(1) => bytes.push(byte[0]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// An upstream that answers every request with the same bytes.
#[derive(Debug)]
pub struct RawUpstream {
    /// Address that the upstream listens on.
    pub addr: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    heads_received: Arc<AtomicUsize>,
    task: AbortHandle,
}

impl Drop for RawUpstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RawUpstream {
    /// Starts an upstream that closes each connection after the answer.
    ///
    /// # Panics
    ///
    /// When no loopback port is free.
    pub async fn start(answer: &str) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("loopback has a free port");
        let addr = listener.local_addr().expect("a listener has an address");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let recorded = Arc::clone(&requests);
        let heads_received = Arc::new(AtomicUsize::new(0));
        let head_counter = Arc::clone(&heads_received);
        let answer: Arc<str> = Arc::from(answer);
        let accept_loop = async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_one_request(
                    stream,
                    Arc::clone(&answer),
                    Arc::clone(&recorded),
                    Arc::clone(&head_counter),
                ));
            }
        };
        Self { addr, requests, heads_received, task: tokio::spawn(accept_loop).abort_handle() }
    }

    /// Returns the number of requests whose header section has been received.
    #[must_use]
    pub fn started(&self) -> usize {
        self.heads_received.load(Ordering::Acquire)
    }

    /// Returns the requests received so far, with header section and body as text.
    #[must_use]
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().clone()
    }
}

/// Reads one request, records it and sends the fixed answer.
async fn serve_one_request(
    mut stream: TcpStream,
    answer: Arc<str>,
    recorded: Arc<Mutex<Vec<String>>>,
    head_counter: Arc<AtomicUsize>,
) {
    let mut request = read_head(&mut stream).await;
    head_counter.fetch_add(1, Ordering::Release);
    let chunked = request.contains("transfer-encoding: chunked");
    let length = request.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut remaining_bytes: usize = length.and_then(|length| length.trim().parse().ok()).unwrap_or(0);
    let mut buffer = vec![0; READ_BYTES];
    while remaining_bytes > 0 || (chunked && !ends_chunked_body(&request)) {
        let Ok(read @ 1..) = stream.read(&mut buffer).await else {
            break;
        };
        remaining_bytes = remaining_bytes.saturating_sub(read);
        request.push_str(&String::from_utf8_lossy(&buffer[..read]));
    }
    recorded.lock().push(request);
    // The gate may already have closed the connection.
    let _written = stream.write_all(answer.as_bytes()).await;
    let _closed = stream.shutdown().await;
}

/// Returns whether the request read so far ends with the last chunk of a chunked body.
fn ends_chunked_body(request: &str) -> bool {
    let body = request.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (body.starts_with("0\r\n") || body.contains("\r\n0\r\n")) && body.ends_with("\r\n\r\n")
}

/// An upstream that answers every request with bytes that never end.
#[derive(Debug)]
pub struct EndlessUpstream {
    /// Address that the upstream listens on.
    pub addr: SocketAddr,
    sent_bytes: Arc<AtomicUsize>,
    sending: Arc<AtomicUsize>,
    task: AbortHandle,
}

impl Drop for EndlessUpstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl EndlessUpstream {
    /// Starts an upstream that sends `start` and then `repeated` until the connection fails.
    ///
    /// # Panics
    ///
    /// When no loopback port is free.
    pub async fn start(start: &str, repeated: &str) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("loopback has a free port");
        let addr = listener.local_addr().expect("a listener has an address");
        let (start, repeated): (Arc<str>, Arc<str>) = (Arc::from(start), Arc::from(repeated));
        let (sent_bytes, sending) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let (byte_counter, sender_counter) = (Arc::clone(&sent_bytes), Arc::clone(&sending));
        let accept_loop = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (start, repeated) = (Arc::clone(&start), Arc::clone(&repeated));
                let (byte_counter, sender_counter) = (Arc::clone(&byte_counter), Arc::clone(&sender_counter));
                tokio::spawn(async move {
                    sender_counter.fetch_add(1, Ordering::AcqRel);
                    send_without_end(stream, &start, &repeated, &byte_counter).await;
                    sender_counter.fetch_sub(1, Ordering::AcqRel);
                });
            }
        };
        Self { addr, sent_bytes, sending, task: tokio::spawn(accept_loop).abort_handle() }
    }

    /// Returns the number of bytes sent so far, over all connections.
    #[must_use]
    pub fn sent_bytes(&self) -> usize {
        self.sent_bytes.load(Ordering::Acquire)
    }

    /// Returns the number of connections that have not failed yet.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.sending.load(Ordering::Acquire)
    }
}

/// Reads the head of one request and sends until the connection fails.
async fn send_without_end(mut stream: TcpStream, start: &str, repeated: &str, sent_bytes: &AtomicUsize) {
    read_head(&mut stream).await;
    if stream.write_all(start.as_bytes()).await.is_err() {
        return;
    }
    while stream.write_all(repeated.as_bytes()).await.is_ok() {
        sent_bytes.fetch_add(repeated.len(), Ordering::AcqRel);
    }
}
