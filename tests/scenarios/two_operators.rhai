// Two operators submit patches against the same version at the same time. Guards against accepting
// both: one is accepted, the other gets the version conflict.
fleet(#{});
for round in 1..=10 {
    let patch = |author| #{ against_version: round, author: author, patch_id: `${author}-${round}`,
        patch: #{ customers: #{ seller: #{ requests_per_s: 100 + round } } } };
    let a = submit("entry-1", patch.call("a"));
    let b = submit("entry-2", patch.call("b"));
    let a = answer(a);
    let b = answer(b);
    let won = [a, b].filter(|got| got.status == 200);
    let lost = [a, b].filter(|got| got.status == 409 && got.code == 4002);
    expect(won.len() == 1 && lost.len() == 1, `round ${round}: one patch is accepted, the other gets code 4002`);
    expect(won[0].json.version == round + 1, "the accepted patch is the next version");
}
