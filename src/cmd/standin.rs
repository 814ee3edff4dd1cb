//! `dragonflyfront-standin`: one stand-in as a process, for tests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Result, bail};
use clock::SystemClock;
use pico_args::Arguments;
use standin::engine::{Engine, Speeds};
use standin::hosts::Hosts;
use standin::service::Service;
use standin::store::Store;
use web::{Handler, Server};

use super::{build_runtime, wait_for_stop};

const HELP: &str = "\
dragonflyfront-standin: a stand-in for tests, on a loopback address

usage: dragonflyfront-standin store   [--listen IP:PORT]
       dragonflyfront-standin hosts   [--listen IP:PORT] [--lag-ms N] --live HOST,HOST
       dragonflyfront-standin engine  [--listen IP:PORT] [--prefill N] [--decode N]
       dragonflyfront-standin service [--listen IP:PORT] [--delay-ms N]

example: dragonflyfront-standin engine --prefill 8000 --decode 50";

/// Largest body that a stand-in reads.
const BODY_LIMIT_BYTES: usize = 8 << 20;

/// Runs the program.
pub fn main(mut arguments: Arguments) -> Result<()> {
    if arguments.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(());
    }
    let kind = arguments.subcommand()?.unwrap_or_default();
    let address: SocketAddr =
        arguments.opt_value_from_str("--listen")?.unwrap_or(([127, 0, 0, 1], 0).into());
    let handler = build_handler(&kind, &mut arguments)?;
    build_runtime()?.block_on(async {
        let server =
            Server { address, workers: 2, body_limit_bytes: BODY_LIMIT_BYTES }.bind(handler)?;
        println!("ready {}", server.address());
        wait_for_stop().await?;
        let stopped = tokio::task::spawn_blocking(move || server.stop(false));
        let _ = stopped.await;
        Ok(())
    })
}

fn build_handler(kind: &str, arguments: &mut Arguments) -> Result<Arc<dyn Handler>> {
    let clock = Arc::new(SystemClock);
    Ok(match kind {
        "store" => Arc::new(Store::new(clock)),
        "hosts" => {
            let lag_ms = arguments.opt_value_from_str("--lag-ms")?.unwrap_or(0);
            let live: String = arguments.value_from_str("--live")?;
            let live: Vec<&str> = live.split(',').collect();
            Arc::new(Hosts::new(clock, Duration::from_millis(lag_ms), &live))
        }
        "engine" => Arc::new(Engine::new(Speeds {
            prefill_tokens_per_s: arguments.opt_value_from_str("--prefill")?.unwrap_or(8000),
            decode_tokens_per_s: arguments.opt_value_from_str("--decode")?.unwrap_or(50),
        })),
        "service" => {
            let delay_ms = arguments.opt_value_from_str("--delay-ms")?.unwrap_or(0);
            Arc::new(Service::new(Duration::from_millis(delay_ms)))
        }
        other => bail!("unknown stand-in {other:?}; see --help"),
    })
}
