//! The `dragonflyfront-replay` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    dragonflyfront::cmd::run(dragonflyfront::cmd::replay::main)
}
