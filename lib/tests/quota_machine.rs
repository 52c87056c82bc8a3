//! Checks that quotas hold in a simulated fleet under faults, whatever their order.
//!
//! `QUOTA_CASES` sets the number of generated sequences, and `QUOTA_SEED` the seed, which is fixed otherwise.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::strategy::BoxedStrategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use yuccatray::coordination::quota::ALL_PARTS;
use yuccatray::coordination::quota::allowance::QuotaAllowance;
use yuccatray::coordination::quota::tenant_limits::TenantLimit;
use yuccatray::coordination::quota::tenant_limits::TenantLimits;
use yuccatray_testutils::simulated_quotas::QuotaFleet;
use yuccatray_testutils::simulated_quotas::QuotaNetFaults;
use yuccatray_testutils::simulated_quotas::exceeded_window;
use yuccatray_testutils::simulated_quotas::exceeded_window_up_to;

const DEFAULT_CASES: u32 = 48;
const DEFAULT_SEED: u64 = 11;
const NODE_COUNT: usize = 5;
const ZONE_COUNT: usize = 2;
/// Rate per second and burst of each tenant.
const TENANTS: [(u32, u32); 3] = [(5, 1), (40, 20), (237, 60)];
/// Tokens beyond the burst that a bucket may hold.
const SPARE_TOKENS: f64 = 1.0;
/// Factor on the rate for clocks that run faster than the simulated time.
const CLOCK_SPEED: f64 = 1.005;
/// Tenant whose limit changes during a sequence, and its highest limit.
const CHANGING_TENANT: usize = 1;
const MAX_CHANGED_RATE: u32 = 60;
/// Longest pause of a process while shares move.
const MAX_SLOW_PAUSE_MS: u64 = 4_000_000;
/// Allowance that leaves extra tokens to some nodes only for the first tenant, and to all of them for the others.
const ALLOWANCE: QuotaAllowance = QuotaAllowance { window: Duration::from_secs(5), over: 0.1, slack: 3.0 };

#[derive(Clone, Copy, Debug)]
enum Step {
    Run(u64),
    RunCoarsely(u64),
    Request {
        node: usize,
        tenant: usize,
        count: u32,
    },
    Faults {
        loss_percent: u32,
        duplicate_percent: u32,
        max_delay_ms: u64,
    },
    Cut {
        from: usize,
        to: usize,
        is_cut: bool,
    },
    /// Cuts a node off from all others, which then regard it as dead, as it regards them.
    Isolate(usize),
    /// Cuts a node off from all others before any node regards another as dead, and sends requests to it for a while.
    CutOff {
        node: usize,
        tenant: usize,
        seconds: u64,
    },
    Heal,
    Pause {
        node: usize,
        millis: u64,
    },
    PauseBeforeSend {
        node: usize,
        millis: u64,
    },
    Restart {
        node: usize,
        is_killed: bool,
    },
    /// Restarts a node, whose roles the others take over at once.
    Replace(usize),
    View {
        observer: usize,
        node: usize,
        is_dead: bool,
    },
    CorrectViews,
    Limit {
        rate: u32,
        nodes: usize,
    },
    StoreDown(bool),
    StoreRefuses(usize),
    CopyStore,
    RestoreStore,
}

fn node() -> impl Strategy<Value = usize> {
    0..NODE_COUNT
}

/// A fault or its end; pauses last at most `max_pause_ms`.
fn fault(max_pause_ms: u64) -> impl Strategy<Value = Step> {
    let delays = prop_oneof![Just(2_u64), Just(30), Just(400), Just(2_500)];
    prop_oneof![
        2 => (0_u32..40, 0_u32..60, delays).prop_map(|(loss_percent, duplicate_percent, max_delay_ms)| {
            Step::Faults { loss_percent, duplicate_percent, max_delay_ms }
        }),
        2 => (node(), node(), any::<bool>()).prop_map(|(from, to, is_cut)| Step::Cut { from, to, is_cut }),
        1 => node().prop_map(Step::Isolate),
        2 => (node(), 0..TENANTS.len(), 0_u64..4)
            .prop_map(|(node, tenant, seconds)| Step::CutOff { node, tenant, seconds }),
        1 => Just(Step::Heal),
        2 => (node(), 1..max_pause_ms).prop_map(|(node, millis)| Step::Pause { node, millis }),
        1 => (node(), any::<bool>()).prop_map(|(node, is_killed)| Step::Restart { node, is_killed }),
        1 => node().prop_map(Step::Replace),
        2 => (node(), node(), any::<bool>())
            .prop_map(|(observer, node, is_dead)| Step::View { observer, node, is_dead }),
        2 => Just(Step::CorrectViews),
        1 => any::<bool>().prop_map(Step::StoreDown),
        1 => node().prop_map(Step::StoreRefuses),
        1 => Just(Step::CopyStore),
        1 => Just(Step::RestoreStore),
    ]
}

