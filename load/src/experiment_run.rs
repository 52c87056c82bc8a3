//! Runs one policy variant through an experiment.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::task::JoinSet;
use tokio::time::Instant;
use yuccatray_standin::upstream::UpstreamBehaviour;

use crate::caller::Caller;
use crate::deployment::CallStream;
use crate::deployment::ServiceLoad;
use crate::embedded_fleet::EmbeddedFleet;
use crate::embedded_fleet::Result;
use crate::experiment::Action;
use crate::experiment::Event;
use crate::experiment::Experiment;
use crate::experiment::Phase;
use crate::experiment::UpstreamChoice;
use crate::latency_table::LatencyTable;
use crate::open_loop::CallRecorder;
use crate::open_loop::CompletedCall;
use crate::open_loop::StreamPlan;
use crate::open_loop::run_stream;
use crate::policy_variant::PolicyVariant;

/// Maximum connections of one stream to each node.
const CONNECTIONS_PER_NODE: usize = 50;

/// Results of one policy variant in an experiment.
#[derive(Debug)]
pub struct VariantOutcome {
    /// Name of the variant.
    pub name: Arc<str>,
    /// Latency tables of the phases, in the order of the experiment file.
    pub phases: Vec<LatencyTable>,
    /// Counters of the whole run, summed over all nodes.
    pub counts: RunCounts,
}

/// Counters of one run, summed over all nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunCounts {
    /// Calls that the ingresses answered or rejected.
    pub calls: u64,
    /// Retries after a failed attempt.
    pub retries: u64,
    /// Reroutes of calls to another gate, since the first would have queued them for too long.
    pub reroutes: u64,
    /// Hedged requests.
    pub hedges: u64,
    /// Probes of upstreams or gates, those of baselines included.
    pub probes: u64,
}

/// Records calls in the tables of the phases in which they were due.
#[derive(Debug)]
struct PhaseRecorder {
    start: Instant,
    phases: Vec<(Phase, Mutex<LatencyTable>)>,
}

impl CallRecorder for PhaseRecorder {
    fn record(&self, call: CompletedCall<'_>) {
        let due_ms = (call.due - self.start).as_millis();
        for (phase, table) in &self.phases {
            if (u128::from(phase.from_ms)..u128::from(phase.until_ms)).contains(&due_ms) {
                table.record(call);
            }
        }
    }
}

/// Runs one variant on a new fleet; a priority without an objective gets an unlimited one.
///
/// # Errors
///
/// When the fleet does not start.
pub async fn run_variant(
    experiment: &Experiment,
    directory: &Path,
    variant: &PolicyVariant,
    objectives: &IndexMap<Arc<str>, Duration>,
) -> Result<VariantOutcome> {
    let fleet = EmbeddedFleet::start_with(&experiment.deployment, directory, variant).await?;
    let phases = experiment.phases.iter().map(|phase| (phase.clone(), Mutex::default())).collect();
    let recorder = Arc::new(PhaseRecorder { start: Instant::now(), phases });
    let mut streams = JoinSet::new();
    let mut seed = experiment.deployment.seed;
    for (service, stream, offset, duration) in all_streams(experiment) {
        seed = seed.wrapping_add(1);
        let objective = objectives.get(&stream.priority).copied().unwrap_or(Duration::MAX);
        let plan = StreamPlan {
            service: Arc::clone(&service.name),
            priority: Arc::clone(&stream.priority),
            method: stream.method.parse().unwrap_or(Method::GET),
            calls_per_second: stream.calls_per_second,
            objective,
            seed,
        };
        let start = recorder.start + offset;
        let stream_run = run_stream(plan, callers(&fleet, experiment), duration, Arc::clone(&recorder));
        streams.spawn(async move {
            tokio::time::sleep_until(start).await;
            stream_run.await;
        });
    }
    run_events(experiment, &fleet, recorder.start).await;
    streams.join_all().await;
    let counts = counts(&fleet);
    let _all_calls_finished = fleet.stop().await;
    let phases = Arc::into_inner(recorder).map(|recorder| recorder.phases).unwrap_or_default();
    let phases = phases.into_iter().map(|(_, table)| table.into_inner()).collect();
    Ok(VariantOutcome { name: Arc::clone(&variant.name), phases, counts })
}

/// Creates a caller of every node for one stream, which shares its connections with no other stream.
fn callers(fleet: &EmbeddedFleet, experiment: &Experiment) -> Vec<Arc<Caller>> {
    let delay = Duration::from_millis(experiment.client_delay_ms);
    let addrs = (0..fleet.members.len()).map(|index| fleet.ingress_addr(index));
    let callers = addrs
        .map(|addr| Caller::new(addr).with_one_way_delay(delay).with_max_connections(CONNECTIONS_PER_NODE));
    callers.map(Arc::new).collect()
}

