//! The `dragonflyfront-gateway` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    dragonflyfront::cmd::run(dragonflyfront::cmd::gateway::main)
}