/// The oracle needs no state: the limits alone say what may be admitted in any window.
#[derive(Clone, Debug)]
struct Oracle;

/// Sequences of hours, in which shares move.
#[derive(Clone, Debug)]
struct SlowOracle;

impl ReferenceStateMachine for Oracle {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => (1_u64..300).prop_map(Step::Run),
            3 => (300_u64..1_500).prop_map(Step::Run),
            10 => (node(), 0..TENANTS.len(), 1_u32..80)
                .prop_map(|(node, tenant, count)| Step::Request { node, tenant, count }),
            3 => (node(), 1_u64..3_000).prop_map(|(node, millis)| Step::PauseBeforeSend { node, millis }),
            1 => (1_u32..MAX_CHANGED_RATE, 1..NODE_COUNT)
                .prop_map(|(rate, nodes)| Step::Limit { rate, nodes }),
            12 => fault(3_000),
        ]
        .boxed()
    }

    fn apply(seed: u64, _: &Step) -> u64 {
        seed
    }
}

impl ReferenceStateMachine for SlowOracle {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        prop_oneof![
            1 => (1_u64..3_000).prop_map(Step::Run),
            5 => (1_u64..30).prop_map(Step::RunCoarsely),
            8 => fault(MAX_SLOW_PAUSE_MS),
        ]
        .boxed()
    }

    fn apply(seed: u64, _: &Step) -> u64 {
        seed
    }
}

struct FleetUnderTest {
    fleet: QuotaFleet,
    limits: TenantLimits,
}

impl FleetUnderTest {
    fn new(seed: u64) -> Self {
        let limits = (0..TENANTS.len()).map(|tenant| (tenant_name(tenant), limit_of(TENANTS[tenant])));
        let limits = TenantLimits { revision: 1, limits: limits.collect() };
        let mut fleet = QuotaFleet::new(NODE_COUNT, ZONE_COUNT, limits.clone(), seed);
        fleet.store_equal_roster();
        fleet.copy_store();
        fleet.run(Duration::from_secs(2));
        Self { fleet, limits }
    }

    fn request(&mut self, node: usize, tenant: usize, count: u32) {
        for _ in 0..count {
            self.fleet.request(node, &tenant_name(tenant), Duration::from_millis(150));
        }
    }

    fn change_limit(&mut self, rate: u32, nodes: usize) {
        let (_, burst) = TENANTS[CHANGING_TENANT];
        self.limits.revision += 1;
        self.limits.limits.insert(tenant_name(CHANGING_TENANT), limit_of((rate, burst)));
        self.fleet.set_limits(self.limits.clone(), 0..nodes);
    }

    fn isolate(&mut self, node: usize) {
        self.cut_off(node);
        self.fleet.correct_views();
    }

    fn cut_off(&mut self, node: usize) {
        for other in (0..NODE_COUNT).filter(|other| *other != node) {
            self.fleet.set_cut(node, other, true);
            self.fleet.set_cut(other, node, true);
        }
    }

    /// Sends requests of a tenant to a node in bursts.
    fn request_repeatedly(&mut self, node: usize, tenant: usize, seconds: u64) {
        for _ in 0..seconds * 4 {
            self.request(node, tenant, 20);
            self.fleet.run(Duration::from_millis(250));
        }
    }

    fn replace(&mut self, node: usize) {
        self.fleet.kill(node);
        self.fleet.correct_views();
        self.fleet.start(node);
    }

    fn restart(&mut self, node: usize, is_killed: bool) {
        self.fleet.kill(node);
        if !is_killed {
            self.fleet.start(node);
        }
    }
}

