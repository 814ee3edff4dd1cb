//! Size of a request's head, measured as it arrives and before it is parsed.
//!
//! Load pattern: callers send heads of very many short lines, or heads that do not end. A parsed line
//! takes a multiple of its bytes on the wire, so that a head is parsed only when it is complete, within
//! the limit, and when there is room for it. What does not end is held as it came.

use memchr::memchr;

/// A head may take this multiple of the limit on the wire. Names and values are counted against the
/// limit once they are parsed; separators, line ends and the request line take the rest.
const WIRE_SIZE_FACTOR: usize = 2;

/// Memory of a parsed line beyond its bytes: its entries in the maps of the HTTP server, of this gateway
/// and of the HTTP client, which grow by doubling.
const LINE_MEMORY_BYTES: usize = 400;

/// Memory for each byte of a head: copies of names and values, and what is decoded from them. A part of
/// a prompt takes four times its bytes.
const MEMORY_PER_BYTE: usize = 6;

/// Smallest amount of memory of a head that is held as it came: a page.
const MIN_RAW_BYTES: usize = 4 << 10;

/// What to do with a head after a part of it has been received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadStep {
    /// Wait for the rest.
    Wait,
    /// Refuse it: it is larger than allowed.
    Refuse,
    /// Parse it: it is complete.
    Parse,
}

/// Size of a head as far as it has been received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestHead {
    bytes: usize,
    lines: usize,
    /// Whether the current line has text; the line after the last one has none.
    line_has_text: bool,
}

impl RequestHead {
    /// Takes in the next part of a head. `limit_bytes` is the limit on names and values.
    pub fn receive(&mut self, mut part: &[u8], limit_bytes: usize) -> HeadStep {
        let wire_limit_bytes = limit_bytes.saturating_mul(WIRE_SIZE_FACTOR);
        while let Some(end) = memchr(b'\n', part) {
            let (line, rest) = part.split_at(end + 1);
            self.receive_text(line);
            if self.bytes > wire_limit_bytes {
                return HeadStep::Refuse;
            }
            if self.line_has_text {
                self.lines += 1;
            } else if self.lines > 0 {
                return HeadStep::Parse;
            }
            self.line_has_text = false;
            part = rest;
        }
        self.receive_text(part);
        if self.bytes > wire_limit_bytes { HeadStep::Refuse } else { HeadStep::Wait }
    }

    fn receive_text(&mut self, text: &[u8]) {
        self.bytes += text.len();
        self.line_has_text |= text.iter().any(|byte| !matches!(byte, b'\r' | b'\n'));
    }

    /// Bytes received so far, up to the end of the head.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Memory of the head while it is held as it came.
    pub fn raw_memory_bytes(&self) -> usize {
        self.bytes.max(MIN_RAW_BYTES)
    }

    /// Memory of the head once it is parsed, and of what is made of it until the request has been sent.
    pub fn parsed_memory_bytes(&self) -> usize {
        self.lines * LINE_MEMORY_BYTES + self.bytes * MEMORY_PER_BYTE
    }
}
