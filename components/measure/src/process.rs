//! Memory usage of a process, as the operating system reports it.

use std::fs;

use anyhow::{Context, Result};

/// Returns the resident memory of this process.
pub(crate) fn resident_bytes() -> Result<u64> {
    resident_bytes_of(std::process::id())
}

/// Returns the resident memory of a process.
pub(crate) fn resident_bytes_of(process_id: u32) -> Result<u64> {
    let status = fs::read_to_string(format!("/proc/{process_id}/status"))
        .context("cannot read the status of the process")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).context("no line VmRSS")?;
    let kilobytes = line.split_whitespace().nth(1).context("line VmRSS without a value")?;
    Ok(kilobytes.parse::<u64>()? * 1024)
}
