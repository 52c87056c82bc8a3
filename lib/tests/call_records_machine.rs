//! Compares the gate's call records with a reference model that keeps every call.
//!
//! `CALL_RECORDS_CASES` sets the number of generated sequences; the seed is fixed.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::strategy::BoxedStrategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use tokio::time::Instant;
use yuccatray::protocol::call_id::CallId;
use yuccatray::state::call_records::CallRecordState;
use yuccatray::state::call_records::CallRecords;
use yuccatray::state::call_records::RecordLimits;

const DEFAULT_CASES: u32 = 256;
const SEED: u64 = 5;
const INGRESS_COUNT: u64 = 3;
/// Number of distinct calls of each ingress.
const CALLS_PER_INGRESS: u64 = 12;
/// Distance between sequence numbers whose records fall into the same shard.
const SHARD_STEP: u64 = 16;
const LIMITS: RecordLimits = RecordLimits {
    max_ended_calls: 3,
    max_kept_answer_bytes: 100,
    answer_retention: Duration::from_secs(2),
    record_retention: Duration::from_secs(10),
};

/// A call, identified by its ingress and its index there; all calls fall into one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Key {
    ingress: u64,
    index: u64,
}

impl Key {
    fn call(self) -> CallId {
        CallId { node: Arc::from("vm"), incarnation: self.ingress, sequence: (self.index + 1) * SHARD_STEP }
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Begin(Key),
    Finish(Key, Option<usize>),
    Resolve(Key),
    Abandon(Key),
    Advance(Duration),
}

/// State of a call as the records should know it; the model never discards it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExpectedState {
    Running,
    Ended {
        answer_kept: bool,
    },
    Fenced,
    /// Rejected on arrival because its record had been discarded.
    Rejected,
}

#[derive(Clone, Debug, Default)]
struct Oracle {
    now: Duration,
    states: IndexMap<Key, ExpectedState>,
    last_message_at: IndexMap<u64, Duration>,
}

impl Oracle {
    /// Returns whether a message about the call can arrive.
    ///
    /// A duplicate arrives only while the records remember its ingress, since no connection lives longer.
    fn may_reference(&self, key: Key) -> bool {
        let ingress_expired = self
            .last_message_at
            .get(&key.ingress)
            .is_none_or(|last_at| self.now >= *last_at + LIMITS.record_retention);
        !(ingress_expired && self.states.contains_key(&key))
    }
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let key =
            || (0..INGRESS_COUNT, 0..CALLS_PER_INGRESS).prop_map(|(ingress, index)| Key { ingress, index });
        let bytes = proptest::option::of(0_usize..120);
        prop_oneof![
            4 => key().prop_map(Step::Begin),
            4 => (key(), bytes).prop_map(|(key, bytes)| Step::Finish(key, bytes)),
            2 => key().prop_map(Step::Resolve),
            1 => key().prop_map(Step::Abandon),
            1 => (1_u64..4_000).prop_map(|millis| Step::Advance(Duration::from_millis(millis))),
        ]
        .boxed()
    }

    fn preconditions(oracle: &Self, step: &Step) -> bool {
        match step {
            Step::Begin(key) | Step::Resolve(key) => oracle.may_reference(*key),
            Step::Finish(key, _) | Step::Abandon(key) => {
                oracle.states.get(key) == Some(&ExpectedState::Running)
            }
            Step::Advance(_) => true,
        }
    }

    fn apply(mut oracle: Self, step: &Step) -> Self {
        match step {
            Step::Begin(key) => {
                oracle.states.entry(*key).or_insert(ExpectedState::Running);
                oracle.last_message_at.insert(key.ingress, oracle.now);
            }
            Step::Finish(key, bytes) => {
                oracle.states.insert(*key, ExpectedState::Ended { answer_kept: bytes.is_some() });
                oracle.last_message_at.insert(key.ingress, oracle.now);
            }
            Step::Resolve(key) => {
                oracle.states.entry(*key).or_insert(ExpectedState::Fenced);
                oracle.last_message_at.insert(key.ingress, oracle.now);
            }
            Step::Abandon(key) => {
                oracle.states.swap_remove(key);
            }
            Step::Advance(duration) => oracle.now += *duration,
        }
        oracle
    }
}

