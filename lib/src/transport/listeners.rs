//! The sockets that a node listens on.

use std::net::SocketAddr;
use std::sync::Arc;

use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;

use crate::protocol::settings::Settings;

/// Result of binding a socket.
pub type Result<T, E = ListenError> = std::result::Result<T, E>;

/// Maximum attempts to find a port that is free for both TCP and UDP.
const MAX_PORT_ATTEMPTS: u32 = 16;

/// Failure to bind a socket or to read its bound address.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {addr} ({subject})"))]
pub struct ListenError {
    addr: SocketAddr,
    /// Path of the setting that holds the address, or the operation that failed.
    subject: &'static str,
    source: std::io::Error,
}

/// Addresses that a started node listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeAddrs {
    /// Address for callers.
    pub ingress: SocketAddr,
    /// Address for other nodes, over both TCP and UDP.
    pub peer: SocketAddr,
    /// Address at which the node's own upstream announces itself.
    pub announce: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
}

/// Listening sockets of one node.
#[derive(Debug)]
pub(crate) struct Listeners {
    pub(crate) ingress: TcpListener,
    pub(crate) peer: TcpListener,
    pub(crate) gossip: Arc<UdpSocket>,
    pub(crate) announce: TcpListener,
    pub(crate) admin: TcpListener,
}

impl Listeners {
    /// Binds all sockets at the addresses in the settings.
    pub(crate) async fn bind(settings: &Settings) -> Result<Self> {
        let listen = &settings.listen;
        let (peer, gossip) = bind_peer(listen.peer_addr).await?;
        Ok(Self {
            ingress: bind(listen.ingress_addr, "/listen/ingress_addr").await?,
            peer,
            gossip: Arc::new(gossip),
            announce: bind(listen.announce_addr, "/listen/announce_addr").await?,
            admin: bind(listen.admin_addr, "/listen/admin_addr").await?,
        })
    }

    /// Returns the bound addresses, with the ports that the system chose.
    pub(crate) fn addrs(&self) -> Result<NodeAddrs> {
        Ok(NodeAddrs {
            ingress: local_addr(&self.ingress)?,
            peer: local_addr(&self.peer)?,
            announce: local_addr(&self.announce)?,
            admin: local_addr(&self.admin)?,
        })
    }
}

async fn bind(addr: SocketAddr, subject: &'static str) -> Result<TcpListener> {
    TcpListener::bind(addr).await.context(ListenSnafu { addr, subject })
}

/// Binds TCP and UDP sockets for peers to one port, so that members advertise only one address.
///
/// If the system chooses the port and it is taken for UDP, another port is tried.
async fn bind_peer(addr: SocketAddr) -> Result<(TcpListener, UdpSocket)> {
    let subject = "/listen/peer_addr";
    let mut attempt = 1;
    loop {
        let listener = bind(addr, subject).await?;
        let bound_addr = local_addr(&listener)?;
        match UdpSocket::bind(bound_addr).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(_) if addr.port() == 0 && attempt < MAX_PORT_ATTEMPTS => attempt += 1,
            Err(source) => return Err(ListenError { addr: bound_addr, subject, source }),
        }
    }
}

fn local_addr(listener: &TcpListener) -> Result<SocketAddr> {
    // Stands in the error for the address that could not be read.
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    listener.local_addr().context(ListenSnafu { addr: unspecified, subject: "reading the bound address" })
}
