//! Loopback addresses of a fleet.

use std::net::Ipv4Addr;

/// Number of fleets of one program that have addresses of their own.
const FLEETS: u8 = 125;

/// Loopback addresses that no other fleet uses. No other program can then take the port of a process
/// before its start, or between its end and its restart, as all others bind to and connect from
/// 127.0.0.1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoopbackIps {
    /// Address on which processes listen, on ports that the system picks.
    pub listen: Ipv4Addr,
    /// Address of the peer listeners. Their ports are picked before the processes start, and no
    /// process asks the system for a port on this address, so none is given one of them.
    pub peers: Ipv4Addr,
}

impl LoopbackIps {
    /// Addresses of a fleet, by its number in the program and the id of the program's process.
    pub fn of_fleet(number: u8, process_id: u32) -> LoopbackIps {
        let [_, _, high, low] = process_id.to_be_bytes();
        let ip = |second: u8| Ipv4Addr::new(127, second, high, low.clamp(1, 254));
        let fleet = 1 + number % FLEETS;
        LoopbackIps { listen: ip(fleet), peers: ip(FLEETS + fleet) }
    }
}
