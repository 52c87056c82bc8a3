//! A relay for TCP and UDP that injects faults into TCP connections.
//!
//! A fault is injected when chosen bytes are relayed, or at once into every open connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Deserialize;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio_util::sync::CancellationToken;

/// Size of the read buffers; large enough for any UDP datagram.
const BUFFER_BYTES: usize = 65_536;
/// Number of ports tried to find one that is free for both TCP and UDP.
const PORT_ATTEMPTS: u32 = 16;

/// A fault injected into a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Closes the connection at both ends.
    Cut,
    /// Stops relaying to the target and keeps the connection open.
    StallToTarget,
    /// Stops relaying to the client and keeps the connection open.
    StallToClient,
    /// Stops relaying in both directions and keeps the connection open.
    StallBoth,
}

/// Point of an exchange at which a fault is injected, relative to the bytes that trigger it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultPoint {
    /// Before the matching request bytes are relayed.
    RequestBefore,
    /// After the matching request bytes have been relayed.
    RequestAfter,
    /// Before the matching answer bytes are relayed.
    AnswerBefore,
    /// After the first half of the read that holds the matching answer bytes has been relayed.
    AnswerMiddle,
}

/// A fault that is injected once, when given bytes are relayed.
#[derive(Clone, Debug)]
pub struct FaultTrigger {
    /// Bytes that trigger the fault when a single read contains them.
    pub pattern: Vec<u8>,
    /// Point of the exchange at which the fault is injected.
    pub point: FaultPoint,
    /// The fault to inject.
    pub fault: Fault,
    /// Whether the fault has been injected.
    ///
    /// Relays that share this flag inject the fault only once between them.
    pub triggered: Arc<AtomicBool>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToClient,
}

#[derive(Debug, Default)]
struct Shared {
    target: Mutex<Option<SocketAddr>>,
    triggers: Mutex<Vec<FaultTrigger>>,
    faulted: Mutex<Vec<Arc<Connection>>>,
    open: Mutex<Vec<Weak<Connection>>>,
    delay_ms: AtomicU64,
    stop: CancellationToken,
}

/// Fault state of one relayed connection.
#[derive(Debug, Default)]
struct Connection {
    cut: CancellationToken,
    stalled_to_target: CancellationToken,
    stalled_to_client: CancellationToken,
    released: CancellationToken,
}

/// A TCP and UDP relay to one target address, stopped on drop.
#[derive(Debug)]
pub struct FaultRelay {
    /// Address that the relay listens on, for both TCP and UDP.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl FaultRelay {
    /// Starts a relay that has no target yet; it closes connections until [`Self::set_target`] is called.
    ///
    /// # Panics
    ///
    /// When no port is free.
    pub async fn start() -> Self {
        let (listener, socket) = bind_both().await;
        let addr = listener.local_addr().expect("the listener has an address");
        let shared = Arc::new(Shared::default());
        tokio::spawn(accept(listener, Arc::clone(&shared)));
        tokio::spawn(relay_datagrams(socket, Arc::clone(&shared)));
        Self { addr, shared }
    }

    /// Sets the target of new connections and datagrams.
    pub fn set_target(&self, target: SocketAddr) {
        *self.shared.target.lock() = Some(target);
    }

    /// Adds a fault to inject when its bytes are relayed.
    pub fn add_trigger(&self, trigger: FaultTrigger) {
        self.shared.triggers.lock().push(trigger);
    }

    /// Injects a fault into every connection that is open.
    pub fn break_open_connections(&self, fault: Fault) {
        let mut open = self.shared.open.lock();
        for connection in open.drain(..).filter_map(|connection| connection.upgrade()) {
            connection.apply_fault(fault);
            self.shared.faulted.lock().push(connection);
        }
    }

    /// Delays each relayed read of a TCP connection by `delay` from now on.
    pub fn set_delay(&self, delay: Duration) {
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.shared.delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    /// Returns the number of faults injected so far.
    #[must_use]
    pub fn fault_count(&self) -> usize {
        self.shared.faulted.lock().len()
    }

    /// Resumes stalled connections, which then deliver late all bytes that were not relayed.
    pub fn release_stalled(&self) {
        for connection in self.shared.faulted.lock().iter() {
            connection.released.cancel();
        }
    }
}

impl Drop for FaultRelay {
    fn drop(&mut self) {
        self.shared.stop.cancel();
    }
}

/// Binds a loopback port that is free for both TCP and UDP.
///
/// # Panics
///
/// When none of [`PORT_ATTEMPTS`] ports is free for both.
async fn bind_both() -> (TcpListener, UdpSocket) {
    for _ in 0..PORT_ATTEMPTS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let addr = listener.local_addr().expect("the listener has an address");
        if let Ok(socket) = UdpSocket::bind(addr).await {
            return (listener, socket);
        }
    }
    panic!("no port is free for both TCP and UDP");
}

/// Relays datagrams to the target through one socket per sender, so that replies can be attributed.
async fn relay_datagrams(socket: UdpSocket, shared: Arc<Shared>) {
    let socket = Arc::new(socket);
    let mut sockets_by_sender: IndexMap<SocketAddr, Arc<UdpSocket>> = IndexMap::new();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let (length, from) = tokio::select! {
            () = shared.stop.cancelled() => return,
            received = socket.recv_from(&mut buffer) => match received {
                Ok(received) => received,
                Err(_) => continue,
            },
        };
        let Some(target) = *shared.target.lock() else {
            continue;
        };
        if !sockets_by_sender.contains_key(&from) {
            let target_socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a port is free"));
            tokio::spawn(relay_replies(
                Arc::clone(&target_socket),
                Arc::clone(&socket),
                from,
                Arc::clone(&shared),
            ));
            sockets_by_sender.insert(from, target_socket);
        }
        // A failed send counts as packet loss, which users of UDP tolerate.
        let _passed = sockets_by_sender[&from].send_to(&buffer[..length], target).await;
    }
}

