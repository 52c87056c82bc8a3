//! Histories of racing operators are linearizable, lost answers included.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use serde_json::json;
use todc_utils::Action;
use todc_utils::History;
use todc_utils::Specification;
use todc_utils::WGLChecker;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::transport::platform::Platform;
use yuccatray::transport::resolved_write::WriteOutcome;
use yuccatray::transport::resolved_write::write_resolved;
use yuccatray_testutils::faulty_platform::CallFaults;
use yuccatray_testutils::faulty_platform::FaultyPlatform;

const NAME: &str = "orders";
const OPERATORS: u64 = 4;
const ROUNDS: u64 = 12;

/// What an operator learned of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Won,
    Lost,
    Unknown,
}

/// One operation on the object; each value is written once.
#[derive(Clone, Copy, Debug)]
enum Operation {
    Read(Option<u64>),
    Replace { expected: Option<u64>, value: u64, outcome: Outcome },
}

/// A register that is replaced only if it holds what the writer expects.
struct ConditionalRegister;

impl Specification for ConditionalRegister {
    type State = Option<u64>;
    type Operation = Operation;

    fn init() -> Option<u64> {
        None
    }

    fn apply(operation: &Operation, state: &Option<u64>) -> (bool, Option<u64>) {
        match operation {
            Operation::Read(seen) => (seen == state, *state),
            Operation::Replace { expected, value, outcome } => {
                let matches = expected == state;
                let next = if matches { Some(*value) } else { *state };
                match outcome {
                    Outcome::Won => (matches, if matches { next } else { *state }),
                    Outcome::Lost => (!matches, *state),
                    Outcome::Unknown => (true, next),
                }
            }
        }
    }
}

/// The recorded operations, each as a process of its own.
#[derive(Debug, Default)]
struct Recorder {
    actions: Vec<(usize, Action<Operation>)>,
    open: Vec<(usize, Operation)>,
    operations: usize,
}

impl Recorder {
    fn call(&mut self, operation: Operation) -> usize {
        let id = self.operations;
        self.operations += 1;
        self.actions.push((id, Action::Call(operation)));
        id
    }

    fn respond(&mut self, id: usize, operation: Operation) {
        self.actions.push((id, Action::Response(operation)));
    }

    /// An operation of unknown outcome may take effect at any later time.
    fn leave_open(&mut self, id: usize, operation: Operation) {
        self.open.push((id, operation));
    }

    fn history(&mut self) -> History<Operation> {
        let open = std::mem::take(&mut self.open);
        let responses = open.into_iter().map(|(id, operation)| (id, Action::Response(operation)));
        self.actions.extend(responses);
        History::from_actions(std::mem::take(&mut self.actions))
    }
}

fn token(value: &Value) -> u64 {
    value["token"].as_u64().expect("every value holds a token")
}

async fn operate(platform: FaultyPlatform, recorder: Arc<Mutex<Recorder>>, operator: u64, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed + operator);
    for round in 0..ROUNDS {
        let pause = Duration::from_millis(rng.random_range(0..300));
        tokio::time::sleep(pause).await;
        let id = recorder.lock().call(Operation::Read(None));
        let Ok(held) = platform.get(ObjectKind::Service, NAME).await else {
            // A read without an answer says nothing: it is recorded as one that changes nothing.
            let nothing = Operation::Replace { expected: Some(u64::MAX), value: 0, outcome: Outcome::Lost };
            recorder.lock().respond(id, nothing);
            continue;
        };
        let expected = held.as_ref().map(|held| token(&held.value));
        recorder.lock().respond(id, Operation::Read(expected));
        let precondition = held.map_or(Precondition::Absent, |held| Precondition::Version(held.version));
        let value = 1 + operator * 1_000 + round;
        let write = |outcome| Operation::Replace { expected, value, outcome };
        let id = recorder.lock().call(write(Outcome::Unknown));
        let body = json!({ "token": value });
        match write_resolved(&platform, ObjectKind::Service, NAME, &body, precondition).await {
            Ok(WriteOutcome::Written(_)) => recorder.lock().respond(id, write(Outcome::Won)),
            Ok(WriteOutcome::Lost(_)) => recorder.lock().respond(id, write(Outcome::Lost)),
            Ok(WriteOutcome::Overtaken(_)) | Err(_) => {
                recorder.lock().leave_open(id, write(Outcome::Unknown));
            }
        }
    }
}

async fn record(seed: u64) -> History<Operation> {
    let platform = FaultyPlatform::new(seed);
    platform.set_faults(CallFaults {
        lost_percent: 5,
        unanswered_percent: 15,
        late_percent: 10,
        throttled_percent: 5,
        max_delay_ms: 200,
        ..CallFaults::default()
    });
    let recorder = Arc::new(Mutex::new(Recorder::default()));
    let operators = (0..OPERATORS)
        .map(|operator| tokio::spawn(operate(platform.client(), Arc::clone(&recorder), operator, seed)));
    let operators: Vec<_> = operators.collect();
    for operator in operators {
        operator.await.expect("an operator does not panic");
    }
    recorder.lock().history()
}

#[tokio::test(start_paused = true)]
async fn configuration_history_linearizable() {
    for seed in 0..40 {
        let history = record(seed * 10).await;
        assert!(WGLChecker::<ConditionalRegister>::is_linearizable(history), "seed {seed}");
    }
}

#[test]
fn configuration_history_two_winners_refused() {
    let replace = |value| Operation::Replace { expected: None, value, outcome: Outcome::Won };
    let actions = vec![
        (0, Action::Call(replace(1))),
        (1, Action::Call(replace(2))),
        (0, Action::Response(replace(1))),
        (1, Action::Response(replace(2))),
    ];
    let history = History::from_actions(actions);
    assert!(!WGLChecker::<ConditionalRegister>::is_linearizable(history), "the check can fail");
}
