//! `dragonflyctl` as a script uses it: output, exit codes, help.

mod support;

use std::io::Write;
use std::process::{Command, Output, Stdio};

use entry::EntryHandle;
use serde_json::{Value, json};
use support::{LOOPBACK, Platform};

const COMMANDS: [&str; 9] = [
    "config get",
    "config patch",
    "config check",
    "config history",
    "audit",
    "hosts",
    "upstreams",
    "drain",
    "explain",
];

fn run(operators: &str, line: &str, input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_dragonflyctl"))
        .args(["--operators", operators])
        .args(line.split(' '))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("answered");
    child.stdin.take().expect("answered").write_all(input.as_bytes()).expect("answered");
    child.wait_with_output().expect("answered")
}

async fn ctl(entry: &EntryHandle, line: &str, input: &Value) -> (i32, Value, String) {
    let (operators, line) = (entry.operators_address().to_string(), line.to_owned());
    let input = input.to_string();
    let output = tokio::task::spawn_blocking(move || run(&operators, &line, &input))
        .await
        .expect("answered");
    let bytes = if output.status.success() { output.stdout } else { output.stderr };
    let text = String::from_utf8(bytes).expect("answered");
    let value = serde_json::from_str(&text).unwrap_or_default();
    (output.status.code().expect("answered"), value, text)
}

#[test]
fn every_command_has_help_with_an_example_and_faults_of_usage_have_their_code() {
    for command in COMMANDS {
        let output = run("127.0.0.1:1", &format!("{command} --help"), "");
        let text = String::from_utf8(output.stdout).unwrap();
        assert!(output.status.success(), "{command}");
        assert!(text.contains(&format!("example: dragonflyctl {command}")), "{text}");
    }
    for wrong in ["nothing", "config nothing", "audit --limit x", "hosts more", "drain fast"] {
        assert_eq!(run("127.0.0.1:1", wrong, "").status.code(), Some(2), "{wrong}");
    }
    assert_eq!(run("127.0.0.1:1", "hosts", "").status.code(), Some(7), "nobody listens there");
}

#[tokio::test(flavor = "multi_thread")]
async fn patches_have_exit_codes_and_leave_their_traces() {
    let platform = Platform::start();
    let entry = platform.entry("entry-1", vec![]).await;
    platform.patch(&entry, 0, (LOOPBACK, 1).into()).await;

    let rate = json!({ "customers": { "seller": { "requests_per_s": 7 } } });
    let patch = "--json config patch - --author bruno --against";
    assert_eq!(ctl(&entry, "config check -", &rate).await.0, 0);
    let (code, accepted, _) = ctl(&entry, &format!("{patch} 1"), &rate).await;
    assert_eq!((code, &accepted["version"]), (0, &json!(2)));
    let (code, refused, _) = ctl(&entry, &format!("{patch} 1"), &rate).await;
    assert_eq!((code, &refused["name"]), (4, &json!("version_conflict")));
    assert!(refused["message"].as_str().unwrap().contains("version 2 is in force"));
    let zero = json!({ "customers": { "seller": { "requests_per_s": 0 } } });
    assert_eq!(ctl(&entry, &format!("{patch} 2"), &zero).await.0, 5);
    assert_eq!(ctl(&entry, "config check -", &zero).await.0, 5);

    let (_, got, _) = ctl(&entry, "--json config get --pointer /customers/seller", &rate).await;
    assert_eq!(got["document"]["requests_per_s"], 7);
    let (_, history, _) = ctl(&entry, "--json config history", &rate).await;
    let authors: Vec<&Value> = (0..2).map(|row| &history[row]["author"]).collect();
    assert_eq!(authors, ["bruno", "anna"]);
    let (_, _, audit) = ctl(&entry, "audit", &rate).await;
    let lines: Vec<&str> = audit.lines().collect();
    assert_eq!(lines.len(), 5, "{audit}");
    assert!(lines[1].contains("refused: patch_rejected"), "{audit}");
    assert!(lines[2].contains("bruno") && lines[2].contains("version_conflict"), "{audit}");
    platform.set_outage(true);
    assert_eq!(ctl(&entry, &format!("{patch} 2"), &rate).await.0, 7);
    let metrics = platform.read(&entry, "/metrics").await;
    assert!(metrics.contains("dragonflyfront_configuration_version 2\n"), "{metrics}");
    assert!(metrics.contains("dragonflyfront_audit_records_waiting 1\n"), "{metrics}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_upstream_gets_no_new_work_and_explain_says_so() {
    let platform = Platform::start();
    let entry = platform.entry("entry-1", vec![]).await;
    let agent = platform.agent(vec![]).await;
    platform.patch(&entry, 0, agent.address()).await;
    let (status, served) = platform.look_up(&entry).await;
    assert!((200..300).contains(&status), "{status}");

    assert_eq!(ctl(&entry, "drain --host fast --author anna", &json!(null)).await.0, 0);
    assert_eq!(ctl(&entry, "drain unknown --author anna", &json!(null)).await.0, 6);
    let (_, rows, _) = ctl(&entry, "--json upstreams", &json!(null)).await;
    assert_eq!(rows[0]["draining"], true);
    assert_eq!(platform.look_up(&entry).await.0, 503);
    assert_eq!(ctl(&entry, "drain fast --author anna --undo", &json!(null)).await.0, 0);
    assert!(platform.look_up(&entry).await.0 < 300);

    let (code, decisions, _) = ctl(&entry, &format!("--json explain {served}"), &json!(null)).await;
    assert_eq!((code, &decisions[0]["chosen"]), (0, &json!("fast")));
    assert_eq!(decisions[0]["version"], 1);
    assert_eq!(ctl(&entry, "explain no-such-request", &json!(null)).await.0, 6);
    let (_, hosts, _) = ctl(&entry, "--json hosts", &json!(null)).await;
    assert_eq!(
        hosts,
        json!([{ "host": "fast", "state": "live", "zones": ["riga-a"],
        "upstreams": ["fast"] }])
    );
}
