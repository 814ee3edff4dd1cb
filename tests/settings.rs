//! Settings files: errors name the file, the key, the value given and the values allowed. The
//! tables in the documentation match the types.

use std::path::Path;
use std::process::Command;

use settings::render_table;

const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/settings");
const SETTINGS_PAGE: &str = include_str!("../docs/SETTINGS.md");

/// Runs a program with `--check-settings` on a fixture. Returns whether the check passed, and the
/// output.
fn check_settings(program: &str, fixture: &str) -> (bool, String) {
    let path = Path::new(FIXTURES).join(fixture);
    let output = Command::new(program)
        .arg("--settings")
        .arg(path)
        .arg("--check-settings")
        .output()
        .expect("running the program");
    let output_bytes = if output.status.success() { output.stdout } else { output.stderr };
    (output.status.success(), String::from_utf8(output_bytes).expect("UTF-8 output"))
}

#[test]
fn valid_settings_pass() {
    let entry = env!("CARGO_BIN_EXE_dragonflyfront-entry");
    let agent = env!("CARGO_BIN_EXE_dragonflyfront-agent");
    for (program, fixture) in [(entry, "entry-good.json"), (agent, "agent-good.json")] {
        let (passed, text) = check_settings(program, fixture);
        assert!(passed, "{text}");
    }
}

#[test]
fn each_error_names_the_file_the_key_the_given_and_the_allowed_values() {
    let entry = env!("CARGO_BIN_EXE_dragonflyfront-entry");
    let agent = env!("CARGO_BIN_EXE_dragonflyfront-agent");
    let cases = [
        (
            entry,
            "entry-address.json",
            "platform.http.store: given \"riga:1\", allowed an IP address",
        ),
        (entry, "entry-range.json", "workers: given 0, allowed 1 to 256"),
        (entry, "entry-callers.json", "callers.connections: given 0, allowed 1 to 1048576"),
        (entry, "entry-level.json", "log_level: given \"loud\", allowed off, error, warn"),
        (entry, "entry-unknown.json", "unknown field `wokers`, expected one of `listen`"),
        (entry, "entry-missing.json", "missing field `zone`"),
        (
            entry,
            "entry-type.json",
            "workers: given \"two\", invalid type: string \"two\", expected u32",
        ),
        (entry, "entry-peer.json", "peers.listed[1]: given \"x\", allowed an IP address"),
        (entry, "entry-broken.json", "at line 2"),
        (entry, "no-such-file.json", "cannot be read"),
        (agent, "agent-range.json", "slots: given 0, allowed 1 to 4096"),
    ];
    for (program, fixture, expected) in cases {
        let (passed, text) = check_settings(program, fixture);
        assert!(!passed, "{fixture} passed");
        assert!(text.contains(fixture) && text.contains(expected), "{fixture}: {text}");
    }
}

#[test]
fn every_program_prints_its_schema() {
    for program in
        [env!("CARGO_BIN_EXE_dragonflyfront-entry"), env!("CARGO_BIN_EXE_dragonflyfront-agent")]
    {
        let output =
            Command::new(program).arg("--settings-schema").output().expect("running the program");
        let schema: serde_json::Value =
            serde_json::from_slice(&output.stdout).expect("schema in JSON");
        assert_eq!(schema["additionalProperties"], false);
        assert!(schema["properties"]["listen"]["description"].is_string());
    }
}

#[test]
fn settings_page_lists_every_key() {
    let tables = [
        ("entry", render_table::<entry::Settings>()),
        ("agent", render_table::<agent::Settings>()),
        ("configuration", render_table::<configuration::Document>()),
    ];
    for (name, table) in tables {
        assert!(
            SETTINGS_PAGE.contains(&table),
            "docs/SETTINGS.md, {name}: the table has to be\n{table}"
        );
    }
}
