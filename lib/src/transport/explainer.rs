//! Explains at an ingress where a request would go now; it sends nothing and changes no state.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Uri;
use http::header::HOST;
use http::uri::Authority;
use http::uri::PathAndQuery;
use tokio::time::Instant;

use crate::coordination::explanation::exclusion;
use crate::coordination::explanation::verdicts;
use crate::coordination::routing::RoutingPolicy;
use crate::protocol::answer::ErrorAnswer;
use crate::protocol::call_head::service_name;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::explain::CallState;
use crate::protocol::explain::CandidateState;
use crate::protocol::explain::ConfigState;
use crate::protocol::explain::ExplainRequest;
use crate::protocol::explain::Explanation;
use crate::protocol::explain::LoadState;
use crate::protocol::explain::Rejection;
use crate::protocol::explain::Verdict;
use crate::protocol::issued_key::IssuedKey;
use crate::protocol::member::Member;
use crate::protocol::published::PublishedConfig;
use crate::state::directory::DirectoryEntry;
use crate::state::directory::DirectorySnapshot;
use crate::state::directory::MemberKey;
use crate::state::upstream_stats::UpstreamLoad;
use crate::transport::admin_server::state_name;
use crate::transport::call_attempts::UpstreamRequirements;
use crate::transport::ingress::Ingress;
use crate::transport::ingress::IngressHandler;
use crate::transport::ingress::Result;
use crate::transport::ingress::no_upstream_error;
use crate::transport::ingress::service_config;
use crate::transport::ingress::validate_request;

/// Explains the decisions of an ingress.
pub trait Explainer: Clone + Send + Sync + 'static {
    /// Returns where the node would send a request now, and why.
    ///
    /// # Errors
    ///
    /// If the description is no valid request, or the node knows no configuration. A request that the node would
    /// reject is explained, with its rejection.
    fn explain(&self, request: &ExplainRequest) -> Result<Explanation>;
}

/// Builds an explanation and records its first error.
#[derive(Debug)]
pub(super) struct ExplanationBuilder {
    pub(super) explanation: Explanation,
}

impl ExplanationBuilder {
    pub(super) fn new(node: &Member, config: ConfigState) -> Self {
        let explanation = Explanation {
            node: Arc::clone(&node.id.name),
            incarnation: node.id.incarnation,
            zone: Arc::clone(&node.zone),
            config,
            ..Explanation::default()
        };
        Self { explanation }
    }

    /// Returns the result of a step, or records its error if no earlier step has failed.
    pub(super) fn check<T>(&mut self, result: Result<T>) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(answer) => {
                self.explanation.rejection.get_or_insert_with(|| rejection(answer));
                None
            }
        }
    }
}

impl<P> Ingress<P>
where
    P: RoutingPolicy + Send + Sync + 'static,
{
    /// Explains the choice of an upstream for a call.
    pub(super) fn explain_choice(
        &self,
        builder: &mut ExplanationBuilder,
        config: &PublishedConfig,
        requirements: UpstreamRequirements<'_>,
        timeout: Duration,
    ) -> Result<()> {
        let now = Instant::now();
        let snapshot = self.dependencies.directory.snapshot();
        let (keys, candidates) = self.candidates(&snapshot, requirements.service, config, now);
        let budgets = self.known_budgets(requirements.service).unwrap_or_default();
        let context = requirements.routing_context(config, &budgets.cross_zone_yield);
        let choice = self.dependencies.policy.explain_choice(&candidates, context, &mut rand::rng());
        let choice = choice.ok_or_else(|| {
            ErrorAnswer::new(ErrorKind::Internal, "the routing policy does not explain its choices")
        })?;
        let verdicts = verdicts(&candidates, &choice, context.max_ejected_percent);
        let explained = keys.iter().zip(&candidates).zip(verdicts.iter().zip(&choice.expected_latencies_us));
        let explained = explained.map(|((key, candidate), (verdict, latency_us))| {
            candidate_state(snapshot.entry(*key), &candidate.load, *verdict, Some(*latency_us))
        });
        let explanation = &mut builder.explanation;
        explanation.candidates = explained.collect();
        explanation.candidates.extend(self.excluded(&snapshot, requirements.service, now));
        let chosen = choice.chosen.and_then(|index| keys.get(index));
        explanation.choice = chosen.map(|key: &MemberKey| Arc::clone(&snapshot.entry(*key).member.id.name));
        builder.check(self.check_ends_before_stop(now + timeout));
        builder.check(self.check_not_evacuated(requirements.service));
        builder.check(chosen.ok_or_else(no_upstream_error));
        Ok(())
    }

    /// Returns the members to which no call of the service may be sent, including those without an upstream.
    fn excluded(&self, snapshot: &DirectorySnapshot, service: &str, now: Instant) -> Vec<CandidateState> {
        let evacuations = self.dependencies.config.evacuations();
        let serves_other =
            |member: &Member| member.upstream.as_ref().is_some_and(|upstream| *upstream.service != *service);
        let entries = snapshot.entries().filter(|entry| !serves_other(&entry.member));
        let excluded = entries.filter_map(|entry| {
            let verdict = exclusion(&entry.member, evacuations.as_deref())?;
            Some(candidate_state(entry, &entry.stats.load(now), verdict, None))
        });
        excluded.collect()
    }
}

