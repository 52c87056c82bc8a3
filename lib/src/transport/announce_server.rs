//! Where the upstream beside the node announces itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use parking_lot::Mutex;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::coordination::priority_lane::PriorityRule;
use crate::log_event;
use crate::protocol::check_in::Boot;
use crate::protocol::check_in::CheckIn;
use crate::protocol::check_in::Heartbeat;
use crate::protocol::checked_json::addr_schema;
use crate::protocol::checked_json::checked_from_value;
use crate::protocol::checked_json::parse_jsonc;
use crate::protocol::member::UpstreamInfo;
use crate::protocol::published::Published;
use crate::protocol::service_spec::UpstreamRuleSpec;
use crate::state::config_table::ConfigTable;
use crate::transport::gate::Gate;
use crate::transport::gossip::Gossip;
use crate::transport::http_server::Handler;

const MAX_ANNOUNCEMENT_BYTES: usize = 16_384;
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What an upstream says of itself, at start and then again and again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that it serves.
    #[schemars(length(min = 1, max = 255))]
    pub service: Arc<str>,
    /// Where it listens for calls.
    #[schemars(schema_with = "addr_schema")]
    pub addr: SocketAddr,
    /// Calls that it runs concurrently.
    #[schemars(range(min = 1, max = 100_000))]
    pub slots: u32,
    /// Whether it accepts no new calls.
    #[serde(default)]
    pub draining: bool,
}

#[derive(Debug)]
struct Announced {
    announcement: Announcement,
    life: Option<Life>,
    renewed_at: Instant,
    revision: Option<u64>,
}

/// The life of an upstream that an announcement speaks of, and its place among that life's words.
#[derive(Clone, Debug)]
struct Life {
    boot: Boot,
    sequence: u64,
}

impl Life {
    /// Whether `self` is a later word than `other`; a later life goes before any word of an earlier.
    fn is_after(&self, other: &Self) -> bool {
        if self.boot == other.boot {
            return self.sequence > other.sequence;
        }
        self.is_after_boot(&other.boot)
    }

    fn is_after_boot(&self, other: &Boot) -> bool {
        self.boot.started_unix_ms >= other.started_unix_ms
    }
}

/// What a desk made of a check-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It holds from now on.
    Followed,
    /// Something newer is known already.
    Outdated,
}

/// The upstream beside the node, as it announced itself.
#[derive(Debug)]
pub struct AnnounceDesk {
    gate: Arc<Gate>,
    gossip: Arc<Gossip>,
    config: Arc<ConfigTable>,
    announced: Mutex<Option<Announced>>,
    /// The life that said that it leaves, until a later one speaks.
    left: Mutex<Option<Boot>>,
    draining: AtomicBool,
}

impl AnnounceDesk {
    /// A desk at which nobody has announced itself yet.
    #[must_use]
    pub fn new(gate: Arc<Gate>, gossip: Arc<Gossip>, config: Arc<ConfigTable>) -> Self {
        Self {
            gate,
            gossip,
            config,
            announced: Mutex::new(None),
            left: Mutex::new(None),
            draining: AtomicBool::new(false),
        }
    }

    /// Lets announcements lapse and follows the configuration until told to stop.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(CHECK_INTERVAL) => self.check(Instant::now()),
            }
        }
    }

    /// The upstream takes no new work from now on, whatever it announces.
    pub fn drain(&self) {
        self.set_draining(true);
    }

    /// The upstream takes work again if it says so itself.
    pub fn resume(&self) {
        self.set_draining(false);
    }

    /// Whether the node was told to drain its upstream.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    fn set_draining(&self, draining: bool) {
        let mut announced = self.announced.lock();
        self.draining.store(draining, Ordering::Relaxed);
        if let Some(announced) = announced.as_mut() {
            self.follow(announced);
        }
    }

    fn announce(&self, announcement: Announcement) {
        let mut announced = self.announced.lock();
        let mut next = Announced { announcement, life: None, renewed_at: Instant::now(), revision: None };
        self.follow(&mut next);
        *announced = Some(next);
    }

    /// Takes in what an upstream of another dialect says of itself.
    pub(super) fn check_in(&self, check_in: CheckIn) -> Taken {
        match check_in {
            CheckIn::Heartbeat(heartbeat) => self.take_heartbeat(heartbeat),
            CheckIn::Leave(instance) => self.take_leave(&instance),
        }
    }

    fn take_heartbeat(&self, heartbeat: Heartbeat) -> Taken {
        let life = Life { boot: heartbeat.boot, sequence: heartbeat.sequence };
        let mut announced = self.announced.lock();
        let mut left = self.left.lock();
        let known = announced.as_ref().and_then(|held| held.life.as_ref());
        if known.is_some_and(|known| !life.is_after(known))
            || left.as_ref().is_some_and(|gone| *gone == life.boot || !life.is_after_boot(gone))
        {
            return Taken::Outdated;
        }
        let changed = announced.as_ref().is_none_or(|held| {
            held.life.as_ref().is_none_or(|known| known.boot != life.boot)
                || held.announcement.draining != heartbeat.draining
        });
        if changed {
            log_event!(
                Info,
                "upstream checked in",
                instance = &life.boot.instance,
                service = &heartbeat.service,
                sequence = life.sequence,
                draining = heartbeat.draining,
            );
        }
        *left = None;
        let announcement = Announcement {
            service: heartbeat.service,
            addr: heartbeat.addr,
            slots: heartbeat.slots,
            draining: heartbeat.draining,
        };
        let mut next =
            Announced { announcement, life: Some(life), renewed_at: Instant::now(), revision: None };
        self.follow(&mut next);
        *announced = Some(next);
        Taken::Followed
    }

    fn take_leave(&self, instance: &Arc<str>) -> Taken {
        let mut announced = self.announced.lock();
        let boot = announced.as_ref().and_then(|held| held.life.as_ref()).map(|life| life.boot.clone());
        let Some(boot) = boot.filter(|boot| boot.instance == *instance) else {
            return Taken::Outdated;
        };
        log_event!(Info, "upstream leaves", instance = instance);
        *self.left.lock() = Some(boot);
        *announced = None;
        drop(announced);
        self.gate.drain();
        self.gossip.set_upstream(None);
        Taken::Followed
    }

    fn withdraw(&self) {
        *self.announced.lock() = None;
        self.gate.drain();
        self.gossip.set_upstream(None);
    }

    fn check(&self, now: Instant) {
        let mut announced = self.announced.lock();
        let Some(held) = announced.as_mut() else {
            return;
        };
        let published = self.config.get(&held.announcement.service);
        let ttl = Duration::from_millis(rule(published.as_deref()).announce_ttl_ms);
        if now - held.renewed_at >= ttl {
            log_event!(Warn, "announcement lapsed", service = &held.announcement.service);
            *announced = None;
            drop(announced);
            self.withdraw();
            return;
        }
        if held.revision != published.map(|published| published.revision) {
            self.follow(held);
        }
    }

    fn follow(&self, held: &mut Announced) {
        let announcement = &held.announcement;
        let published = self.config.get(&announcement.service);
        held.revision = published.as_ref().map(|published| published.revision);
        self.gate.set_rules(&priority_rules(published.as_deref()));
        let draining = announcement.draining || self.is_draining();
        if draining {
            self.gate.drain();
        } else {
            let rule = rule(published.as_deref());
            let instance = held.life.as_ref().map(|life| &life.boot.instance);
            self.gate.set_upstream(
                announcement.addr,
                &announcement.service,
                instance,
                announcement.slots,
                &rule,
            );
        }
        // Nobody hears of the upstream before the gate has the rules to take its calls by.
        let ready = published.is_some_and(|published| published.config.is_some());
        self.gossip.set_upstream(ready.then(|| UpstreamInfo {
            service: Arc::clone(&announcement.service),
            slots: announcement.slots,
            draining,
        }));
    }
}

