//! What the operating system says of this process.

use std::fs;

use anyhow::{Context, Result};

/// Memory of this process that is in use, in bytes.
pub(crate) fn resident_bytes() -> Result<u64> {
    let status = fs::read_to_string("/proc/self/status").context("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).context("VmRSS")?;
    let kilobytes = line.split_whitespace().nth(1).context("VmRSS")?;
    Ok(kilobytes.parse::<u64>()? * 1024)
}
