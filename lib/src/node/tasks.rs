//! Servers and background tasks of a node.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::log_event;
use crate::node::core_parts::SharedParts;
use crate::protocol::settings::Settings;
use crate::transport::config_watcher::ConfigWatcher;
use crate::transport::evacuation_watcher::EvacuationWatcher;
use crate::transport::external_dialect::ExternalDialect;
use crate::transport::fleet_link::GossipLink;
use crate::transport::gossip::Gossip;
use crate::transport::http_server::Handler;
use crate::transport::http_server::ServerLimits;
use crate::transport::http_server::ServerStop;
use crate::transport::http_server::serve;
use crate::transport::platform_http::HttpPlatform;
use crate::transport::publisher::Publisher;
use crate::transport::quota_link::QuotaLink;
use crate::transport::quota_roster::QuotaRosterTask;
use crate::transport::routes_watcher::RoutesWatcher;
use crate::transport::seed_registry::SeedRegistry;

/// Time that background tasks have to end after the servers have stopped.
const BACKGROUND_STOP_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum time for which a starting node waits for the evacuations before it reads the routes.
const FIRST_LISTING_TIMEOUT: Duration = Duration::from_millis(500);

/// Spawns the tasks that communicate with the platform as the current role of the node requires.
pub(super) fn spawn_platform_tasks(
    settings: &Settings,
    gossip: &Arc<Gossip>,
    shared: &SharedParts,
    stop: &CancellationToken,
) -> Vec<JoinHandle<()>> {
    let timeout = Duration::from_millis(settings.platform.timeout_ms);
    let platform = HttpPlatform::new(settings.platform.addr, timeout);
    let metrics = &shared.metrics;
    let link = GossipLink::new(Arc::clone(gossip), Arc::clone(&shared.config), Arc::clone(&shared.directory));
    let publisher = Publisher::new(platform.clone(), link, Arc::clone(metrics), &gossip.local_member().id);
    let watcher = ConfigWatcher {
        platform: platform.clone(),
        gossip: Arc::clone(gossip),
        metrics: Arc::clone(metrics),
    };
    let seed_registry = SeedRegistry {
        platform,
        gossip: Arc::clone(gossip),
        has_seeds: !settings.seeds.is_empty(),
        metrics: Arc::clone(metrics),
    };
    vec![
        tokio::spawn(publisher.run(stop.clone())),
        tokio::spawn(watcher.run(stop.clone())),
        tokio::spawn(seed_registry.run(stop.clone())),
    ]
}

/// Spawns the tasks that communicate with a platform that speaks the external dialect `I`.
pub(super) fn spawn_external_platform_tasks<I>(
    settings: &Settings,
    gossip: &Arc<Gossip>,
    quotas: &Arc<QuotaLink>,
    shared: &SharedParts,
    stop: &CancellationToken,
) -> Vec<JoinHandle<()>>
where
    I: ExternalDialect,
{
    let platform = I::new_store(&settings.platform);
    let metrics = &shared.metrics;
    let watcher = RoutesWatcher::<I>::new(&settings.platform, Arc::clone(gossip), Arc::clone(metrics));
    let quota_roster =
        QuotaRosterTask::new(platform.clone(), Arc::clone(gossip), Arc::clone(quotas), Arc::clone(metrics));
    let seed_registry = SeedRegistry {
        platform,
        gossip: Arc::clone(gossip),
        has_seeds: !settings.seeds.is_empty(),
        metrics: Arc::clone(metrics),
    };
    let evacuations = EvacuationWatcher::new::<I>(
        &settings.platform,
        Arc::clone(gossip),
        Arc::clone(&shared.config),
        Arc::clone(metrics),
    );
    let mut tasks =
        vec![tokio::spawn(seed_registry.run(stop.clone())), tokio::spawn(quota_roster.run(stop.clone()))];
    match evacuations {
        None => tasks.push(tokio::spawn(watcher.run(stop.clone()))),
        Some(evacuations) => {
            let listed = evacuations.listed().clone();
            let stop_routes = stop.clone();
            tasks.push(tokio::spawn(evacuations.run(stop.clone())));
            tasks.push(tokio::spawn(async move {
                // A node that starts must not send calls to an evacuated zone as soon as it has routes.
                let _listed_or_not = tokio::time::timeout(FIRST_LISTING_TIMEOUT, listed.cancelled()).await;
                watcher.run(stop_routes).await;
            }));
        }
    }
    tasks
}

pub(super) fn server_limits(settings: &Settings) -> ServerLimits {
    ServerLimits {
        max_connections: settings.limits.max_caller_connections as usize,
        max_header_bytes: settings.limits.max_header_bytes,
        header_timeout: Duration::from_millis(settings.limits.header_timeout_ms),
        // `Node::stop` limits the wait by the settings in effect when it is called.
        shutdown_timeout: Duration::MAX,
    }
}

pub(super) fn spawn_server<H>(
    runtime: &Handle,
    listener: TcpListener,
    limits: ServerLimits,
    handler: H,
    stop: impl Into<ServerStop>,
) -> JoinHandle<bool>
where
    H: Handler,
{
    runtime.spawn(serve(listener, limits, handler, stop.into()))
}

/// Waits for tasks that have been told to stop, and aborts those that do not end in time.
pub(super) async fn end_background_tasks(tasks: Vec<JoinHandle<()>>) {
    let end_by = Instant::now() + BACKGROUND_STOP_TIMEOUT;
    for mut task in tasks {
        // The panic of a task has already been printed to standard error.
        if tokio::time::timeout_at(end_by, &mut task).await.is_err() {
            log_event!(Warn, "aborting a background task that did not stop in time");
            task.abort();
        }
    }
}
