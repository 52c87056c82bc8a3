//! Following the routes that operators write to the platform as one whole.

use std::marker::PhantomData;
use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use crate::log_event;
use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::protocol::published::Published;
use crate::protocol::route::ROUTES_NAME;
use crate::state::metrics::SharedMetrics;
use crate::transport::gossip::Gossip;
use crate::transport::interface::Interface;
use crate::transport::kind_watch::KindEvent;
use crate::transport::kind_watch::follow_kind;

/// Watches the platform for new routes and passes them on.
#[derive(Debug)]
pub struct RoutesReader<I>
where
    I: Interface,
{
    platform: I::Store,
    gossip: Arc<Gossip>,
    metrics: SharedMetrics,
    interface: PhantomData<fn() -> I>,
}

impl<I> RoutesReader<I>
where
    I: Interface,
{
    /// A reader of the given platform.
    #[must_use]
    pub const fn new(platform: I::Store, gossip: Arc<Gossip>, metrics: SharedMetrics) -> Self {
        Self { platform, gossip, metrics, interface: PhantomData }
    }

    /// Works until told to stop.
    pub async fn run(self, stop: CancellationToken) {
        let gossip = self.gossip;
        let follow = follow_kind(self.platform, ObjectKind::Routes, self.metrics, move |event| {
            apply_event::<I>(&gossip, event);
        });
        tokio::select! {
            () = stop.cancelled() => {}
            () = follow => {}
        }
    }
}

/// A deleted object changes nothing: what was accepted stays until something newer is written.
fn apply_event<I>(gossip: &Gossip, event: KindEvent)
where
    I: Interface,
{
    let objects: Vec<Object> = match event {
        KindEvent::Listed(objects) => objects,
        KindEvent::Changed(changes) => {
            changes.into_iter().filter(|change| !change.deleted).map(|change| change.object).collect()
        }
    };
    for object in objects {
        match I::routes(&object.value) {
            Ok(set) => {
                let (version, routes) = (Arc::clone(&set.version), set.routes.len());
                let published = Published {
                    service: Arc::from(ROUTES_NAME),
                    revision: object.version,
                    epoch: 0,
                    config: None,
                    routes: Some(set),
                };
                if gossip.apply(published) {
                    log_event!(
                        Info,
                        "routes applied",
                        version = version,
                        revision = object.version,
                        routes = routes,
                    );
                }
            }
            Err(reason) => {
                log_event!(Warn, "unreadable routes", object = object.name, reason = reason);
            }
        }
    }
}
