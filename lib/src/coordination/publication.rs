//! Resolves and validates the objects that operators write into the configurations that are published.

use std::sync::Arc;

use indexmap::IndexMap;
use schemars::JsonSchema;
use serde::de::DeserializeOwned;

use crate::protocol::checked_json::checked_from_value;
use crate::protocol::object::Object;
use crate::protocol::published::FieldProblem;
use crate::protocol::published::Published;
use crate::protocol::published::PublishedConfig;
use crate::protocol::published::PublishedSources;
use crate::protocol::service_spec::PrioritySetSpec;
use crate::protocol::service_spec::ServiceSpec;
use crate::protocol::service_spec::UpstreamRuleSpec;

/// Result of validating an object; the error lists the faults by field.
pub type Result<T, E = Vec<FieldProblem>> = std::result::Result<T, E>;

/// The objects written by operators, by name.
#[derive(Clone, Debug, Default)]
pub struct DeclaredObjects {
    /// `Service` objects.
    pub services: IndexMap<Arc<str>, Object>,
    /// `PrioritySet` objects.
    pub priority_sets: IndexMap<Arc<str>, Object>,
    /// `UpstreamRule` objects.
    pub upstream_rules: IndexMap<Arc<str>, Object>,
}

/// Resolves the references of one service and validates its configuration.
///
/// # Errors
///
/// Returns the faults found, by field. Validation stops at the first stage that fails: the service itself,
/// its references, the referenced objects, then the priorities.
pub fn resolve(service: &Object, declared: &DeclaredObjects) -> Result<PublishedConfig> {
    let spec: ServiceSpec = parse_spec(service)?;
    let priority_set = find_referenced(&declared.priority_sets, &spec.priority_set, "/priority_set")?;
    let upstream_rule = find_referenced(&declared.upstream_rules, &spec.upstream_rule, "/upstream_rule")?;
    let priorities: PrioritySetSpec = parse_spec(priority_set)?;
    let rule: UpstreamRuleSpec = parse_spec(upstream_rule)?;
    let mut problems = priority_problems(&priorities);
    if !priorities.priorities.contains_key(&spec.default_priority) {
        problems.push(field_problem(
            "/default_priority",
            format!("no such priority in the set {:?}", spec.priority_set),
        ));
    }
    if !problems.is_empty() {
        return Err(problems);
    }
    Ok(PublishedConfig {
        sources: PublishedSources {
            service_uid: Arc::clone(&service.uid),
            service_version: service.version,
            priority_set_version: priority_set.version,
            upstream_rule_version: upstream_rule.version,
        },
        service: spec,
        priorities,
        upstream_rule: rule,
        cold_start: None,
    })
}

/// Returns the faults of an object that can be found without the objects it refers to.
#[must_use]
pub fn object_problems(object: &Object) -> Vec<FieldProblem> {
    use crate::protocol::object::ObjectKind;
    match object.kind {
        ObjectKind::Service => parse_spec::<ServiceSpec>(object).err().unwrap_or_default(),
        ObjectKind::PrioritySet => match parse_spec::<PrioritySetSpec>(object) {
            Ok(set) => priority_problems(&set),
            Err(problems) => problems,
        },
        ObjectKind::UpstreamRule => parse_spec::<UpstreamRuleSpec>(object).err().unwrap_or_default(),
        _ => vec![field_problem(
            "/kind",
            "operators write Service, PrioritySet and UpstreamRule only".to_owned(),
        )],
    }
}

/// Returns the next publication of a service, or `None` if the last one is up to date.
///
/// `min_revision` is a revision that some node may already have applied. A new publication has a higher
/// revision, even if the platform's object was deleted or replaced since.
#[must_use]
pub fn next_publication(
    name: &Arc<str>,
    config: Option<PublishedConfig>,
    last: Option<&Published>,
    min_revision: u64,
    epoch: u64,
) -> Option<Published> {
    let last_revision = last.map_or(0, |last| last.revision);
    let unchanged = last.map_or(config.is_none(), |last| last.config == config);
    if unchanged && last_revision >= min_revision {
        return None;
    }
    let revision = last_revision.max(min_revision) + 1;
    Some(Published { service: Arc::clone(name), revision, epoch, config, routes: None, evacuations: None })
}

/// Parses and validates the value of an object.
fn parse_spec<T>(object: &Object) -> Result<T>
where
    T: DeserializeOwned + JsonSchema + 'static,
{
    checked_from_value(&object.value).map_err(|error| error.problems().to_vec())
}

/// Returns the referenced object, or a fault of `field` if there is none with this name.
fn find_referenced<'a>(
    objects: &'a IndexMap<Arc<str>, Object>,
    name: &str,
    field: &str,
) -> Result<&'a Object> {
    objects.get(name).ok_or_else(|| vec![field_problem(field, format!("no object named {name:?}"))])
}

/// Returns the faults of a set of priorities.
fn priority_problems(set: &PrioritySetSpec) -> Vec<FieldProblem> {
    let mut problems = Vec::new();
    if set.priorities.is_empty() {
        problems.push(field_problem("/priorities", "at least one priority is needed".to_owned()));
    }
    if set.priorities.len() > usize::from(u8::MAX) {
        problems.push(field_problem("/priorities", "at most 255 priorities are allowed".to_owned()));
    }
    let shares: u32 = set.priorities.values().map(|priority| priority.min_share_percent).sum();
    if shares > 100 {
        problems.push(field_problem(
            "/priorities",
            format!("the minimum shares add up to {shares}, more than 100"),
        ));
    }
    problems
}

fn field_problem(field: &str, problem: String) -> FieldProblem {
    FieldProblem { field: field.to_owned(), problem }
}
