// The same booking is sent to several entries at once. Guards against a run for each of them, and
// against accepting the same idempotency key for another body.
fleet(#{ entries: #{ "entry-1": "riga-a", "entry-2": "riga-a", "entry-3": "riga-b" },
    services: #{ "desk-1": #{ delay_ms: 200 }, "desk-2": #{ delay_ms: 200 }, "desk-3": #{ delay_ms: 200 } } });
for round in 0..5 {
    let key = `pitch-${round}`;
    let asked = [];
    for entry in ["entry-1", "entry-2", "entry-3"] { asked.push(book(entry, #{ key: key })); }
    let answers = asked.map(|pending| answer(pending));
    let booked = answers.filter(|got| got.status == 201);
    expect(booked.len() >= 1, "at least one caller gets status 201");
    expect(runs_of(key) == 1, "the booking ran once");
}
let reused = answer(book("entry-2", #{ key: "pitch-0", pitch: "B-3" }));
expect(reused.status == 409 && reused.code == 1007, "the same key with another body gets code 1007");
