// The store applies the winner's write but its reply is lost; the operator still gets the truth.
fleet(#{});
lose_replies(1);
let patch = #{ against_version: 1, author: "a", patch_id: "a-1",
    patch: #{ customers: #{ seller: #{ requests_per_s: 77 } } } };
let first = answer(submit("entry-1", patch));
expect(first.status == 200 || first.code == 4004, "accepted, or said to be unknown");
let again = answer(submit("entry-2", patch));
expect(again.status == 200 && again.json.version == 2, "asked again with its id, it is version 2 once");
let stored = operators("entry-2", "/configuration");
expect(stored.body.version == 2, "the store holds version 2");
