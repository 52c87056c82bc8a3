//! A process that speaks the protocol between nodes and answers each call with a set status, in raw HTTP/2 frames.

use std::io::Result;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

const HANDSHAKE: &[u8; 18] = b"yuccatray peer 1\r\n";
/// Length of what a client sends before its first HTTP/2 frame.
const PREFACE_BYTES: usize = 24;
const FRAME_HEAD_BYTES: usize = 9;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const ACK: u8 = 1;
const END_STREAM_AND_HEADERS: u8 = 5;
/// Representation of a literal `:status` field without indexing, by its index in the static table.
const STATUS_FIELD: u8 = 8;
/// Representation of a literal field with a literal name, without indexing.
const LITERAL_FIELD: u8 = 0;

/// A peer that answers each call with the same head and no body.
#[derive(Debug)]
pub struct RawPeer {
    /// Address that the peer listens on.
    pub addr: SocketAddr,
    requests: Arc<Mutex<usize>>,
    task: AbortHandle,
}

impl Drop for RawPeer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RawPeer {
    /// Starts a peer that answers with a status, which may be any text, and with header fields.
    ///
    /// # Panics
    ///
    /// When no loopback port is free.
    pub async fn start(status: &str, fields: &[(&str, &str)]) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("loopback has a free port");
        let addr = listener.local_addr().expect("a listener has an address");
        let requests = Arc::new(Mutex::new(0));
        let counter = Arc::clone(&requests);
        let head: Arc<[u8]> = Arc::from(head_block(status, fields));
        let accept_loop = async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&head), Arc::clone(&counter)));
            }
        };
        Self { addr, requests, task: tokio::spawn(accept_loop).abort_handle() }
    }

    /// Returns the number of requests received so far.
    #[must_use]
    pub fn requests(&self) -> usize {
        *self.requests.lock()
    }
}

/// Returns a header block with a status and fields of fewer than 127 bytes each.
fn head_block(status: &str, fields: &[(&str, &str)]) -> Vec<u8> {
    let mut block = vec![STATUS_FIELD];
    push_text(&mut block, status);
    for (name, value) in fields {
        block.push(LITERAL_FIELD);
        push_text(&mut block, name);
        push_text(&mut block, value);
    }
    block
}

fn push_text(block: &mut Vec<u8>, text: &str) {
    block.push(u8::try_from(text.len()).expect("the text is short"));
    block.extend_from_slice(text.as_bytes());
}

/// Answers every request of one connection until it fails.
async fn serve(mut stream: TcpStream, head: Arc<[u8]>, requests: Arc<Mutex<usize>>) -> Result<()> {
    let mut start = [0; HANDSHAKE.len()];
    stream.read_exact(&mut start).await?;
    stream.write_all(HANDSHAKE).await?;
    stream.read_exact(&mut [0; PREFACE_BYTES]).await?;
    write_frame(&mut stream, SETTINGS, 0, [0; 4], &[]).await?;
    loop {
        let mut frame = [0; FRAME_HEAD_BYTES];
        stream.read_exact(&mut frame).await?;
        let [high, middle, low, kind, flags, stream_id @ ..] = frame;
        let mut payload = vec![0; u32::from_be_bytes([0, high, middle, low]) as usize];
        stream.read_exact(&mut payload).await?;
        match kind {
            HEADERS => {
                *requests.lock() += 1;
                write_frame(&mut stream, HEADERS, END_STREAM_AND_HEADERS, stream_id, &head).await?;
            }
            SETTINGS if flags & ACK == 0 => write_frame(&mut stream, SETTINGS, ACK, stream_id, &[]).await?,
            PING if flags & ACK == 0 => write_frame(&mut stream, PING, ACK, stream_id, &payload).await?,
            _ => {}
        }
    }
}

async fn write_frame(
    stream: &mut TcpStream,
    kind: u8,
    flags: u8,
    stream_id: [u8; 4],
    payload: &[u8],
) -> Result<()> {
    let [_, length @ ..] = u32::try_from(payload.len()).expect("the payload is short").to_be_bytes();
    let mut frame = length.to_vec();
    frame.extend_from_slice(&[kind, flags]);
    frame.extend_from_slice(&stream_id);
    frame.extend_from_slice(payload);
    stream.write_all(&frame).await
}
