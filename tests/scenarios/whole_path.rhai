// Streams during a patch, a response in one piece, a booking, and the error codes of faulty
// requests.
fleet(#{});

let streams = [];
for n in 0..6 {
    streams.push(ask(pick(["entry-1", "entry-2"]), #{ id: `listing-${n}`, text: `pitch ${n}`, tokens: 40 }));
}
streams[0].tokens_come(2);
let patched = answer(submit("entry-1", #{
    against_version: 1, author: "op", patch_id: "p-2",
    patch: #{ models: #{ "gate-1b": #{ context_tokens: 4096, max_tokens: 64 } } },
}));
expect(patched.status == 200 && patched.json.version == 2, "the patch against version 1 is accepted as version 2");
for stream in streams {
    let got = answer(stream);
    expect(got.whole, "the response is complete and has the expected text");
}
let whole = answer(ask("entry-1", #{ id: "whole", stream: false, tokens: 8 }));
expect(whole.whole, "a response that is not streamed is complete");
let booked = answer(book("entry-2", #{ key: "pitch-a17" }));
expect(booked.status == 201 && runs_of("pitch-a17") == 1, "the booking ran once");

let refused = answer(ask("entry-1", #{ key: "nobody" }));
expect(refused.status == 401 && refused.code == 1101, "an unknown key gets code 1101");
let refused = answer(ask("entry-1", #{ model: "none" }));
expect(refused.status == 404 && refused.code == 1004, "an unknown model gets code 1004");
let refused = answer(ask("entry-1", #{ body: "{" }));
expect(refused.status == 400 && refused.code == 1001, "a malformed body gets code 1001");
let refused = answer(book("entry-1", #{}));
expect(refused.status == 400 && refused.code == 1006, "a booking without an idempotency key gets code 1006");
expect(refused.outcome == "not_run", "the refused booking has outcome not_run");
