//! Filter below the HTTP server that keeps the head of a request until it is complete.

use std::cell::Cell;
use std::fmt;
use std::io;
use std::rc::Rc;

use ntex::io::{FilterBuf, FilterLayer};
use ntex::util::BytesMut;

/// Bytes that are read and dropped from a client that goes on sending after it has been refused, so
/// that it gets the refusal. Then its connection is reset.
const MAX_DROPPED_BYTES: usize = 256 << 10;

/// What becomes of bytes that a connection has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Received {
    /// They are kept until the head is complete.
    Keep,
    /// This many of them are passed on to the HTTP server.
    PassOn(usize),
    /// They are dropped; the connection is about to close.
    Drop,
}

/// Decides what becomes of the bytes of a connection.
pub(crate) trait HeadReceiver {
    /// Takes in bytes that have not been passed on: those that were kept, and new ones. The server has
    /// not read `unread_bytes` of those that were passed on earlier.
    fn receive(&self, bytes: &[u8], unread_bytes: usize) -> Received;
}

/// Passes received bytes from the source to the destination, as far as they may be read. Returns the
/// number of bytes that were dropped.
pub(crate) fn pass_on(
    receiver: &impl HeadReceiver,
    source: &mut Option<BytesMut>,
    destination: &mut BytesMut,
) -> usize {
    let Some(received) = source else { return 0 };
    while !received.is_empty() {
        match receiver.receive(received, destination.len()) {
            Received::Keep => return 0,
            Received::PassOn(length) if length == received.len() && destination.is_empty() => {
                std::mem::swap(received, destination);
            }
            Received::PassOn(length) => destination.extend_from_slice(&received.split_to(length)),
            Received::Drop => {
                let dropped_bytes = received.len();
                received.clear();
                return dropped_bytes;
            }
        }
    }
    0
}

/// Passes the bytes of a connection on to the HTTP server as far as its receiver decides.
pub(crate) struct HeadFilter<R> {
    receiver: Rc<R>,
    dropped_bytes: Cell<usize>,
}

impl<R: HeadReceiver> HeadFilter<R> {
    pub(crate) fn new(receiver: Rc<R>) -> HeadFilter<R> {
        HeadFilter { receiver, dropped_bytes: Cell::new(0) }
    }
}

impl<R> fmt::Debug for HeadFilter<R> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HeadFilter").finish_non_exhaustive()
    }
}

impl<R: HeadReceiver + 'static> FilterLayer for HeadFilter<R> {
    fn process_read_buf(&self, buffer: &FilterBuf<'_>) -> io::Result<()> {
        let dropped_bytes = buffer
            .with_read_buffers(|source, destination| pass_on(&*self.receiver, source, destination));
        self.dropped_bytes.set(self.dropped_bytes.get() + dropped_bytes);
        if self.dropped_bytes.get() > MAX_DROPPED_BYTES {
            return Err(io::Error::other("the client goes on sending after a refusal"));
        }
        Ok(())
    }

    fn process_write_buf(&self, buffer: &FilterBuf<'_>) -> io::Result<()> {
        buffer.with_write_buffers(|source, destination| source.move_to(destination));
        Ok(())
    }
}
