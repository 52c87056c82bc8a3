//! Quotas over real sockets, with a clock that the tests advance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use prost::Message;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use yuccatray::coordination::quota::BootTime;
use yuccatray::coordination::quota::client::QuotaRejectionKind;
use yuccatray::coordination::quota::roster::ConfirmedRoster;
use yuccatray::coordination::quota::roster::ShareRoster;
use yuccatray::protocol::member::Member;
use yuccatray::protocol::member::MemberId;
use yuccatray::protocol::member::MemberState;
use yuccatray::protocol::published::Published;
use yuccatray::protocol::route::CallerLimits;
use yuccatray::protocol::route::ROUTES_NAME;
use yuccatray::protocol::route::RouteSet;
use yuccatray::protocol::tenant::TenantRate;
use yuccatray::protocol::tenant::TenantSpec;
use yuccatray::state::config_table::ConfigTable;
use yuccatray::state::directory::Directory;
use yuccatray::state::metrics::Metrics;
use yuccatray::state::metrics::SharedMetrics;
use yuccatray::transport::boot_clock::BootClock;
use yuccatray::transport::boot_clock::SystemBootClock;
use yuccatray::transport::peer_security::PeerSecurity;
use yuccatray::transport::quota_link::QuotaLink;
use yuccatray::transport::quota_link::QuotaLinkDependencies;
use yuccatray_proto::peer_v1 as wire;

const NAMES: [&str; 2] = ["a", "b"];
const BURST: u64 = 20;
/// Time limit of a step that only ends a hang.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// Clock that the test advances, in milliseconds.
#[derive(Clone, Debug, Default)]
struct SteppedClock(Arc<AtomicU64>);

impl BootClock for SteppedClock {
    fn now(&self) -> BootTime {
        Duration::from_hours(2) + Duration::from_millis(self.0.load(Ordering::SeqCst))
    }
}

struct LinkedNodes {
    links: Vec<Arc<QuotaLink<SteppedClock>>>,
    clock: SteppedClock,
    metrics: Vec<SharedMetrics>,
    stop: CancellationToken,
}

impl Drop for LinkedNodes {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl LinkedNodes {
    async fn start(rate_per_s: u64) -> Self {
        let sockets = [bind().await, bind().await];
        let addrs = sockets.each_ref().map(|socket| socket.local_addr().expect("the socket is bound"));
        let clock = SteppedClock::default();
        let stop = CancellationToken::new();
        let mut nodes = Self { links: Vec::new(), clock, metrics: Vec::new(), stop };
        for (index, socket) in sockets.into_iter().enumerate() {
            nodes.add(index, socket, addrs, rate_per_s);
        }
        nodes
    }

    fn add(&mut self, index: usize, socket: UdpSocket, addrs: [SocketAddr; 2], rate_per_s: u64) {
        let socket = Arc::new(socket);
        let directory = Arc::new(Directory::default());
        let members = [0, 1].map(|member| Arc::new(new_member(member, addrs[member])));
        directory.replace(members, Instant::now());
        let config = Arc::new(ConfigTable::new());
        config.apply(routes_with_limit(rate_per_s));
        let metrics = SharedMetrics::new(Metrics::default());
        let link = Arc::new(QuotaLink::new(QuotaLinkDependencies {
            local_id: new_member(index, addrs[index]).id,
            clock: self.clock.clone(),
            config,
            directory,
            socket: Arc::clone(&socket),
            security: Arc::new(PeerSecurity::load(None).expect("no files are named")),
            metrics: Arc::clone(&metrics),
        }));
        let roster = ShareRoster { shares: equal_shares(), ..ShareRoster::default() };
        link.set_roster(ConfirmedRoster { roster, read_at: link.now() });
        drop(tokio::spawn(receive_repeatedly(Arc::clone(&link), socket, self.stop.clone())));
        drop(tokio::spawn(Arc::clone(&link).run(self.stop.clone())));
        self.links.push(link);
        self.metrics.push(metrics);
    }

    /// Advances the clock in small steps until one node holds all parts and `extra` has passed since.
    async fn settle(&self, extra: Duration) {
        let mut remaining = extra;
        while !remaining.is_zero() {
            self.clock.0.fetch_add(10, Ordering::SeqCst);
            tokio::time::sleep(Duration::from_millis(20)).await;
            let held =
                self.links.iter().map(|link| link.with_node(|node, now| node.status(now).served_parts));
            if held.max() == Some(1_000_000) {
                remaining = remaining.saturating_sub(Duration::from_millis(10));
            }
        }
    }
}

async fn bind() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").await.expect("a loopback port is free")
}

