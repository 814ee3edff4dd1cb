// The agent dies while a booking runs: asked again, here and elsewhere, it does not run again.
fleet(#{ services: #{ "desk-1": #{ delay_ms: 1500 }, "desk-2": #{ delay_ms: 1500 } } });
let booking = book("entry-1", #{ key: "once", deadline_ms: 4000 });
expect(eventually(5000, || runs_of("once") == 1), "the booking reached a worker");
let victim = if runs("desk-1").len() > 0 { "desk-1" } else { "desk-2" };
kill(`agent ${victim}`);
let got = answer(booking);
expect(got.status >= 500 && got.outcome == "unknown", "the outcome is unknown, which is the truth");
for entry in ["entry-2", "entry-1", "entry-2"] {
    let again = answer(book(entry, #{ key: "once", deadline_ms: 4000 }));
    expect(again.outcome != "not_run", "asked again it is not called not_run");
    expect(runs_of("once") == 1, "it ran once");
}
