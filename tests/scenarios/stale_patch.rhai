// Guards against accepting a patch against a version that is no longer the latest. The refusal has
// to name the latest version.
fleet(#{});
let limit = |n| #{ customers: #{ seller: #{ requests_per_s: n } } };
let first = answer(submit("entry-1", #{ against_version: 1, author: "a", patch_id: "a-1", patch: limit.call(50) }));
expect(first.status == 200, "the first patch is accepted");
let stale = answer(submit("entry-2", #{ against_version: 1, author: "b", patch_id: "b-1", patch: limit.call(60) }));
expect(stale.status == 409 && stale.code == 4002, "the second patch against the same version gets code 4002");
expect(stale.body.contains("version 2"), "the refusal names the latest version");
let again = answer(submit("entry-2", #{ against_version: 1, author: "a", patch_id: "a-1", patch: limit.call(50) }));
expect(again.status == 200 && again.json.version == 2, "repeating the accepted patch returns its version");
