// The entry is killed in the middle of streams, and the requests are repeated at another entry with
// the same ids. Guards against a second dispatch. Each engine has slots for all streams, so that
// all of them run when the entry is killed.
fleet(#{ engines: #{ one: #{ slots: 6 }, two: #{ slots: 6 }, three: #{ slots: 6, zone: "riga-b" } } });
let asked = [];
for n in 0..6 { asked.push(#{ id: `twice-${n}`, text: `who plays the tilt ${n}`, tokens: 200 }); }
let streams = asked.map(|request| ask("entry-1", request));
for stream in streams { stream.tokens_come(3); }
kill("entry-1");
for stream in streams { expect(!answer(stream).whole, "the first response breaks off"); }
asked.reverse();
let again = asked.map(|request| ask("entry-2", request));
for stream in again {
    let got = answer(stream);
    expect(got.whole, "the repeated request gets the complete response");
    expect(starts_of(got.id) == 1, "the request was dispatched once");
}
