//! Node processes that are killed, paused or stopped, gracefully or not, while a call is in flight.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use serde_json::Value;
use serde_json::json;
use tempfile::NamedTempFile;
use tokio::task::JoinHandle;
use yuccatray::transport::announce_server::Announcement;
use yuccatray_standin::platform::PlatformStandin;
use yuccatray_standin::platform::RunningPlatform;
use yuccatray_standin::upstream::send_announcement;
use yuccatray_testutils::call_history::CallOutcome;
use yuccatray_testutils::call_history::CallRecord;
use yuccatray_testutils::call_history::find_violations;
use yuccatray_testutils::daemon_process::DaemonProcess;
use yuccatray_testutils::daemon_process::loopback_settings;
use yuccatray_testutils::fleet::SERVICE;
use yuccatray_testutils::fleet::TestCall;
use yuccatray_testutils::fleet::call;
use yuccatray_testutils::fleet::create_objects;
use yuccatray_testutils::fleet::node_report;
use yuccatray_testutils::logging_upstream::ExecutionLog;
use yuccatray_testutils::logging_upstream::LoggingUpstream;
use yuccatray_testutils::logging_upstream::LogicalClock;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a node is stopped by SIGSTOP, longer than [`WORK_MS`].
const PAUSE_DURATION: Duration = Duration::from_secs(2);
/// Service time of a call that finishes within the test, in milliseconds.
const WORK_MS: u64 = 1_000;
/// Service time of a call that is still running when the test ends, in milliseconds.
const LONG_WORK_MS: u64 = 60_000;
/// Exit code of a node whose shutdown aborted calls in flight.
const EXIT_CALLS_ABORTED: i32 = 3;
/// Signals of one kind that a process gets while a call runs.
const REPEATED_SIGNALS: u32 = 5;
/// Time between two signals, long enough that the system doesn't merge them.
const SIGNAL_GAP: Duration = Duration::from_millis(100);
/// Signals of one kind that a process gets in quick succession.
const MANY_SIGNALS: u32 = 100;
/// Time between two signals in quick succession.
const MANY_SIGNALS_GAP: Duration = Duration::from_millis(5);
/// Maximum lines that a stopping node may write about signals in one second.
const MAX_SIGNAL_LINES_PER_SECOND: usize = 10;

/// An ingress node and a gate node as processes, and the upstream beside the gate.
struct TwoProcesses {
    ingress: DaemonProcess,
    gate: DaemonProcess,
    gate_log: NamedTempFile,
    upstream: LoggingUpstream,
    log: ExecutionLog,
    clock: LogicalClock,
    _platform: RunningPlatform,
}

impl TwoProcesses {
    /// Starts the fleet with the given `limits` settings and waits until the ingress knows the upstream.
    async fn start(limits: Value) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformStandin::start(any_port).await.expect("the platform stand-in starts");
        create_objects(&platform).await;
        let binary = Path::new(env!("CARGO_BIN_EXE_yuccatrayd"));
        let settings = |name: &str, seeds: &[SocketAddr]| {
            let mut settings = loopback_settings(name, "a", platform.addr, seeds);
            settings["limits"] = limits.clone();
            settings
        };
        let ingress = DaemonProcess::start(binary, &settings("vm-1", &[]));
        let gate_log = NamedTempFile::new().expect("a temporary file can be created");
        let gate = DaemonProcess::start_with_log(binary, &settings("vm-2", &[ingress.peer]), gate_log.path());
        let (log, clock) = (ExecutionLog::default(), LogicalClock::default());
        let upstream = LoggingUpstream::start(log.clone(), clock.clone()).await;
        let announcement =
            Announcement { service: Arc::from(SERVICE), addr: upstream.addr, slots: 4, draining: false };
        send_announcement(gate.announce, &announcement).await.expect("the node accepts the announcement");
        while !node_report(ingress.admin).await.members.iter().any(|member| member.service.is_some()) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Self { ingress, gate, gate_log, upstream, log, clock, _platform: platform }
    }

    /// Sends a call and waits until the upstream is executing it.
    async fn start_call(&self, plan: TestCall) -> JoinHandle<CallRecord> {
        let (addr, clock) = (self.ingress.ingress, self.clock.clone());
        let caller = tokio::spawn(async move { call(addr, &plan, &clock).await });
        while self.upstream.executing() == 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        caller
    }

    /// Returns the lines of the gate's log that contain the message.
    fn gate_lines(&self, message: &str) -> Vec<String> {
        let log = std::fs::read_to_string(self.gate_log.path()).expect("the log can be read");
        log.lines().filter(|line| line.contains(message)).map(str::to_owned).collect()
    }

    /// Returns the steps of the gate's stop in the order of its log.
    fn gate_steps(&self) -> Vec<String> {
        let lines = self.gate_lines("stop step reached; ");
        lines.iter().map(|line| field(line, "step")).collect()
    }

    /// Asserts that the call broke no guarantee and was executed exactly once.
    fn assert_guarantees(&self, record: CallRecord) {
        assert_eq!(find_violations(&[record], &self.log.executions()), Vec::new());
        assert_eq!(self.log.len(), 1);
    }

    /// Asserts that the call is answered and that both processes, told to stop, end without having cut a call.
    async fn assert_stops_without_loss(&mut self, caller: JoinHandle<CallRecord>) {
        let record = caller.await.expect("the caller task does not panic");
        assert!(matches!(record.outcome, CallOutcome::Answered(_)), "{record}");
        self.assert_guarantees(record);
        assert_eq!(self.ingress.wait().code(), Some(0));
        assert_eq!(self.gate.wait().code(), Some(0));
    }
}

