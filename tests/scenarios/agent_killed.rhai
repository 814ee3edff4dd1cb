// The agent is killed in the middle of a stream. Guards against a stream that ends as if it were
// complete, against the outcome `not_run`, and against a second dispatch.
fleet(#{});
let stream = ask("entry-1", #{ id: "cut-short", tokens: 200 });
stream.tokens_come(3);
let victim = if starts("fast").len() > 0 { "fast" } else { "slow" };
kill(`agent ${victim}`);
let got = answer(stream);
expect(!got.crossed, "the text received is the start of the expected text");
expect(!got.whole, "the response is not complete");
expect(got.code == 3002, "the stream ends with code 3002, upstream lost");
expect(got.outcome != "not_run", "the outcome is not not_run");
expect(starts_of("cut-short") == 1, "the request was dispatched once");
