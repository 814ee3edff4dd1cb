//! Weight store: streams as many bytes as are asked for, all readers together under a rate cap.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use clock::Clock;
use serde_json::json;
use web::{Handler, Request, Response};

use crate::lock;

/// Bytes of one piece.
const PIECE_BYTES: u64 = 64 * 1024;

/// Pieces that wait for their reader.
const PIECE_QUEUE: usize = 4;

/// The store; `GET /weights/NAME?size_bytes=N` reads from it.
pub struct Weights {
    clock: Arc<dyn Clock>,
    bytes_per_s: u64,
    free_at: Arc<Mutex<Instant>>,
}

impl Weights {
    /// A store that lets so many bytes a second through.
    pub fn new(clock: Arc<dyn Clock>, bytes_per_s: u64) -> Weights {
        let free_at = Arc::new(Mutex::new(clock.now()));
        Weights { clock, bytes_per_s: bytes_per_s.max(1), free_at }
    }
}

/// When a piece may go out, after all that were reserved before it.
fn reserve(free_at: &Mutex<Instant>, now: Instant, size_bytes: u64, bytes_per_s: u64) -> Instant {
    let mut free_at = lock(free_at);
    let took = Duration::from_secs_f64(size_bytes as f64 / bytes_per_s as f64);
    *free_at = (*free_at).max(now) + took;
    *free_at
}

#[async_trait]
impl Handler for Weights {
    async fn handle(&self, request: Request) -> Response {
        let size = request.query_value("size_bytes").and_then(|text| text.parse::<u64>().ok());
        let (true, Some(size_bytes)) = (request.path.starts_with("/weights/"), size) else {
            return Response::json(404, &json!({}));
        };
        let (pieces, response) = Response::streamed(200, "application/octet-stream", PIECE_QUEUE);
        let (clock, free_at, rate) = (self.clock.clone(), self.free_at.clone(), self.bytes_per_s);
        tokio::spawn(async move {
            let mut left = size_bytes;
            while left > 0 {
                let length = left.min(PIECE_BYTES);
                let now = clock.now();
                let due = reserve(&free_at, now, length, rate);
                tokio::time::sleep(due.saturating_duration_since(now)).await;
                if pieces.send(Bytes::from(vec![0; length as usize])).await.is_err() {
                    return;
                }
                left -= length;
            }
        });
        response
    }
}
