//! Memory and time that the agent's core takes, by number of requests that it holds.

use std::time::{Duration, Instant};

use agent::core::{Core, UpstreamEvent};
use anyhow::Result;
use bytes::Bytes;
use clock::{Clock, ManualClock};
use identity::{ConfigVersion, CustomerId, DispatchEpoch, ModelId, RequestId, Tier};
use wire::{Dispatch, ModelCall, RequestKey, Work};

use crate::process::resident_bytes;

const REQUEST_BODY_BYTES: usize = 4_000;
const RESPONSE_CHUNKS: u32 = 300;
const CHUNK_BYTES: usize = 120;

/// Measures one size per process, because memory that an earlier size freed would distort the
/// result.
pub(crate) fn measure(requests: u32) -> Result<()> {
    let clock = ManualClock::new();
    let resident_before = resident_bytes()?;
    let mut core = Core::new(requests);
    let start = Instant::now();
    for number in 0..requests {
        run_request(&mut core, number, &clock);
    }
    let dispatch_time = start.elapsed();
    let resident_growth = resident_bytes()?.saturating_sub(resident_before);
    let start = Instant::now();
    let load = core.load();
    let load_time = start.elapsed();
    println!(
        "requests={requests} resident_bytes_a_request={} us_a_request={:.2} us_for_load={:.2} running={}",
        resident_growth / u64::from(requests.max(1)),
        dispatch_time.as_secs_f64() * 1e6 / f64::from(requests.max(1)),
        load_time.as_secs_f64() * 1e6,
        load.running
    );
    Ok(())
}

/// Dispatches a request and delivers the data of its response, but not the event that finishes it.
fn run_request(core: &mut Core, number: u32, clock: &ManualClock) {
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
            body: Bytes::from(vec![b'x'; REQUEST_BODY_BYTES]),
            prompt_tokens: 1_000,
            max_tokens: RESPONSE_CHUNKS,
        }),
    };
    core.dispatch(dispatch, clock.now());
    let started =
        UpstreamEvent::Started { status: 200, content_type: "text/event-stream".to_owned() };
    core.on_upstream_event(&key, started, clock.now());
    for _ in 0..RESPONSE_CHUNKS {
        let data = UpstreamEvent::Data(Bytes::from(vec![b'y'; CHUNK_BYTES]));
        core.on_upstream_event(&key, data, clock.now());
    }
}
