//! HTTP/1.1 messages over blocking sockets, as far as the stand-ins need them.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Size of one read from a socket.
const READ_BYTES: usize = 16 * 1024;
/// Time limit for opening a connection on loopback.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Start line and header fields of a message.
#[derive(Clone, Debug)]
pub struct Head {
    pub start: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of the first field with this name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// Returns the status code of a response, or 0.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns the target of a request, with its query.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.to_ascii_lowercase().contains("chunked"))
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length").and_then(|value| value.trim().parse().ok())
    }
}

/// Returns a query parameter of a target.
pub fn parameter<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let query = target.split_once('?')?.1;
    query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Returns a numeric query parameter of a target, or 0.
pub fn number(target: &str, name: &str) -> u64 {
    parameter(target, name).and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// A connection with a read buffer.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _unsupported = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(addr: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).map(Self::new)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; READ_BYTES];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read)
    }

    /// Reads a head; `None` if the connection ended before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(position) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break position;
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned())).collect();
        Ok(Some(Head { start, fields }))
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body of a message with a length or in chunks; a message with neither has none.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.take(head.length().unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let line = self.take_line()?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16);
            let size = size.map_err(|_malformed| io::Error::from(io::ErrorKind::InvalidData))?;
            if size == 0 {
                while !self.take_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.take(size)?);
            self.take_line()?;
        }
    }

    /// Returns whether the other side has closed or reset the connection.
    pub fn is_closed_by_peer(&self) -> bool {
        let _ignored = self.stream.set_nonblocking(true);
        let mut byte = [0; 1];
        let closed = match self.stream.peek(&mut byte) {
            Ok(read) => read == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        };
        let _ignored = self.stream.set_nonblocking(false);
        closed
    }
}

/// Sends one request on a connection of its own and returns the answer.
pub fn exchange(addr: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<(Head, Vec<u8>)> {
    let mut connection = Connection::open(addr)?;
    connection.stream.set_read_timeout(Some(timeout))?;
    connection.send(request)?;
    let head = connection.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = connection.read_body(&head)?;
    Ok((head, body))
}

/// Returns a POST request with a JSON body.
pub fn json_post(target: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST {target} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
    .into_bytes()
}
