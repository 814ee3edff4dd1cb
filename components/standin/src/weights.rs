//! Stand-in for a weight store: streams the requested number of bytes; all readers share one rate
//! limit.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use clock::Clock;
use serde_json::json;
use web::{Handler, Request, Response};

use crate::lock;

const CHUNK_BYTES: u64 = 64 * 1024;

/// Chunks that are buffered for a slow reader.
const CHUNK_QUEUE_LEN: usize = 4;

/// A weight store; `GET /weights/NAME?size_bytes=N` streams `N` zero bytes.
pub struct WeightStore {
    clock: Arc<dyn Clock>,
    bytes_per_s: u64,
    next_free_at: Arc<Mutex<Instant>>,
}

impl WeightStore {
    /// Creates a store that sends at most `bytes_per_s` to all readers together.
    pub fn new(clock: Arc<dyn Clock>, bytes_per_s: u64) -> WeightStore {
        let next_free_at = Arc::new(Mutex::new(clock.now()));
        WeightStore { clock, bytes_per_s: bytes_per_s.max(1), next_free_at }
    }
}

/// Reserves the bandwidth for a chunk; returns the time at which the chunk may be sent.
fn reserve_bandwidth(
    next_free_at: &Mutex<Instant>,
    now: Instant,
    size_bytes: u64,
    bytes_per_s: u64,
) -> Instant {
    let mut next_free_at = lock(next_free_at);
    let transfer_time = Duration::from_secs_f64(size_bytes as f64 / bytes_per_s as f64);
    *next_free_at = (*next_free_at).max(now) + transfer_time;
    *next_free_at
}

#[async_trait]
impl Handler for WeightStore {
    async fn handle(&self, request: Request) -> Response {
        let size = request.query_value("size_bytes").and_then(|text| text.parse::<u64>().ok());
        let (true, Some(size_bytes)) = (request.path.starts_with("/weights/"), size) else {
            return Response::json(404, &json!({}));
        };
        let (chunks, response) =
            Response::streamed(200, "application/octet-stream", CHUNK_QUEUE_LEN);
        let (clock, next_free_at, rate) =
            (self.clock.clone(), self.next_free_at.clone(), self.bytes_per_s);
        tokio::spawn(async move {
            let mut left_bytes = size_bytes;
            while left_bytes > 0 {
                let length = left_bytes.min(CHUNK_BYTES);
                let now = clock.now();
                let send_at = reserve_bandwidth(&next_free_at, now, length, rate);
                tokio::time::sleep(send_at.saturating_duration_since(now)).await;
                if chunks.send(Bytes::from(vec![0; length as usize])).await.is_err() {
                    return;
                }
                left_bytes -= length;
            }
        });
        response
    }
}
