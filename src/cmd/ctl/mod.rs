//! `dragonflyctl`: operators' command line, over an entry process's operators' HTTP.

mod audit;
mod config;
mod connection;
mod drain;
mod explain;
mod failure;
mod hosts;
mod table;
mod upstreams;

use std::net::SocketAddr;
use std::process::ExitCode;

use anyhow::Context as _;
use pico_args::Arguments;
use serde_json::Value;

use connection::Connection;
use failure::Failure;
use table::Column;

const HELP: &str = "\
dragonflyctl: operators' command line

usage: dragonflyctl [--operators IP:PORT] [--json] COMMAND

commands:
  config get       show the configuration
  config patch     change it, against a stated version
  config check     say whether a patch would be accepted
  config history   list accepted patches
  audit            list submitted patches, refused ones too
  hosts            list the platform's hosts
  upstreams        list upstreams and their load
  drain            give an upstream or a host no new work
  explain          say why a request went to its upstream

--operators is the operators' address of any entry process; without it, the environment variable
DRAGONFLYFRONT_OPERATORS. COMMAND --help has an example. Exit codes: 0 done, 1 internal, 2 usage,
3 refused, 4 version conflict, 5 patch rejected, 6 not found, 7 not reached or not available,
8 outcome unknown.

example: dragonflyctl --operators 10.0.0.5:8081 config get";

const OPERATORS_VARIABLE: &str = "DRAGONFLYFRONT_OPERATORS";

/// What a command hands back.
pub(crate) struct Answer {
    value: Value,
    text: String,
}

/// What every command gets.
pub(crate) struct Context {
    arguments: Arguments,
    operators: Option<SocketAddr>,
}

type Outcome = Result<Answer, Failure>;

/// Runs the program and turns its result into an exit code.
pub fn run(mut arguments: Arguments) -> ExitCode {
    let json = arguments.contains("--json");
    match run_command(arguments) {
        Ok(answer) if json => println!("{}", answer.value),
        Ok(answer) => println!("{}", answer.text),
        Err(failure) => {
            let shown = if json { failure.to_json().to_string() } else { failure.to_string() };
            eprintln!("{shown}");
            return failure.exit_code();
        }
    }
    ExitCode::SUCCESS
}

fn run_command(mut arguments: Arguments) -> Outcome {
    let operators = arguments.opt_value_from_str("--operators").map_err(Failure::usage)?;
    let command = arguments.subcommand().map_err(Failure::usage)?.unwrap_or_default();
    let context = Context { arguments, operators };
    match command.as_str() {
        "config" => config::run(context),
        "audit" => audit::run(context),
        "hosts" => hosts::run(context),
        "upstreams" => upstreams::run(context),
        "drain" => drain::run(context),
        "explain" => explain::run(context),
        "" => help(context, HELP),
        other => Err(Failure::usage(format!("unknown command {other:?}; see --help"))),
    }
}

/// The help text where it was asked for, else a fault of usage.
fn help(mut context: Context, text: &str) -> Outcome {
    if context.wants_help() {
        return Ok(Answer::text(text));
    }
    Err(Failure::usage("no command given; see --help"))
}

impl Answer {
    fn new(value: Value, text: String) -> Answer {
        Answer { value, text }
    }

    fn text(text: &str) -> Answer {
        Answer { value: Value::String(text.to_owned()), text: text.to_owned() }
    }

    fn table(value: Value, columns: &[Column]) -> Answer {
        let text = table::render(&value, columns);
        Answer { value, text }
    }
}

impl Context {
    fn wants_help(&mut self) -> bool {
        self.arguments.contains(["-h", "--help"])
    }

    /// The connection, once every argument has been taken.
    fn connect(self) -> Result<Connection, Failure> {
        let unknown = self.arguments.finish();
        if !unknown.is_empty() {
            return Err(Failure::usage(format!("unknown arguments: {unknown:?}; see --help")));
        }
        let address = match self.operators {
            Some(address) => address,
            None => read_variable().map_err(Failure::usage)?,
        };
        Connection::open(address)
    }
}

fn read_variable() -> anyhow::Result<SocketAddr> {
    let given = std::env::var(OPERATORS_VARIABLE)
        .with_context(|| format!("--operators and {OPERATORS_VARIABLE} are missing"))?;
    given.parse().with_context(|| format!("{OPERATORS_VARIABLE}: given {given:?}"))
}
