//! The `dragonflyfront-entry` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    dragonflyfront::cmd::run(dragonflyfront::cmd::entry::main)
}