async fn receive_repeatedly(
    link: Arc<QuotaLink<SteppedClock>>,
    socket: Arc<UdpSocket>,
    stop: CancellationToken,
) {
    let mut buffer = vec![0; 2_048];
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            received = socket.recv_from(&mut buffer) => {
                let (length, addr) = received.expect("the socket receives");
                let datagram = wire::Datagram::decode(&buffer[..length]).expect("the datagram is readable");
                link.receive(&datagram, addr).await;
            }
        }
    }
}

fn new_member(index: usize, addr: SocketAddr) -> Member {
    Member {
        id: MemberId { name: Arc::from(NAMES[index]), incarnation: 1 },
        version: 1,
        state: MemberState::Alive,
        region: Arc::from("region"),
        zone: Arc::from(NAMES[index]),
        peer_addr: addr,
        ingress_addr: addr,
        admin_addr: addr,
        upstream: None,
    }
}

fn equal_shares() -> indexmap::IndexMap<Arc<str>, u32> {
    NAMES.into_iter().map(|name| (Arc::from(name), 500_000)).collect()
}

fn tenant() -> Arc<str> {
    Arc::from("tenant")
}

fn routes_with_limit(rate_per_s: u64) -> Published {
    let limits =
        CallerLimits { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 };
    let rate = TenantRate { millirequests_per_s: rate_per_s * 1_000, burst: BURST };
    let limited = TenantSpec { name: tenant(), api_keys: Vec::new(), priority: None, rate: Some(rate) };
    let unlimited =
        TenantSpec { name: Arc::from("unlimited"), api_keys: Vec::new(), priority: None, rate: None };
    let routes = RouteSet {
        version: Arc::from("1"),
        revision: 1,
        routes: Vec::new(),
        services: Vec::new(),
        limits,
        tenants: Some(vec![limited, unlimited]),
    };
    Published {
        service: Arc::from(ROUTES_NAME),
        revision: 1,
        epoch: 0,
        config: None,
        routes: Some(routes),
        evacuations: None,
    }
}

/// Guards against tokens that two nodes give out twice, and against requests that wait for ever.
#[tokio::test]
async fn admit_gives_out_the_burst_once_over_all_nodes() {
    let nodes = LinkedNodes::start(100).await;
    tokio::time::timeout(HANG_TIMEOUT, nodes.settle(Duration::from_millis(1_500)))
        .await
        .expect("a node holds all parts");
    let mut requests = JoinSet::new();
    for number in 0..60 {
        let link = Arc::clone(&nodes.links[number % 2]);
        requests.spawn(async move { link.admit(&tenant(), Instant::now() + HANG_TIMEOUT).await });
    }
    let results = requests.join_all().await;
    let granted = u64::try_from(results.iter().filter(|result| result.is_ok()).count()).unwrap_or(0);
    assert!((BURST..=BURST + 1).contains(&granted), "{granted} requests were admitted");
    let rejections = results.iter().filter_map(|result| result.err());
    assert!(rejections.clone().all(|rejection| rejection.kind == QuotaRejectionKind::Exceeded));
    let counted = nodes.metrics.iter().map(|metrics| metrics.encode()).collect::<String>();
    assert!(counted.contains("yuccatray_quota_decisions_total{tenant=\"tenant\",outcome=\"granted\"}"));
}

/// Guards against requests that hang when no quota server has parts, and against waits for unlimited tenants.
#[tokio::test]
async fn admit_without_parts_is_unavailable_at_its_limit() {
    let nodes = LinkedNodes::start(100).await;
    let link = &nodes.links[0];
    let admitted = link.admit(&Arc::from("unlimited"), Instant::now()).await;
    assert_eq!(admitted, Ok(()));
    let give_up_at = Instant::now() + Duration::from_millis(50);
    let rejected = tokio::time::timeout(HANG_TIMEOUT, link.admit(&tenant(), give_up_at)).await;
    let rejection = rejected.expect("the request does not hang").expect_err("no node has lent its share yet");
    assert_eq!(rejection.kind, QuotaRejectionKind::Unavailable);
}

/// Guards against a clock that stands still or starts too late for a read in the past.
#[test]
fn boot_clock_goes_on_from_a_late_origin() {
    let first = SystemBootClock.now();
    assert!(first >= Duration::from_mins(30));
    assert!(SystemBootClock.now() >= first);
}
