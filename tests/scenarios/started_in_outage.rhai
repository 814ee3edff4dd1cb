// An entry that starts while the store is down gets the configuration from its peers.
fleet(#{});
kill("entry-2");
store_outage(true);
restart("entry-2");
expect(eventually(10000, || operators("entry-2", "/readyz").status == 200), "it takes work");
expect(answer(ask("entry-2", #{ id: "from-peers" })).whole, "and answers");
