// Guards against an entry that cannot start during a store outage, although its peers have the
// configuration.
fleet(#{});
kill("entry-2");
store_outage(true);
restart("entry-2");
expect(eventually(10000, || operators("entry-2", "/readyz").status == 200), "entry-2 is ready");
expect(answer(ask("entry-2", #{ id: "from-peers" })).whole, "entry-2 serves a request");
