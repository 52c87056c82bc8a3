//! Runs one way to decide through an experiment.

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
use crate::open_loop::StreamCall;
use crate::open_loop::StreamPlan;
use crate::open_loop::run_stream;
use crate::policy_variant::PolicyVariant;

/// What one way to decide did in an experiment.
#[derive(Debug)]
pub struct VariantOutcome {
    /// Name of the variant.
    pub name: Arc<str>,
    /// Latencies by phase, in the order of the experiment.
    pub phases: Vec<LatencyTable>,
    /// Counters of the whole run, all nodes together.
    pub counts: RunCounts,
}

/// Counters of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunCounts {
    /// Calls answered or refused by the ingresses.
    pub calls: u64,
    /// Attempts after a failed one.
    pub retries: u64,
    /// Calls moved on by a gate that would have kept them waiting.
    pub spills: u64,
    /// Second copies that raced a first.
    pub hedges: u64,
    /// Probes of upstreams or gates.
    pub probes: u64,
}

#[derive(Debug)]
struct PhaseRecorder {
    start: Instant,
    phases: Vec<(Phase, Mutex<LatencyTable>)>,
}

impl CallRecorder for PhaseRecorder {
    fn record(&self, call: StreamCall<'_>) {
        let due_ms = (call.due - self.start).as_millis();
        for (phase, table) in &self.phases {
            if (u128::from(phase.from_ms)..u128::from(phase.until_ms)).contains(&due_ms) {
                table.record(call);
            }
        }
    }
}

/// Runs one variant on a fresh fleet.
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
    let callers = callers(&fleet, experiment);
    let mut streams = JoinSet::new();
    let mut seed = experiment.deployment.seed;
    for (service, stream, from, length) in streams_of(experiment) {
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
        let start = recorder.start + from;
        let running = run_stream(plan, callers.clone(), length, Arc::clone(&recorder));
        streams.spawn(async move {
            tokio::time::sleep_until(start).await;
            running.await;
        });
    }
    run_events(experiment, &fleet, recorder.start).await;
    streams.join_all().await;
    let counts = counts(&fleet);
    let _clean = fleet.stop().await;
    let phases = Arc::into_inner(recorder).map(|recorder| recorder.phases).unwrap_or_default();
    let phases = phases.into_iter().map(|(_, table)| table.into_inner()).collect();
    Ok(VariantOutcome { name: Arc::clone(&variant.name), phases, counts })
}

fn callers(fleet: &EmbeddedFleet, experiment: &Experiment) -> Vec<Arc<Caller>> {
    let delay = Duration::from_millis(experiment.client_delay_ms);
    let addrs = (0..fleet.members.len()).map(|index| fleet.ingress_addr(index));
    addrs.map(|addr| Arc::new(Caller::new(addr).at_distance(delay))).collect()
}

fn streams_of(experiment: &Experiment) -> Vec<(&ServiceLoad, CallStream, Duration, Duration)> {
    let whole = Duration::from_millis(experiment.deployment.duration_ms);
    let services = &experiment.deployment.services;
    let usual = services.iter().flat_map(|service| {
        service.streams.iter().map(move |stream| (service, stream.clone(), Duration::ZERO, whole))
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
        let (from, length) = (Duration::from_millis(event.at_ms), Duration::from_millis(event.for_ms));
        Some((service, stream, from, length))
    });
    usual.chain(overloads).collect()
}

async fn run_events(experiment: &Experiment, fleet: &EmbeddedFleet, start: Instant) {
    let ends = experiment.events.iter().map(|event| (event.at_ms + event.for_ms, event, false));
    let starts = experiment.events.iter().map(|event| (event.at_ms, event, true));
    let mut steps: Vec<(u64, &Event, bool)> = starts.chain(ends).collect();
    steps.sort_by_key(|(at_ms, _, _)| *at_ms);
    for (at_ms, event, begins) in steps {
        tokio::time::sleep_until(start + Duration::from_millis(at_ms)).await;
        step(experiment, fleet, event, begins);
    }
}

fn step(experiment: &Experiment, fleet: &EmbeddedFleet, event: &Event, begins: bool) {
    let Some(service) = experiment.deployment.services.iter().find(|service| service.name == event.service)
    else {
        return;
    };
    let usual = service.behaviour();
    match &event.action {
        Action::Slowdown { upstreams, factor } => {
            let slow = UpstreamBehaviour { slowdown: *factor, ..usual.clone() };
            set_behaviour(fleet, event, upstreams, if begins { &slow } else { &usual });
        }
        Action::FailFast { upstreams } => {
            let failing = UpstreamBehaviour { fail_fast: true, ..usual.clone() };
            set_behaviour(fleet, event, upstreams, if begins { &failing } else { &usual });
        }
        Action::Drain { upstreams } => {
            for member in chosen(fleet, event, upstreams) {
                member.upstream.set_draining(begins);
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
    for member in chosen(fleet, event, upstreams) {
        member.upstream.standin.set_behaviour(behaviour.clone());
    }
}

fn chosen<'a>(
    fleet: &'a EmbeddedFleet,
    event: &Event,
    upstreams: &UpstreamChoice,
) -> impl Iterator<Item = &'a crate::embedded_fleet::FleetMember> {
    let of_service = fleet.members.iter().filter(|member| member.service == event.service);
    of_service
        .enumerate()
        .filter(|(index, member)| upstreams.contains(*index, &member.zone))
        .map(|(_, member)| member)
}

fn counts(fleet: &EmbeddedFleet) -> RunCounts {
    let mut counts = RunCounts { probes: fleet.board.probes(), ..RunCounts::default() };
    for member in &fleet.members {
        let text = member.node.metrics().encode();
        counts.calls += total(&text, "yuccatray_calls_total");
        counts.retries += total(&text, "yuccatray_retries_total");
        counts.spills += total(&text, "yuccatray_spills_total");
        counts.hedges += total(&text, "yuccatray_hedges_total");
        counts.probes += total(&text, "yuccatray_probes_total");
    }
    counts
}

fn total(text: &str, name: &str) -> u64 {
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}
