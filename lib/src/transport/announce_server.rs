//! Registration of the upstream beside the node, by its announcements and check-ins.

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

use crate::coordination::priority_queue::PriorityRule;
use crate::log_event;
use crate::log_event_limited;
use crate::protocol::check_in::CheckIn;
use crate::protocol::check_in::Heartbeat;
use crate::protocol::check_in::MAX_SLOTS;
use crate::protocol::check_in::UpstreamIncarnation;
use crate::protocol::checked_json::addr_schema;
use crate::protocol::checked_json::checked_from_value;
use crate::protocol::checked_json::parse_jsonc;
use crate::protocol::member::UpstreamInfo;
use crate::protocol::published::Published;
use crate::protocol::route::ColdStart;
use crate::protocol::service_spec::UpstreamRuleSpec;
use crate::state::config_table::ConfigTable;
use crate::transport::gate::Gate;
use crate::transport::gossip::Gossip;
use crate::transport::http_server::Handler;

/// Largest accepted body of an announcement.
const MAX_ANNOUNCEMENT_BYTES: usize = 16_384;
/// Time between two checks for an expired announcement or a changed configuration.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Announcement that an upstream sends at its start and then periodically.
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
    #[schemars(range(min = 1, max = MAX_SLOTS))]
    pub slots: u32,
    /// Whether it accepts no new calls.
    #[serde(default)]
    pub draining: bool,
}

/// The registered upstream, with the configuration revision that was last applied to it.
#[derive(Debug)]
struct RegisteredUpstream {
    announcement: Announcement,
    version: Option<HeartbeatVersion>,
    renewed_at: Instant,
    revision: Option<u64>,
    /// Whether the answers of the upstream said that it drains when it was last applied.
    drains_by_answers: bool,
}

impl RegisteredUpstream {
    /// Creates a registration renewed now, which has not been applied yet.
    fn new(announcement: Announcement, version: Option<HeartbeatVersion>) -> Self {
        Self { announcement, version, renewed_at: Instant::now(), revision: None, drains_by_answers: false }
    }
}

/// Incarnation of an upstream that sent a heartbeat, and the heartbeat's sequence number in it.
#[derive(Clone, Debug)]
struct HeartbeatVersion {
    incarnation: UpstreamIncarnation,
    sequence: u64,
}

impl HeartbeatVersion {
    /// Returns whether `self` supersedes `other`.
    ///
    /// Within an incarnation the higher sequence number does, otherwise the incarnation that started no
    /// earlier.
    fn is_newer_than(&self, other: &Self) -> bool {
        if self.incarnation == other.incarnation {
            return self.sequence > other.sequence;
        }
        self.started_no_earlier_than(&other.incarnation)
    }

    fn started_no_earlier_than(&self, other: &UpstreamIncarnation) -> bool {
        self.incarnation.started_unix_ms >= other.started_unix_ms
    }
}

/// Outcome of a check-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckInOutcome {
    /// The check-in was applied.
    Followed,
    /// The check-in is older than the registered state, or names another instance or an unknown service.
    Outdated,
}

/// Registration of the upstream beside the node, applied to the gate and to gossip.
#[derive(Debug)]
pub struct UpstreamRegistration {
    gate: Arc<Gate>,
    gossip: Arc<Gossip>,
    config: Arc<ConfigTable>,
    registered: Mutex<Option<RegisteredUpstream>>,
    /// Incarnation that announced its end, so that its late heartbeats are ignored; cleared by a later one.
    left_incarnation: Mutex<Option<UpstreamIncarnation>>,
    /// Whether an operator has ordered to drain the upstream.
    draining: AtomicBool,
    /// Whether the node stops, which drains the upstream until the end of the node.
    stopping: AtomicBool,
}

impl UpstreamRegistration {
    /// Creates a registration without an upstream.
    #[must_use]
    pub fn new(gate: Arc<Gate>, gossip: Arc<Gossip>, config: Arc<ConfigTable>) -> Self {
        Self {
            gate,
            gossip,
            config,
            registered: Mutex::new(None),
            left_incarnation: Mutex::new(None),
            draining: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
        }
    }

