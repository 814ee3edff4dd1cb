//! What upstreams send is passed on only if it follows in the stream.

use gateway::event_sequence::{EventSequence, RunEnd, SequenceError, is_event_stream};

/// A sequence whose caller has the events up to `last_id`.
fn resumed_after(last_id: u64) -> EventSequence {
    let mut sequence = EventSequence::begin(None);
    let event = format!("id: {last_id}\ndata: x\n\n");
    assert_eq!(sequence.accept(event.as_bytes()), Ok(1));
    assert_eq!(sequence.begin_further_run(), Some(last_id));
    sequence
}

#[test]
fn last_event_id_is_that_of_the_last_event() {
    let last_id = |events: &[u8]| {
        let mut sequence = EventSequence::begin(None);
        sequence.accept(events).expect("events in order");
        sequence.last_id()
    };
    assert_eq!(last_id(b"id: 7\ndata: x\n\nid: 8\ndata: y\n\n"), Some(8));
    assert_eq!(last_id(b"id:9\ndata: id: 3\n\n"), Some(9));
    assert_eq!(last_id(b"data: x\n\n"), None);
}

/// Guards against events that a caller gets twice.
#[test]
fn an_event_that_does_not_follow_the_last_one_is_accepted() {
    let mut sequence = resumed_after(4);
    for events in
        [&b"id: 4\ndata: x\n\n"[..], b"id: 5\ndata: x\n\nid: 5\ndata: x\n\n", b"id: 1\n\n"]
    {
        assert!(matches!(sequence.accept(events), Err(SequenceError::Repeated { .. })));
        assert_eq!((sequence.last_id(), sequence.has_events()), (Some(4), false));
    }
    assert_eq!(sequence.accept(b"id: 5\ndata: x\n\nid: 9\ndata: y\n\n"), Ok(2));
    assert_eq!(sequence.last_id(), Some(9));
    assert!(EventSequence::begin(Some(3)).accept(b"id: 3\ndata: x\n\n").is_err());
}

/// Guards against text in the middle of a stream that no upstream wrote as a part of it.
#[test]
fn text_that_is_no_event_is_accepted_within_a_stream() {
    let foreign: [&[u8]; 6] = [
        b"{\"error\":\n\n",
        b"out of memory\n\n",
        b"data: without an id\n\n",
        b"HTTP/1.1 500 Failed\nX: y\nid: 5\n\n",
        b"id: five\n\n",
        b"id: 5\ndata: x\n\nout of memory\n\n",
    ];
    for events in foreign {
        assert_eq!(resumed_after(4).accept(events), Err(SequenceError::NotAnEvent));
        assert_eq!(EventSequence::begin(Some(4)).accept(events), Err(SequenceError::NotAnEvent));
    }
    let mut sequence = resumed_after(4);
    assert_eq!(sequence.accept(b": still there\n\nweight-versions: 2\nid: 5\ndata: x\n\n"), Ok(1));
}

/// Guards against a stream that goes on elsewhere although its caller has more than the last id says.
#[test]
fn a_stream_with_an_event_that_has_no_id_goes_on() {
    let mut sequence = EventSequence::begin(None);
    assert_eq!(sequence.begin_further_run(), None);
    let mut sequence = EventSequence::begin(None);
    assert_eq!(sequence.accept(b"id: 1\ndata: x\n\ndata: y\n\n"), Ok(2));
    assert_eq!(sequence.begin_further_run(), None);
}

/// Guards against a stream that broke off and looks complete.
#[test]
fn a_run_that_has_brought_no_event_is_complete() {
    for is_framed in [false, true] {
        let mut sequence = EventSequence::begin(None);
        assert_eq!(sequence.end_run(is_framed), RunEnd::Broken);
        assert_eq!(sequence.accept(b": x\n\n"), Ok(0));
        assert_eq!(sequence.end_run(is_framed), RunEnd::Broken);
        assert_eq!(sequence.accept(b"id: 1\n\n"), Ok(1));
        assert_eq!(sequence.end_run(is_framed), RunEnd::Complete);
        // A stream that broke off after its last event goes on with nothing.
        let end = if is_framed { RunEnd::Complete } else { RunEnd::Broken };
        assert_eq!(resumed_after(4).end_run(is_framed), end);
        assert_eq!(EventSequence::begin(Some(4)).end_run(is_framed), end);
    }
}

#[test]
fn an_error_text_has_the_content_type_of_a_stream() {
    assert!(is_event_stream(None));
    assert!(is_event_stream(Some("text/event-stream")));
    assert!(is_event_stream(Some("Text/Event-Stream; charset=utf-8")));
    assert!(!is_event_stream(Some("application/json")) && !is_event_stream(Some("")));
}
