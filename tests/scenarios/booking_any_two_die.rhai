// Processes are killed while a booking runs: first the entry that received it, then that entry and
// another one, then that entry and the agent. Guards against a second run and a wrong outcome.
fleet(#{
    entries: #{ "entry-1": "riga-a", "entry-2": "riga-b", "entry-3": "riga-a" },
    services: #{ "desk-1": #{ delay_ms: 1500 }, "desk-2": #{ delay_ms: 1500 } },
});

// The entry that holds the claim is killed. The agent still has the response for another entry.
let first = book("entry-1", #{ key: "entry-dies" });
expect(eventually(5000, || runs_of("entry-dies") == 1), "the booking reached a worker");
kill("entry-1");
let joined = answer(book("entry-2", #{ key: "entry-dies" }));
expect(joined.status == 201, "another entry gets the response of the running call");
restart("entry-1");
expect(eventually(5000, || operators("entry-1", "/readyz").status == 200), "entry-1 is ready again");

// Two entries are killed.
let second = book("entry-1", #{ key: "entries-die" });
expect(eventually(5000, || runs_of("entries-die") == 1), "the booking reached a worker");
kill("entry-1");
kill("entry-3");
wait_ms(2500);
let kept = answer(book("entry-2", #{ key: "entries-die" }));
expect(kept.status == 201, "the response is still available after the call has ended");
restart("entry-1");
expect(eventually(5000, || operators("entry-1", "/readyz").status == 200), "entry-1 is ready again");

// The entry and the agent are killed. The agent restarts without any record of the booking.
let third = book("entry-1", #{ key: "both-die" });
expect(eventually(5000, || runs_of("both-die") == 1), "the booking reached a worker");
let victim = if "both-die" in runs("desk-1") { "desk-1" } else { "desk-2" };
kill("entry-1");
kill(`agent ${victim}`);
restart(`agent ${victim}`);
for attempt in 0..3 {
    let again = answer(book("entry-2", #{ key: "both-die" }));
    expect(again.outcome == "unknown", "the outcome is reported as unknown");
}
for key in ["entry-dies", "entries-die", "both-die"] {
    expect(runs_of(key) == 1, `${key} ran once`);
}
