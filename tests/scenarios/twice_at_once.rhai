// Two random faults at a time during bookings and streams, with 3 entries and 7 agents in 3
// availability zones. Guards against bookings that run twice or are reported wrongly, and against
// responses that are broken, mixed up or dispatched twice. The seed determines the faults.

fn entries() { ["entry-1", "entry-2", "entry-3"] }
fn engines() { ["m-1", "m-2", "m-3", "m-4"] }
fn upstreams() { ["m-1", "m-2", "m-3", "m-4", "desk-1", "desk-2", "desk-3"] }
fn fault_kinds() {
    ["agent dies", "entry dies", "burst", "engine slow", "engine stuck", "store down", "store slow",
     "reply lost", "agent paused", "entry paused", "operators race", "agent link silent",
     "store link silent"]
}

// A random process out of `names` that was neither killed nor suspended in this round.
fn pick_running(names, round_faults) {
    pick(names.filter(|name| !(name in round_faults.down) && !(name in round_faults.paused)))
}

fn send_stream(work, prefix, tokens) {
    let id = `${prefix}-${work.streams.len()}`;
    work.streams.push(ask(pick(entries()), #{ id: id, text: `text of ${id}`, tokens: tokens, deadline_ms: 10000 }));
    work
}

fn send_booking(work, prefix) {
    let key = `${prefix}-${work.bookings.len()}`;
    work.bookings.push(#{ key: key, attempts: [book(pick(entries()), #{ key: key, deadline_ms: 10000 })] });
    work
}

fn send_traffic(work, prefix) {
    for n in 0..4 {
        work = send_stream(work, prefix, 40);
        work = send_booking(work, prefix);
    }
    work
}

fn kill_process(round_faults, name) { kill(name); round_faults.down.push(name); round_faults }
fn pause_process(round_faults, name) { freeze(name); round_faults.paused.push(name); round_faults }
fn apply_store_faults(round_faults) { faults("store", round_faults.store); round_faults }

fn inject_fault(kind, round_faults) {
    switch kind {
        "agent dies" => { round_faults = kill_process(round_faults, pick_running(upstreams().map(|name| `agent ${name}`), round_faults)); }
        "entry dies" => { round_faults = kill_process(round_faults, pick_running(entries(), round_faults)); }
        "agent paused" => { round_faults = pause_process(round_faults, pick_running(upstreams().map(|name| `agent ${name}`), round_faults)); }
        "entry paused" => { round_faults = pause_process(round_faults, pick_running(entries(), round_faults)); }
        "engine slow" => { faults(`engine ${pick(engines())}`, #{ slowdown: 10 }); }
        "engine stuck" => { faults(`engine ${pick(engines())}`, #{ frozen: true }); }
        "store down" => { round_faults.store.outage = true; round_faults = apply_store_faults(round_faults); }
        "store slow" => { round_faults.store.delay_ms = 1200; round_faults = apply_store_faults(round_faults); }
        "reply lost" => { round_faults.store.lost_replies = 3; round_faults = apply_store_faults(round_faults); }
        "agent link silent" => { for name in upstreams() { if draw(2) == 0 { silence(`to ${name}`); } } }
        "store link silent" => { silence(`${pick(entries())} to store`); }
        "operators race" => {
            for author in ["a", "b"] {
                round_faults.patches.push(submit(pick(entries()), #{ against_version: round_faults.version, author: author,
                    patch_id: `${author}-${round_faults.version}-${round_faults.patches.len()}`,
                    patch: #{ customers: #{ seller: #{ requests_per_s: 1000 + draw(100) } } } }));
            }
        }
        "burst" => { round_faults.burst = true; }
    }
    round_faults
}

fn end_faults(round_faults) {
    for name in round_faults.paused { if !(name in round_faults.down) { thaw(name); } }
    for name in round_faults.down { restart(name); }
    for name in engines() { faults(`engine ${name}`, #{}); }
    faults("store", #{});
}

fn check_stream(got, starts, totals) {
    let started = starts[got.id] ?? 0;
    let silent_end = got.status == 200 && got.ended && !got.whole && got.code == 0;
    totals.streams += 1;
    if got.whole { totals.whole += 1; }
    if got.crossed || silent_end { totals.broken += 1; say(`BROKEN ${got}`); }
    if got.outcome == "not_run" && started > 0 { totals.false_not_run += 1; say(`FALSE not_run ${got}`); }
    if started > 1 { totals.dispatched_twice += 1; say(`DISPATCHED ${started} times: ${got.id}`); }
    totals
}

fn check_booking(key, answers, runs, totals) {
    let ran = runs[key] ?? 0;
    let booked = answers.filter(|got| got.status == 201).len();
    let not_run = answers.filter(|got| got.outcome == "not_run").len();
    totals.tried += 1;
    totals.attempts += answers.len();
    if booked > 0 { totals.booked += 1; }
    if ran > 0 { totals.ran += 1; }
    if ran > 1 { totals.ran_twice += 1; say(`RAN ${ran} times: ${key}`); }
    if not_run == answers.len() && ran > 0 { totals.false_not_run += 1; say(`FALSE not_run: ${key}`); }
    if booked > 0 && ran == 0 { totals.false_booked += 1; say(`FALSE 201: ${key}`); }
    totals
}

fleet(#{
    regions: #{ riga: ["riga-a", "riga-b"], kurzeme: ["kurzeme-a"] },
    entries: #{ "entry-1": "riga-a", "entry-2": "riga-b", "entry-3": "kurzeme-a" },
    engines: #{ "m-1": #{ zone: "riga-a" }, "m-2": #{ zone: "riga-b", decode_tokens_per_s: 50 },
        "m-3": #{ zone: "kurzeme-a", decode_tokens_per_s: 40 }, "m-4": #{ zone: "riga-b", slots: 2 } },
    services: #{ "desk-1": #{ zone: "riga-a", delay_ms: 300 }, "desk-2": #{ zone: "riga-b", delay_ms: 300 },
        "desk-3": #{ zone: "kurzeme-a", delay_ms: 300 } },
});

let totals = #{ streams: 0, whole: 0, broken: 0, dispatched_twice: 0, tried: 0, attempts: 0, booked: 0, ran: 0,
    ran_twice: 0, false_booked: 0, false_not_run: 0, both_won: 0 };
let fault_counts = #{};
let booked = [];

for round in 1..=rounds(6) {
    // Two random faults, which may be of the same kind.
    let pair = [pick(fault_kinds()), pick(fault_kinds())];
    say(`ROUND ${round}: ${pair[0]} + ${pair[1]}`);
    let work = #{ streams: [], bookings: [] };
    let current = operators("entry-1", "/configuration");
    let round_faults = #{ down: [], paused: [], store: #{}, patches: [], burst: false, version: current.body.version ?? 1 };
    work = send_traffic(work, `r${round}`);
    wait_ms(draw(300));
    for kind in pair {
        round_faults = inject_fault(kind, round_faults);
        fault_counts[kind] = (fault_counts[kind] ?? 0) + 1;
        if round_faults.burst { for n in 0..30 { work = send_stream(work, `r${round}`, 10); } round_faults.burst = false; }
    }
    work = send_traffic(work, `r${round}`);
    wait_ms(300);
    // Half of the callers repeat their booking at a random entry with the same key.
    for booking in work.bookings {
        if draw(2) == 0 { booking.attempts.push(book(pick(entries()), #{ key: booking.key, deadline_ms: 10000 })); }
        booked.push(booking);
    }
    wait_ms(2000 + draw(1000));
    end_faults(round_faults);

    let answers = work.streams.map(|stream| answer(stream));
    // Waits for the bookings too; their responses are checked after the last round.
    let results = booked.map(|booking| booking.attempts.map(|pending| answer(pending)));
    let starts = all_starts();
    for got in answers { totals = check_stream(got, starts, totals); }
    let wins = round_faults.patches.map(|pending| answer(pending)).filter(|got| got.status == 200).map(|got| got.json.version);
    if wins.len() == 2 && wins[0] == wins[1] { totals.both_won += 1; say("BOTH operators were accepted as one version"); }
}

// A delayed booking may still run after its round, so bookings are checked after the last round.
wait_ms(2000);
let runs = all_runs();
for booking in booked {
    totals = check_booking(booking.key, booking.attempts.map(|pending| answer(pending)), runs, totals);
}
say(`faults ${fault_counts}`);
say(`figures ${totals}`);
expect(totals.ran_twice == 0, "no booking ran twice");
expect(totals.false_not_run == 0, "no request reported as not_run ran");
expect(totals.false_booked == 0, "no booking with status 201 did not run");
expect(totals.broken == 0, "no response was truncated without an error or mixed up");
expect(totals.dispatched_twice == 0, "no request was dispatched twice");
expect(totals.both_won == 0, "no version was accepted from two operators");
