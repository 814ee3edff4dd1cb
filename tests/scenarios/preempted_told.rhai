// The lower-tier request that makes room for a gate answer is told so at once, and truthfully.
fleet(#{ engines: #{ one: #{ slots: 4, decode_tokens_per_s: 40 } } });
let low = [];
for n in 0..12 { low.push(ask("entry-1", #{ customer: "tagger", id: `tag-${n}`, text: `tag ${n}`, tokens: 400 })); }
expect(eventually(10000, || starts("one").len() >= 4), "the engine is full of tagging");
let gate = answer(ask("entry-2", #{ customer: "gate", id: "gate-1", tokens: 20, deadline_ms: 4000 }));
expect(gate.whole, "the gate answer is whole within its 4 s");
wait_ms(500);
for one in low { let got = so_far(one); if got.ended { say(`${got} ${got.body.len()} bytes`); } }
expect(eventually(3000, || low.filter(|one| so_far(one).code == 2003).len() > 0), "one is told that it was preempted");
let cut = low.map(|one| so_far(one)).filter(|got| got.ended);
for got in cut {
    expect(got.whole || got.code == 2003, "an answer that ended is whole or says preempted");
    expect(got.code != 2003 || got.outcome == (if starts_of(got.id) > 0 { "ran" } else { "not_run" }), "and the outcome is the truth");
}
