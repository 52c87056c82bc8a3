//! Stateful fuzzing of membership and of the spread of configuration against simple oracles.
//!
//! `YUCCATRAY_FUZZ_CASES` and `YUCCATRAY_FUZZ_SEED` lengthen and vary a run.

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
use yuccatray_testutils::fleet_harness::Fleet;
use yuccatray_testutils::fleet_harness::NetFaults;

const PLACES: usize = 8;
const ZONES: usize = 3;
const TRANSITIONS: std::ops::Range<usize> = 20..60;
const DEFAULT_CASES: u32 = 48;
const DEFAULT_SEED: u64 = 20_261_204;

/// Time after the last fault by which every view has to agree.
const CONVERGENCE: Duration = Duration::from_mins(1);

static STEPS: AtomicU64 = AtomicU64::new(0);

/// The oracle: which places run, and how far each service was published.
#[derive(Clone, Debug)]
struct Expected {
    running: [bool; PLACES],
    seed: u64,
}

#[derive(Clone, Debug)]
enum Transition {
    Start { place: usize, clock_behind: bool },
    Crash { place: usize },
    Leave { place: usize },
    Pause { place: usize, ms: u64 },
    Cut { sides: u8 },
    Network { loss_percent: u32, duplicate_percent: u32, max_delay_ms: u64 },
    Heal,
    Platform { up: bool },
    Publish { service: u8 },
    Run { ms: u64 },
}

impl ReferenceStateMachine for Expected {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        any::<u64>().prop_map(|seed| Self { running: [false; PLACES], seed }).boxed()
    }

    fn transitions(_state: &Self) -> BoxedStrategy<Transition> {
        let place = || 0..PLACES;
        prop_oneof![
            6 => (place(), 0_u8..10)
                .prop_map(|(place, dice)| Transition::Start { place, clock_behind: dice == 0 }),
            2 => place().prop_map(|place| Transition::Crash { place }),
            1 => place().prop_map(|place| Transition::Leave { place }),
            2 => (place(), 100_u64..40_000).prop_map(|(place, ms)| Transition::Pause { place, ms }),
            1 => any::<u8>().prop_map(|sides| Transition::Cut { sides }),
            2 => (0_u32..40, 0_u32..30, 0_u64..800).prop_map(|(loss_percent, duplicate_percent, max_delay_ms)| {
                Transition::Network { loss_percent, duplicate_percent, max_delay_ms }
            }),
            1 => Just(Transition::Heal),
            1 => any::<bool>().prop_map(|up| Transition::Platform { up }),
            4 => (0_u8..4).prop_map(|service| Transition::Publish { service }),
            8 => (50_u64..15_000).prop_map(|ms| Transition::Run { ms }),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, transition: &Transition) -> bool {
        match transition {
            Transition::Start { place, .. } => !state.running[*place],
            Transition::Crash { place } | Transition::Leave { place } | Transition::Pause { place, .. } => {
                state.running[*place]
            }
            _ => true,
        }
    }

    fn apply(mut state: Self, transition: &Transition) -> Self {
        match transition {
            Transition::Start { place, .. } => state.running[*place] = true,
            Transition::Crash { place } | Transition::Leave { place } => state.running[*place] = false,
            _ => {}
        }
        state
    }
}

struct FleetUnderTest;

impl StateMachineTest for FleetUnderTest {
    type SystemUnderTest = Fleet;
    type Reference = Expected;

    fn init_test(expected: &Expected) -> Fleet {
        Fleet::new(PLACES, ZONES, expected.seed)
    }

    fn apply(mut fleet: Fleet, _expected: &Expected, transition: Transition) -> Fleet {
        STEPS.fetch_add(1, Ordering::Relaxed);
        match transition {
            Transition::Start { place, clock_behind } => fleet.start(place, clock_behind),
            Transition::Crash { place } => fleet.crash(place),
            Transition::Leave { place } => fleet.leave(place),
            Transition::Pause { place, ms } => fleet.pause(place, Duration::from_millis(ms)),
            Transition::Cut { sides } => {
                for (place, side) in fleet.side.iter_mut().enumerate() {
                    *side = sides >> place & 1;
                }
            }
            Transition::Network { loss_percent, duplicate_percent, max_delay_ms } => {
                fleet.faults = NetFaults { loss_percent, duplicate_percent, max_delay_ms };
            }
            Transition::Heal => fleet.heal(),
            Transition::Platform { up } => fleet.platform_up = up,
            Transition::Publish { service } => fleet.publish(&format!("s{service}")),
            Transition::Run { ms } => fleet.run(Duration::from_millis(ms)),
        }
        fleet
    }

    fn teardown(mut fleet: Fleet, expected: Expected) {
        fleet.heal();
        let took = fleet.run_until(CONVERGENCE, Fleet::has_converged);
        assert!(took.is_some(), "not converged {CONVERGENCE:?} after the last fault:\n{}", fleet.describe());
        let running: Vec<bool> = fleet.lives.iter().map(Option::is_some).collect();
        assert_eq!(running, expected.running, "the oracle and the fleet agree on who runs");
    }
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

#[test]
fn fleet_converges_after_any_faults() {
    let cases = number("YUCCATRAY_FUZZ_CASES").and_then(|cases| u32::try_from(cases).ok());
    let config = Config {
        cases: cases.unwrap_or(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(number("YUCCATRAY_FUZZ_SEED").unwrap_or(DEFAULT_SEED)),
        failure_persistence: None,
        max_shrink_iters: 500,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config.clone());
    let strategy = Expected::sequential_strategy(TRANSITIONS);
    let result = runner.run(&strategy, |(state, transitions, seen)| {
        FleetUnderTest::test_sequential(config.clone(), state, transitions, seen);
        Ok(())
    });
    if let Err(failure) = result {
        panic!("{failure}");
    }
    println!("{} transitions", STEPS.load(Ordering::Relaxed));
    assert!(STEPS.load(Ordering::Relaxed) >= u64::from(config.cases) * TRANSITIONS.start as u64);
}
