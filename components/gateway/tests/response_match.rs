//! Tests of which response belongs to a request.

use gateway::model::ResponseMetadata;
use gateway::response_match::belongs_to_request;

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
