// The reply to a booking's claim is lost after its effect: the booking runs once, and it is said truly.
fleet(#{ services: #{ "desk-1": #{}, "desk-2": #{} } });
lose_replies(1);
let first = answer(book("entry-1", #{ key: "claimed" }));
let again = answer(book("entry-2", #{ key: "claimed" }));
expect(runs_of("claimed") == 1, "it ran once");
expect(first.outcome != "not_run" || runs_of("claimed") == 1 && again.status == 201, "not_run was never false");
expect(again.status == 201 || again.code == 3004, "asked again, it is known");