/// Returns the value of a field of a log line.
fn field(line: &str, name: &str) -> String {
    let value = line.split(' ').find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    value.unwrap_or_else(|| panic!("no field {name} in {line:?}")).to_owned()
}

/// Returns a call of the priority `payment`.
fn payment(work_ms: u64, timeout_ms: u64) -> TestCall {
    TestCall { work_ms, timeout_ms, ..TestCall::new("payment") }
}

#[tokio::test(flavor = "multi_thread")]
async fn gate_killed_outcome_unknown() {
    let nodes = TwoProcesses::start(json!({})).await;
    let caller = nodes.start_call(payment(LONG_WORK_MS, 2_000)).await;
    nodes.gate.signal(Signal::SIGKILL);
    let record = caller.await.expect("the caller task does not panic");
    assert!(matches!(record.outcome, CallOutcome::Unknown(_)), "{record}");
    nodes.assert_guarantees(record);
}

#[tokio::test(flavor = "multi_thread")]
async fn gate_paused_call_answered_after_resume() {
    let nodes = TwoProcesses::start(json!({})).await;
    let caller = nodes.start_call(payment(WORK_MS, 30_000)).await;
    nodes.gate.signal(Signal::SIGSTOP);
    tokio::time::sleep(PAUSE_DURATION).await;
    nodes.gate.signal(Signal::SIGCONT);
    let record = caller.await.expect("the caller task does not panic");
    assert!(matches!(record.outcome, CallOutcome::Answered(_)), "{record}");
    nodes.assert_guarantees(record);
}

#[tokio::test(flavor = "multi_thread")]
async fn ingress_paused_call_answered_after_resume() {
    let nodes = TwoProcesses::start(json!({})).await;
    let caller = nodes.start_call(payment(WORK_MS, 30_000)).await;
    nodes.ingress.signal(Signal::SIGSTOP);
    tokio::time::sleep(PAUSE_DURATION).await;
    nodes.ingress.signal(Signal::SIGCONT);
    let record = caller.await.expect("the caller task does not panic");
    assert!(matches!(record.outcome, CallOutcome::Answered(_)), "{record}");
    nodes.assert_guarantees(record);
}

