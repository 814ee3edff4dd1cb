//! Reads the bodies of requests.

use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use errors::{Refusal, ResultCode};
use futures_util::future::poll_fn;
use http::header;
use ntex::http::error::PayloadError;
use ntex::http::{Payload, Request};
use ntex::util::Bytes as ChunkBytes;

use crate::byte_budget::UpstreamKey;
use crate::connection::Connection;
use crate::refusal::no_room;

/// Body of a request, which has not been read yet.
pub struct IncomingBody {
    payload: Payload,
    /// Length that the server does not know: it reads a request that offers another protocol to the end
    /// of its connection.
    length: Option<usize>,
}

impl IncomingBody {
    /// Takes the body out of a request, which still has its headers.
    pub fn take(request: &mut Request) -> IncomingBody {
        let length = request.head().upgrade().then(|| stated_length(request));
        IncomingBody { payload: request.take_payload(), length }
    }

    /// Reads the body. Refuses one that is larger than the limit, that is malformed or too slow, or for
    /// which there is no room.
    pub async fn read<K: UpstreamKey>(
        self,
        connection: &Connection<K>,
        limit_bytes: usize,
    ) -> Result<Bytes, Refusal> {
        tokio::select! {
            body = read_payload(connection, self.payload, self.length, limit_bytes) => body,
            refusal = connection.refused() => Err(refusal),
        }
    }
}

/// Length of a body that comes without chunks.
fn stated_length(request: &Request) -> usize {
    let given = request.headers().get(header::CONTENT_LENGTH);
    let given = given.and_then(|value| value.to_str().ok());
    given.and_then(|given| given.trim().parse().ok()).unwrap_or(0)
}

/// Reads a body to its end, or to its length if the server does not know it.
async fn read_payload<K: UpstreamKey>(
    connection: &Connection<K>,
    mut payload: Payload,
    length: Option<usize>,
    limit_bytes: usize,
) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    let mut queue = ChunkQueue::default();
    while length.is_none_or(|length| body.len() < length) {
        let Some(chunk) = poll_fn(|cx| queue.poll_next(&mut payload, cx)).await else { break };
        let mut chunk = chunk.map_err(|error| {
            Refusal::not_run(ResultCode::MalformedRequest).with_message(error.to_string())
        })?;
        if let Some(length) = length {
            chunk.truncate(length - body.len());
        }
        if body.len() + chunk.len() > limit_bytes {
            return Err(Refusal::not_run(ResultCode::BodyTooLarge));
        }
        body.reserve(chunk.len());
        connection.hold_body(body.capacity() + queue.memory_bytes()).map_err(|_| no_room())?;
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Queue in which the server keeps the chunks that it has read. It keeps its room until the request ends.
#[derive(Debug, Default)]
struct ChunkQueue {
    /// Chunks that have been taken without waiting for further ones.
    taken: usize,
    /// Most chunks that have been in the queue.
    longest: usize,
}

impl ChunkQueue {
    fn poll_next(
        &mut self,
        payload: &mut Payload,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<ChunkBytes, PayloadError>>> {
        let next = payload.poll_recv(cx);
        self.taken = if next.is_pending() { 0 } else { self.taken + 1 };
        self.longest = self.longest.max(self.taken);
        next
    }

    /// The queue grows by doubling.
    fn memory_bytes(&self) -> usize {
        self.longest.next_power_of_two() * size_of::<ChunkBytes>()
    }
}
