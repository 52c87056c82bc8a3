//! Unknown hosts can neither join, nor publish, nor pass calls; keys change without a restart.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use yuccatray::node::Node;
use yuccatray::protocol::settings::PeerSecuritySettings;
use yuccatray::protocol::settings::Settings;
use yuccatray::transport::datagram_keys::DatagramKeys;
use yuccatray::transport::peer_channel::ControlChannels;
use yuccatray::transport::peer_channel::ControlClient;
use yuccatray::transport::peer_security::PEER_SERVER_NAME;
use yuccatray::transport::peer_security::PeerSecurity;
use yuccatray_proto::peer_v1 as wire;
use yuccatray_proto::peer_v1::peer_client::PeerClient;
use yuccatray_testutils::daemon_process::loopback_settings;
use yuccatray_testutils::http_call::exchange;

const OLD_KEY: &str = "0123456789abcdef0123456789abcdef";
const NEW_KEY: &str = "fedcba9876543210fedcba9876543210";
const POLL: Duration = Duration::from_millis(50);

/// An authority that signs the certificates of one fleet.
struct Authority {
    issuer: Issuer<'static, KeyPair>,
    pem: String,
}

impl Authority {
    fn new() -> Self {
        let mut params = CertificateParams::new(Vec::new()).expect("no names are needed");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().expect("a key can be made");
        let pem = params.self_signed(&key).expect("it signs itself").pem();
        Self { issuer: Issuer::new(params, key), pem }
    }

    /// Writes what a node of this fleet needs and trusts the given authorities.
    fn issue(&self, directory: &Path, keys: &[&str], trusted: &[&Self]) -> PeerSecuritySettings {
        let params = CertificateParams::new(vec![PEER_SERVER_NAME.to_owned()]).expect("the name is valid");
        let key = KeyPair::generate().expect("a key can be made");
        let certificate = params.signed_by(&key, &self.issuer).expect("the authority signs");
        let authorities: String = trusted.iter().map(|authority| authority.pem.as_str()).collect();
        let write = |name: &str, text: &str| {
            let path = directory.join(name);
            std::fs::write(&path, text).expect("the file can be written");
            Arc::<str>::from(path.to_str().expect("the path is text"))
        };
        let key_files = keys.iter().enumerate().map(|(index, key)| write(&format!("key-{index}"), key));
        PeerSecuritySettings {
            datagram_key_files: key_files.collect(),
            certificate_file: write("node.pem", &certificate.pem()),
            private_key_file: write("node-key.pem", &key.serialize_pem()),
            authority_file: write("authorities.pem", &authorities),
        }
    }
}

fn security(settings: &PeerSecuritySettings) -> Arc<PeerSecurity> {
    Arc::new(PeerSecurity::load(Some(settings)).expect("the files are good"))
}

fn no_platform() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

async fn start(name: &str, security: &PeerSecuritySettings, seeds: &[SocketAddr]) -> Node {
    let mut settings: Settings = serde_json::from_value(loopback_settings(name, "a", no_platform(), seeds))
        .expect("they are complete");
    settings.peer_security = Some(security.clone());
    Node::start(&settings).await.expect("the node starts")
}

async fn admin(node: &Node, path: &str) -> String {
    let request = http::Request::get(path).body(bytes::Bytes::new()).expect("the request is valid");
    let answer = exchange(node.addrs().admin, request).await;
    String::from_utf8_lossy(answer.body()).into_owned()
}

