// A gate answer is not shed or kept waiting while lower-tier work runs.
fleet(#{ engines: #{ one: #{ slots: 4, decode_tokens_per_s: 40 } } });
let low = [];
for n in 0..12 { low.push(ask("entry-1", #{ customer: "tagger", id: `tag-${n}`, text: `tag ${n}`, tokens: 400 })); }
expect(eventually(10000, || starts("one").len() >= 4), "the engine is full of tagging");
let gate = answer(ask("entry-2", #{ customer: "gate", id: "gate-1", tokens: 20, deadline_ms: 4000 }));
expect(gate.whole, "the gate answer is whole within its 4 s");
