//! A relay that breaks a TCP connection when chosen bytes pass, and passes datagrams.

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

const BUFFER_BYTES: usize = 65_536;
const PORT_ATTEMPTS: u32 = 16;

/// What happens to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Both ends see it close.
    Cut,
    /// Nothing passes to the target any more; nobody is told.
    StallToTarget,
    /// Nothing passes to the client any more; nobody is told.
    StallToClient,
    /// Nothing passes any more; nobody is told.
    StallBoth,
}

/// Where the fault strikes, relative to the bytes that it waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Point {
    /// Before the request passes.
    RequestBefore,
    /// After the request has passed.
    RequestAfter,
    /// Before the answer passes.
    AnswerBefore,
    /// When half of what came of the answer has passed.
    AnswerMiddle,
}

/// A fault that waits for its moment; it strikes once.
#[derive(Clone, Debug)]
pub struct Trap {
    /// Bytes that spring it.
    pub mark: Vec<u8>,
    /// Where it strikes.
    pub point: Point,
    /// What it does.
    pub fault: Fault,
    /// Whether it has struck; shared by relays of which only one may strike.
    pub sprung: Arc<AtomicBool>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToClient,
}

#[derive(Debug, Default)]
struct Shared {
    target: Mutex<Option<SocketAddr>>,
    traps: Mutex<Vec<Trap>>,
    sprung: Mutex<Vec<Arc<Link>>>,
    open: Mutex<Vec<Weak<Link>>>,
    delay_ms: AtomicU64,
    stop: CancellationToken,
}

/// One relayed connection.
#[derive(Debug, Default)]
struct Link {
    cut: CancellationToken,
    stalled_to_target: CancellationToken,
    stalled_to_client: CancellationToken,
    healed: CancellationToken,
}

/// A relay in front of one address.
#[derive(Debug)]
pub struct FaultRelay {
    /// Where it listens.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl FaultRelay {
    /// Starts to listen; connections wait until there is a target.
    ///
    /// # Panics
    ///
    /// When no port is free.
    pub async fn start() -> Self {
        let (listener, socket) = bind_both().await;
        let addr = listener.local_addr().expect("the listener has an address");
        let shared = Arc::new(Shared::default());
        tokio::spawn(accept(listener, Arc::clone(&shared)));
        tokio::spawn(pass_datagrams(socket, Arc::clone(&shared)));
        Self { addr, shared }
    }

    /// Sets where connections go.
    pub fn connect_to(&self, target: SocketAddr) {
        *self.shared.target.lock() = Some(target);
    }

    /// Sets a trap.
    pub fn set(&self, trap: Trap) {
        self.shared.traps.lock().push(trap);
    }

    /// Strikes every connection that is open at this moment.
    pub fn strike_open(&self, fault: Fault) {
        let mut open = self.shared.open.lock();
        for link in open.drain(..).filter_map(|link| link.upgrade()) {
            link.strike(fault);
            self.shared.sprung.lock().push(link);
        }
    }

    /// Holds back from now on whatever passes for so long.
    pub fn set_delay(&self, delay: Duration) {
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.shared.delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    /// Number of traps that have struck.
    #[must_use]
    pub fn struck(&self) -> usize {
        self.shared.sprung.lock().len()
    }

    /// Lets stalled connections deliver, late, all that they held back.
    pub fn heal(&self) {
        for link in self.shared.sprung.lock().iter() {
            link.healed.cancel();
        }
    }
}

impl Drop for FaultRelay {
    fn drop(&mut self) {
        self.shared.stop.cancel();
    }
}

/// A port that is free for both connections and datagrams.
async fn bind_both() -> (TcpListener, UdpSocket) {
    for _ in 0..PORT_ATTEMPTS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let addr = listener.local_addr().expect("the listener has an address");
        if let Ok(socket) = UdpSocket::bind(addr).await {
            return (listener, socket);
        }
    }
    panic!("no port is free for both connections and datagrams");
}

