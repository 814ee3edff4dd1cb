// A patch against a version that is no longer in force is refused, with the current one named.
fleet(#{});
let limit = |n| #{ customers: #{ seller: #{ requests_per_s: n } } };
let first = answer(submit("entry-1", #{ against_version: 1, author: "a", patch_id: "a-1", patch: limit.call(50) }));
expect(first.status == 200, "the first patch is accepted");
let stale = answer(submit("entry-2", #{ against_version: 1, author: "b", patch_id: "b-1", patch: limit.call(60) }));
expect(stale.status == 409 && stale.code == 4002, "the second against the same version is 4002");
expect(stale.body.contains("version 2"), "the current version is named");
let again = answer(submit("entry-2", #{ against_version: 1, author: "a", patch_id: "a-1", patch: limit.call(50) }));
expect(again.status == 200 && again.json.version == 2, "the winner who asks again gets his version");
