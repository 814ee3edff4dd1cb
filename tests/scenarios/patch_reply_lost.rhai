// The store writes an accepted patch, but its reply is lost. Guards against reporting the patch as
// refused and against applying it twice when it is repeated.
fleet(#{});
lose_replies(1);
let patch = #{ against_version: 1, author: "a", patch_id: "a-1",
    patch: #{ customers: #{ seller: #{ requests_per_s: 77 } } } };
let first = answer(submit("entry-1", patch));
expect(first.status == 200 || first.code == 4004, "the patch is accepted, or its outcome is reported as unknown");
let again = answer(submit("entry-2", patch));
expect(again.status == 200 && again.json.version == 2, "the patch repeated with its id is version 2");
let stored = operators("entry-2", "/configuration");
expect(stored.body.version == 2, "the current configuration is version 2");
