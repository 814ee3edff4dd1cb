// The agent is killed while a booking runs. Guards against a second run when the booking is
// repeated at the same entry and at another one, and against the outcome `not_run`.
fleet(#{ services: #{ "desk-1": #{ delay_ms: 1500 }, "desk-2": #{ delay_ms: 1500 } } });
let booking = book("entry-1", #{ key: "once", deadline_ms: 4000 });
expect(eventually(5000, || runs_of("once") == 1), "the booking reached a worker");
let victim = if runs("desk-1").len() > 0 { "desk-1" } else { "desk-2" };
kill(`agent ${victim}`);
let got = answer(booking);
expect(got.status >= 500 && got.outcome == "unknown", "the outcome is reported as unknown");
for entry in ["entry-2", "entry-1", "entry-2"] {
    let again = answer(book(entry, #{ key: "once", deadline_ms: 4000 }));
    expect(again.outcome != "not_run", "the repeated booking is not reported as not_run");
    expect(runs_of("once") == 1, "the booking ran once");
}
