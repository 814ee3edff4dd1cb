//! What the operating system says of a process.

use std::fs;

use anyhow::{Context, Result};

/// Memory of this process that is in use.
pub(crate) fn resident_bytes() -> Result<u64> {
    resident_bytes_of(std::process::id())
}

/// Memory of a process that is in use.
pub(crate) fn resident_bytes_of(process: u32) -> Result<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).context("status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).context("VmRSS")?;
    let kilobytes = line.split_whitespace().nth(1).context("VmRSS")?;
    Ok(kilobytes.parse::<u64>()? * 1024)
}
