// The store goes down just after a patch was accepted. Guards against entries on which the patch
// does not become active within 7 s.
fleet(#{});
let patch = #{ against_version: 1, author: "op", patch_id: "p-2",
    patch: #{ customers: #{ late: #{ region: "riga", requests_per_s: 10, services: [], models: #{ "listing-7b": #{ tier: 2 } },
        key_sha256: ["c6f7ed7fab5a1a4e9ad24c9ee5b5d6c9d42efe9d2c6b79a7f2b9a2c2b4f4f1aa"] } } } };
expect(answer(submit("entry-1", patch)).status == 200, "the patch is accepted");
let limit = #{ against_version: 2, author: "op", patch_id: "p-3",
    patch: #{ customers: #{ seller: #{ models: #{ "listing-7b": () } } } } };
expect(answer(submit("entry-1", limit)).status == 200, "the patch that removes the model from the seller is accepted");
store_outage(true);
for entry in ["entry-1", "entry-2"] {
    expect(eventually(7000, || answer(ask(entry, #{ tokens: 1 })).code == 1004), `the patch is active at ${entry}`);
}
