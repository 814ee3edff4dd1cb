// The store is down. Guards against streams that fail although they need no store, and against
// bookings that run, or are refused without `not_run` and a retry time.
fleet(#{});
store_outage(true);
let stream = answer(ask("entry-1", #{ id: "through-outage", tokens: 30 }));
expect(stream.whole, "a stream is served without the store");
let refused = answer(book("entry-2", #{ key: "in-outage" }));
expect(refused.status == 503 && refused.code == 4001, "a booking is refused with code 4001, store unavailable");
expect(refused.outcome == "not_run" && runs_of("in-outage") == 0, "the outcome is not_run and the booking did not run");
expect(refused.json.retry_after_ms > 0, "the refusal has a retry time");
store_outage(false);
let booked = answer(book("entry-1", #{ key: "in-outage" }));
expect(booked.status == 201 && runs_of("in-outage") == 1, "after the outage the booking runs once");