/// Passes datagrams on, each sender's by a socket of its own, so that answers find back.
async fn pass_datagrams(socket: UdpSocket, shared: Arc<Shared>) {
    let socket = Arc::new(socket);
    let mut senders: IndexMap<SocketAddr, Arc<UdpSocket>> = IndexMap::new();
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
        if !senders.contains_key(&from) {
            let outward = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a port is free"));
            tokio::spawn(pass_answers(Arc::clone(&outward), Arc::clone(&socket), from, Arc::clone(&shared)));
            senders.insert(from, outward);
        }
        // A datagram that is lost here is lost as on any network.
        let _passed = senders[&from].send_to(&buffer[..length], target).await;
    }
}

async fn pass_answers(outward: Arc<UdpSocket>, socket: Arc<UdpSocket>, to: SocketAddr, shared: Arc<Shared>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            received = outward.recv_from(&mut buffer) => {
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
    // Delay costs only time here.
    let _set = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let link = Arc::new(Link::default());
    shared.note_open(&link);
    let there = pump(client_read, server_write, Direction::ToTarget, &link, &shared);
    let back = pump(server_read, client_write, Direction::ToClient, &link, &shared);
    tokio::select! {
        ((), ()) = async { tokio::join!(there, back) } => {}
        () = link.cut.cancelled() => {}
        () = shared.stop.cancelled() => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    link: &Arc<Link>,
    shared: &Shared,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(read) = from.read(&mut buffer).await
        && read > 0
    {
        let bytes = &buffer[..read];
        shared.hold_back().await;
        let Some(trap) = shared.spring(bytes, direction) else {
            link.wait_until_healed(direction).await;
            if to.write_all(bytes).await.is_err() {
                return;
            }
            continue;
        };
        let before = trap.bytes_before(read);
        if to.write_all(&bytes[..before]).await.is_err() {
            return;
        }
        link.strike(trap.fault);
        shared.sprung.lock().push(Arc::clone(link));
        link.wait_until_healed(direction).await;
        if to.write_all(&bytes[before..]).await.is_err() {
            return;
        }
    }
    link.wait_until_healed(direction).await;
    // The other side may be gone already.
    let _shut = to.shutdown().await;
}

impl Shared {
    fn note_open(&self, link: &Arc<Link>) {
        let mut open = self.open.lock();
        open.retain(|link| link.strong_count() > 0);
        open.push(Arc::downgrade(link));
    }

    async fn hold_back(&self) {
        let delay_ms = self.delay_ms.load(Ordering::SeqCst);
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    fn spring(&self, bytes: &[u8], direction: Direction) -> Option<Trap> {
        let mut traps = self.traps.lock();
        let found = traps.iter().position(|trap| trap.direction() == direction && trap.is_in(bytes))?;
        let trap = traps.swap_remove(found);
        (!trap.sprung.swap(true, Ordering::SeqCst)).then_some(trap)
    }
}

impl Trap {
    const fn direction(&self) -> Direction {
        match self.point {
            Point::RequestBefore | Point::RequestAfter => Direction::ToTarget,
            Point::AnswerBefore | Point::AnswerMiddle => Direction::ToClient,
        }
    }

    fn is_in(&self, bytes: &[u8]) -> bool {
        bytes.windows(self.mark.len()).any(|window| window == self.mark)
    }

    const fn bytes_before(&self, read: usize) -> usize {
        match self.point {
            Point::RequestBefore | Point::AnswerBefore => 0,
            Point::RequestAfter => read,
            Point::AnswerMiddle => read / 2,
        }
    }
}

impl Link {
    fn strike(&self, fault: Fault) {
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

    async fn wait_until_healed(&self, direction: Direction) {
        let stalled = match direction {
            Direction::ToTarget => &self.stalled_to_target,
            Direction::ToClient => &self.stalled_to_client,
        };
        if self.cut.is_cancelled() {
            return std::future::pending().await;
        }
        if stalled.is_cancelled() {
            self.healed.cancelled().await;
        }
    }
}
