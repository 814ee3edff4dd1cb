//! Schedule of store reads, and trust in the reads of peers.

use std::time::Duration;

use gateway::freshness::Freshness;
use gateway::key_confirmation::KeyConfirmation;
use gateway::model::Position;
use gateway::read_schedule::{PeerRead, ReadSchedule};
use gateway::store_lag::StoreLag;

fn at(revision: u64) -> Position {
    Position { era: 0, revision }
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_confirmation_dates_from_the_request() {
    let mut freshness = Freshness::default();
    assert!(!freshness.is_within(ms(10), ms(5_000)));
    freshness.confirm(ms(1_000));
    freshness.confirm(ms(500));
    assert_eq!(freshness.age(ms(4_000)), Some(ms(3_000)));
    assert!(freshness.is_within(ms(6_000), ms(5_000)));
    assert!(!freshness.is_within(ms(6_001), ms(5_000)));
}

/// Load pattern: a store that answers nobody for two seconds and then one gateway first.
#[test]
fn a_gateway_counts_as_cut_off_only_if_it_stays_behind_its_peers() {
    let mut store_lag = StoreLag::default();
    let (old, new) = (Some(ms(10_000)), Some(ms(12_500)));
    store_lag.update(old, new, ms(12_600));
    assert!(!store_lag.is_cut_off(), "its own read may be under way");
    store_lag.update(new, new, ms(12_800));
    store_lag.update(old, new, ms(13_200));
    assert!(!store_lag.is_cut_off(), "it has caught up in between");
    store_lag.update(old, new, ms(13_700));
    assert!(store_lag.is_cut_off());
    store_lag.update(old, None, ms(13_800));
    assert!(!store_lag.is_cut_off(), "no peer is ahead any more");
}

/// Guards against a digest that was in transit for long, or stayed unread in a suspended process,
/// and then makes an old state count as confirmed.
#[test]
fn a_delayed_digest_is_not_taken_for_a_fresh_one() {
    let mut read_schedule = ReadSchedule::default();
    read_schedule.record_digest_sent(1, ms(1_000));
    let peer_read = PeerRead {
        peer: 9,
        receiving: false,
        acknowledged: Some(1),
        age: Some(ms(100)),
        same_fingerprint: true,
        position: Some(at(90)),
    };
    // Whenever the digest is handled, its age counts back from the time that our acknowledged
    // digest was sent.
    assert_eq!(read_schedule.apply_peer_read(peer_read, ms(1_600)), Some(ms(900)));
    let unknown_digest = PeerRead { acknowledged: Some(7), ..peer_read };
    assert_eq!(read_schedule.apply_peer_read(unknown_digest, ms(1_600)), None);
    let unacknowledged = PeerRead { acknowledged: None, ..peer_read };
    assert_eq!(read_schedule.apply_peer_read(unacknowledged, ms(1_600)), None);
}

#[test]
fn no_read_is_due_while_peers_confirm_the_state() {
    let mut read_schedule = ReadSchedule::default();
    assert!(read_schedule.is_due(None, 0, ms(0)), "nothing has been read yet");
    read_schedule.record_read(ms(1_000), at(70));
    assert!(!read_schedule.is_due(Some(ms(300)), 0, ms(3_000)));
    assert!(
        read_schedule.is_due(Some(ms(1_500)), 0, ms(3_000)),
        "no gateway has read for some time"
    );
    assert!(
        read_schedule.is_due(Some(ms(300)), 0, ms(32_000)),
        "a gateway does not rely on its peers for ever"
    );
}

#[test]
fn a_peer_with_newer_state_makes_a_read_due() {
    let mut read_schedule = ReadSchedule::default();
    read_schedule.record_read(ms(1_000), at(70));
    read_schedule.record_digest_sent(1, ms(1_500));
    let peer_read = PeerRead {
        peer: 9,
        receiving: false,
        acknowledged: Some(1),
        age: Some(ms(100)),
        same_fingerprint: false,
        position: Some(at(90)),
    };
    assert_eq!(
        read_schedule.apply_peer_read(peer_read, ms(1_600)),
        None,
        "it does not confirm our state"
    );
    assert!(read_schedule.is_due(Some(ms(100)), 0, ms(1_600)));
    read_schedule.record_read(ms(1_600), at(70));
    assert!(!read_schedule.is_due(Some(ms(0)), 0, ms(1_650)));
}

#[test]
fn a_lasting_mismatch_does_not_cause_constant_reads() {
    let mut read_schedule = ReadSchedule::default();
    read_schedule.record_read(ms(2_000), at(70));
    read_schedule.record_digest_sent(1, ms(1_900));
    let peer_read = PeerRead {
        peer: 9,
        receiving: false,
        acknowledged: Some(1),
        age: Some(ms(500)),
        same_fingerprint: false,
        position: Some(at(70)),
    };
    read_schedule.apply_peer_read(peer_read, ms(2_300));
    assert!(!read_schedule.is_due(Some(ms(100)), 0, ms(2_400)));
    assert!(read_schedule.is_due(Some(ms(100)), 0, ms(2_800)));
}

/// Load pattern: upstreams that change all the time. A gateway that gets the changes from the first
/// reader of its zone sees digests of peers that do not have them yet, and need not read for that.
#[test]
fn a_peer_that_is_behind_makes_no_read_due() {
    let mut read_schedule = ReadSchedule::default();
    read_schedule.record_read(ms(1_000), at(70));
    assert!(read_schedule.continues(at(70), at(90)) && read_schedule.continues(at(60), at(90)));
    assert!(!read_schedule.continues(at(80), at(90)), "changes before are missing");
    assert!(!read_schedule.continues(at(60), at(70)), "nothing new");
    read_schedule.record_shared_read(at(90));
    read_schedule.record_digest_sent(1, ms(5_000));
    let behind = PeerRead {
        peer: 9,
        receiving: false,
        acknowledged: Some(1),
        age: Some(ms(100)),
        same_fingerprint: false,
        position: Some(at(80)),
    };
    read_schedule.apply_peer_read(behind, ms(5_100));
    assert!(!read_schedule.is_due(Some(ms(100)), 0, ms(6_000)));
}

/// The gateways of a zone that are behind a peer read one after the other, since the first one
/// passes on what it has read.
#[test]
fn gateways_that_are_behind_read_in_their_order() {
    let mut read_schedule = ReadSchedule::default();
    read_schedule.record_read(ms(1_000), at(70));
    read_schedule.record_unknown_peer(ms(2_000));
    let due_at =
        |rank: u32| (2_000..4_000).find(|at| read_schedule.is_due(Some(ms(100)), rank, ms(*at)));
    assert_eq!((due_at(0), due_at(1), due_at(3)), (Some(2_000), Some(2_100), Some(2_300)));
    assert_eq!(due_at(17), Some(2_600), "the last ones wait no longer");
}

/// Load pattern: a store that forgets its history early. A gateway whose peers read for it must not
/// fall behind the history, or all read everything at the next change.
#[test]
fn a_gateway_keeps_up_with_the_history_by_its_peers_reads() {
    let mut read_schedule = ReadSchedule::default();
    assert_eq!(read_schedule.position(), None);
    read_schedule.record_read(ms(1_000), at(70));
    read_schedule.record_digest_sent(1, ms(1_500));
    let peer_read = PeerRead {
        peer: 9,
        receiving: false,
        acknowledged: Some(1),
        age: Some(ms(100)),
        same_fingerprint: true,
        position: Some(at(90)),
    };
    read_schedule.apply_peer_read(PeerRead { same_fingerprint: false, ..peer_read }, ms(1_600));
    assert_eq!(read_schedule.position(), Some(at(70)), "the peer knows another state");
    read_schedule.apply_peer_read(peer_read, ms(1_600));
    assert_eq!(read_schedule.position(), Some(at(90)));
    read_schedule.apply_peer_read(PeerRead { position: Some(at(80)), ..peer_read }, ms(1_600));
    assert_eq!(read_schedule.position(), Some(at(90)), "an older digest arrived late");
}

/// A gateway of a simulated zone.
struct ZoneGateway {
    read_schedule: ReadSchedule,
    freshness: Freshness,
    keys: KeyConfirmation,
    /// Era of the store up to which it knows the state.
    era: u64,
    /// Sequence number of the last digest sent, and of the newest one received from each gateway.
    last_sequence: u32,
    received: Vec<Option<u32>>,
}

impl ZoneGateway {
    fn learn_era(&mut self, era: u64, uptime: Duration) {
        if self.era < era {
            self.era = era;
            self.keys.record_restore(uptime);
        }
    }
}

/// Calls of a simulated zone for what the store holds.
#[derive(Debug, Default, PartialEq, Eq)]
struct ZoneCalls {
    store_reads: usize,
    peer_reads: usize,
}

/// A zone of gateways, whose store may come back from an older copy.
struct Zone {
    gateways: Vec<ZoneGateway>,
    store_era: u64,
    step: u64,
}

impl Zone {
    const STEP_MS: u64 = 10;
    const DIGEST_INTERVAL_MS: u64 = 200;

    fn new(gateways: usize) -> Zone {
        let gateway = |_| ZoneGateway {
            read_schedule: ReadSchedule::default(),
            freshness: Freshness::default(),
            keys: KeyConfirmation::default(),
            era: 0,
            last_sequence: 0,
            received: vec![None; gateways],
        };
        Zone { gateways: (0..gateways).map(gateway).collect(), store_era: 0, step: 0 }
    }

    /// Plays some seconds.
    fn play(&mut self, seconds: u64) -> ZoneCalls {
        let mut calls = ZoneCalls::default();
        for _ in 0..seconds * 1_000 / Self::STEP_MS {
            let uptime = ms(self.step * Self::STEP_MS);
            for sender in self.read_when_due(uptime, &mut calls) {
                self.send_digest(sender, uptime, &mut calls);
            }
            self.step += 1;
        }
        calls
    }

    /// Reads the store where that is due. Returns the gateways that send a digest then.
    fn read_when_due(&mut self, uptime: Duration, calls: &mut ZoneCalls) -> Vec<usize> {
        let mut senders = Vec::new();
        for (rank, gateway) in self.gateways.iter_mut().enumerate() {
            let age = gateway.freshness.age(uptime);
            let keys_await_read = rank == 0 && gateway.keys.awaits_read(uptime);
            if keys_await_read || gateway.read_schedule.is_due(age, rank as u32, uptime) {
                // A watch that is answered in another era is followed by a read of everything.
                calls.store_reads += if gateway.era < self.store_era { 2 } else { 1 };
                gateway.learn_era(self.store_era, uptime);
                let position = Position { era: gateway.era, revision: self.step };
                gateway.read_schedule.record_read(uptime, position);
                gateway.freshness.confirm(uptime);
                gateway.keys.confirm(uptime);
                senders.push(rank);
            } else if (self.step + rank as u64 * 7) * Self::STEP_MS % Self::DIGEST_INTERVAL_MS
                < Self::STEP_MS
            {
                senders.push(rank);
            }
        }
        senders
    }

    fn send_digest(&mut self, sender: usize, uptime: Duration, calls: &mut ZoneCalls) {
        let gateway = &mut self.gateways[sender];
        gateway.last_sequence += 1;
        let sequence = gateway.last_sequence;
        gateway.read_schedule.record_digest_sent(sequence, uptime);
        let age = gateway.freshness.age(uptime);
        let (acknowledged, sender_era) = (gateway.received.clone(), gateway.era);
        for receiver in (0..self.gateways.len()).filter(|receiver| *receiver != sender) {
            let gateway = &mut self.gateways[receiver];
            let position = Some(Position { era: sender_era, revision: 90 });
            let peer_read = PeerRead {
                peer: 9,
                receiving: false,
                acknowledged: acknowledged[receiver],
                age,
                same_fingerprint: sender_era == gateway.era,
                position,
            };
            gateway.received[sender] = Some(sequence);
            if let Some(confirmed_at) = gateway.read_schedule.apply_peer_read(peer_read, uptime) {
                gateway.freshness.confirm(confirmed_at);
            }
            if gateway.read_schedule.begin_peer_read().is_some() {
                calls.peer_reads += 1;
                gateway.learn_era(sender_era, uptime);
                gateway
                    .read_schedule
                    .record_shared_read(Position { era: sender_era, revision: 91 });
                gateway.read_schedule.end_peer_read(uptime);
            }
        }
    }
}

/// Reads of the store by a zone of gateways in calm, in `seconds`.
fn reads_of_a_zone(gateways: usize, seconds: u64) -> usize {
    Zone::new(gateways).play(seconds).store_reads
}

/// Load pattern: a zone of a deployment with 103 gateways, and the store comes back from an older
/// copy. Each gateway needs everything again; one reads it, the others get it from peers.
#[test]
fn all_gateways_of_a_zone_read_the_store_when_it_has_been_restored() {
    const SECONDS: u64 = 6;
    for gateways in [1, 3, 35] {
        let mut zone = Zone::new(gateways);
        zone.play(12);
        let in_calm = zone.play(SECONDS);
        zone.store_era += 1;
        let after_restore = zone.play(SECONDS);
        let context = format!("{gateways} gateways: {in_calm:?}, {after_restore:?}");
        // Two calls of the first reader for the new era, and one at the end of the time in which
        // reads confirm no keys.
        assert!(after_restore.store_reads <= in_calm.store_reads + 4, "{context}");
        assert!(after_restore.peer_reads <= gateways, "{context}");
        let knows = |gateway: &ZoneGateway| gateway.era == 1;
        assert!(zone.gateways.iter().all(knows), "{context}");
    }
}

/// Load pattern: a large zone in calm. The calls to the store must not grow with its gateways.
#[test]
fn a_zone_in_calm_reads_the_store_as_often_as_one_gateway() {
    let alone = reads_of_a_zone(1, 60);
    assert!((40..=51).contains(&alone), "{alone}");
    for gateways in [2, 5, 18, 80] {
        let reads = reads_of_a_zone(gateways, 60);
        // Each gateway also reads by itself every 30 seconds.
        let own_reads = gateways * 60 / 30;
        assert!(reads <= alone + own_reads + gateways, "{gateways} gateways: {reads} reads");
    }
}

fn ahead(receiving: bool) -> PeerRead {
    PeerRead {
        peer: 9,
        receiving,
        acknowledged: Some(1),
        age: Some(ms(100)),
        same_fingerprint: false,
        position: Some(at(90)),
    }
}

/// Load pattern: a configuration of a megabyte over a full link, which one gateway of a zone
/// receives for two seconds. Eighteen transfers at once would take all of them as many times as
/// long.
#[test]
fn neighbours_read_a_large_configuration_from_the_store_while_one_receives_it() {
    let mut read_schedule = ReadSchedule::default();
    read_schedule.record_digest_sent(1, ms(1_000));
    read_schedule.record_read(ms(1_000), at(70));
    let receiving = PeerRead { same_fingerprint: true, position: Some(at(70)), ..ahead(true) };
    for uptime in (2_000..4_000).step_by(200) {
        read_schedule.apply_peer_read(receiving, ms(uptime));
        let age = ms(uptime - 1_000);
        let (neighbour_due, first_due) = (
            read_schedule.is_due(Some(age), 5, ms(uptime)),
            read_schedule.is_due(Some(age), 0, ms(uptime)),
        );
        assert!(!neighbour_due, "{uptime} ms");
        assert_eq!(first_due, age >= ms(1_200), "the first reader waits for nobody: {uptime} ms");
    }
    assert!(read_schedule.is_due(Some(ms(3_000)), 5, ms(4_000)), "keys must not expire");
    assert!(
        read_schedule.is_due(Some(ms(2_000)), 5, ms(4_600)),
        "the peer has stopped receiving without a result"
    );
}

#[test]
fn a_gateway_reads_from_the_store_what_a_peer_of_its_zone_has() {
    let mut read_schedule = ReadSchedule::default();
    read_schedule.record_digest_sent(1, ms(1_000));
    read_schedule.record_read(ms(1_000), at(70));
    read_schedule.apply_peer_read(ahead(false), ms(2_000));
    assert_eq!(read_schedule.begin_peer_read(), Some(9));
    assert_eq!(read_schedule.begin_peer_read(), None, "one read at a time");
    assert!(!read_schedule.is_due(Some(ms(1_900)), 0, ms(2_900)));
    read_schedule.record_shared_read(at(90));
    read_schedule.end_peer_read(ms(3_000));
    assert!(!read_schedule.is_due(Some(ms(500)), 0, ms(3_000)));
}

#[test]
fn a_gateway_waits_for_ever_for_a_peer_that_cannot_help() {
    let mut read_schedule = ReadSchedule::default();
    read_schedule.record_digest_sent(1, ms(1_000));
    read_schedule.record_read(ms(1_000), at(70));
    read_schedule.apply_peer_read(ahead(false), ms(2_000));
    assert_eq!(read_schedule.begin_peer_read(), Some(9));
    read_schedule.end_peer_read(ms(2_300));
    read_schedule.apply_peer_read(ahead(false), ms(2_400));
    assert_eq!(read_schedule.begin_peer_read(), None, "the store is next");
    assert!(!read_schedule.is_due(Some(ms(500)), 6, ms(2_400)), "in the order of the ranking");
    assert!(read_schedule.is_due(Some(ms(500)), 6, ms(2_900)));
}

#[test]
fn a_gateway_that_has_not_heard_of_a_restored_store_outvotes_those_that_have() {
    let restored = Position { era: 1, revision: 40 };
    let mut read_schedule = ReadSchedule::default();
    read_schedule.record_digest_sent(1, ms(1_000));
    read_schedule.record_read(ms(1_000), restored);
    let earlier_era = PeerRead { position: Some(at(900)), ..ahead(false) };
    read_schedule.apply_peer_read(earlier_era, ms(1_400));
    assert_eq!(read_schedule.begin_peer_read(), None, "the peer is behind");
    assert!(!read_schedule.continues(at(890), at(950)), "changes that the store has lost");
    read_schedule.record_read(ms(2_000), at(900));
    read_schedule.apply_peer_read(PeerRead { position: Some(restored), ..ahead(false) }, ms(2_400));
    assert_eq!(read_schedule.begin_peer_read(), Some(9), "this gateway is behind");
}

/// Load pattern: one gateway is cut off from the store, but not from its peers. Its registration
/// lapses, so a gateway that starts and owns a customer's bucket does not count the share that this
/// one grants itself.
#[test]
fn a_gateway_that_the_store_no_longer_lists_stays_in_service_by_reads_from_its_peers() {
    let mut read_schedule = ReadSchedule::default();
    read_schedule.record_digest_sent(1, ms(1_000));
    read_schedule.record_read(ms(1_000), at(70));
    read_schedule.set_store_unreachable(true);
    read_schedule.apply_peer_read(ahead(false), ms(4_000));
    assert_eq!(read_schedule.begin_peer_read(), None);
    assert!(read_schedule.is_due(Some(ms(400)), 0, ms(4_000)), "it tries the store");
    read_schedule.set_store_unreachable(false);
    assert_eq!(read_schedule.begin_peer_read(), Some(9));
}
