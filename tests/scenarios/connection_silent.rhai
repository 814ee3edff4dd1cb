// Open connections to the agents fall silent for good while new connections work. Guards against
// streams that hang, lose or repeat tokens, or are dispatched again.
fleet(#{});
let streams = [];
for n in 0..8 {
    streams.push(ask(pick(["entry-1", "entry-2"]), #{ id: `silent-${n}`, text: `log ${n}`, tokens: 100 }));
}
for stream in streams { stream.tokens_come(2); }
if draw(2) == 0 { silence("to fast"); silence("to slow"); }
else { silence_backward("to fast"); silence_backward("to slow"); }
for stream in streams {
    let got = answer(stream);
    expect(got.whole, "the response is complete and has the expected text");
    expect(starts_of(got.id) == 1, "the request was dispatched once");
}
