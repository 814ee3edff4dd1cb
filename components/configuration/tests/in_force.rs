//! The configuration in force only moves forward.

use configuration::{Document, InForce, Offer, Snapshot};
use identity::ConfigVersion;

fn snapshot(version: u64) -> Snapshot {
    Snapshot::new(ConfigVersion(version), Document::default())
}

#[test]
fn an_older_offer_never_replaces_a_newer_one() {
    let in_force = InForce::new();
    assert_eq!(in_force.offer(snapshot(3)), Offer::Taken);
    assert_eq!(in_force.offer(snapshot(2)), Offer::NotNewer);
    assert_eq!(in_force.offer(snapshot(3)), Offer::NotNewer);
    assert_eq!(in_force.version(), ConfigVersion(3));
}
