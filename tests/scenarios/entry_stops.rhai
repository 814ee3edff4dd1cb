// An entry under load gets SIGTERM. Guards against streams and bookings that break off during its
// graceful shutdown, and against a readiness check that still succeeds.
fleet(#{});
let streams = [];
for n in 0..8 { streams.push(ask("entry-1", #{ id: `stop-${n}`, text: `stop ${n}`, tokens: 80 })); }
let booking = book("entry-1", #{ key: "stop" });
for stream in streams { stream.tokens_come(2); }
terminate("entry-1");
expect(eventually(2000, || operators("entry-1", "/readyz").status != 200), "/readyz reports that the entry is not ready");
for stream in streams { expect(answer(stream).whole, "the response is complete"); }
expect(answer(booking).status == 201 && runs_of("stop") == 1, "the booking ran once");
expect(stop("entry-1") == 0, "the entry exits with code 0");