fn rule(published: Option<&Published>) -> UpstreamRuleSpec {
    let config = published.and_then(|published| published.config.as_ref());
    config.map(|config| config.upstream_rule.clone()).unwrap_or_default()
}

fn priority_rules(published: Option<&Published>) -> Vec<PriorityRule> {
    let config = published.and_then(|published| published.config.as_ref());
    let priorities = config.iter().flat_map(|config| config.priorities.priorities.values());
    let rules = priorities.map(|priority| PriorityRule {
        min_share_percent: priority.min_share_percent,
        max_queue: priority.max_queue as usize,
        max_caller_queue_percent: priority.max_caller_queue_percent,
        objective: Duration::from_millis(priority.objective_ms),
        serve_late: priority.serve_late,
        usable_slots_percent: priority.usable_slots_percent,
    });
    rules.collect()
}

/// Answers the upstream beside the node.
#[derive(Clone, Debug)]
pub struct AnnounceHandler {
    desk: Arc<AnnounceDesk>,
}

impl AnnounceHandler {
    /// A handler over the desk.
    #[must_use]
    pub const fn new(desk: Arc<AnnounceDesk>) -> Self {
        Self { desk }
    }

    async fn announce(&self, body: Incoming) -> Response<Full<Bytes>> {
        let collected = match Limited::new(body, MAX_ANNOUNCEMENT_BYTES).collect().await {
            Ok(collected) => collected.to_bytes(),
            Err(error) => return text(StatusCode::BAD_REQUEST, format!("unreadable body: {error}")),
        };
        let parsed = parse_jsonc(&String::from_utf8_lossy(&collected))
            .and_then(|value| checked_from_value::<Announcement>(&value));
        match parsed {
            Ok(announcement) if announcement.addr.ip().is_loopback() => {
                self.desk.announce(announcement);
                text(StatusCode::NO_CONTENT, String::new())
            }
            Ok(_) => {
                text(StatusCode::BAD_REQUEST, "/addr: an upstream stands on the node's own VM".to_owned())
            }
            Err(error) => {
                let problems: Vec<String> = error
                    .problems()
                    .iter()
                    .map(|found| format!("{}: {}", found.field, found.problem))
                    .collect();
                let reason = if problems.is_empty() { error.to_string() } else { problems.join("\n") };
                text(StatusCode::BAD_REQUEST, reason)
            }
        }
    }
}

impl Handler for AnnounceHandler {
    type Body = Full<Bytes>;

    async fn handle(&self, request: Request<Incoming>, remote: SocketAddr) -> Response<Full<Bytes>> {
        if !remote.ip().is_loopback() {
            return text(StatusCode::FORBIDDEN, "only the upstream beside the node may announce".to_owned());
        }
        match (request.method().clone(), request.uri().path()) {
            (Method::PUT, "/v1/upstream") => self.announce(request.into_body()).await,
            (Method::DELETE, "/v1/upstream") => {
                self.desk.withdraw();
                text(StatusCode::NO_CONTENT, String::new())
            }
            _ => text(StatusCode::NOT_FOUND, "PUT or DELETE /v1/upstream".to_owned()),
        }
    }
}

fn text(status: StatusCode, message: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(message)));
    *response.status_mut() = status;
    response
}
