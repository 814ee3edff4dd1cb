//! `dragonflyctl`: command line for operators. It calls the operators' HTTP interface of an entry
//! process.

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
dragonflyctl: command line for operators

usage: dragonflyctl [--operators IP:PORT] [--json] COMMAND

commands:
  config get       show the configuration
  config patch     change the configuration, based on a stated version
  config check     check whether a patch would be accepted
  config history   list accepted patches
  audit            list submitted patches, including refused ones
  hosts            list the platform's hosts
  upstreams        list upstreams and their load
  drain            stop sending new requests to an upstream or a host
  explain          show why a request was sent to its upstream

--operators is the operators' address of any entry process; without it, the environment variable
DRAGONFLYFRONT_OPERATORS. COMMAND --help shows an example. Exit codes: 0 done, 1 internal, 2 usage,
3 refused, 4 version conflict, 5 patch rejected, 6 not found, 7 not reached or not available,
8 outcome unknown.

example: dragonflyctl --operators 10.0.0.5:8081 config get";

const OPERATORS_VARIABLE: &str = "DRAGONFLYFRONT_OPERATORS";

/// Output of a command, as JSON for `--json` and as text.
pub(crate) struct CommandOutput {
    value: Value,
    text: String,
}

/// Command line that a subcommand parses, and the operators' address if it was given.
pub(crate) struct Context {
    arguments: Arguments,
    operators: Option<SocketAddr>,
}

type CommandResult = Result<CommandOutput, Failure>;

/// Runs the program and converts its result into an exit code.
pub fn run(mut arguments: Arguments) -> ExitCode {
    let json = arguments.contains("--json");
    match run_command(arguments) {
        Ok(output) if json => println!("{}", output.value),
        Ok(output) => println!("{}", output.text),
        Err(failure) => {
            let message = if json { failure.to_json().to_string() } else { failure.to_string() };
            eprintln!("{message}");
            return failure.exit_code();
        }
    }
    ExitCode::SUCCESS
}

fn run_command(mut arguments: Arguments) -> CommandResult {
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
        "" => show_help(context, HELP),
        other => Err(Failure::usage(format!("unknown command {other:?}; see --help"))),
    }
}

/// Returns the help text if it was requested, or else a usage error.
fn show_help(mut context: Context, text: &str) -> CommandResult {
    if context.wants_help() {
        return Ok(CommandOutput::text(text));
    }
    Err(Failure::usage("no command given; see --help"))
}

impl CommandOutput {
    fn new(value: Value, text: String) -> CommandOutput {
        CommandOutput { value, text }
    }

    fn text(text: &str) -> CommandOutput {
        CommandOutput { value: Value::String(text.to_owned()), text: text.to_owned() }
    }

    fn table(value: Value, columns: &[Column]) -> CommandOutput {
        let text = table::render_table(&value, columns);
        CommandOutput { value, text }
    }
}

impl Context {
    fn wants_help(&mut self) -> bool {
        self.arguments.contains(["-h", "--help"])
    }

    /// Opens the connection. Arguments that the subcommand has not parsed are a usage error.
    fn connect(self) -> Result<Connection, Failure> {
        let unknown = self.arguments.finish();
        if !unknown.is_empty() {
            return Err(Failure::usage(format!("unknown arguments: {unknown:?}; see --help")));
        }
        let address = match self.operators {
            Some(address) => address,
            None => read_operators_variable().map_err(Failure::usage)?,
        };
        Connection::open(address)
    }
}

fn read_operators_variable() -> anyhow::Result<SocketAddr> {
    let value = std::env::var(OPERATORS_VARIABLE)
        .with_context(|| format!("neither --operators nor {OPERATORS_VARIABLE} is given"))?;
    value.parse().with_context(|| format!("{OPERATORS_VARIABLE}: invalid address {value:?}"))
}
