// All agents are suspended while a booking and a stream run, and resumed later. Guards against a
// second run, and against `not_run` for a booking that ran.
fleet(#{ services: #{ "desk-1": #{ delay_ms: 300 }, "desk-2": #{ delay_ms: 300 } } });
let stream = ask("entry-1", #{ id: "paused", tokens: 60 });
stream.tokens_come(2);
for name in ["agent fast", "agent slow", "agent desk-1", "agent desk-2"] { freeze(name); }
let booking = book("entry-1", #{ key: "paused" });
wait_ms(4000);
for name in ["agent fast", "agent slow", "agent desk-1", "agent desk-2"] { thaw(name); }
let booked = answer(booking);
let got = answer(stream);
expect(!got.crossed && starts_of("paused") == 1, "the stream is not mixed up and was dispatched once");
let again = answer(book("entry-2", #{ key: "paused" }));
wait_ms(1000);
expect(runs_of("paused") <= 1, "the booking ran at most once");
expect(booked.outcome != "not_run" || again.status == 201 || runs_of("paused") == 0, "a booking reported as not_run did not run before it was repeated");
