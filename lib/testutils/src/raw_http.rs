//! HTTP/1.1 as bytes, for what a well-behaved library would never send.

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

/// Sends bytes over a new connection and reads until the server closes it.
///
/// # Panics
///
/// When the server does not listen.
pub async fn raw_exchange(addr: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("the server listens");
    // A server that refuses early may close before it has read everything.
    let _written = stream.write_all(request).await;
    read_to_close(&mut stream).await
}

/// Reads until the other side closes or resets the connection.
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

/// Reads until the bytes read so far end a header section.
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

/// An upstream that gives the same bytes as the answer to every request.
#[derive(Debug)]
pub struct RawUpstream {
    /// Where it listens.
    pub addr: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    started: Arc<AtomicUsize>,
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
    /// When it can't listen.
    pub async fn start(answer: &str) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("loopback has a free port");
        let addr = listener.local_addr().expect("a listener has an address");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&requests);
        let started = Arc::new(AtomicUsize::new(0));
        let heads = Arc::clone(&started);
        let answer: Arc<str> = Arc::from(answer);
        let accepting = async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_one(stream, Arc::clone(&answer), Arc::clone(&seen), Arc::clone(&heads)));
            }
        };
        Self { addr, requests, started, task: tokio::spawn(accepting).abort_handle() }
    }

    /// Requests of which the header section has come.
    #[must_use]
    pub fn started(&self) -> usize {
        self.started.load(Ordering::Acquire)
    }

    /// The requests seen so far, header section and body as they came.
    #[must_use]
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().clone()
    }
}

async fn answer_one(
    mut stream: TcpStream,
    answer: Arc<str>,
    seen: Arc<Mutex<Vec<String>>>,
    heads: Arc<AtomicUsize>,
) {
    let mut request = read_head(&mut stream).await;
    heads.fetch_add(1, Ordering::Release);
    let chunked = request.contains("transfer-encoding: chunked");
    let length = request.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut left: usize = length.and_then(|length| length.trim().parse().ok()).unwrap_or(0);
    let mut buffer = vec![0; READ_BYTES];
    while left > 0 || (chunked && !ends_chunks(&request)) {
        let Ok(read @ 1..) = stream.read(&mut buffer).await else {
            break;
        };
        left = left.saturating_sub(read);
        request.push_str(&String::from_utf8_lossy(&buffer[..read]));
    }
    seen.lock().push(request);
    // The gate may have gone away by now.
    let _written = stream.write_all(answer.as_bytes()).await;
    let _closed = stream.shutdown().await;
}

fn ends_chunks(request: &str) -> bool {
    let body = request.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (body.starts_with("0\r\n") || body.contains("\r\n0\r\n")) && body.ends_with("\r\n\r\n")
}
