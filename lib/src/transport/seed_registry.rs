//! Seed registry: nodes find each other through one small platform object per availability zone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use tokio_util::sync::CancellationToken;

use crate::coordination::backoff::Backoff;
use crate::coordination::backoff::jittered;
use crate::coordination::platform_role::seed_registry_name;
use crate::log_event_limited;
use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::protocol::object::Precondition;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::transport::gossip::Gossip;
use crate::transport::platform::Platform;
use crate::transport::platform::Result;
use crate::transport::resolved_write::WriteOutcome;
use crate::transport::resolved_write::write_resolved;

/// Approximate period over which the first lookups of nodes that start together are spread.
///
/// A fleet that starts as a whole serves nothing until its nodes know each other.
const START_SPREAD: Duration = Duration::from_millis(250);

/// Delay, before jitter, of the first lookup of a node that can also join through configured seeds.
const SEED_GRACE: Duration = Duration::from_millis(1_500);

/// Interval, before jitter, between lookups by a zone's leading node.
const LEADER_INTERVAL: Duration = Duration::from_secs(10);

/// Interval, before jitter, at which a node that makes no lookups checks whether it has to.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);

/// Initial backoff between lookups by a node that knows no other live member.
const MIN_ALONE_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum backoff between lookups by a node that knows no other live member.
const MAX_ALONE_BACKOFF: Duration = Duration::from_secs(10);

/// Largest number of addresses that are read from one entry.
const MAX_SEEDS_PER_ZONE: usize = 16;

/// Value of a zone's object in the seed registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneSeeds {
    /// Region that contains the zone.
    pub region: Arc<str>,
    /// Name of the availability zone.
    pub zone: Arc<str>,
    /// Peer addresses of the zone's nodes that read from the platform, the leading node first.
    pub peer_addrs: Vec<SocketAddr>,
}

/// Joins the fleet through the seed registry, and maintains the entry of its zone if its node leads it.
#[derive(Debug)]
pub struct SeedRegistry<P> {
    /// Client of the platform that stores the registry.
    pub platform: P,
    /// Gossip, which gets the addresses found.
    pub gossip: Arc<Gossip>,
    /// Whether the settings list seed addresses.
    pub has_seeds: bool,
    /// Counters of platform requests.
    pub metrics: SharedMetrics,
}

impl<P> SeedRegistry<P>
where
    P: Platform,
{
    /// Runs until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.run_lookups() => {}
        }
    }

    async fn run_lookups(&self) {
        let base_delay = if self.has_seeds { SEED_GRACE } else { START_SPREAD / 2 };
        let first_delay = jittered(base_delay, &mut rand::rng());
        tokio::time::sleep(first_delay).await;
        let mut alone_backoff = Backoff::new(MIN_ALONE_BACKOFF, MAX_ALONE_BACKOFF);
        loop {
            let alone = self.gossip.is_alone();
            let leads_zone = self.gossip.role().leads_zone;
            let failed = (alone || leads_zone) && !self.look_up().await;
            self.gossip.record_seed_lookup();
            let pause = if alone {
                alone_backoff.next_delay(&mut rand::rng())
            } else {
                alone_backoff.reset();
                jittered(if leads_zone { LEADER_INTERVAL } else { IDLE_INTERVAL }, &mut rand::rng())
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                // The platform can be reached again, perhaps long before the next lookup is due.
                () = self.gossip.configurations_read(), if failed => {}
            }
        }
    }

    /// Synchronizes with the registry, and returns whether the platform could be reached.
    async fn look_up(&self) -> bool {
        let synchronized = self.sync_registry().await;
        if let Err(error) = &synchronized {
            Metrics::count(&self.metrics.platform_calls, "failed");
            log_event_limited!(Info, "seed registry lookup failed", error = error);
        }
        synchronized.is_ok()
    }

    /// Reads the entries of all zones, and updates that of this node's zone if the node leads it.
    async fn sync_registry(&self) -> Result<()> {
        Metrics::count(&self.metrics.platform_calls, "list");
        let listing = self.platform.list(ObjectKind::Rendezvous).await?;
        let local_member = self.gossip.local_member();
        let name = seed_registry_name(&local_member.region, &local_member.zone);
        let stored = listing.objects.iter().find(|object| *object.name == *name);
        self.gossip.set_zone_contacts(stored.map(seed_addrs).unwrap_or_default());
        self.gossip.add_contacts(listing.objects.iter().flat_map(seed_addrs).collect());
        self.gossip.record_seed_lookup();
        if !self.gossip.role().leads_zone {
            return Ok(());
        }
        let value = ZoneSeeds {
            region: Arc::clone(&local_member.region),
            zone: Arc::clone(&local_member.zone),
            peer_addrs: self.gossip.zone_platform_watcher_addrs(),
        };
        let value = serde_json::to_value(value).unwrap_or_default();
        if stored.is_some_and(|stored| stored.value == value) {
            return Ok(());
        }
        let precondition =
            stored.map_or(Precondition::Absent, |stored| Precondition::Version(stored.version));
        Metrics::count(&self.metrics.platform_calls, "write");
        let outcome =
            write_resolved(&self.platform, ObjectKind::Rendezvous, &name, &value, precondition).await?;
        if let WriteOutcome::Rejected(Some(current)) | WriteOutcome::Unknown(Some(current)) = outcome {
            self.gossip.add_contacts(seed_addrs(&current));
        }
        Ok(())
    }
}

/// The addresses of an entry, each unparsed, since another writer may have left odd ones.
#[derive(Debug, Deserialize)]
struct StoredSeeds {
    peer_addrs: Vec<Value>,
}

/// Returns the readable peer addresses of an entry, at most [`MAX_SEEDS_PER_ZONE`].
fn seed_addrs(object: &Object) -> Vec<SocketAddr> {
    let stored = match StoredSeeds::deserialize(&object.value) {
        Ok(stored) => stored,
        Err(error) => {
            log_event_limited!(Warn, "unreadable seeds ignored", object = &object.name, error = error);
            return Vec::new();
        }
    };
    let addrs = stored.peer_addrs.iter().take(MAX_SEEDS_PER_ZONE);
    addrs.filter_map(|addr| seed_addr(object, addr)).collect()
}

fn seed_addr(object: &Object, addr: &Value) -> Option<SocketAddr> {
    let parsed = addr.as_str().and_then(|text| text.parse().ok());
    let usable = parsed.filter(|addr: &SocketAddr| addr.port() != 0 && !addr.ip().is_unspecified());
    if usable.is_none() {
        log_event_limited!(Warn, "unreadable seed address ignored", object = &object.name, addr = addr);
    }
    usable
}
