// A host leaves although the host list lags: after the agent's own word it gets no new work.
fleet(#{ host_list_lag_ms: 20000 });
let held = ask("entry-1", #{ id: "held", tokens: 400 });
held.tokens_come(2);
let leaver = if starts("fast").len() > 0 { "fast" } else { "slow" };
host_list(#{ fast: "leaving", slow: "live", desk: "live" });
terminate(`agent ${leaver}`);
wait_ms(3000);
let before = starts(leaver).len();
for n in 0..12 {
    let got = answer(ask(pick(["entry-1", "entry-2"]), #{ id: `later-${n}`, text: `later ${n}`, tokens: 4 }));
    expect(got.whole, "others are served");
}
expect(starts(leaver).len() == before, "the leaving host got nothing new");
expect(answer(held).whole, "its work in flight finished");
