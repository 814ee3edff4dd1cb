// One booking is asked for at several entries at once, and again later: it runs once.
fleet(#{ entries: #{ "entry-1": "riga-a", "entry-2": "riga-a", "entry-3": "riga-b" },
    services: #{ "desk-1": #{ delay_ms: 200 }, "desk-2": #{ delay_ms: 200 }, "desk-3": #{ delay_ms: 200 } } });
for round in 0..5 {
    let key = `pitch-${round}`;
    let asked = [];
    for entry in ["entry-1", "entry-2", "entry-3"] { asked.push(book(entry, #{ key: key })); }
    let answers = asked.map(|pending| answer(pending));
    let booked = answers.filter(|got| got.status == 201);
    expect(booked.len() >= 1, "one caller or more is told that it is booked");
    expect(runs_of(key) == 1, "it ran once");
}
let reused = answer(book("entry-2", #{ key: "pitch-0", pitch: "B-3" }));
expect(reused.status == 409 && reused.code == 1007, "the key with another body is 1007");