    /// Expires announcements and applies configuration changes until `stop` is cancelled.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(EXPIRY_CHECK_INTERVAL) => self.expire_or_refresh(Instant::now()),
            }
        }
    }

    /// Drains the upstream, whatever it announces itself.
    pub fn drain(&self) {
        self.set_flag(&self.draining, true);
    }

    /// Drains the upstream until the end of the node.
    pub fn drain_for_stop(&self) {
        self.set_flag(&self.stopping, true);
    }

    /// Ends the draining by [`Self::drain`].
    ///
    /// An upstream that announces `draining`, or whose node stops, remains drained.
    pub fn end_draining(&self) {
        self.set_flag(&self.draining, false);
    }

    /// Returns whether [`Self::drain`] or [`Self::drain_for_stop`] is in effect.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed) || self.stopping.load(Ordering::Relaxed)
    }

    fn set_flag(&self, flag: &AtomicBool, value: bool) {
        let mut registered = self.registered.lock();
        flag.store(value, Ordering::Relaxed);
        if let Some(upstream) = registered.as_mut() {
            self.apply(upstream);
        }
    }

    fn announce(&self, announcement: Announcement) {
        let mut registered = self.registered.lock();
        let mut upstream = RegisteredUpstream::new(announcement, None);
        self.apply(&mut upstream);
        *registered = Some(upstream);
    }

    /// Applies a check-in of an upstream that uses an external dialect.
    pub(super) fn check_in(&self, check_in: CheckIn) -> CheckInOutcome {
        match check_in {
            CheckIn::Heartbeat(heartbeat) => self.apply_heartbeat(heartbeat),
            CheckIn::Leave(instance) => self.apply_leave(&instance),
        }
    }

    fn apply_heartbeat(&self, heartbeat: Heartbeat) -> CheckInOutcome {
        let version = HeartbeatVersion { incarnation: heartbeat.incarnation, sequence: heartbeat.sequence };
        let mut registered = self.registered.lock();
        let mut left_incarnation = self.left_incarnation.lock();
        let known_version = registered.as_ref().and_then(|upstream| upstream.version.as_ref());
        if known_version.is_some_and(|known| !version.is_newer_than(known))
            || left_incarnation
                .as_ref()
                .is_some_and(|left| *left == version.incarnation || !version.started_no_earlier_than(left))
        {
            return CheckInOutcome::Outdated;
        }
        if self.names_unknown_service(registered.as_ref(), &heartbeat.service) {
            log_event_limited!(
                Warn,
                "check-in for an unknown service ignored",
                instance = &version.incarnation.instance,
                service = &heartbeat.service,
            );
            return CheckInOutcome::Outdated;
        }
        let changed = registered.as_ref().is_none_or(|upstream| {
            upstream.version.as_ref().is_none_or(|known| known.incarnation != version.incarnation)
                || upstream.announcement.draining != heartbeat.draining
        });
        if changed {
            log_event!(
                Info,
                "upstream checked in",
                instance = &version.incarnation.instance,
                service = &heartbeat.service,
                sequence = version.sequence,
                draining = heartbeat.draining,
            );
        }
        *left_incarnation = None;
        let announcement = Announcement {
            service: heartbeat.service,
            addr: heartbeat.addr,
            slots: heartbeat.slots,
            draining: heartbeat.draining,
        };
        let mut upstream = RegisteredUpstream::new(announcement, Some(version));
        self.apply(&mut upstream);
        self.gate.record_cold_heartbeat(heartbeat.cold_for);
        *registered = Some(upstream);
        CheckInOutcome::Followed
    }

    /// Returns whether a check-in would replace an upstream of a configured service by one of no such service.
    fn names_unknown_service(&self, registered: Option<&RegisteredUpstream>, service: &str) -> bool {
        registered.is_some_and(|upstream| self.config.get(&upstream.announcement.service).is_some())
            && self.config.get(service).is_none()
    }

    fn apply_leave(&self, instance: &Arc<str>) -> CheckInOutcome {
        let mut registered = self.registered.lock();
        let incarnation = registered
            .as_ref()
            .and_then(|upstream| upstream.version.as_ref())
            .map(|version| version.incarnation.clone());
        let Some(incarnation) = incarnation.filter(|incarnation| incarnation.instance == *instance) else {
            return CheckInOutcome::Outdated;
        };
        log_event!(Info, "upstream instance left", instance = instance);
        *self.left_incarnation.lock() = Some(incarnation);
        *registered = None;
        drop(registered);
        self.gate.drain();
        self.gossip.set_own_upstream(None);
        CheckInOutcome::Followed
    }

    fn unregister(&self) {
        *self.registered.lock() = None;
        self.gate.drain();
        self.gossip.set_own_upstream(None);
    }

    fn expire_or_refresh(&self, now: Instant) {
        let mut registered = self.registered.lock();
        let Some(upstream) = registered.as_mut() else {
            return;
        };
        let published = self.config.get(&upstream.announcement.service);
        let ttl = Duration::from_millis(upstream_rule(published.as_deref()).announce_ttl_ms);
        if now - upstream.renewed_at >= ttl {
            log_event!(Warn, "announcement expired", service = &upstream.announcement.service);
            *registered = None;
            drop(registered);
            self.unregister();
            return;
        }
        let is_outdated = upstream.revision != published.map(|published| published.revision)
            || upstream.drains_by_answers != self.gate.is_upstream_draining();
        if is_outdated {
            self.apply(upstream);
        }
    }

    /// Applies the registration and the configuration of its service to the gate and to gossip.
    fn apply(&self, upstream: &mut RegisteredUpstream) {
        let announcement = &upstream.announcement;
        let published = self.config.get(&announcement.service);
        upstream.revision = published.as_ref().map(|published| published.revision);
        self.gate.set_priority_rules(&priority_rules(published.as_deref()));
        self.gate.set_cold_start(cold_start(published.as_deref()));
        let is_drained = announcement.draining || self.is_draining();
        if is_drained {
            self.gate.drain();
        } else {
            let rule = upstream_rule(published.as_deref());
            let incarnation = upstream.version.as_ref().map(|version| &version.incarnation);
            self.gate.set_upstream(
                announcement.addr,
                &announcement.service,
                incarnation,
                announcement.slots,
                &rule,
            );
        }
        upstream.drains_by_answers = self.gate.is_upstream_draining();
        let draining = is_drained || upstream.drains_by_answers;
        // The upstream is gossiped only once the gate has the configuration to admit its calls.
        let ready = published.is_some_and(|published| published.config.is_some());
        self.gossip.set_own_upstream(ready.then(|| UpstreamInfo {
            service: Arc::clone(&announcement.service),
            slots: announcement.slots,
            draining,
        }));
    }
}

fn upstream_rule(published: Option<&Published>) -> UpstreamRuleSpec {
    let config = published.and_then(|published| published.config.as_ref());
    config.map(|config| config.upstream_rule.clone()).unwrap_or_default()
}

fn cold_start(published: Option<&Published>) -> Option<ColdStart> {
    published.and_then(|published| published.config.as_ref()?.cold_start)
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

/// Handler of announcements from the upstream beside the node.
#[derive(Clone, Debug)]
pub struct AnnounceHandler {
    registration: Arc<UpstreamRegistration>,
}

impl AnnounceHandler {
    /// Creates a handler that updates the given registration.
    #[must_use]
    pub const fn new(registration: Arc<UpstreamRegistration>) -> Self {
        Self { registration }
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
                self.registration.announce(announcement);
                text(StatusCode::NO_CONTENT, String::new())
            }
            Ok(_) => {
                text(StatusCode::BAD_REQUEST, "/addr: an upstream stands on the node's own VM".to_owned())
            }
            Err(error) => {
                let problems: Vec<String> = error
                    .problems()
                    .iter()
                    .map(|problem| format!("{}: {}", problem.field, problem.problem))
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
                self.registration.unregister();
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
