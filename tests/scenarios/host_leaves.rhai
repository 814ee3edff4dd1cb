// An agent shuts down while the host list, which lags by 20 s, still shows its host as live. Guards
// against new requests to the leaving host after its agent has reported that it leaves.
fleet(#{ host_list_lag_ms: 20000 });
let in_flight = ask("entry-1", #{ id: "held", tokens: 400 });
in_flight.tokens_come(2);
let leaver = if starts("fast").len() > 0 { "fast" } else { "slow" };
host_list(#{ fast: "leaving", slow: "live", desk: "live" });
terminate(`agent ${leaver}`);
wait_ms(3000);
let before = starts(leaver).len();
for n in 0..12 {
    let got = answer(ask(pick(["entry-1", "entry-2"]), #{ id: `later-${n}`, text: `later ${n}`, tokens: 4 }));
    expect(got.whole, "later requests get complete responses");
}
expect(starts(leaver).len() == before, "the leaving host got no new requests");
expect(answer(in_flight).whole, "the request in flight at the leaving host finished");
