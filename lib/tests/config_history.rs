//! Checks that the writes of concurrent operators are linearizable, including those whose answers are lost.

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

const SERVICE_NAME: &str = "orders";
const OPERATORS: u64 = 4;
const ROUNDS_PER_OPERATOR: u64 = 12;

/// Outcome of a write as reported to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Applied,
    PreconditionFailed,
    Unknown,
}

/// One operation on the object. Each value is written at most once.
#[derive(Clone, Copy, Debug)]
enum Operation {
    Read(Option<u64>),
    Replace { expected: Option<u64>, value: u64, outcome: Outcome },
}

/// Register whose value is replaced only if it equals the value that the writer expects.
struct ConditionalRegister;

impl Specification for ConditionalRegister {
    type State = Option<u64>;
    type Operation = Operation;

    fn init() -> Option<u64> {
        None
    }

    fn apply(operation: &Operation, state: &Option<u64>) -> (bool, Option<u64>) {
        match operation {
            Operation::Read(value) => (value == state, *state),
            Operation::Replace { expected, value, outcome } => {
                let matches = expected == state;
                let replaced = if matches { Some(*value) } else { *state };
                match outcome {
                    Outcome::Applied => (matches, if matches { replaced } else { *state }),
                    Outcome::PreconditionFailed => (!matches, *state),
                    Outcome::Unknown => (true, replaced),
                }
            }
        }
    }
}

/// Recorded operations, each under a process identifier of its own.
#[derive(Debug, Default)]
struct Recorder {
    actions: Vec<(usize, Action<Operation>)>,
    unresolved: Vec<(usize, Operation)>,
    operations: usize,
}

impl Recorder {
    fn record_call(&mut self, operation: Operation) -> usize {
        let id = self.operations;
        self.operations += 1;
        self.actions.push((id, Action::Call(operation)));
        id
    }

    fn record_response(&mut self, id: usize, operation: Operation) {
        self.actions.push((id, Action::Response(operation)));
    }

    /// Records an operation of unknown outcome, which may take effect at any later time.
    fn record_unknown(&mut self, id: usize, operation: Operation) {
        self.unresolved.push((id, operation));
    }

    fn history(&mut self) -> History<Operation> {
        let unresolved = std::mem::take(&mut self.unresolved);
        let responses = unresolved.into_iter().map(|(id, operation)| (id, Action::Response(operation)));
        self.actions.extend(responses);
        History::from_actions(std::mem::take(&mut self.actions))
    }
}

fn token(value: &Value) -> u64 {
    value["token"].as_u64().expect("every value has a token")
}

async fn run_operator(platform: FaultyPlatform, recorder: Arc<Mutex<Recorder>>, operator: u64, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed + operator);
    for round in 0..ROUNDS_PER_OPERATOR {
        let pause = Duration::from_millis(rng.random_range(0..300));
        tokio::time::sleep(pause).await;
        let id = recorder.lock().record_call(Operation::Read(None));
        let Ok(current) = platform.get(ObjectKind::Service, SERVICE_NAME).await else {
            // A failed read constrains nothing, so it is recorded as a write whose precondition failed.
            let no_change = Operation::Replace {
                expected: Some(u64::MAX),
                value: 0,
                outcome: Outcome::PreconditionFailed,
            };
            recorder.lock().record_response(id, no_change);
            continue;
        };
        let expected = current.as_ref().map(|current| token(&current.value));
        recorder.lock().record_response(id, Operation::Read(expected));
        let precondition =
            current.map_or(Precondition::Absent, |current| Precondition::Version(current.version));
        let value = 1 + operator * 1_000 + round;
        let write = |outcome| Operation::Replace { expected, value, outcome };
        let id = recorder.lock().record_call(write(Outcome::Unknown));
        let body = json!({ "token": value });
        match write_resolved(&platform, ObjectKind::Service, SERVICE_NAME, &body, precondition).await {
            Ok(WriteOutcome::Written(_)) => recorder.lock().record_response(id, write(Outcome::Applied)),
            Ok(WriteOutcome::Rejected(_)) => {
                recorder.lock().record_response(id, write(Outcome::PreconditionFailed));
            }
            Ok(WriteOutcome::Unknown(_)) | Err(_) => {
                recorder.lock().record_unknown(id, write(Outcome::Unknown));
            }
        }
    }
}

async fn record_history(seed: u64) -> History<Operation> {
    let platform = FaultyPlatform::new(seed);
    platform.set_faults(CallFaults {
        lost_percent: 5,
        unanswered_percent: 15,
        late_write_percent: 10,
        throttled_percent: 5,
        max_delay_ms: 200,
        ..CallFaults::default()
    });
    let recorder = Arc::new(Mutex::new(Recorder::default()));
    let operators = (0..OPERATORS)
        .map(|operator| tokio::spawn(run_operator(platform.client(), Arc::clone(&recorder), operator, seed)));
    let operators: Vec<_> = operators.collect();
    for operator in operators {
        operator.await.expect("an operator does not panic");
    }
    recorder.lock().history()
}

#[tokio::test(start_paused = true)]
async fn configuration_history_linearizable() {
    for seed in 0..40 {
        let history = record_history(seed * 10).await;
        assert!(WGLChecker::<ConditionalRegister>::is_linearizable(history), "seed {seed}");
    }
}

#[test]
fn configuration_history_two_applied_writes_not_linearizable() {
    let replace = |value| Operation::Replace { expected: None, value, outcome: Outcome::Applied };
    let actions = vec![
        (0, Action::Call(replace(1))),
        (1, Action::Call(replace(2))),
        (0, Action::Response(replace(1))),
        (1, Action::Response(replace(2))),
    ];
    let history = History::from_actions(actions);
    assert!(
        !WGLChecker::<ConditionalRegister>::is_linearizable(history),
        "two applied writes that replace the same value are not linearizable"
    );
}
