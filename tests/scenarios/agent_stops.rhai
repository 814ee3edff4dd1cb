// An agent under load gets SIGTERM. Guards against streams that break off during its graceful
// shutdown: running requests finish and queued ones are placed on the other agent.
fleet(#{ engines: #{ one: #{ slots: 2, decode_tokens_per_s: 60 }, two: #{ slots: 16, decode_tokens_per_s: 60 } } });
let streams = [];
for n in 0..24 {
    streams.push(ask(pick(["entry-1", "entry-2"]), #{ id: `load-${n}`, text: `load ${n}`, tokens: 60 }));
}
streams[0].tokens_come(5);
expect(stop("agent one") == 0, "the agent exits with code 0");
for stream in streams {
    let got = answer(stream);
    expect(got.whole, "the response is complete and has the expected text");
    expect(starts_of(got.id) == 1, "the request was dispatched once");
}