impl FleetUnderTest {
    fn apply(mut self, step: Step) -> Self {
        let tested = &mut self;
        let fleet = &mut tested.fleet;
        match step {
            Step::Run(millis) => fleet.run(Duration::from_millis(millis)),
            Step::RunCoarsely(minutes) => fleet.run_coarsely(Duration::from_mins(minutes)),
            Step::Request { node, tenant, count } => tested.request(node, tenant, count),
            Step::Faults { loss_percent, duplicate_percent, max_delay_ms } => {
                fleet.faults = QuotaNetFaults { loss_percent, duplicate_percent, max_delay_ms };
            }
            Step::Cut { from, to, is_cut } => fleet.set_cut(from, to, is_cut),
            Step::Isolate(node) => tested.isolate(node),
            Step::CutOff { node, tenant, seconds } => {
                tested.cut_off(node);
                tested.request_repeatedly(node, tenant, seconds);
            }
            Step::Heal => fleet.heal(),
            Step::Pause { node, millis } => fleet.pause(node, Duration::from_millis(millis)),
            Step::PauseBeforeSend { node, millis } => {
                fleet.pause_before_send(node, Duration::from_millis(millis));
            }
            Step::Replace(node) => tested.replace(node),
            Step::Restart { node, is_killed } => tested.restart(node, is_killed),
            Step::View { observer, node, is_dead } => fleet.set_view(observer, node, is_dead),
            Step::CorrectViews => fleet.correct_views(),
            Step::Limit { rate, nodes } => tested.change_limit(rate, nodes),
            Step::StoreDown(is_down) => fleet.store.is_down = is_down,
            Step::StoreRefuses(node) => {
                if !fleet.store.refused.swap_remove(&node) {
                    fleet.store.refused.insert(node);
                }
            }
            Step::CopyStore => fleet.copy_store(),
            Step::RestoreStore => fleet.restore_store(),
        }
        self
    }

    fn check_parts(&self) {
        let spendable = self.fleet.spendable_parts();
        assert!(spendable <= ALL_PARTS, "processes may spend {spendable} parts of a group at once");
        let shares = self.fleet.usable_shares();
        assert!(shares <= ALL_PARTS, "processes hold shares of {shares} parts at once");
    }

    /// Checks that windows hold no more than the limit and the extra tokens of all nodes.
    fn check_windows_with_allowance(&self) {
        for (index, (rate, burst)) in TENANTS.into_iter().enumerate() {
            let is_changing = index == CHANGING_TENANT;
            let extra = ALLOWANCE.extra_tokens(limit_of((rate, burst)));
            let extra = if is_changing { NODE_COUNT } else { usize::try_from(extra).unwrap_or(usize::MAX) };
            let extra = u32::try_from(extra.min(NODE_COUNT)).unwrap_or(u32::MAX);
            let rate = if is_changing { rate.max(MAX_CHANGED_RATE) } else { rate };
            let rate = f64::from(rate) * CLOCK_SPEED;
            let burst = f64::from(burst + extra) + SPARE_TOKENS;
            let name = tenant_name(index);
            let exceeded =
                exceeded_window_up_to(&self.fleet.admissions, &name, rate, burst, ALLOWANCE.window);
            assert_eq!(exceeded, None, "tenant {index} got more than its allowance in a window");
        }
    }

    fn check_windows(&self) {
        for (index, (rate, burst)) in TENANTS.into_iter().enumerate() {
            let rate = if index == CHANGING_TENANT { rate.max(MAX_CHANGED_RATE) } else { rate };
            let rate = f64::from(rate) * CLOCK_SPEED;
            let burst = f64::from(burst) + SPARE_TOKENS;
            let exceeded = exceeded_window(&self.fleet.admissions, &tenant_name(index), rate, burst);
            assert_eq!(exceeded, None, "tenant {index} got more than its limit in a window");
        }
    }
}

struct QuotaTest;

impl StateMachineTest for QuotaTest {
    type SystemUnderTest = FleetUnderTest;
    type Reference = Oracle;

    fn init_test(seed: &u64) -> FleetUnderTest {
        FleetUnderTest::new(*seed)
    }

    fn apply(tested: FleetUnderTest, _: &u64, step: Step) -> FleetUnderTest {
        tested.apply(step)
    }

    fn check_invariants(tested: &FleetUnderTest, _: &u64) {
        tested.check_parts();
    }

    fn teardown(tested: FleetUnderTest, _: u64) {
        tested.check_windows();
    }
}

/// The same with extra tokens.
struct AllowanceTest;

