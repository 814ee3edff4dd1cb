// An engine freezes in the middle of streams and continues 3 times slower. Guards against
// incomplete responses and a second dispatch.
fleet(#{});
let streams = [];
for n in 0..6 { streams.push(ask("entry-1", #{ id: `slow-${n}`, text: `slow ${n}`, tokens: 60 })); }
for stream in streams { stream.tokens_come(2); }
faults("engine fast", #{ frozen: true });
wait_ms(3000);
faults("engine fast", #{ slowdown: 3 });
for stream in streams {
    let got = answer(stream);
    expect(got.whole && starts_of(got.id) == 1, "the response is complete, has the expected text and was dispatched once");
}