/// Returns the streams of the deployment and of overload events, each with its start offset and duration.
fn all_streams(experiment: &Experiment) -> Vec<(&ServiceLoad, CallStream, Duration, Duration)> {
    let whole_run = Duration::from_millis(experiment.deployment.duration_ms);
    let services = &experiment.deployment.services;
    let base_streams = services.iter().flat_map(|service| {
        service.streams.iter().map(move |stream| (service, stream.clone(), Duration::ZERO, whole_run))
    });
    let overloads = experiment.events.iter().filter_map(|event| {
        let Action::Overload { priority, calls_per_second } = &event.action else {
            return None;
        };
        let service = services.iter().find(|service| service.name == event.service)?;
        let method = service.streams.iter().find(|stream| stream.priority == *priority);
        let method = method.map_or_else(|| Arc::from("GET"), |stream| Arc::clone(&stream.method));
        let stream =
            CallStream { priority: Arc::clone(priority), method, calls_per_second: *calls_per_second };
        let (offset, duration) = (Duration::from_millis(event.at_ms), Duration::from_millis(event.for_ms));
        Some((service, stream, offset, duration))
    });
    base_streams.chain(overloads).collect()
}

/// Applies the start and the end of every event at its time.
async fn run_events(experiment: &Experiment, fleet: &EmbeddedFleet, start: Instant) {
    let ends = experiment.events.iter().map(|event| (event.at_ms + event.for_ms, event, false));
    let starts = experiment.events.iter().map(|event| (event.at_ms, event, true));
    let mut changes: Vec<(u64, &Event, bool)> = starts.chain(ends).collect();
    changes.sort_by_key(|(at_ms, _, _)| *at_ms);
    for (at_ms, event, is_start) in changes {
        tokio::time::sleep_until(start + Duration::from_millis(at_ms)).await;
        apply_change(experiment, fleet, event, is_start);
    }
}

/// Applies the start of an event, or reverts it at its end; overloads are streams of their own.
fn apply_change(experiment: &Experiment, fleet: &EmbeddedFleet, event: &Event, is_start: bool) {
    let Some(service) = experiment.deployment.services.iter().find(|service| service.name == event.service)
    else {
        return;
    };
    let normal = service.behaviour();
    match &event.action {
        Action::Slowdown { upstreams, factor } => {
            let slow = UpstreamBehaviour { slowdown: *factor, ..normal.clone() };
            set_behaviour(fleet, event, upstreams, if is_start { &slow } else { &normal });
        }
        Action::FailFast { upstreams } => {
            let failing = UpstreamBehaviour { fail_fast: true, ..normal.clone() };
            set_behaviour(fleet, event, upstreams, if is_start { &failing } else { &normal });
        }
        Action::LyingLoad { upstreams, claimed_extra } => {
            let lying = UpstreamBehaviour { claimed_extra: *claimed_extra, ..normal.clone() };
            set_behaviour(fleet, event, upstreams, if is_start { &lying } else { &normal });
        }
        Action::Drain { upstreams } => {
            for member in selected_members(fleet, event, upstreams) {
                member.upstream.set_draining(is_start);
            }
        }
        Action::Overload { .. } => {}
    }
}

fn set_behaviour(
    fleet: &EmbeddedFleet,
    event: &Event,
    upstreams: &UpstreamChoice,
    behaviour: &UpstreamBehaviour,
) {
    for member in selected_members(fleet, event, upstreams) {
        member.upstream.standin.set_behaviour(behaviour.clone());
    }
}

/// Returns the members whose upstreams an event affects.
fn selected_members<'a>(
    fleet: &'a EmbeddedFleet,
    event: &Event,
    upstreams: &UpstreamChoice,
) -> impl Iterator<Item = &'a crate::embedded_fleet::FleetMember> {
    let service_members = fleet.members.iter().filter(|member| member.service == event.service);
    service_members
        .enumerate()
        .filter(|(index, member)| upstreams.contains(*index, &member.zone))
        .map(|(_, member)| member)
}

/// Reads the counters from the metrics of every node.
fn counts(fleet: &EmbeddedFleet) -> RunCounts {
    let mut counts = RunCounts { probes: fleet.gates.probes(), ..RunCounts::default() };
    for member in &fleet.members {
        let text = member.node.metrics().encode();
        counts.calls += sum_metric(&text, "yuccatray_calls_total");
        counts.retries += sum_metric(&text, "yuccatray_retries_total");
        counts.reroutes += sum_metric(&text, "yuccatray_spills_total");
        counts.hedges += sum_metric(&text, "yuccatray_hedges_total");
        counts.probes += sum_metric(&text, "yuccatray_probes_total");
    }
    counts
}

/// Sums a counter over its labels, from metrics in text format.
fn sum_metric(text: &str, name: &str) -> u64 {
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}
