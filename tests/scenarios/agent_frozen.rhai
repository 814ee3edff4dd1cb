// The agent is paused under a booking and a stream, then goes on: nothing runs twice.
fleet(#{ services: #{ "desk-1": #{ delay_ms: 300 }, "desk-2": #{ delay_ms: 300 } } });
let stream = ask("entry-1", #{ id: "paused", tokens: 60 });
stream.tokens_come(2);
for name in ["agent fast", "agent slow", "agent desk-1", "agent desk-2"] { freeze(name); }
let booking = book("entry-1", #{ key: "paused" });
wait_ms(4000);
for name in ["agent fast", "agent slow", "agent desk-1", "agent desk-2"] { thaw(name); }
let booked = answer(booking);
let got = answer(stream);
expect(!got.crossed && starts_of("paused") == 1, "the stream was dispatched once");
let again = answer(book("entry-2", #{ key: "paused" }));
wait_ms(1000);
expect(runs_of("paused") <= 1, "the booking ran at most once");
expect(booked.outcome != "not_run" || again.status == 201 || runs_of("paused") == 0, "not_run was never false");