async fn try_exchange(peer: SocketAddr, security: Arc<PeerSecurity>) -> bool {
    let channels = ControlChannels::new(security);
    let mut client = PeerClient::new(ControlClient::new(channels.get(peer)));
    client.exchange(wire::ExchangeRequest::default()).await.is_ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn join_only_with_the_fleets_keys() {
    let (fleet, other) = (Authority::new(), Authority::new());
    let directories = [(); 3].map(|()| TempDir::new().expect("a directory can be made"));
    let ours = fleet.issue(directories[0].path(), &[OLD_KEY], &[&fleet]);
    let also_ours = fleet.issue(directories[1].path(), &[OLD_KEY], &[&fleet]);
    let strange = other.issue(directories[2].path(), &[NEW_KEY], &[&other, &fleet]);
    let first = start("vm-1", &ours, &[]).await;
    let peer = first.addrs().peer;
    let stranger = start("vm-9", &strange, &[peer]).await;
    let second = start("vm-2", &also_ours, &[peer]).await;
    while !admin(&first, "/v1/node").await.contains("\"vm-2\"") {
        tokio::time::sleep(POLL).await;
    }

    assert!(try_exchange(peer, security(&also_ours)).await, "a node of the fleet is heard");
    assert!(!try_exchange(peer, security(&strange)).await, "another fleet's certificate is refused");
    assert!(!try_exchange(peer, Arc::default()).await, "no certificate is refused");
    assert!(!admin(&first, "/v1/node").await.contains("\"vm-9\""), "the stranger is not a member");

    for node in [second, stranger, first] {
        node.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn datagrams_of_unknown_hosts_are_refused() {
    let fleet = Authority::new();
    let directory = TempDir::new().expect("a directory can be made");
    let node = start("vm-1", &fleet.issue(directory.path(), &[OLD_KEY], &[&fleet]), &[]).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket can be had");
    let ping =
        wire::Datagram { kind: wire::DatagramKind::Ping.into(), sequence: 7, ..wire::Datagram::default() };
    let plain = prost::Message::encode_to_vec(&ping);
    let mut forged = plain.clone();
    let strange_keys = DatagramKeys::default();
    strange_keys.replace([NEW_KEY.as_bytes().to_vec()]);
    strange_keys.sign(&mut forged);
    let mut signed = plain.clone();
    let fleet_keys = DatagramKeys::default();
    fleet_keys.replace([OLD_KEY.as_bytes().to_vec()]);
    fleet_keys.sign(&mut signed);

    for datagram in [&plain, &forged, &signed] {
        socket.send_to(datagram, node.addrs().peer).await.expect("it is sent");
    }
    let mut buffer = [0; 2_000];
    let (length, _from) = socket.recv_from(&mut buffer).await.expect("the signed one is answered");
    let answer = fleet_keys.verify(&buffer[..length]).expect("the answer is signed");
    let answer = <wire::Datagram as prost::Message>::decode(answer).expect("the answer can be read");

    assert_eq!(answer.kind(), wire::DatagramKind::Ack);
    assert_eq!(answer.sequence, 7);
    assert!(admin(&node, "/metrics").await.contains("yuccatray_refused_datagrams_total 2"));
    node.stop().await;
}

/// Whether a byte passes between two parties over a new connection.
async fn talk(client: &PeerSecurity, server: &Arc<PeerSecurity>) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port can be had");
    let addr = listener.local_addr().expect("it has an address");
    let server = Arc::clone(server);
    let accepted = tokio::spawn(async move {
        let (stream, _from) = listener.accept().await?;
        let mut stream = server.accept(stream).await?;
        stream.write_all(b"!").await?;
        stream.flush().await
    });
    let stream = TcpStream::connect(addr).await.expect("it listens");
    let read = async { client.connect(stream).await?.read_u8().await };
    let read = read.await;
    accepted.await.expect("it does not panic").is_ok() && read.is_ok()
}

#[tokio::test]
async fn rotation_step_by_step_keeps_peers_together() {
    let (old, new) = (Authority::new(), Authority::new());
    let directories = [(); 2].map(|()| TempDir::new().expect("a directory can be made"));
    let paths = directories.each_ref().map(TempDir::path);
    let first = security(&old.issue(paths[0], &[OLD_KEY, OLD_KEY], &[&old]));
    let second = security(&old.issue(paths[1], &[OLD_KEY, OLD_KEY], &[&old]));
    assert!(!first.reload().expect("nothing changed"), "unchanged files change nothing");
    // Each step is taken by one node and then by the other: trust both, prove by the new, trust the new.
    let steps: [(&Authority, [&str; 2], Vec<&Authority>); 3] = [
        (&old, [OLD_KEY, NEW_KEY], vec![&old, &new]),
        (&new, [NEW_KEY, OLD_KEY], vec![&old, &new]),
        (&new, [NEW_KEY, NEW_KEY], vec![&new]),
    ];
    for (issuer, keys, trusted) in &steps {
        for (node, path) in [(&first, paths[0]), (&second, paths[1])] {
            issuer.issue(path, keys, trusted);
            assert!(node.reload().expect("the files are good"));
            assert!(talk(&first, &second).await && talk(&second, &first).await);
            let mut datagram = b"news".to_vec();
            first.keys().sign(&mut datagram);
            assert_eq!(second.keys().verify(&datagram), Some(b"news".as_slice()));
        }
    }
    let directory = TempDir::new().expect("a directory can be made");
    let left_behind = security(&old.issue(directory.path(), &[OLD_KEY], &[&old, &new]));
    assert!(!talk(&left_behind, &first).await, "the old certificate is no longer accepted");
}

#[tokio::test]
async fn reload_of_bad_files_keeps_what_is_in_force() {
    let fleet = Authority::new();
    let directory = TempDir::new().expect("a directory can be made");
    let settings = fleet.issue(directory.path(), &[OLD_KEY], &[&fleet]);
    let node = security(&settings);
    std::fs::write(settings.datagram_key_files[0].as_ref(), "short").expect("the file can be written");
    let refused = node.reload().expect_err("the key is too short");
    assert!(refused.to_string().ends_with("holds fewer than 32 bytes"), "{refused}");
    let mut datagram = b"news".to_vec();
    node.keys().sign(&mut datagram);
    assert_eq!(node.keys().verify(&datagram), Some(b"news".as_slice()));
    assert!(talk(&node, &node).await);
}