/// The tested records and the state that they reported for each call.
struct RecordsUnderTest {
    records: CallRecords<Key>,
    origin: Instant,
    now: Duration,
    states: IndexMap<Key, ExpectedState>,
}

impl RecordsUnderTest {
    fn begin(&mut self, key: Key) {
        let result = self.records.begin(&key.call(), key, self.origin + self.now);
        match (result, self.states.get(&key).copied()) {
            (Ok(()), None) => {
                self.states.insert(key, ExpectedState::Running);
            }
            (Ok(()), Some(state)) => panic!("{key:?} started again in state {state:?}"),
            (Err(lookup), None) => {
                assert_eq!(
                    lookup,
                    CallRecordState::BelowFloor,
                    "a new call can only be rejected as forgotten"
                );
                assert!(
                    self.has_later_call(key),
                    "{key:?} is the latest call of its ingress but was rejected"
                );
                self.states.insert(key, ExpectedState::Rejected);
            }
            (Err(lookup), Some(state)) => Self::assert_consistent(key, lookup, state),
        }
    }

    fn resolve(&mut self, key: Key) {
        let lookup = self.records.resolve_or_fence(&key.call(), self.origin + self.now);
        match self.states.get(&key).copied() {
            Some(state) => Self::assert_consistent(key, lookup, state),
            None if lookup == CallRecordState::BelowFloor => {
                self.states.insert(key, ExpectedState::Rejected);
            }
            None => {
                assert_eq!(lookup, CallRecordState::Fenced);
                self.states.insert(key, ExpectedState::Fenced);
            }
        }
    }

    fn assert_consistent(key: Key, lookup: CallRecordState<Key>, state: ExpectedState) {
        let consistent = match state {
            ExpectedState::Running => lookup == CallRecordState::Running(key),
            ExpectedState::Ended { answer_kept } => match lookup {
                CallRecordState::Kept(answer) => answer_kept && answer == key,
                CallRecordState::Ended | CallRecordState::BelowFloor => true,
                CallRecordState::Running(_) | CallRecordState::Fenced => false,
            },
            ExpectedState::Fenced => matches!(lookup, CallRecordState::Fenced | CallRecordState::BelowFloor),
            ExpectedState::Rejected => lookup == CallRecordState::BelowFloor,
        };
        assert!(consistent, "{key:?} is in state {state:?} but the records returned {lookup:?}");
    }

    fn has_later_call(&self, key: Key) -> bool {
        self.states.keys().any(|other| other.ingress == key.ingress && other.index > key.index)
    }
}

struct RecordsTest;

impl StateMachineTest for RecordsTest {
    type SystemUnderTest = RecordsUnderTest;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> RecordsUnderTest {
        RecordsUnderTest {
            records: CallRecords::new(LIMITS),
            origin: Instant::now(),
            now: Duration::ZERO,
            states: IndexMap::new(),
        }
    }

    fn apply(mut tested: RecordsUnderTest, _: &Oracle, step: Step) -> RecordsUnderTest {
        match step {
            Step::Begin(key) => tested.begin(key),
            Step::Resolve(key) => tested.resolve(key),
            Step::Finish(key, bytes) => {
                if tested.states.get(&key) == Some(&ExpectedState::Running) {
                    tested.records.finish(&key.call(), bytes, tested.origin + tested.now);
                    tested.states.insert(key, ExpectedState::Ended { answer_kept: bytes.is_some() });
                }
            }
            Step::Abandon(key) => {
                tested.records.remove_unexecuted(&key.call());
                if tested.states.get(&key) == Some(&ExpectedState::Running) {
                    tested.states.swap_remove(&key);
                }
            }
            Step::Advance(duration) => tested.now += duration,
        }
        tested
    }

    fn check_invariants(tested: &RecordsUnderTest, _: &Oracle) {
        assert!(tested.records.kept_answer_bytes() <= LIMITS.max_kept_answer_bytes);
    }
}

fn case_count() -> u32 {
    let configured = std::env::var("CALL_RECORDS_CASES").ok();
    configured.map_or(DEFAULT_CASES, |text| text.parse().expect("CALL_RECORDS_CASES is a whole number"))
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: case_count(),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_local_rejects: u32::MAX,
        ..Config::default()
    })]

    #[test]
    fn call_records_never_start_a_call_twice(sequential 1..100 => RecordsTest);
}
