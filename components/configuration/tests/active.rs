//! The active configuration is never replaced by an older one.

use configuration::{ActiveConfiguration, Document, InstallOutcome, Snapshot};
use identity::ConfigVersion;

fn snapshot(version: u64) -> Snapshot {
    Snapshot::new(ConfigVersion(version), Document::default())
}

#[test]
fn older_configuration_does_not_replace_newer_one() {
    let active_configuration = ActiveConfiguration::new();
    assert_eq!(active_configuration.install_if_newer(snapshot(3)), InstallOutcome::Installed);
    assert_eq!(active_configuration.install_if_newer(snapshot(2)), InstallOutcome::NotNewer);
    assert_eq!(active_configuration.install_if_newer(snapshot(3)), InstallOutcome::NotNewer);
    assert_eq!(active_configuration.version(), ConfigVersion(3));
}
