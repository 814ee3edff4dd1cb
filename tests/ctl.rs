//! Output, exit codes and help of `dragonflyctl`, as scripts rely on them.

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

/// Runs `dragonflyctl` against an operators' address.
fn run_ctl(operators: &str, command_line: &str, input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_dragonflyctl"))
        .args(["--operators", operators])
        .args(command_line.split(' '))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starting dragonflyctl");
    child.stdin.take().expect("stdin").write_all(input.as_bytes()).expect("writing stdin");
    child.wait_with_output().expect("output")
}

/// Runs `dragonflyctl` against an entry. Returns the exit code and the output, parsed as JSON where
/// it is JSON, and as text.
async fn call_ctl(entry: &EntryHandle, command_line: &str, input: &Value) -> (i32, Value, String) {
    let (operators, command_line) =
        (entry.operators_address().to_string(), command_line.to_owned());
    let input = input.to_string();
    let output = tokio::task::spawn_blocking(move || run_ctl(&operators, &command_line, &input))
        .await
        .expect("dragonflyctl task");
    let bytes = if output.status.success() { output.stdout } else { output.stderr };
    let text = String::from_utf8(bytes).expect("UTF-8 output");
    let value = serde_json::from_str(&text).unwrap_or_default();
    (output.status.code().expect("exit code"), value, text)
}

#[test]
fn every_command_has_help_and_usage_and_connection_errors_have_exit_codes() {
    for command in COMMANDS {
        let output = run_ctl("127.0.0.1:1", &format!("{command} --help"), "");
        let text = String::from_utf8(output.stdout).unwrap();
        assert!(output.status.success(), "{command}");
        assert!(text.contains(&format!("example: dragonflyctl {command}")), "{text}");
    }
    for invalid_command in
        ["nothing", "config nothing", "audit --limit x", "hosts more", "drain fast"]
    {
        assert_eq!(
            run_ctl("127.0.0.1:1", invalid_command, "").status.code(),
            Some(2),
            "{invalid_command}"
        );
    }
    assert_eq!(
        run_ctl("127.0.0.1:1", "hosts", "").status.code(),
        Some(7),
        "no process listens on the port"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn config_commands_have_exit_codes_and_patches_appear_in_history_and_audit() {
    let platform = Platform::start();
    let entry = platform.spawn_entry("entry-1", vec![]).await;
    platform.submit_patch(&entry, 0, (LOOPBACK, 1).into()).await;

    let rate_patch = json!({ "customers": { "seller": { "requests_per_s": 7 } } });
    let patch_command = "--json config patch - --author bruno --against";
    assert_eq!(call_ctl(&entry, "config check -", &rate_patch).await.0, 0);
    let (code, accepted, _) = call_ctl(&entry, &format!("{patch_command} 1"), &rate_patch).await;
    assert_eq!((code, &accepted["version"]), (0, &json!(2)));
    let (code, refused, _) = call_ctl(&entry, &format!("{patch_command} 1"), &rate_patch).await;
    assert_eq!((code, &refused["name"]), (4, &json!("version_conflict")));
    assert!(refused["message"].as_str().unwrap().contains("version 2 is in force"));
    let invalid_patch = json!({ "customers": { "seller": { "requests_per_s": 0 } } });
    assert_eq!(call_ctl(&entry, &format!("{patch_command} 2"), &invalid_patch).await.0, 5);
    assert_eq!(call_ctl(&entry, "config check -", &invalid_patch).await.0, 5);

    let (_, configuration, _) =
        call_ctl(&entry, "--json config get --pointer /customers/seller", &rate_patch).await;
    assert_eq!(configuration["document"]["requests_per_s"], 7);
    let (_, history, _) = call_ctl(&entry, "--json config history", &rate_patch).await;
    let authors: Vec<&Value> = (0..2).map(|row| &history[row]["author"]).collect();
    assert_eq!(authors, ["bruno", "anna"]);
    let (_, _, audit) = call_ctl(&entry, "audit", &rate_patch).await;
    let lines: Vec<&str> = audit.lines().collect();
    assert_eq!(lines.len(), 5, "{audit}");
    assert!(lines[1].contains("refused: patch_rejected"), "{audit}");
    assert!(lines[2].contains("bruno") && lines[2].contains("version_conflict"), "{audit}");
    platform.set_outage(true);
    assert_eq!(call_ctl(&entry, &format!("{patch_command} 2"), &rate_patch).await.0, 7);
    let metrics = platform.read_operators_page(&entry, "/metrics").await;
    assert!(metrics.contains("dragonflyfront_configuration_version 2\n"), "{metrics}");
    assert!(metrics.contains("dragonflyfront_audit_records_waiting 1\n"), "{metrics}");
}

#[tokio::test(flavor = "multi_thread")]
async fn drained_host_gets_no_requests_and_explain_shows_placements() {
    let platform = Platform::start();
    let entry = platform.spawn_entry("entry-1", vec![]).await;
    let agent = platform.spawn_agent(vec![]).await;
    platform.submit_patch(&entry, 0, agent.address()).await;
    let (status, request_id) = platform.look_up(&entry).await;
    assert!((200..300).contains(&status), "{status}");

    assert_eq!(call_ctl(&entry, "drain --host fast --author anna", &json!(null)).await.0, 0);
    assert_eq!(call_ctl(&entry, "drain unknown --author anna", &json!(null)).await.0, 6);
    let (_, upstreams, _) = call_ctl(&entry, "--json upstreams", &json!(null)).await;
    assert_eq!(upstreams[0]["draining"], true);
    assert_eq!(platform.look_up(&entry).await.0, 503);
    assert_eq!(call_ctl(&entry, "drain fast --author anna --undo", &json!(null)).await.0, 0);
    assert!(platform.look_up(&entry).await.0 < 300);

    let (code, decisions, _) =
        call_ctl(&entry, &format!("--json explain {request_id}"), &json!(null)).await;
    assert_eq!((code, &decisions[0]["chosen"]), (0, &json!("fast")));
    assert_eq!(decisions[0]["version"], 1);
    assert_eq!(call_ctl(&entry, "explain no-such-request", &json!(null)).await.0, 6);
    let (_, hosts, _) = call_ctl(&entry, "--json hosts", &json!(null)).await;
    assert_eq!(
        hosts,
        json!([{ "host": "fast", "state": "live", "zones": ["riga-a"],
        "upstreams": ["fast"] }])
    );
}
