//! Settings files: JSON, unknown keys refused, each fault named by file and path of the key.

mod fault;
mod table;

use std::fs;
use std::path::Path;

use anyhow::{Context, Result, bail};
use schemars::{JsonSchema, schema_for};
use serde::de::DeserializeOwned;

pub use table::render_table;

/// Settings that can check themselves after they were read.
pub trait Checked {
    /// Lists each fault as the path of the key, what was given and what is allowed.
    fn faults(&self) -> Vec<String>;
}

/// Reads and checks a settings file.
pub fn load<T: DeserializeOwned + Checked>(path: &Path) -> Result<T> {
    let text =
        fs::read_to_string(path).with_context(|| format!("{}: cannot be read", path.display()))?;
    parse(&path.display().to_string(), &text)
}

/// Parses and checks settings; `source` names them in errors.
pub fn parse<T: DeserializeOwned + Checked>(source: &str, text: &str) -> Result<T> {
    let deserializer = &mut serde_json::Deserializer::from_str(text);
    let settings: T = match serde_path_to_error::deserialize(deserializer) {
        Ok(settings) => settings,
        Err(error) => bail!("{}", fault::explain(source, text, &error)),
    };
    let faults = settings.faults();
    if !faults.is_empty() {
        let lines: Vec<String> = faults.iter().map(|fault| format!("{source}: {fault}")).collect();
        bail!("{}", lines.join("\n"));
    }
    Ok(settings)
}

/// The JSON Schema of a settings type, as pretty text.
pub fn describe<T: JsonSchema>() -> String {
    serde_json::to_string_pretty(&schema_for!(T)).unwrap_or_default()
}

/// Adds a fault when a number is outside its range.
pub fn check_range(
    faults: &mut Vec<String>,
    key: &str,
    given: u64,
    allowed: std::ops::RangeInclusive<u64>,
) {
    if !allowed.contains(&given) {
        faults.push(format!(
            "{key}: given {given}, allowed {} to {}",
            allowed.start(),
            allowed.end()
        ));
    }
}

/// Log levels that settings may name.
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// Adds a fault when a log level is unknown.
pub fn check_log_level(faults: &mut Vec<String>, given: &str) {
    if !LOG_LEVELS.contains(&given) {
        faults.push(format!("log_level: given {given:?}, allowed {}", LOG_LEVELS.join(", ")));
    }
}
