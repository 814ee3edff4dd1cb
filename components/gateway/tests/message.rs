//! Encoding of the messages between gateways.

use std::time::Duration;

use gateway::allowance::{BucketLevel, CreditReply, CreditRequest, CustomerId};
use gateway::broker::{Datagram, JobExtension, Message, SlotReply, WireJob};
use gateway::model::{Position, ServiceId, UpstreamId, VersionId};
use gateway::scheduler::{AttemptOutcome, Observation, Priority, RouteId};
use gateway::shared_read::{SharedChange, SharedRead};

const GATEWAY_A: u64 = 1;
const GATEWAY_B: u64 = 2;

fn job() -> WireJob {
    WireJob {
        service: ServiceId::of("models"),
        route: RouteId(1),
        priority: Priority { tier: 1, route_tier: 1 },
        prompt_tokens: 600,
        output_tokens: 100,
        tokens_per_event: 8,
        is_stream: true,
        session_part: Some(5),
        is_last_attempt: false,
        waited_ms: 0,
        objective_left_ms: 600,
        pause_objective_ms: None,
        wait_left_ms: 1_800,
        time_left_ms: 12_000,
        excluded: vec![UpstreamId(4)],
        suspect: vec![],
        extension: JobExtension::default(),
    }
}

#[test]
fn messages_round_trip_through_their_encoding() {
    let reply = SlotReply::Granted { upstream: UpstreamId(7) };
    let observation = Observation::outcome_only(AttemptOutcome::Served);
    let messages = [
        Message::SlotRequest { from: GATEWAY_A, request_id: 3, job: job() },
        Message::SlotRequest {
            from: GATEWAY_A,
            request_id: 3,
            job: WireJob {
                extension: JobExtension { version: Some(VersionId::of("models", "v2")) },
                ..job()
            },
        },
        Message::SlotReply { from: GATEWAY_A, request_id: 3, reply },
        Message::Release { from: GATEWAY_B, request_id: 4, observation },
        Message::HeldSlots { from: GATEWAY_B, slots: vec![(4, UpstreamId(9))], queued: vec![7] },
        Message::SlotReplies {
            from: GATEWAY_A,
            replies: vec![(7, SlotReply::Queued), (8, SlotReply::Unknown)],
        },
        Message::CreditRequest {
            from: GATEWAY_A,
            request: CreditRequest {
                customer: CustomerId::of("c"),
                number: 1,
                needed: 5.5,
                prefetch: 0.0,
                unreported: 1.5,
            },
        },
        Message::CreditReply {
            from: GATEWAY_B,
            number: 1,
            reply: CreditReply::Exhausted(Duration::from_millis(3)),
        },
        Message::BucketLevels {
            from: GATEWAY_A,
            levels: vec![BucketLevel {
                customer: CustomerId::of("c"),
                units: 7.5,
                granted_by_age_ms: vec![(900, 40.0), (400, 2.5)],
            }],
            handed_over: true,
        },
        Message::SharedRead {
            from: GATEWAY_B,
            read: SharedRead {
                after: Position { era: 2, revision: 4 },
                position: Position { era: 2, revision: 9 },
                changes: vec![SharedChange {
                    key: "k".to_owned(),
                    value: None,
                    position: Position { era: 2, revision: 6 },
                }],
            },
        },
    ];
    for message in messages {
        let to_all = Datagram::to_all(message.clone());
        let to_one = Datagram::to(GATEWAY_B, message);
        for datagram in [to_all, to_one] {
            let bytes = datagram.encode().expect("encodes");
            assert_eq!(Datagram::decode(&bytes), Ok(datagram));
            assert!(Datagram::decode(&bytes[..2]).is_err());
        }
    }
}

/// Guards against gateways that do not understand each other during an update: one of the version
/// before reads the message alone, and does not name the recipient itself.
#[test]
fn the_recipient_cannot_be_skipped_by_the_version_before() {
    let reply = SlotReply::Granted { upstream: UpstreamId(7) };
    let messages = [
        Message::SlotRequest { from: GATEWAY_A, request_id: 3, job: job() },
        Message::SlotReply { from: GATEWAY_A, request_id: 3, reply },
    ];
    for message in messages {
        let before = Datagram::to_all(message.clone()).encode().expect("encodes");
        assert_eq!(Datagram::decode(&before), Ok(Datagram::to_all(message.clone())));
        let long_id = u64::MAX;
        let bytes = Datagram::to(long_id, message).encode().expect("encodes");
        assert_eq!(bytes[..before.len()], before, "what the version before reads");
        assert!(Datagram::decode(&bytes[..bytes.len() - 1]).is_err(), "half of a recipient");
    }
}

/// Guards against gateways of different versions that take each other's datagrams for something
/// else during an update.
#[test]
fn a_datagram_of_another_format_is_rejected() {
    let reply = SlotReply::Queued;
    let datagram = Datagram::to_all(Message::SlotReply { from: GATEWAY_A, request_id: 3, reply });
    let bytes = datagram.encode().expect("encodes");
    assert_eq!(Datagram::decode(&bytes), Ok(datagram));
    assert!(Datagram::decode(&bytes[1..]).is_err(), "the first format had no format byte");
    assert!(Datagram::decode(&[]).is_err());
    let mut other = bytes.clone();
    other[0] += 1;
    assert!(Datagram::decode(&other).is_err());
}

/// Guards against gateways that get no slots while one of the version before is the broker, or the
/// other way round.
#[test]
fn a_slot_request_of_another_software_version_cannot_be_read() {
    let message = Message::SlotRequest { from: GATEWAY_A, request_id: 3, job: job() };
    let request = Datagram::to_all(message.clone());
    let mut bytes = request.encode().expect("encodes");
    let extension_bytes = 1;
    bytes.truncate(bytes.len() - extension_bytes);
    assert_eq!(Datagram::decode(&bytes), Ok(request), "from the version before");
    // No version, the recipient 200, and a field that this version does not know.
    bytes.extend([0, 200, 1, 7]);
    let request = Datagram::to(200, message);
    assert_eq!(Datagram::decode(&bytes), Ok(request), "from a later version");
}
