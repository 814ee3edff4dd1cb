// Requests of the lowest tier fill the engine. Guards against a request of the top tier that is
// shed, or queued past its deadline, while requests of lower tiers run.
fleet(#{ engines: #{ one: #{ slots: 4, decode_tokens_per_s: 40 } } });
let low = [];
for n in 0..12 { low.push(ask("entry-1", #{ customer: "tagger", id: `tag-${n}`, text: `tag ${n}`, tokens: 400 })); }
expect(eventually(10000, || starts("one").len() >= 4), "lower-tier requests fill all slots of the engine");
let gate = answer(ask("entry-2", #{ customer: "gate", id: "gate-1", tokens: 20, deadline_ms: 4000 }));
expect(gate.whole, "the top-tier response is complete within its deadline of 4 s");
