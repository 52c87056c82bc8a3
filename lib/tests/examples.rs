//! Checks that the example settings and manifests for operators are valid without changes.

use std::path::Path;
use std::sync::Arc;

use yuccatray::coordination::manifest::load_manifests;
use yuccatray::coordination::publication::DeclaredObjects;
use yuccatray::coordination::publication::resolve;
use yuccatray::protocol::object::Object;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::settings::Settings;

fn example_settings_are_valid(path: &Path) -> datatest_stable::Result<()> {
    let settings = Settings::load(path).map_err(|error| format!("{error}: {:?}", error.problems()))?;
    assert!(settings.listen.announce_addr.ip().is_loopback());
    Ok(())
}

/// Resolves every service of the file with the objects of the same file.
fn example_objects_resolve(path: &Path) -> datatest_stable::Result<()> {
    let mut declared = DeclaredObjects::default();
    for manifest in load_manifests(path).map_err(|error| format!("{error}: {:?}", error.problems()))? {
        let kind = manifest.writable_kind().ok_or("operators cannot write objects of this kind")?;
        let name = Arc::clone(&manifest.name);
        let object = Object { kind, name, uid: Arc::from("uid"), version: 1, value: manifest.spec };
        let objects = match kind {
            ObjectKind::Service => &mut declared.services,
            ObjectKind::PrioritySet => &mut declared.priority_sets,
            _ => &mut declared.upstream_rules,
        };
        objects.insert(Arc::clone(&object.name), object);
    }
    assert_eq!(declared.services.len(), 4, "each example deployment has four services");
    for service in declared.services.values() {
        resolve(service, &declared).map_err(|problems| format!("{}: {problems:?}", service.name))?;
    }
    Ok(())
}

datatest_stable::harness! {
    { test = example_settings_are_valid, root = "../examples/nodes", pattern = r"\.jsonc$" },
    { test = example_settings_are_valid, root = "../examples", pattern = r"^settings\.jsonc$" },
    { test = example_objects_resolve, root = "../examples/objects", pattern = r"\.jsonc$" },
}
