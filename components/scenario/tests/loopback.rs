//! Loopback addresses of fleets.

use std::collections::BTreeSet;

use scenario::LoopbackIps;

/// Guards against a process that is given the reserved port of another one: the ports of the peer
/// listeners are picked before the processes start, and must be on an address on which no process
/// asks the system for a port.
#[test]
fn peer_listeners_have_addresses_of_their_own() {
    let fleets: Vec<LoopbackIps> =
        (0..125).map(|number| LoopbackIps::of_fleet(number, 4_242)).collect();
    let listen: BTreeSet<_> = fleets.iter().map(|ips| ips.listen).collect();
    let peers: BTreeSet<_> = fleets.iter().map(|ips| ips.peers).collect();
    assert_eq!((listen.len(), peers.len()), (125, 125), "each fleet has its own");
    assert!(listen.is_disjoint(&peers));
    assert!(listen.iter().chain(&peers).all(|ip| ip.is_loopback()));
}
