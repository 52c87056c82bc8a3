//! From what operators wrote to what is published.

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

/// Result of validating an object.
pub type Result<T, E = Vec<FieldProblem>> = std::result::Result<T, E>;

/// The objects that operators wrote, by name.
#[derive(Clone, Debug, Default)]
pub struct Declared {
    /// `Service` objects.
    pub services: IndexMap<Arc<str>, Object>,
    /// `PrioritySet` objects.
    pub priority_sets: IndexMap<Arc<str>, Object>,
    /// `UpstreamRule` objects.
    pub upstream_rules: IndexMap<Arc<str>, Object>,
}

/// Resolves and checks the configuration of one service.
///
/// # Errors
///
/// Every fault found, by field.
pub fn resolve(service: &Object, declared: &Declared) -> Result<PublishedConfig> {
    let spec: ServiceSpec = read(service)?;
    let priority_set = referred(&declared.priority_sets, &spec.priority_set, "/priority_set")?;
    let upstream_rule = referred(&declared.upstream_rules, &spec.upstream_rule, "/upstream_rule")?;
    let priorities: PrioritySetSpec = read(priority_set)?;
    let rule: UpstreamRuleSpec = read(upstream_rule)?;
    let mut problems = priority_problems(&priorities);
    if !priorities.priorities.contains_key(&spec.default_priority) {
        problems.push(problem(
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
    })
}

/// Faults of an object that can be seen without the others.
#[must_use]
pub fn object_problems(object: &Object) -> Vec<FieldProblem> {
    use crate::protocol::object::ObjectKind;
    match object.kind {
        ObjectKind::Service => read::<ServiceSpec>(object).err().unwrap_or_default(),
        ObjectKind::PrioritySet => match read::<PrioritySetSpec>(object) {
            Ok(set) => priority_problems(&set),
            Err(problems) => problems,
        },
        ObjectKind::UpstreamRule => read::<UpstreamRuleSpec>(object).err().unwrap_or_default(),
        _ => vec![problem("/kind", "operators write Service, PrioritySet and UpstreamRule only".to_owned())],
    }
}

/// The next publication of a name, or nothing when the last one still says it.
///
/// `floor` is a revision that some node may already have applied: whatever became of the platform's
/// object since, the next one is higher.
#[must_use]
pub fn next_publication(
    name: &Arc<str>,
    config: Option<PublishedConfig>,
    last: Option<&Published>,
    floor: u64,
    epoch: u64,
) -> Option<Published> {
    let last_revision = last.map_or(0, |last| last.revision);
    let unchanged = last.map_or(config.is_none(), |last| last.config == config);
    if unchanged && last_revision >= floor {
        return None;
    }
    let revision = last_revision.max(floor) + 1;
    Some(Published { service: Arc::clone(name), revision, epoch, config, routes: None })
}

fn read<T>(object: &Object) -> Result<T>
where
    T: DeserializeOwned + JsonSchema + 'static,
{
    checked_from_value(&object.value).map_err(|error| error.problems().to_vec())
}

fn referred<'a>(objects: &'a IndexMap<Arc<str>, Object>, name: &str, field: &str) -> Result<&'a Object> {
    objects.get(name).ok_or_else(|| vec![problem(field, format!("no object named {name:?}"))])
}

fn priority_problems(set: &PrioritySetSpec) -> Vec<FieldProblem> {
    let mut problems = Vec::new();
    if set.priorities.is_empty() {
        problems.push(problem("/priorities", "at least one priority is needed".to_owned()));
    }
    if set.priorities.len() > usize::from(u8::MAX) {
        problems.push(problem("/priorities", "at most 255 priorities are allowed".to_owned()));
    }
    let shares: u32 = set.priorities.values().map(|priority| priority.min_share_percent).sum();
    if shares > 100 {
        problems
            .push(problem("/priorities", format!("the minimum shares add up to {shares}, more than 100")));
    }
    problems
}

fn problem(field: &str, problem: String) -> FieldProblem {
    FieldProblem { field: field.to_owned(), problem }
}
