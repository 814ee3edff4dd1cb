// The store writes a booking's claim, but its reply is lost. Guards against taking the write for a
// failed one: a second run, or a booking that ran and is reported as `not_run`.
fleet(#{ services: #{ "desk-1": #{}, "desk-2": #{} } });
lose_replies(1);
let first = answer(book("entry-1", #{ key: "claimed" }));
let again = answer(book("entry-2", #{ key: "claimed" }));
expect(runs_of("claimed") == 1, "the booking ran once");
expect(first.outcome != "not_run" || runs_of("claimed") == 1 && again.status == 201, "a booking reported as not_run runs when it is repeated");
expect(again.status == 201 || again.code == 3004, "the repeated booking gets its response, or code 3004");
