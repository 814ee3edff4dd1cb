//! Encoded sizes of the messages between agent and entry.

use anyhow::Result;
use bytes::Bytes;
use prost::Message;
use wire::v1;

const CHUNK_BYTES: usize = 120;

/// A process id of the usual length.
const PROCESS_ID: &str = "0123456789abcdef0123456789abcdef";

pub(crate) fn measure() -> Result<()> {
    let key = v1::RequestKey {
        customer: "customer-12345".to_owned(),
        request_id: "0123456789abcdef0123456789abcdef".to_owned(),
    };
    let load = v1::LoadDigest {
        queued: 12,
        running: 48,
        limit: 64,
        leaving: false,
        queued_prefill_tokens: 250_000,
        remaining_decode_tokens: 40_000,
        prefill_tokens_per_s: 8_000,
        decode_tokens_per_s: 40,
    };
    let data = v1::dispatch_event::Event::Data(v1::Data {
        offset_bytes: 30_000,
        bytes: Bytes::from(vec![b'y'; CHUNK_BYTES]),
    });
    let event = v1::DispatchEvent {
        key: Some(key.clone()),
        dispatch_epoch: 1,
        load: Some(load),
        event: Some(data.clone()),
    };
    let without_load = v1::DispatchEvent { load: None, ..event.clone() };
    let report = v1::ReportReply {
        upstream: "engine-123".to_owned(),
        process: PROCESS_ID.to_owned(),
        configuration_version: 100_000,
        load: Some(load),
    };
    let held_entry = v1::HeldEntry {
        key: Some(key.clone()),
        upstream: "engine-123".to_owned(),
        dispatch_epoch: 1_764_800_000_000,
        upstream_process: PROCESS_ID.to_owned(),
    };
    let register = v1::RegisterRequest {
        key: Some(key),
        upstream: "engine-123".to_owned(),
        upstream_process: PROCESS_ID.to_owned(),
        superseded: None,
        configuration_version: 100_000,
        homes_digest: u64::MAX,
    };
    let register_reply = v1::RegisterReply {
        state: v1::RegisterState::Recorded.into(),
        placed: Some(held_entry.clone()),
        process: PROCESS_ID.to_owned(),
    };
    let fill_index = v1::FillIndexRequest {
        process: PROCESS_ID.to_owned(),
        held: vec![held_entry],
        copies: true,
        ..v1::FillIndexRequest::default()
    };
    println!(
        "registration of a request, reply   {} + {} bytes",
        register.encoded_len(),
        register_reply.encoded_len()
    );
    println!("replica of a placement             {} bytes", fill_index.encoded_len());
    println!("chunk of a response                {CHUNK_BYTES} bytes");
    println!("event with load digest             {} bytes", event.encoded_len());
    println!("event without load digest          {} bytes", without_load.encoded_len());
    println!("load digest                        {} bytes", load.encoded_len());
    println!("report                             {} bytes", report.encoded_len());
    Ok(())
}