/// Relays the datagrams that `target_socket` receives back to the sender `to`.
async fn relay_replies(
    target_socket: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    to: SocketAddr,
    shared: Arc<Shared>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            received = target_socket.recv_from(&mut buffer) => {
                if let Ok((length, _)) = received {
                    let _passed = socket.send_to(&buffer[..length], to).await;
                }
            }
        }
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let client = tokio::select! {
            () = shared.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let target = *shared.target.lock();
        let (Ok((client, _)), Some(target)) = (client, target) else {
            continue;
        };
        tokio::spawn(relay(client, target, Arc::clone(&shared)));
    }
}

async fn relay(client: TcpStream, target: SocketAddr, shared: Arc<Shared>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // Without Nagle's algorithm small writes are sent at once; failure only adds latency.
    let _set = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let connection = Arc::new(Connection::default());
    shared.register_open(&connection);
    let to_target = pump(client_read, server_write, Direction::ToTarget, &connection, &shared);
    let to_client = pump(server_read, client_write, Direction::ToClient, &connection, &shared);
    tokio::select! {
        ((), ()) = async { tokio::join!(to_target, to_client) } => {}
        () = connection.cut.cancelled() => {}
        () = shared.stop.cancelled() => {}
    }
}

/// Copies bytes in one direction and applies scheduled faults until either end closes.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    connection: &Arc<Connection>,
    shared: &Shared,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(read) = from.read(&mut buffer).await
        && read > 0
    {
        let bytes = &buffer[..read];
        shared.apply_delay().await;
        let Some(trigger) = shared.take_matching_trigger(bytes, direction) else {
            connection.wait_while_stalled(direction).await;
            if to.write_all(bytes).await.is_err() {
                return;
            }
            continue;
        };
        let passed_bytes = trigger.bytes_before_fault(read);
        if to.write_all(&bytes[..passed_bytes]).await.is_err() {
            return;
        }
        connection.apply_fault(trigger.fault);
        shared.faulted.lock().push(Arc::clone(connection));
        connection.wait_while_stalled(direction).await;
        if to.write_all(&bytes[passed_bytes..]).await.is_err() {
            return;
        }
    }
    connection.wait_while_stalled(direction).await;
    // The receiving side may already have closed the connection.
    let _shut = to.shutdown().await;
}

impl Shared {
    fn register_open(&self, connection: &Arc<Connection>) {
        let mut open = self.open.lock();
        open.retain(|connection| connection.strong_count() > 0);
        open.push(Arc::downgrade(connection));
    }

    /// Sleeps for the delay that [`FaultRelay::set_delay`] has set.
    async fn apply_delay(&self) {
        let delay_ms = self.delay_ms.load(Ordering::SeqCst);
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Removes the first trigger that matches `bytes`; returns it unless another relay has used it.
    fn take_matching_trigger(&self, bytes: &[u8], direction: Direction) -> Option<FaultTrigger> {
        let mut triggers = self.triggers.lock();
        let index = triggers
            .iter()
            .position(|trigger| trigger.direction() == direction && trigger.matches_bytes(bytes))?;
        let trigger = triggers.swap_remove(index);
        (!trigger.triggered.swap(true, Ordering::SeqCst)).then_some(trigger)
    }
}

impl FaultTrigger {
    const fn direction(&self) -> Direction {
        match self.point {
            FaultPoint::RequestBefore | FaultPoint::RequestAfter => Direction::ToTarget,
            FaultPoint::AnswerBefore | FaultPoint::AnswerMiddle => Direction::ToClient,
        }
    }

    fn matches_bytes(&self, bytes: &[u8]) -> bool {
        bytes.windows(self.pattern.len()).any(|window| window == self.pattern)
    }

    /// Returns how many bytes of a read are relayed before the fault is applied.
    const fn bytes_before_fault(&self, read: usize) -> usize {
        match self.point {
            FaultPoint::RequestBefore | FaultPoint::AnswerBefore => 0,
            FaultPoint::RequestAfter => read,
            FaultPoint::AnswerMiddle => read / 2,
        }
    }
}

impl Connection {
    fn apply_fault(&self, fault: Fault) {
        match fault {
            Fault::Cut => self.cut.cancel(),
            Fault::StallToTarget => self.stalled_to_target.cancel(),
            Fault::StallToClient => self.stalled_to_client.cancel(),
            Fault::StallBoth => {
                self.stalled_to_target.cancel();
                self.stalled_to_client.cancel();
            }
        }
    }

    /// Waits while the direction is stalled; never returns once the connection is cut.
    async fn wait_while_stalled(&self, direction: Direction) {
        let stalled = match direction {
            Direction::ToTarget => &self.stalled_to_target,
            Direction::ToClient => &self.stalled_to_client,
        };
        if self.cut.is_cancelled() {
            return std::future::pending().await;
        }
        if stalled.is_cancelled() {
            self.released.cancelled().await;
        }
    }
}
