//! The `dragonflyctl` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    dragonflyfront::cmd::ctl::run(pico_args::Arguments::from_env())
}
