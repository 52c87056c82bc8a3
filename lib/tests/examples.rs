//! The examples that operators start from are accepted as they stand.

use std::path::Path;
use std::sync::Arc;

use yuccatray::coordination::manifest::load_manifests;
use yuccatray::coordination::publication::DeclaredObjects;
use yuccatray::coordination::publication::resolve;
use yuccatray::protocol::object::Object;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::settings::Settings;

fn settings_accepted(path: &Path) -> datatest_stable::Result<()> {
    let settings = Settings::load(path).map_err(|error| format!("{error}: {:?}", error.problems()))?;
    assert!(settings.listen.announce_addr.ip().is_loopback());
    Ok(())
}

/// Every service of the file is resolved with the file's own objects.
fn objects_accepted(path: &Path) -> datatest_stable::Result<()> {
    let mut declared = DeclaredObjects::default();
    for manifest in load_manifests(path).map_err(|error| format!("{error}: {:?}", error.problems()))? {
        let kind = manifest.writable_kind().ok_or("the kind is not one that operators write")?;
        let name = Arc::clone(&manifest.name);
        let object = Object { kind, name, uid: Arc::from("uid"), version: 1, value: manifest.spec };
        let objects = match kind {
            ObjectKind::Service => &mut declared.services,
            ObjectKind::PrioritySet => &mut declared.priority_sets,
            _ => &mut declared.upstream_rules,
        };
        objects.insert(Arc::clone(&object.name), object);
    }
    assert_eq!(declared.services.len(), 4, "each deployment has four services");
    for service in declared.services.values() {
        resolve(service, &declared).map_err(|problems| format!("{}: {problems:?}", service.name))?;
    }
    Ok(())
}

datatest_stable::harness! {
    { test = settings_accepted, root = "../examples/nodes", pattern = r"\.jsonc$" },
    { test = settings_accepted, root = "../examples", pattern = r"^settings\.jsonc$" },
    { test = objects_accepted, root = "../examples/objects", pattern = r"\.jsonc$" },
}
