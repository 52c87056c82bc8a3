//! Exclusion of unknown hosts from the fleet, and change of keys and certificates without a restart.

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
use yuccatray_testutils::http_client::send_request;

const OLD_KEY: &str = "0123456789abcdef0123456789abcdef";
const NEW_KEY: &str = "fedcba9876543210fedcba9876543210";
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Certificate authority that signs the certificates of one fleet.
struct CertificateAuthority {
    issuer: Issuer<'static, KeyPair>,
    pem: String,
}

impl CertificateAuthority {
    fn new() -> Self {
        let mut params = CertificateParams::new(Vec::new()).expect("an empty list of names is valid");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().expect("a key can be generated");
        let pem = params.self_signed(&key).expect("the certificate can be self-signed").pem();
        Self { issuer: Issuer::new(params, key), pem }
    }

    /// Writes the key and certificate files of a node of this fleet that trusts the given authorities.
    fn write_credentials(&self, directory: &Path, keys: &[&str], trusted: &[&Self]) -> PeerSecuritySettings {
        let params = CertificateParams::new(vec![PEER_SERVER_NAME.to_owned()]).expect("the name is valid");
        let key = KeyPair::generate().expect("a key can be generated");
        let certificate = params.signed_by(&key, &self.issuer).expect("the certificate can be signed");
        let authorities: String = trusted.iter().map(|authority| authority.pem.as_str()).collect();
        let write = |name: &str, text: &str| {
            let path = directory.join(name);
            std::fs::write(&path, text).expect("the file can be written");
            Arc::<str>::from(path.to_str().expect("the path is UTF-8"))
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

fn load_security(settings: &PeerSecuritySettings) -> Arc<PeerSecurity> {
    Arc::new(PeerSecurity::load(Some(settings)).expect("the files are valid"))
}

fn unreachable_platform() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

async fn start_node(name: &str, security: &PeerSecuritySettings, seeds: &[SocketAddr]) -> Node {
    let mut settings: Settings =
        serde_json::from_value(loopback_settings(name, "a", unreachable_platform(), seeds))
            .expect("the settings are complete");
    settings.peer_security = Some(security.clone());
    Node::start(&settings).await.expect("the node starts")
}

async fn admin_answer(node: &Node, path: &str) -> String {
    let request = http::Request::get(path).body(bytes::Bytes::new()).expect("the request is valid");
    let answer = send_request(node.addrs().admin, request).await;
    String::from_utf8_lossy(answer.body()).into_owned()
}

async fn exchange_succeeds(peer: SocketAddr, security: Arc<PeerSecurity>) -> bool {
    let channels = ControlChannels::new(security);
    let mut client = PeerClient::new(ControlClient::new(channels.get(peer)));
    client.exchange(wire::ExchangeRequest::default()).await.is_ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn join_requires_keys_and_certificate_of_the_fleet() {
    let (fleet_authority, other_authority) = (CertificateAuthority::new(), CertificateAuthority::new());
    let directories = [(); 3].map(|()| TempDir::new().expect("a directory can be created"));
    let first_settings =
        fleet_authority.write_credentials(directories[0].path(), &[OLD_KEY], &[&fleet_authority]);
    let second_settings =
        fleet_authority.write_credentials(directories[1].path(), &[OLD_KEY], &[&fleet_authority]);
    let other_settings = other_authority.write_credentials(
        directories[2].path(),
        &[NEW_KEY],
        &[&other_authority, &fleet_authority],
    );
    let first = start_node("vm-1", &first_settings, &[]).await;
    let peer = first.addrs().peer;
    let other_fleet_node = start_node("vm-9", &other_settings, &[peer]).await;
    let second = start_node("vm-2", &second_settings, &[peer]).await;
    while !admin_answer(&first, "/v1/node").await.contains("\"vm-2\"") {
        tokio::time::sleep(POLL_INTERVAL).await;
    }

    assert!(
        exchange_succeeds(peer, load_security(&second_settings)).await,
        "an exchange with a certificate of the fleet succeeds"
    );
    assert!(
        !exchange_succeeds(peer, load_security(&other_settings)).await,
        "an exchange with another fleet's certificate fails"
    );
    assert!(!exchange_succeeds(peer, Arc::default()).await, "an exchange without a certificate fails");
    assert!(
        !admin_answer(&first, "/v1/node").await.contains("\"vm-9\""),
        "the node of another fleet is not a member"
    );

    for node in [second, other_fleet_node, first] {
        node.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn datagrams_without_valid_signature_rejected() {
    let fleet_authority = CertificateAuthority::new();
    let directory = TempDir::new().expect("a directory can be created");
    let node = start_node(
        "vm-1",
        &fleet_authority.write_credentials(directory.path(), &[OLD_KEY], &[&fleet_authority]),
        &[],
    )
    .await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket can be bound");
    let ping =
        wire::Datagram { kind: wire::DatagramKind::Ping.into(), sequence: 7, ..wire::Datagram::default() };
    let unsigned = prost::Message::encode_to_vec(&ping);
    let mut forged = unsigned.clone();
    let other_keys = DatagramKeys::default();
    other_keys.replace([NEW_KEY.as_bytes().to_vec()]);
    other_keys.sign(&mut forged);
    let mut signed = unsigned.clone();
    let fleet_keys = DatagramKeys::default();
    fleet_keys.replace([OLD_KEY.as_bytes().to_vec()]);
    fleet_keys.sign(&mut signed);

    for datagram in [&unsigned, &forged, &signed] {
        socket.send_to(datagram, node.addrs().peer).await.expect("the datagram is sent");
    }
    let mut buffer = [0; 2_000];
    let (length, _from) = socket.recv_from(&mut buffer).await.expect("the signed datagram is answered");
    let answer = fleet_keys.verify(&buffer[..length]).expect("the answer is signed");
    let answer = <wire::Datagram as prost::Message>::decode(answer).expect("the answer can be decoded");

    assert_eq!(answer.kind(), wire::DatagramKind::Ack);
    assert_eq!(answer.sequence, 7);
    assert!(admin_answer(&node, "/metrics").await.contains("yuccatray_refused_datagrams_total 2"));
    node.stop().await;
}

/// Returns whether a byte can be sent from the server to the client over a new connection.
async fn can_connect(client: &PeerSecurity, server: &Arc<PeerSecurity>) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let addr = listener.local_addr().expect("a listener has an address");
    let server = Arc::clone(server);
    let accepting = tokio::spawn(async move {
        let (stream, _from) = listener.accept().await?;
        let mut stream = server.accept(stream).await?;
        stream.write_all(b"!").await?;
        stream.flush().await
    });
    let stream = TcpStream::connect(addr).await.expect("the server listens");
    let received = async { client.connect(stream).await?.read_u8().await };
    let received = received.await;
    accepting.await.expect("the server does not panic").is_ok() && received.is_ok()
}

#[tokio::test]
async fn rotation_in_steps_keeps_peers_connected() {
    let (old, new) = (CertificateAuthority::new(), CertificateAuthority::new());
    let directories = [(); 2].map(|()| TempDir::new().expect("a directory can be created"));
    let paths = directories.each_ref().map(TempDir::path);
    let first = load_security(&old.write_credentials(paths[0], &[OLD_KEY, OLD_KEY], &[&old]));
    let second = load_security(&old.write_credentials(paths[1], &[OLD_KEY, OLD_KEY], &[&old]));
    assert!(!first.reload().expect("the files are valid"), "unchanged files are not reloaded");
    // Steps: trust old and new, use the new, trust only the new. One node takes each before the other.
    let rotation_steps: [(&CertificateAuthority, [&str; 2], Vec<&CertificateAuthority>); 3] = [
        (&old, [OLD_KEY, NEW_KEY], vec![&old, &new]),
        (&new, [NEW_KEY, OLD_KEY], vec![&old, &new]),
        (&new, [NEW_KEY, NEW_KEY], vec![&new]),
    ];
    for (issuer, keys, trusted) in &rotation_steps {
        for (node, path) in [(&first, paths[0]), (&second, paths[1])] {
            issuer.write_credentials(path, keys, trusted);
            assert!(node.reload().expect("the files are valid"));
            assert!(can_connect(&first, &second).await && can_connect(&second, &first).await);
            let mut datagram = b"gossip".to_vec();
            first.keys().sign(&mut datagram);
            assert_eq!(second.keys().verify(&datagram), Some(b"gossip".as_slice()));
        }
    }
    let directory = TempDir::new().expect("a directory can be created");
    let outdated = load_security(&old.write_credentials(directory.path(), &[OLD_KEY], &[&old, &new]));
    assert!(!can_connect(&outdated, &first).await, "a node that still uses the old certificate is rejected");
}

#[tokio::test]
async fn reload_of_invalid_files_keeps_current_keys() {
    let fleet_authority = CertificateAuthority::new();
    let directory = TempDir::new().expect("a directory can be created");
    let settings = fleet_authority.write_credentials(directory.path(), &[OLD_KEY], &[&fleet_authority]);
    let node = load_security(&settings);
    std::fs::write(settings.datagram_key_files[0].as_ref(), "short").expect("the file can be written");
    let error = node.reload().expect_err("the key is too short");
    assert!(error.to_string().ends_with("holds fewer than 32 bytes"), "{error}");
    let mut datagram = b"gossip".to_vec();
    node.keys().sign(&mut datagram);
    assert_eq!(node.keys().verify(&datagram), Some(b"gossip".as_slice()));
    assert!(can_connect(&node, &node).await);
}
