//! Tests of which response belongs to a request.

use gateway::model::ResponseMetadata;
use gateway::response_match::{belongs_to_request, is_answer_status};
use http::{HeaderMap, HeaderValue, StatusCode};

fn response(attempt_id: Option<&str>, signed: bool) -> ResponseMetadata {
    ResponseMetadata {
        attempt_id: attempt_id.map(str::to_owned),
        signed,
        ..ResponseMetadata::default()
    }
}

#[test]
fn a_response_that_names_another_request_is_taken_for_this_one() {
    for request_count in [1, 2] {
        for is_success in [false, true] {
            let belongs = |id, signed| {
                belongs_to_request(&response(Some(id), signed), is_success, "a", request_count)
            };
            assert!(belongs("a", true));
            assert!(!belongs("b", true) && !belongs("", true));
            assert_eq!(belongs("a", false), !is_success, "a success is signed");
        }
    }
}

#[test]
fn a_response_that_names_no_request_is_taken_for_the_latest_of_several() {
    let unnamed = response(None, true);
    assert!(belongs_to_request(&unnamed, false, "a", 1));
    assert!(!belongs_to_request(&unnamed, false, "a", 2));
    assert!(!belongs_to_request(&unnamed, true, "a", 1));
}

/// Guards against a caller that is told something that no answer can say.
#[test]
fn a_status_outside_those_of_answers_is_an_answer() {
    let plain = HeaderMap::new();
    for code in 100..=999 {
        let status = StatusCode::from_u16(code).expect("three digits");
        let expected = (200..=599).contains(&code) && ![206, 304].contains(&code);
        assert_eq!(is_answer_status(status, &plain), expected, "{code}");
    }
    let with = |name: &'static str| {
        HeaderMap::from_iter([(name.parse().expect("header name"), HeaderValue::from_static("x"))])
    };
    assert!(is_answer_status(StatusCode::PARTIAL_CONTENT, &with("range")));
    assert!(is_answer_status(StatusCode::NOT_MODIFIED, &with("if-none-match")));
    assert!(is_answer_status(StatusCode::NOT_MODIFIED, &with("if-modified-since")));
    assert!(!is_answer_status(StatusCode::NOT_MODIFIED, &with("range")));
}
