//! Reads and validates settings files in JSON. Unknown keys are rejected, and every error names the
//! file and the path of the key.

mod parse_error;
mod table;

use std::fs;
use std::path::Path;

use anyhow::{Context, Result, bail};
use schemars::{JsonSchema, schema_for};
use serde::de::DeserializeOwned;

pub use table::render_table;

/// Validation of settings beyond what deserialization checks.
pub trait Validate {
    /// Lists every invalid value with the path of its key, the given value and the allowed values.
    fn validation_errors(&self) -> Vec<String>;
}

/// Reads, parses and validates a settings file.
pub fn load<T: DeserializeOwned + Validate>(path: &Path) -> Result<T> {
    let text =
        fs::read_to_string(path).with_context(|| format!("{}: cannot be read", path.display()))?;
    parse(&path.display().to_string(), &text)
}

/// Parses and validates settings; error messages refer to them as `source`.
pub fn parse<T: DeserializeOwned + Validate>(source: &str, text: &str) -> Result<T> {
    let deserializer = &mut serde_json::Deserializer::from_str(text);
    let settings: T = match serde_path_to_error::deserialize(deserializer) {
        Ok(settings) => settings,
        Err(error) => bail!("{}", parse_error::format_parse_error(source, text, &error)),
    };
    let errors = settings.validation_errors();
    if !errors.is_empty() {
        let lines: Vec<String> = errors.iter().map(|error| format!("{source}: {error}")).collect();
        bail!("{}", lines.join("\n"));
    }
    Ok(settings)
}

/// Renders the JSON Schema of a settings type as indented text.
pub fn render_schema<T: JsonSchema>() -> String {
    serde_json::to_string_pretty(&schema_for!(T)).unwrap_or_default()
}

/// Adds an error if a number is outside its allowed range.
pub fn check_range(
    errors: &mut Vec<String>,
    key: &str,
    given: u64,
    allowed: std::ops::RangeInclusive<u64>,
) {
    if !allowed.contains(&given) {
        errors.push(format!(
            "{key}: given {given}, allowed {} to {}",
            allowed.start(),
            allowed.end()
        ));
    }
}

/// Log levels that settings accept.
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// Adds an error if a log level is unknown.
pub fn check_log_level(errors: &mut Vec<String>, given: &str) {
    if !LOG_LEVELS.contains(&given) {
        errors.push(format!("log_level: given {given:?}, allowed {}", LOG_LEVELS.join(", ")));
    }
}
