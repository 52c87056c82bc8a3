//! Checks the example deployments: their sizes, and that their services and priorities are declared.

use std::sync::Arc;

use yuccatray::coordination::manifest::load_manifests;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::service_spec::PrioritySetSpec;
use yuccatray_load::deployment::Deployment;
use yuccatray_testutils::workspace::workspace_root;

fn check_deployment(name: &str, zones: usize, upstreams: u32) {
    let directory = workspace_root().join("examples");
    let deployment = Deployment::load(&directory.join(name)).expect("the deployment is valid");
    assert_eq!(deployment.zones.len(), zones);
    let manifests =
        load_manifests(&directory.join(deployment.objects.as_ref())).expect("the objects are valid");
    let sets = manifests.iter().filter(|manifest| manifest.writable_kind() == Some(ObjectKind::PrioritySet));
    let priorities: Vec<Arc<str>> = sets
        .map(|set| serde_json::from_value::<PrioritySetSpec>(set.spec.clone()).expect("the set is valid"))
        .flat_map(|set| set.priorities.into_keys())
        .collect();
    for service in &deployment.services {
        assert_eq!(service.upstreams, upstreams, "{}", service.name);
        assert_eq!(service.slots, 10, "{}", service.name);
        assert!(manifests.iter().any(|manifest| manifest.name == service.name), "{}", service.name);
        for stream in &service.streams {
            assert!(priorities.contains(&stream.priority), "{}", stream.priority);
        }
    }
}

#[test]
fn deployment_dakar() {
    check_deployment("dakar.jsonc", 3, 3);
}

#[test]
fn deployment_mekong() {
    check_deployment("mekong.jsonc", 4, 4);
}
