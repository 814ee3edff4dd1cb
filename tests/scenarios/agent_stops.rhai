// SIGTERM to an agent under load: nobody sees a cut, queued work is placed elsewhere.
fleet(#{ engines: #{ one: #{ slots: 2, decode_tokens_per_s: 60 }, two: #{ slots: 16, decode_tokens_per_s: 60 } } });
let streams = [];
for n in 0..24 {
    streams.push(ask(pick(["entry-1", "entry-2"]), #{ id: `load-${n}`, text: `load ${n}`, tokens: 60 }));
}
streams[0].tokens_come(5);
expect(stop("agent one") == 0, "the agent ends cleanly");
for stream in streams {
    let got = answer(stream);
    expect(got.whole, "the answer is whole and the caller's own");
    expect(starts_of(got.id) == 1, "and was dispatched once");
}
