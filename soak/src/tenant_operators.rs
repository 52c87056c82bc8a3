//! What operators do in a run with tenants: change keys and evacuate a zone.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use yuccatray_platform_testutils::site::SERVICE;
use yuccatray_platform_testutils::site::configuration_with_cold_rate;
use yuccatray_platform_testutils::tenant_entries::TenantEntry;
use yuccatray_platform_testutils::tenant_entries::TenantLimit;
use yuccatray_platform_testutils::tenant_entries::set_tenants;

use crate::tenant_callers::SentKey;
use crate::tenant_fleet::BOUNDS;
use crate::tenant_fleet::TenantFleet;
use crate::tenant_fleet::ZONES;
use crate::tenant_record::Evacuation;
use crate::tenant_record::KeyPeriod;

/// Object kind of evacuations in the store.
const EVACUATIONS: &str = "evacuations";
/// Upper bound of the time before each change of an operator.
const MAX_WAIT_MS: u64 = 1_000;
/// Time for which an evacuation goes on after it has to be in force.
const EVACUATED_TIME: Duration = Duration::from_millis(1_500);
/// Limit of the limited tenant.
///
/// At 50 requests per second the callers of a busy machine sent too few in one seed of three for a token that was used
/// twice to be found.
const LIMIT: TenantLimit = TenantLimit { rate_per_s: 20, burst: 10 };

/// Index of the key that stays in all versions.
pub const KEPT: usize = 0;
/// Index of the key of the limited tenant.
pub const LIMITED: usize = 1;
/// Index of the key that the second version adds.
const ADDED: usize = 2;
/// Index of the key that the third version removes.
const REMOVED: usize = 3;
/// Tenant and weight of each key; the last key is in no version.
const KEYS: [(&str, u32); 5] =
    [("open", 8), ("limited", 10), ("changing", 2), ("changing", 2), ("nobody", 1)];

/// Keys and tenants of a run.
#[derive(Clone, Debug)]
pub struct TenantPlan {
    /// Keys that callers send.
    pub keys: Vec<SentKey>,
    /// Seed of the times of all changes.
    pub seed: u64,
}

impl TenantPlan {
    /// Creates the plan of a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let key = |(index, (_, weight)): (usize, &(&str, u32))| SentKey {
            text: Arc::from(format!("k3y-{index}-{seed:016x}")),
            weight: *weight,
        };
        Self { keys: KEYS.iter().enumerate().map(key).collect(), seed }
    }

    /// Returns the limits of tenants by name.
    #[must_use]
    pub fn limits(&self) -> Vec<(Arc<str>, TenantLimit)> {
        vec![(Arc::from(KEYS[LIMITED].0), LIMIT)]
    }

    /// Writes a version of the configuration with these keys of the changing tenant.
    pub fn configure(&self, fleet: &TenantFleet, version: &str, changing_keys: &[usize]) {
        let tenant = |index: usize, keys: &[usize], limit| TenantEntry {
            name: Arc::from(KEYS[index].0),
            keys: keys.iter().map(|key| Arc::clone(&self.keys[*key].text)).collect(),
            limit,
        };
        let tenants = [
            tenant(KEPT, &[KEPT], None),
            tenant(LIMITED, &[LIMITED], Some(LIMIT)),
            tenant(ADDED, changing_keys, None),
        ];
        let mut configuration = configuration_with_cold_rate(version, SERVICE, BOUNDS.cold_per_s);
        set_tenants(&mut configuration, &tenants);
        fleet.store.write("config", "main", &configuration);
    }

    /// Writes the first version of the configuration.
    pub fn configure_first(&self, fleet: &TenantFleet) {
        self.configure(fleet, "00000001", &[REMOVED]);
    }

    /// Adds a key and then removes another one, and returns the periods of all keys.
    pub async fn change_keys(&self, fleet: &TenantFleet) -> Vec<KeyPeriod> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let period = |(tenant, _): &(&str, u32)| KeyPeriod {
            tenant: Arc::from(*tenant),
            added_at: Some(Duration::ZERO),
            removed_at: None,
        };
        let mut periods: Vec<KeyPeriod> = KEYS.iter().map(period).collect();
        if let Some(unknown) = periods.last_mut() {
            unknown.added_at = None;
        }
        wait(&mut rng).await;
        self.configure(fleet, "00000002", &[ADDED, REMOVED]);
        periods[ADDED].added_at = Some(fleet.started.elapsed());
        wait(&mut rng).await;
        self.configure(fleet, "00000003", &[ADDED]);
        periods[REMOVED].removed_at = Some(fleet.started.elapsed());
        periods
    }

    /// Begins the evacuation of a zone and returns the zone and the time at which the entry was in the store.
    pub async fn begin_evacuation(&self, fleet: &TenantFleet) -> (&'static str, Duration) {
        let mut rng = Pcg64Mcg::seed_from_u64(!self.seed);
        let zone = ZONES[rng.random_range(0..ZONES.len())];
        wait(&mut rng).await;
        fleet.store.write(EVACUATIONS, zone, &json!({}));
        (zone, fleet.started.elapsed())
    }

    /// Ends an evacuation some time after it has to be in force on all nodes; its upstreams are cold then.
    pub async fn end_evacuation(
        &self,
        fleet: &TenantFleet,
        (zone, written_at): (&'static str, Duration),
    ) -> Evacuation {
        let outage_ends = fleet.outages().into_iter().map(|outage| outage.until);
        let in_touch_since = outage_ends.fold(written_at, Duration::max);
        tokio::time::sleep_until(fleet.started + in_touch_since + BOUNDS.evacuation + EVACUATED_TIME).await;
        for member in fleet.members.iter().filter(|member| member.zone == zone) {
            member.restart_cold();
        }
        let deleted_at = fleet.started.elapsed();
        fleet.store.delete(EVACUATIONS, zone);
        Evacuation { zone, written_at, deleted_at }
    }
}

async fn wait(rng: &mut Pcg64Mcg) {
    tokio::time::sleep(Duration::from_millis(rng.random_range(0..MAX_WAIT_MS))).await;
}
