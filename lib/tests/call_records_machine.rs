//! The gate's call records against an oracle that forgets nothing.
//!
//! `CALL_RECORDS_CASES` sets the number of sequences for a long run; the seed is fixed.

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
use yuccatray::state::call_records::RecordBounds;

const CASES: u32 = 256;
const SEED: u64 = 5;
const INGRESSES: u64 = 3;
const SEQUENCES: u64 = 12;
const SHARD_STEP: u64 = 16;
const BOUNDS: RecordBounds = RecordBounds {
    max_ended: 3,
    max_kept_bytes: 100,
    keep_answer_for: Duration::from_secs(2),
    remember_for: Duration::from_secs(10),
};

/// A call by the number of its ingress and its position; all fall into one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Key {
    ingress: u64,
    position: u64,
}

impl Key {
    fn call(self) -> CallId {
        CallId {
            node: Arc::from("vm"),
            incarnation: self.ingress,
            sequence: (self.position + 1) * SHARD_STEP,
        }
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

/// What the oracle knows of a call, for ever.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Running,
    Ended {
        kept: bool,
    },
    Fenced,
    /// Refused when it arrived, since the records could not tell.
    TurnedAway,
}

#[derive(Clone, Debug, Default)]
struct Oracle {
    now: Duration,
    fates: IndexMap<Key, Fate>,
    touched: IndexMap<u64, Duration>,
}

impl Oracle {
    /// A late copy comes while its ingress is remembered; connections do not live longer.
    fn may_touch(&self, key: Key) -> bool {
        let silent = self.touched.get(&key.ingress).is_none_or(|at| self.now >= *at + BOUNDS.remember_for);
        !(silent && self.fates.contains_key(&key))
    }
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let key = || (0..INGRESSES, 0..SEQUENCES).prop_map(|(ingress, position)| Key { ingress, position });
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
            Step::Begin(key) | Step::Resolve(key) => oracle.may_touch(*key),
            Step::Finish(key, _) | Step::Abandon(key) => oracle.fates.get(key) == Some(&Fate::Running),
            Step::Advance(_) => true,
        }
    }

    fn apply(mut oracle: Self, step: &Step) -> Self {
        match step {
            Step::Begin(key) => {
                oracle.fates.entry(*key).or_insert(Fate::Running);
                oracle.touched.insert(key.ingress, oracle.now);
            }
            Step::Finish(key, bytes) => {
                oracle.fates.insert(*key, Fate::Ended { kept: bytes.is_some() });
                oracle.touched.insert(key.ingress, oracle.now);
            }
            Step::Resolve(key) => {
                oracle.fates.entry(*key).or_insert(Fate::Fenced);
                oracle.touched.insert(key.ingress, oracle.now);
            }
            Step::Abandon(key) => {
                oracle.fates.swap_remove(key);
            }
            Step::Advance(by) => oracle.now += *by,
        }
        oracle
    }
}

/// The records, and the fates as they really came to be.
struct Subject {
    records: CallRecords<Key>,
    epoch: Instant,
    now: Duration,
    fates: IndexMap<Key, Fate>,
}

impl Subject {
    fn begin(&mut self, key: Key) {
        let begun = self.records.begin(&key.call(), key, self.epoch + self.now);
        match (begun, self.fates.get(&key).copied()) {
            (Ok(()), None) => {
                self.fates.insert(key, Fate::Running);
            }
            (Ok(()), Some(fate)) => panic!("{key:?} started again after {fate:?}"),
            (Err(seen), None) => {
                assert_eq!(seen, CallRecordState::Forgotten, "a new call may only be refused as too old");
                assert!(self.has_later(key), "{key:?} is the newest of its ingress and was refused");
                self.fates.insert(key, Fate::TurnedAway);
            }
            (Err(seen), Some(fate)) => Self::agree(key, seen, fate),
        }
    }

    fn resolve(&mut self, key: Key) {
        let seen = self.records.resolve(&key.call(), self.epoch + self.now);
        match self.fates.get(&key).copied() {
            Some(fate) => Self::agree(key, seen, fate),
            None if seen == CallRecordState::Forgotten => {
                self.fates.insert(key, Fate::TurnedAway);
            }
            None => {
                assert_eq!(seen, CallRecordState::Fenced);
                self.fates.insert(key, Fate::Fenced);
            }
        }
    }

    fn agree(key: Key, seen: CallRecordState<Key>, fate: Fate) {
        let agreed = match fate {
            Fate::Running => seen == CallRecordState::Running(key),
            Fate::Ended { kept } => match seen {
                CallRecordState::Kept(answer) => kept && answer == key,
                CallRecordState::Ended | CallRecordState::Forgotten => true,
                CallRecordState::Running(_) | CallRecordState::Fenced => false,
            },
            Fate::Fenced => matches!(seen, CallRecordState::Fenced | CallRecordState::Forgotten),
            Fate::TurnedAway => seen == CallRecordState::Forgotten,
        };
        assert!(agreed, "{key:?} is {fate:?} and was seen as {seen:?}");
    }

    fn has_later(&self, key: Key) -> bool {
        self.fates.keys().any(|other| other.ingress == key.ingress && other.position > key.position)
    }
}

struct RecordsTest;

impl StateMachineTest for RecordsTest {
    type SystemUnderTest = Subject;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Subject {
        Subject {
            records: CallRecords::new(BOUNDS),
            epoch: Instant::now(),
            now: Duration::ZERO,
            fates: IndexMap::new(),
        }
    }

    fn apply(mut subject: Subject, _: &Oracle, step: Step) -> Subject {
        match step {
            Step::Begin(key) => subject.begin(key),
            Step::Resolve(key) => subject.resolve(key),
            Step::Finish(key, bytes) => {
                if subject.fates.get(&key) == Some(&Fate::Running) {
                    subject.records.finish(&key.call(), bytes, subject.epoch + subject.now);
                    subject.fates.insert(key, Fate::Ended { kept: bytes.is_some() });
                }
            }
            Step::Abandon(key) => {
                subject.records.abandon(&key.call());
                if subject.fates.get(&key) == Some(&Fate::Running) {
                    subject.fates.swap_remove(&key);
                }
            }
            Step::Advance(by) => subject.now += by,
        }
        subject
    }

    fn check_invariants(subject: &Subject, _: &Oracle) {
        assert!(subject.records.kept_bytes() <= BOUNDS.max_kept_bytes);
    }
}

fn cases() -> u32 {
    let asked = std::env::var("CALL_RECORDS_CASES").ok();
    asked.map_or(CASES, |text| text.parse().expect("CALL_RECORDS_CASES is a whole number"))
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: cases(),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_local_rejects: u32::MAX,
        ..Config::default()
    })]

    #[test]
    fn call_records_never_start_twice(sequential 1..100 => RecordsTest);
}
