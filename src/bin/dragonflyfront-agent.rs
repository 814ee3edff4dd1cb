//! The `dragonflyfront-agent` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    dragonflyfront::cmd::run(dragonflyfront::cmd::agent::main)
}
