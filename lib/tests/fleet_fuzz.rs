//! Stateful fuzzing of membership and of configuration propagation against a reference model.
//!
//! `YUCCATRAY_FUZZ_CASES` sets the number of cases, `YUCCATRAY_FUZZ_SEED` the seed.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use proptest::prelude::BoxedStrategy;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use yuccatray_testutils::simulated_fleet::NetFaults;
use yuccatray_testutils::simulated_fleet::SimulatedFleet;

const MAX_NODES: usize = 8;
const ZONE_COUNT: usize = 3;
/// Number of transitions of one case.
const TRANSITION_COUNT: std::ops::Range<usize> = 20..60;
const DEFAULT_CASES: u32 = 48;
const DEFAULT_SEED: u64 = 20_261_204;

/// Maximum time from the last fault until the views of all nodes agree.
const MAX_CONVERGENCE_TIME: Duration = Duration::from_mins(1);

/// Number of transitions executed over all cases.
static EXECUTED_TRANSITIONS: AtomicU64 = AtomicU64::new(0);

/// Reference model: which nodes run.
#[derive(Clone, Debug)]
struct Expected {
    running: [bool; MAX_NODES],
    /// Seed of the tested fleet.
    seed: u64,
}

#[derive(Clone, Debug)]
enum Transition {
    Start { node: usize, clock_behind: bool },
    Crash { node: usize },
    Leave { node: usize },
    Pause { node: usize, ms: u64 },
    Partition { sides: u8 },
    Network { loss_percent: u32, duplicate_percent: u32, max_delay_ms: u64 },
    Heal,
    Platform { up: bool },
    Publish { service: u8 },
    Advance { ms: u64 },
}

impl ReferenceStateMachine for Expected {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        any::<u64>().prop_map(|seed| Self { running: [false; MAX_NODES], seed }).boxed()
    }

    fn transitions(_state: &Self) -> BoxedStrategy<Transition> {
        let node = || 0..MAX_NODES;
        prop_oneof![
            6 => (node(), 0_u8..10)
                .prop_map(|(node, roll)| Transition::Start { node, clock_behind: roll == 0 }),
            2 => node().prop_map(|node| Transition::Crash { node }),
            1 => node().prop_map(|node| Transition::Leave { node }),
            2 => (node(), 100_u64..40_000).prop_map(|(node, ms)| Transition::Pause { node, ms }),
            1 => any::<u8>().prop_map(|sides| Transition::Partition { sides }),
            2 => (0_u32..40, 0_u32..30, 0_u64..800).prop_map(|(loss_percent, duplicate_percent, max_delay_ms)| {
                Transition::Network { loss_percent, duplicate_percent, max_delay_ms }
            }),
            1 => Just(Transition::Heal),
            1 => any::<bool>().prop_map(|up| Transition::Platform { up }),
            4 => (0_u8..4).prop_map(|service| Transition::Publish { service }),
            8 => (50_u64..15_000).prop_map(|ms| Transition::Advance { ms }),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, transition: &Transition) -> bool {
        match transition {
            Transition::Start { node, .. } => !state.running[*node],
            Transition::Crash { node } | Transition::Leave { node } | Transition::Pause { node, .. } => {
                state.running[*node]
            }
            _ => true,
        }
    }

    fn apply(mut state: Self, transition: &Transition) -> Self {
        match transition {
            Transition::Start { node, .. } => state.running[*node] = true,
            Transition::Crash { node } | Transition::Leave { node } => state.running[*node] = false,
            _ => {}
        }
        state
    }
}

struct FleetUnderTest;

impl StateMachineTest for FleetUnderTest {
    type SystemUnderTest = SimulatedFleet;
    type Reference = Expected;

    fn init_test(expected: &Expected) -> SimulatedFleet {
        SimulatedFleet::new(MAX_NODES, ZONE_COUNT, expected.seed)
    }

    fn apply(mut fleet: SimulatedFleet, _expected: &Expected, transition: Transition) -> SimulatedFleet {
        EXECUTED_TRANSITIONS.fetch_add(1, Ordering::Relaxed);
        match transition {
            Transition::Start { node, clock_behind } => fleet.start(node, clock_behind),
            Transition::Crash { node } => fleet.crash(node),
            Transition::Leave { node } => fleet.leave(node),
            Transition::Pause { node, ms } => fleet.pause(node, Duration::from_millis(ms)),
            Transition::Partition { sides } => {
                // Bit N of `sides` is the side of node N.
                for (node, side) in fleet.partition_side.iter_mut().enumerate() {
                    *side = sides >> node & 1;
                }
            }
            Transition::Network { loss_percent, duplicate_percent, max_delay_ms } => {
                fleet.faults = NetFaults { loss_percent, duplicate_percent, max_delay_ms };
            }
            Transition::Heal => fleet.end_faults(),
            Transition::Platform { up } => fleet.platform_up = up,
            Transition::Publish { service } => fleet.publish(&format!("s{service}")),
            Transition::Advance { ms } => fleet.run(Duration::from_millis(ms)),
        }
        fleet
    }

    fn teardown(mut fleet: SimulatedFleet, expected: Expected) {
        fleet.end_faults();
        let convergence_time = fleet.run_until(MAX_CONVERGENCE_TIME, SimulatedFleet::has_converged);
        assert!(
            convergence_time.is_some(),
            "the fleet did not converge within {MAX_CONVERGENCE_TIME:?} of the last fault:\n{}",
            fleet.describe()
        );
        let running: Vec<bool> = fleet.nodes.iter().map(Option::is_some).collect();
        assert_eq!(running, expected.running, "the fleet runs the nodes that the model expects");
    }
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

#[test]
fn fleet_converges_after_random_faults() {
    let cases = env_number("YUCCATRAY_FUZZ_CASES").and_then(|cases| u32::try_from(cases).ok());
    let config = Config {
        cases: cases.unwrap_or(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(env_number("YUCCATRAY_FUZZ_SEED").unwrap_or(DEFAULT_SEED)),
        failure_persistence: None,
        max_shrink_iters: 500,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config.clone());
    let strategy = Expected::sequential_strategy(TRANSITION_COUNT);
    let result = runner.run(&strategy, |(state, transitions, seen_counter)| {
        FleetUnderTest::test_sequential(config.clone(), state, transitions, seen_counter);
        Ok(())
    });
    if let Err(failure) = result {
        panic!("{failure}");
    }
    println!("{} transitions", EXECUTED_TRANSITIONS.load(Ordering::Relaxed));
    assert!(
        EXECUTED_TRANSITIONS.load(Ordering::Relaxed)
            >= u64::from(config.cases) * TRANSITION_COUNT.start as u64
    );
}
