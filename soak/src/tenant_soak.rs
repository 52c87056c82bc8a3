//! One soak run with tenants: keys, quotas, evacuations and cold upstreams under the disturbances of one seed.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::task::JoinSet;
use yuccatray_platform_testutils::site::SERVICE;

use crate::disturbance::Disturbance;
use crate::findings::Finding;
use crate::run_soak::SoakOptions;
use crate::run_soak::SoakReport;
use crate::tenant_callers::TenantCaller;
use crate::tenant_checks::tenant_violations;
use crate::tenant_fleet::BOUNDS;
use crate::tenant_fleet::COLD_TIME;
use crate::tenant_fleet::TenantFleet;
use crate::tenant_operators::KEPT;
use crate::tenant_operators::LIMITED;
use crate::tenant_operators::TenantPlan;
use crate::tenant_record::KeyedCall;
use crate::tenant_record::TenantRecord;

/// Number of callers per node.
const CALLERS_PER_NODE: u64 = 6;
/// Upper bound of the time between the starts of two disturbances.
const MAX_GAP_MS: u64 = 500;
/// Time for which the callers go on after the end of the evacuation, while the upstreams of the zone are cold.
const CALM_TIME: Duration = COLD_TIME;

/// Runs the soak test with tenants for one seed and returns its report.
///
/// # Panics
///
/// When a process can't be started, or a node doesn't serve requests before the first disturbance.
pub async fn run_tenant_soak(options: &SoakOptions) -> SoakReport {
    let mut fleet = TenantFleet::start(options).await;
    let plan = TenantPlan::new(options.seed);
    plan.configure_first(&fleet);
    for member in &fleet.members {
        let is_serving = fleet.wait_until_serving(member, &plan.keys[LIMITED].text).await;
        assert!(is_serving, "every node serves requests for {SERVICE} before the first disturbance");
    }
    fleet.started = tokio::time::Instant::now();
    let fleet = Arc::new(fleet);
    let stop = Arc::new(AtomicBool::new(false));
    let callers = spawn_callers(&fleet, &plan, &stop);
    let (disturbed, keys, begun) =
        tokio::join!(disturb(&fleet, options), plan.change_keys(&fleet), plan.begin_evacuation(&fleet));
    let (disturbances, mut findings) = disturbed;
    let evacuation = plan.end_evacuation(&fleet, begun).await;
    tokio::time::sleep(CALM_TIME).await;
    findings.extend(unrecovered(&fleet, &plan).await);
    stop.store(true, Ordering::SeqCst);
    let calls: Vec<KeyedCall> = callers.join_all().await.into_iter().flatten().collect();
    let key_texts: Vec<Arc<str>> = plan.keys.iter().map(|key| Arc::clone(&key.text)).collect();
    let record = TenantRecord {
        bounds: BOUNDS,
        zones: fleet.members.iter().map(|member| member.zone).collect(),
        limits: plan.limits(),
        keys,
        calls,
        arrivals: fleet.arrivals(&key_texts),
        evacuations: vec![evacuation],
        outages: fleet.outages(),
    };
    findings.extend(tenant_violations(&record).into_iter().map(Finding::TenantViolated));
    let is_success = |call: &&KeyedCall| call.status.is_some_and(|status| (200..300).contains(&status));
    let answered = record.calls.iter().filter(is_success).count();
    SoakReport { disturbances, calls: record.calls.len(), answered, findings }
}

fn spawn_callers(fleet: &TenantFleet, plan: &TenantPlan, stop: &Arc<AtomicBool>) -> JoinSet<Vec<KeyedCall>> {
    let mut callers = JoinSet::new();
    for number in 0..CALLERS_PER_NODE * fleet.members.len() as u64 {
        let caller = TenantCaller {
            number,
            seed: plan.seed,
            nodes: fleet.members.iter().map(|member| Arc::clone(&member.node.status)).collect(),
            keys: plan.keys.clone(),
            started: fleet.started,
            stop: Arc::clone(stop),
        };
        callers.spawn(caller.run());
    }
    callers
}

/// Starts disturbances at random times, which may overlap, and waits for all of them to end.
async fn disturb(
    fleet: &Arc<TenantFleet>,
    options: &SoakOptions,
) -> (Vec<(Duration, usize, Disturbance)>, Vec<Finding>) {
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let mut disturbances = Vec::new();
    let mut running = JoinSet::new();
    while fleet.started.elapsed() < options.duration {
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..MAX_GAP_MS))).await;
        let index = rng.random_range(0..fleet.members.len());
        let disturbance = Disturbance::random_with_tenants(&mut rng);
        disturbances.push((fleet.started.elapsed(), index, disturbance));
        let fleet = Arc::clone(fleet);
        running.spawn(async move { fleet.apply(disturbance, index).await });
    }
    let findings = running.join_all().await.into_iter().flatten().collect();
    (disturbances, findings)
}

/// Returns a finding for each node that exited or doesn't serve requests again.
async fn unrecovered(fleet: &TenantFleet, plan: &TenantPlan) -> Vec<Finding> {
    let mut findings = Vec::new();
    for member in &fleet.members {
        if member.node.exited_unexpectedly() {
            findings.push(Finding::UnexpectedExit(member.index));
        } else if !fleet.wait_until_serving(member, &plan.keys[KEPT].text).await {
            findings.push(Finding::NotRecovered(member.index));
        }
    }
    findings
}