#[tokio::test(flavor = "multi_thread")]
async fn ingress_killed_call_executed_once() {
    let nodes = TwoProcesses::start(json!({})).await;
    let caller = nodes.start_call(payment(WORK_MS, 30_000)).await;
    nodes.ingress.signal(Signal::SIGKILL);
    let record = caller.await.expect("the caller task does not panic");
    assert!(matches!(record.outcome, CallOutcome::Disconnected(_)), "{record}");
    while nodes.upstream.executing() > 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    nodes.assert_guarantees(CallRecord { may_disconnect: true, ..record });
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_finishes_calls_in_both_roles() {
    let mut nodes = TwoProcesses::start(json!({})).await;
    let caller = nodes.start_call(payment(WORK_MS, 30_000)).await;
    nodes.gate.signal(Signal::SIGTERM);
    nodes.ingress.signal(Signal::SIGTERM);
    let record = caller.await.expect("the caller task does not panic");
    assert!(matches!(record.outcome, CallOutcome::Answered(_)), "{record}");
    nodes.assert_guarantees(record);
    assert!(nodes.ingress.wait().success());
    assert!(nodes.gate.wait().success());
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_bounded_by_shutdown_timeout() {
    let mut nodes = TwoProcesses::start(json!({ "shutdown_timeout_ms": 300 })).await;
    let caller = nodes.start_call(payment(LONG_WORK_MS, LONG_WORK_MS)).await;
    nodes.gate.signal(Signal::SIGTERM);
    assert_eq!(nodes.gate.wait().code(), Some(EXIT_CALLS_ABORTED));
    caller.abort();
}

/// Guards against calls that are cut when the platform repeats SIGTERM while a node stops.
#[tokio::test(flavor = "multi_thread")]
async fn stop_cuts_nothing_on_repeated_sigterm() {
    let mut nodes = TwoProcesses::start(json!({})).await;
    let caller = nodes.start_call(payment(WORK_MS, 30_000)).await;
    for _ in 0..REPEATED_SIGNALS {
        nodes.gate.signal(Signal::SIGTERM);
        nodes.ingress.signal(Signal::SIGTERM);
        tokio::time::sleep(SIGNAL_GAP).await;
    }
    nodes.assert_stops_without_loss(caller).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_cuts_nothing_on_overlapping_signals_and_settings_changes() {
    let mut nodes = TwoProcesses::start(json!({})).await;
    let caller = nodes.start_call(payment(WORK_MS, 30_000)).await;
    let next_settings = ["{ \"log\": { \"level\": \"debug\" } }", "{ \"node\": 7 }", ""];
    for text in next_settings {
        for node in [&nodes.gate, &nodes.ingress] {
            node.signal(Signal::SIGTERM);
            node.write_settings(text);
            node.signal(Signal::SIGHUP);
        }
        tokio::time::sleep(SIGNAL_GAP).await;
        for node in [&nodes.gate, &nodes.ingress] {
            node.rewrite_settings();
            node.signal(Signal::SIGHUP);
            node.signal(Signal::SIGTERM);
        }
        tokio::time::sleep(SIGNAL_GAP).await;
    }
    nodes.assert_stops_without_loss(caller).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_cuts_nothing_on_single_sigint_beside_sigterm() {
    for signals in [
        [Signal::SIGTERM, Signal::SIGINT, Signal::SIGTERM],
        [Signal::SIGINT, Signal::SIGTERM, Signal::SIGTERM],
    ] {
        let mut nodes = TwoProcesses::start(json!({})).await;
        let caller = nodes.start_call(payment(WORK_MS, 30_000)).await;
        for signal in signals {
            nodes.gate.signal(signal);
            nodes.ingress.signal(signal);
            tokio::time::sleep(SIGNAL_GAP).await;
        }
        nodes.assert_stops_without_loss(caller).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_aborted_by_second_sigint() {
    for signals in [&[Signal::SIGINT][..], &[Signal::SIGTERM, Signal::SIGINT, Signal::SIGTERM]] {
        let mut nodes = TwoProcesses::start(json!({})).await;
        let caller = nodes.start_call(payment(LONG_WORK_MS, LONG_WORK_MS)).await;
        for signal in signals {
            nodes.gate.signal(*signal);
            tokio::time::sleep(SIGNAL_GAP).await;
        }
        assert_eq!(nodes.gate.exit_status(), None);
        nodes.gate.signal(Signal::SIGINT);
        assert_eq!(nodes.gate.wait().code(), Some(EXIT_CALLS_ABORTED));
        caller.abort();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn signals_during_stop_logged_a_bounded_number_of_times() {
    let mut nodes = TwoProcesses::start(json!({})).await;
    let caller = nodes.start_call(payment(WORK_MS, 30_000)).await;
    let stop_began = Instant::now();
    for _ in 0..MANY_SIGNALS {
        nodes.gate.signal(Signal::SIGTERM);
        nodes.gate.signal(Signal::SIGHUP);
        tokio::time::sleep(MANY_SIGNALS_GAP).await;
    }
    nodes.ingress.signal(Signal::SIGTERM);
    nodes.assert_stops_without_loss(caller).await;
    let lines = nodes.gate_lines("signal ignored, since the node is stopping").len();
    let seconds_begun = usize::try_from(stop_began.elapsed().as_secs()).expect("the test is short") + 1;
    assert!((1..=seconds_begun * MAX_SIGNAL_LINES_PER_SECOND).contains(&lines), "{lines} lines");
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_logs_each_step_and_call_left() {
    let mut nodes = TwoProcesses::start(json!({ "shutdown_timeout_ms": 300 })).await;
    let caller = nodes.start_call(payment(LONG_WORK_MS, LONG_WORK_MS)).await;
    nodes.gate.signal(Signal::SIGTERM);
    nodes.gate.wait();
    let steps = ["not_ready", "draining", "leave_announced", "callers_closing", "callers_finished"];
    let last_steps = ["gate_busy", "peers_unfinished", "ended"];
    assert_eq!(nodes.gate_steps(), [&steps[..], &last_steps[..]].concat());
    for line in nodes.gate_lines("stop step reached; ") {
        for name in ["since_stop_ms", "left_ms", "of_callers", "running", "queued"] {
            assert!(field(&line, name).parse::<u64>().is_ok(), "{name} in {line}");
        }
    }
    let left = nodes.gate_lines("call is running as the node ends; ");
    assert_eq!(left.len(), 1);
    assert!(field(&left[0], "call").starts_with("vm-1."), "{left:?}");
    caller.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_given_up_logs_call_left() {
    let mut nodes = TwoProcesses::start(json!({})).await;
    let caller = nodes.start_call(payment(LONG_WORK_MS, LONG_WORK_MS)).await;
    nodes.gate.signal(Signal::SIGINT);
    tokio::time::sleep(POLL_INTERVAL * 5).await;
    nodes.gate.signal(Signal::SIGINT);
    nodes.gate.wait();
    assert_eq!(nodes.gate_steps().last().map(String::as_str), Some("ended"));
    assert_eq!(nodes.gate_lines("call is running as the node ends; ").len(), 1);
    caller.abort();
}
