//! Finding the others through the platform: one small object for each availability zone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use crate::coordination::backoff::Backoff;
use crate::coordination::backoff::jittered;
use crate::coordination::platform_role::seed_registry_name;
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

/// A mass start is spread over about this time.
const START_SPREAD: Duration = Duration::from_secs(1);

/// Time that seeds get before the platform is asked.
const SEED_GRACE: Duration = Duration::from_millis(1_500);

/// Time between two looks of a zone's leading node.
const LEADER_INTERVAL: Duration = Duration::from_secs(10);

/// Time between two checks of a node that does not call the platform.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);

const FIRST_ALONE_PAUSE: Duration = Duration::from_millis(500);
const LONGEST_ALONE_PAUSE: Duration = Duration::from_secs(10);

/// The value of a rendezvous object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RendezvousValue {
    /// Region of the zone.
    pub region: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// Peer addresses of the zone's readers, the leading one first.
    pub peer_addrs: Vec<SocketAddr>,
}

/// Keeps the zone's rendezvous object and reads the others'.
#[derive(Debug)]
pub struct SeedRegistry<P> {
    /// The platform.
    pub platform: P,
    /// The members.
    pub gossip: Arc<Gossip>,
    /// Whether settings name seeds.
    pub has_seeds: bool,
    /// Counters.
    pub metrics: SharedMetrics,
}

impl<P> SeedRegistry<P>
where
    P: Platform,
{
    /// Works until told to stop.
    pub async fn run(self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.work() => {}
        }
    }

    async fn work(&self) {
        let first = if self.has_seeds { SEED_GRACE } else { START_SPREAD / 2 };
        let first = jittered(first, &mut rand::rng());
        tokio::time::sleep(first).await;
        let mut alone_pause = Backoff::new(FIRST_ALONE_PAUSE, LONGEST_ALONE_PAUSE);
        loop {
            let alone = self.gossip.is_alone();
            let leads = self.gossip.role().leads_zone;
            if (alone || leads)
                && let Err(error) = self.look().await
            {
                Metrics::count(&self.metrics.platform_calls, "failed");
                log::debug!("rendezvous not read; error={error}");
            }
            self.gossip.record_seed_lookup();
            let pause = if alone {
                alone_pause.next_delay(&mut rand::rng())
            } else {
                alone_pause.reset();
                jittered(if leads { LEADER_INTERVAL } else { IDLE_INTERVAL }, &mut rand::rng())
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Reads every zone's object and corrects that of this node's zone if the node leads it.
    async fn look(&self) -> Result<()> {
        Metrics::count(&self.metrics.platform_calls, "list");
        let listing = self.platform.list(ObjectKind::Rendezvous).await?;
        self.gossip.add_contacts(listing.objects.iter().flat_map(addrs_in).collect());
        self.gossip.record_seed_lookup();
        if !self.gossip.role().leads_zone {
            return Ok(());
        }
        let local_member = self.gossip.local_member();
        let name = seed_registry_name(&local_member.region, &local_member.zone);
        let value = RendezvousValue {
            region: Arc::clone(&local_member.region),
            zone: Arc::clone(&local_member.zone),
            peer_addrs: self.gossip.zone_platform_watcher_addrs(),
        };
        let held = listing.objects.iter().find(|object| *object.name == *name);
        let value = serde_json::to_value(value).unwrap_or_default();
        if held.is_some_and(|held| held.value == value) {
            return Ok(());
        }
        let precondition = held.map_or(Precondition::Absent, |held| Precondition::Version(held.version));
        Metrics::count(&self.metrics.platform_calls, "write");
        let settled =
            write_resolved(&self.platform, ObjectKind::Rendezvous, &name, &value, precondition).await?;
        if let WriteOutcome::Lost(Some(current)) | WriteOutcome::Overtaken(Some(current)) = settled {
            self.gossip.add_contacts(addrs_in(&current));
        }
        Ok(())
    }
}

fn addrs_in(object: &Object) -> Vec<SocketAddr> {
    let value = serde_json::from_value::<RendezvousValue>(object.value.clone());
    value.map(|value| value.peer_addrs).unwrap_or_default()
}
