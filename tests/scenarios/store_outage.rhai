// The store is down: streams go on, bookings are refused as not_run with a time to come back.
fleet(#{});
store_outage(true);
let stream = answer(ask("entry-1", #{ id: "through-outage", tokens: 30 }));
expect(stream.whole, "a stream needs no store");
let refused = answer(book("entry-2", #{ key: "in-outage" }));
expect(refused.status == 503 && refused.code == 4001, "a booking is refused: the store is unavailable");
expect(refused.outcome == "not_run" && runs_of("in-outage") == 0, "not_run is the truth");
expect(refused.json.retry_after_ms > 0, "with a time to come back");
store_outage(false);
let booked = answer(book("entry-1", #{ key: "in-outage" }));
expect(booked.status == 201 && runs_of("in-outage") == 1, "after the outage it runs, once");
