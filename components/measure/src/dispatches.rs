//! The agent's core by the number of requests that it holds.

use std::time::{Duration, Instant};

use agent::core::{Core, UpstreamEvent};
use anyhow::Result;
use bytes::Bytes;
use clock::{Clock, ManualClock};
use identity::{ConfigVersion, CustomerId, DispatchEpoch, ModelId, RequestId, Tier};
use wire::{Dispatch, ModelCall, RequestKey, Work};

use crate::process::resident_bytes;

const BODY_BYTES: usize = 4_000;
const ANSWER_PIECES: u32 = 300;
const PIECE_BYTES: usize = 120;

/// One size a process, so that memory freed before is not counted.
pub(crate) fn measure(requests: u32) -> Result<()> {
    let clock = ManualClock::new();
    let before = resident_bytes()?;
    let mut core = Core::new(requests);
    let start = Instant::now();
    for number in 0..requests {
        fill(&mut core, number, &clock);
    }
    let took = start.elapsed();
    let grown = resident_bytes()?.saturating_sub(before);
    let start = Instant::now();
    let load = core.load();
    let load_took = start.elapsed();
    println!(
        "requests={requests} resident_bytes_a_request={} us_a_request={:.2} us_for_load={:.2} running={}",
        grown / u64::from(requests.max(1)),
        took.as_secs_f64() * 1e6 / f64::from(requests.max(1)),
        load_took.as_secs_f64() * 1e6,
        load.running
    );
    Ok(())
}

fn fill(core: &mut Core, number: u32, clock: &ManualClock) {
    let key = RequestKey {
        customer: CustomerId::new("customer-1"),
        request_id: RequestId::new(format!("{number:032x}")),
    };
    let dispatch = Dispatch {
        key: key.clone(),
        epoch: DispatchEpoch(1),
        tier: Tier(2),
        time_left: Duration::from_secs(60),
        config_version: ConfigVersion(1),
        process: None,
        registration: None,
        work: Work::Model(ModelCall {
            model: ModelId::new("model-1"),
            body: Bytes::from(vec![b'x'; BODY_BYTES]),
            prompt_tokens: 1_000,
            max_tokens: ANSWER_PIECES,
        }),
    };
    core.dispatch(dispatch, clock.now());
    let started =
        UpstreamEvent::Started { status: 200, content_type: "text/event-stream".to_owned() };
    core.on_upstream_event(&key, started, clock.now());
    for _ in 0..ANSWER_PIECES {
        let piece = UpstreamEvent::Data(Bytes::from(vec![b'y'; PIECE_BYTES]));
        core.on_upstream_event(&key, piece, clock.now());
    }
}
