// The agent dies mid-stream: the caller gets a truthful end, and nothing is dispatched twice.
fleet(#{});
let stream = ask("entry-1", #{ id: "cut-short", tokens: 200 });
stream.tokens_come(3);
let victim = if starts("fast").len() > 0 { "fast" } else { "slow" };
kill(`agent ${victim}`);
let got = answer(stream);
expect(!got.crossed, "what came is the start of the own answer");
expect(!got.whole, "the answer is not whole");
expect(got.code == 3002, "the end of the stream says that contact was lost");
expect(got.outcome != "not_run", "and does not say not_run");
expect(starts_of("cut-short") == 1, "it was dispatched once");
