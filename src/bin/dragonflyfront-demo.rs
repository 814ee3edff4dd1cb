//! The `dragonflyfront-demo` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    dragonflyfront::cmd::run(dragonflyfront::cmd::demo::main)
}
