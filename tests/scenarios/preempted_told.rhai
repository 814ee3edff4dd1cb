// A request of the top tier preempts one of a lower tier. Guards against a preempted request whose
// caller is not informed at once, or gets a wrong outcome.
fleet(#{ engines: #{ one: #{ slots: 4, decode_tokens_per_s: 40 } } });
let low = [];
for n in 0..12 { low.push(ask("entry-1", #{ customer: "tagger", id: `tag-${n}`, text: `tag ${n}`, tokens: 400 })); }
expect(eventually(10000, || starts("one").len() >= 4), "lower-tier requests fill all slots of the engine");
let gate = answer(ask("entry-2", #{ customer: "gate", id: "gate-1", tokens: 20, deadline_ms: 4000 }));
expect(gate.whole, "the top-tier response is complete within its deadline of 4 s");
wait_ms(500);
for one in low { let got = so_far(one); if got.ended { say(`${got} ${got.body.len()} bytes`); } }
expect(eventually(3000, || low.filter(|one| so_far(one).code == 2003).len() > 0), "a lower-tier caller gets code 2003, preempted");
let ended = low.map(|one| so_far(one)).filter(|got| got.ended);
for got in ended {
    expect(got.whole || got.code == 2003, "a response that ended is complete or has code 2003");
    expect(got.code != 2003 || got.outcome == (if starts_of(got.id) > 0 { "ran" } else { "not_run" }), "the outcome matches whether the request was started");
}
