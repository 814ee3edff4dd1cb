//! Hash of what requests ask for.

use gateway::model::{RequestContent, RequestHash};

const CONTENT: RequestContent<'static> = RequestContent {
    method: "POST",
    host: "a.example",
    target: "/lookup/1?x=2",
    customer: Some("seller"),
    body: b"{}",
};

#[test]
fn requests_that_differ_have_the_same_hash_or_the_same_one_another() {
    let others = [
        RequestContent { method: "GET", ..CONTENT },
        RequestContent { host: "b.example", ..CONTENT },
        RequestContent { target: "/lookup/1?x=3", ..CONTENT },
        RequestContent { customer: Some("organiser"), ..CONTENT },
        RequestContent { customer: None, ..CONTENT },
        RequestContent { customer: Some(""), ..CONTENT },
        RequestContent { body: b"{ }", ..CONTENT },
        RequestContent { body: b"", ..CONTENT },
        // What belongs to one field must not count as part of the next.
        RequestContent { customer: Some("seller{"), body: b"}", ..CONTENT },
        RequestContent { target: "/lookup/1?x=", customer: Some("2seller"), ..CONTENT },
    ];
    let mut hashes: Vec<RequestHash> = others.into_iter().map(RequestHash::of).collect();
    hashes.push(RequestHash::of(CONTENT));
    assert_eq!(RequestHash::of(RequestContent { ..CONTENT }), RequestHash::of(CONTENT));
    hashes.sort_unstable();
    hashes.dedup();
    assert_eq!(hashes.len(), others.len() + 1);
}