impl StateMachineTest for AllowanceTest {
    type SystemUnderTest = FleetUnderTest;
    type Reference = Oracle;

    fn init_test(seed: &u64) -> FleetUnderTest {
        let mut tested = FleetUnderTest::new(*seed);
        tested.fleet.set_allowance(Some(ALLOWANCE));
        tested
    }

    fn apply(tested: FleetUnderTest, _: &u64, step: Step) -> FleetUnderTest {
        tested.apply(step)
    }

    fn check_invariants(tested: &FleetUnderTest, _: &u64) {
        tested.check_parts();
    }

    fn teardown(tested: FleetUnderTest, _: u64) {
        tested.check_windows_with_allowance();
    }
}

struct SlowTest;

impl StateMachineTest for SlowTest {
    type SystemUnderTest = FleetUnderTest;
    type Reference = SlowOracle;

    fn init_test(seed: &u64) -> FleetUnderTest {
        FleetUnderTest::new(*seed)
    }

    fn apply(tested: FleetUnderTest, _: &u64, step: Step) -> FleetUnderTest {
        tested.apply(step)
    }

    fn check_invariants(tested: &FleetUnderTest, _: &u64) {
        tested.check_parts();
    }
}

fn tenant_name(tenant: usize) -> Arc<str> {
    Arc::from(format!("tenant-{tenant}"))
}

fn limit_of((rate, burst): (u32, u32)) -> TenantLimit {
    TenantLimit { rate_millis_per_s: u64::from(rate) * 1_000, burst }
}

fn number_from_env(name: &str) -> Option<u64> {
    let configured = std::env::var(name).ok();
    configured.map(|text| text.parse().expect("the variable is a whole number"))
}

fn case_count() -> u32 {
    number_from_env("QUOTA_CASES").map_or(DEFAULT_CASES, |cases| u32::try_from(cases).unwrap_or(u32::MAX))
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: case_count(),
        rng_seed: RngSeed::Fixed(number_from_env("QUOTA_SEED").unwrap_or(DEFAULT_SEED)),
        failure_persistence: None,
        max_local_rejects: u32::MAX,
        ..Config::default()
    })]

    #[test]
    fn quota_fleet_never_exceeds_a_limit(sequential 1..80 => QuotaTest);

    #[test]
    fn quota_fleet_never_exceeds_an_allowance(sequential 1..80 => AllowanceTest);

    #[test]
    fn quota_fleet_never_holds_a_share_twice(sequential 1..60 => SlowTest);
}

/// Guards against a machine whose sequences admit nothing, so that they could never exceed a limit.
#[test]
fn quota_machine_admits_most_of_each_limit() {
    let mut tested = FleetUnderTest::new(3);
    tested.fleet.run(Duration::from_secs(4));
    for _ in 0..20 {
        for tenant in 0..TENANTS.len() {
            tested.request(tenant, tenant, 30);
        }
        tested.fleet.run(Duration::from_millis(100));
    }
    let mut admitted: IndexMap<Arc<str>, u32> = IndexMap::new();
    for admission in &tested.fleet.admissions {
        *admitted.entry(Arc::clone(&admission.tenant)).or_default() += 1;
    }
    for (tenant, (rate, burst)) in TENANTS.into_iter().enumerate() {
        let count = admitted.get(&tenant_name(tenant)).copied().unwrap_or(0);
        assert!(count * 100 >= (2 * rate + burst) * 90, "tenant {tenant} got {count} requests");
    }
}

/// Guards against a machine whose nodes never spend their own shares, so that the bound is not checked over them.
#[test]
fn quota_machine_spends_shares_of_isolated_nodes() {
    let mut tested = FleetUnderTest::new(3);
    tested.fleet.set_allowance(Some(ALLOWANCE));
    tested.fleet.run(Duration::from_secs(6));
    for node in 0..NODE_COUNT {
        tested.isolate(node);
    }
    tested.fleet.run(Duration::from_secs(2));
    for node in 0..NODE_COUNT {
        tested.request(node, 0, 2);
    }
    tested.fleet.run(Duration::from_millis(200));
    // Each node holds a fifth of two tokens, so all of these are extra ones.
    let extra = ALLOWANCE.extra_tokens(limit_of(TENANTS[0]));
    assert_eq!((extra, tested.fleet.local_tokens()), (3, 3));
    tested.check_parts();
    tested.check_windows_with_allowance();
}
