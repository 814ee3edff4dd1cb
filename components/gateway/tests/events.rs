//! Only complete events are forwarded, whatever the chunks they arrive in.

use bolero::produce;
use gateway::events::{EventSplitter, EventTooLong, MAX_EVENT_BYTES};

#[test]
fn chunks_of_any_size_yield_the_complete_events_only() {
    let stream = b"id: 1\ndata: a\n\ncomment: 2\nid: 2\ndata: b\n\nid: 3\ndata: c";
    let complete = &stream[..stream.len() - b"id: 3\ndata: c".len()];
    property::check_with(200, &produce::<Vec<u8>>(), |sizes: &Vec<u8>| {
        let mut splitter = EventSplitter::default();
        let (mut rest, mut forwarded) = (&stream[..], Vec::new());
        let mut sizes = sizes.iter().map(|size| usize::from(*size % 7) + 1);
        while !rest.is_empty() {
            let size = sizes.next().unwrap_or(1).min(rest.len());
            let (chunk, left) = rest.split_at(size);
            rest = left;
            if let Some(events) = splitter.push(chunk).expect("short events") {
                assert!(events.ends_with(b"\n\n"));
                forwarded.extend_from_slice(&events);
            }
        }
        assert_eq!(forwarded, complete);
        assert!(splitter.has_partial());
    });
}

/// Guards against a stream without event delimiters that fills the memory of the process.
#[test]
fn an_event_without_end_is_an_error() {
    let mut splitter = EventSplitter::default();
    let chunk = [b'x'; 16 << 10];
    let mut buffered = 0;
    while splitter.push(&chunk) == Ok(None) {
        buffered += chunk.len();
        assert!(buffered <= MAX_EVENT_BYTES, "{buffered} bytes buffered");
    }
    assert_eq!(splitter.push(&chunk), Err(EventTooLong));
}