impl<P> Explainer for IngressHandler<P>
where
    P: RoutingPolicy + Send + Sync + 'static,
{
    fn explain(&self, request: &ExplainRequest) -> Result<Explanation> {
        let request = described_request(request)?;
        let ingress = &self.ingress;
        let config = &ingress.dependencies.config;
        if !config.is_configured() {
            return Err(ErrorAnswer::new(ErrorKind::NoConfiguration, "no configuration is known yet"));
        }
        if IssuedKey::from_request(request.headers())?.is_some() {
            let message = "a request with an issued idempotency key goes to the gate that the key names";
            return Err(ErrorAnswer::new(ErrorKind::MalformedRequest, message));
        }
        let service = service_name(request.headers(), request.method())?;
        let published = config.get(&service);
        let revision = published.as_ref().map_or(0, |published| published.revision);
        let state = ConfigState { revision, ..ConfigState::default() };
        let mut builder = ExplanationBuilder::new(&ingress.dependencies.local_member, state);
        builder.check(validate_request(&request, ingress.dependencies.max_header_bytes));
        let Some(config) = builder.check(service_config(published.as_deref(), &service)) else {
            return Ok(builder.explanation);
        };
        let Some(head) = builder.check(ingress.read_head(service, &request, config)) else {
            return Ok(builder.explanation);
        };
        let priority = config.priorities.priorities.get_index(usize::from(head.priority));
        let objective =
            priority.map_or(head.timeout, |(_, priority)| Duration::from_millis(priority.objective_ms));
        builder.explanation.call = Some(CallState {
            service: Arc::clone(&head.service),
            priority: head.priority,
            idempotent: head.idempotent,
            objective_ms: millis(objective),
            objective_left_ms: millis(objective),
            timeout_ms: millis(head.timeout),
            typical_us: 0,
        });
        let requirements = UpstreamRequirements {
            service: &head.service,
            priority: head.priority,
            objective,
            typical_time: Duration::ZERO,
        };
        ingress.explain_choice(&mut builder, config, requirements, head.timeout)?;
        Ok(builder.explanation)
    }
}

/// Returns the described request as an ingress would receive it.
///
/// # Errors
///
/// If a part of it is malformed. The message quotes no value, since it may be a key.
pub(super) fn described_request(described: &ExplainRequest) -> Result<Request<()>> {
    let malformed = |message: &str| ErrorAnswer::new(ErrorKind::MalformedRequest, message);
    let method = Method::from_bytes(described.method.as_bytes());
    let method = method.map_err(|_invalid| malformed("the method is not valid"))?;
    let host = described.host.parse::<Authority>().ok().filter(|host| !host.as_str().contains('@'));
    let host = host.ok_or_else(|| malformed("the host is not a name with an optional port"))?;
    let path = described.path.parse::<PathAndQuery>().ok().filter(|path| path.as_str().starts_with('/'));
    let path = path.ok_or_else(|| malformed("the path does not begin with a slash or is not valid"))?;
    let mut fields = HeaderMap::new();
    for (index, (name, value)) in described.fields.iter().enumerate() {
        let name = HeaderName::from_bytes(name.as_bytes());
        let field = name.ok().zip(HeaderValue::from_str(value).ok());
        let (name, value) =
            field.ok_or_else(|| malformed(&format!("the header field at index {index} is not valid")))?;
        fields.try_append(name, value).map_err(|_too_many| malformed("there are too many header fields"))?;
    }
    let host = HeaderValue::from_str(host.as_str());
    fields.insert(HOST, host.map_err(|_invalid| malformed("the host is not valid"))?);
    let mut request = Request::new(());
    *request.method_mut() = method;
    *request.uri_mut() = Uri::from(path);
    *request.headers_mut() = fields;
    Ok(request)
}

/// Returns whole milliseconds, saturating.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn rejection(answer: ErrorAnswer) -> Rejection {
    Rejection {
        error: answer.kind,
        status: answer.kind.properties().status.as_u16(),
        message: answer.message,
        retry_after_ms: answer.retry_after.map(millis),
    }
}

fn candidate_state(
    entry: &DirectoryEntry,
    load: &UpstreamLoad,
    verdict: Verdict,
    expected_latency_us: Option<u64>,
) -> CandidateState {
    let member = &entry.member;
    CandidateState {
        node: Arc::clone(&member.id.name),
        zone: Arc::clone(&member.zone),
        member_state: Arc::from(state_name(member.state)),
        slots: member.upstream.as_ref().map_or(0, |upstream| upstream.slots),
        verdict,
        expected_latency_us,
        load: load_state(load),
    }
}

fn load_state(load: &UpstreamLoad) -> LoadState {
    LoadState {
        own_calls: load.in_flight,
        running: load.reported_calls.saturating_sub(load.reported_queued),
        queued: load.reported_queued,
        limit: load.reported_slots,
        service_time_us: load.service_time_us,
        slowness_permille: load.slowness_permille,
        start_delay_us: load.start_delay_us,
        consecutive_failures: load.consecutive_failures,
        report_age_us: (load.reported_slots > 0).then_some(load.report_age_us),
    }
}
