//! `dragonflyfront-standin`: runs one simulated server for tests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Result, bail};
use clock::SystemClock;
use pico_args::Arguments;
use standin::engine::{Engine, EngineSettings, WeightSource};
use standin::hosts::HostListService;
use standin::service::Service;
use standin::store::Store;
use standin::weights::WeightStore;
use web::{Handler, Server, ServerLimits};

use super::{build_runtime, wait_for_shutdown_signal};

const HELP: &str = "\
dragonflyfront-standin: runs one simulated server for tests, on loopback unless --listen is given

usage: dragonflyfront-standin store   [--listen IP:PORT]
       dragonflyfront-standin hosts   [--listen IP:PORT] [--lag-ms N] --live HOST,HOST
       dragonflyfront-standin engine  [--listen IP:PORT] [--prefill N] [--decode N]
                                      [--batch-cost-permille N] [--cache-tokens N]
                                      [--report-lag-ms N] [--event-gap-one-in N]
                                      [--seed N] [--ignores-fencing] [--models NAME,NAME]
                                      [--weights IP:PORT] [--weights-bytes N]
       dragonflyfront-standin service [--listen IP:PORT] [--delay-ms N]
       dragonflyfront-standin weights [--listen IP:PORT] [--bytes-per-s N]

example: dragonflyfront-standin engine --prefill 8000 --decode 50";

/// Maximum size of a request body.
const BODY_LIMIT_BYTES: usize = 8 << 20;

/// Default transfer rate of the weight store.
const DEFAULT_WEIGHT_BYTES_PER_S: u64 = 100_000_000;

/// Default size of a model's weights.
const DEFAULT_WEIGHTS_BYTES: u64 = 50_000_000;

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
        let server = Server {
            address,
            workers: 2,
            body_limit_bytes: BODY_LIMIT_BYTES,
            limits: ServerLimits::default(),
        }
        .bind(handler)?;
        println!("ready {}", server.address());
        wait_for_shutdown_signal().await?;
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
            Arc::new(HostListService::new(clock, Duration::from_millis(lag_ms), &live))
        }
        "engine" => Arc::new(Engine::new(read_engine_settings(arguments)?, clock)),
        "weights" => {
            let bytes_per_s = arguments
                .opt_value_from_str("--bytes-per-s")?
                .unwrap_or(DEFAULT_WEIGHT_BYTES_PER_S);
            Arc::new(WeightStore::new(clock, bytes_per_s))
        }
        "service" => {
            let delay_ms = arguments.opt_value_from_str("--delay-ms")?.unwrap_or(0);
            Arc::new(Service::new(Duration::from_millis(delay_ms)))
        }
        other => bail!("unknown server kind {other:?}; see --help"),
    })
}

fn read_engine_settings(arguments: &mut Arguments) -> Result<EngineSettings> {
    let defaults = EngineSettings::default();
    let read_number =
        |arguments: &mut Arguments, name: &'static str, default: u32| -> Result<u32> {
            Ok(arguments.opt_value_from_str(name)?.unwrap_or(default))
        };
    let models: Option<String> = arguments.opt_value_from_str("--models")?;
    let weights: Option<SocketAddr> = arguments.opt_value_from_str("--weights")?;
    let size_bytes =
        arguments.opt_value_from_str("--weights-bytes")?.unwrap_or(DEFAULT_WEIGHTS_BYTES);
    let default_lag_ms = defaults.report_lag.as_millis() as u32;
    Ok(EngineSettings {
        prefill_tokens_per_s: read_number(arguments, "--prefill", defaults.prefill_tokens_per_s)?,
        decode_tokens_per_s: read_number(arguments, "--decode", defaults.decode_tokens_per_s)?,
        batch_cost_permille: read_number(
            arguments,
            "--batch-cost-permille",
            defaults.batch_cost_permille,
        )?,
        cache_tokens: read_number(arguments, "--cache-tokens", defaults.cache_tokens)?,
        report_lag: Duration::from_millis(
            read_number(arguments, "--report-lag-ms", default_lag_ms)?.into(),
        ),
        event_gap_one_in: read_number(arguments, "--event-gap-one-in", defaults.event_gap_one_in)?,
        seed: arguments.opt_value_from_str("--seed")?.unwrap_or(defaults.seed),
        checks_fencing: !arguments.contains("--ignores-fencing"),
        models: models.map(|list| list.split(',').map(str::to_owned).collect()).unwrap_or_default(),
        weights: weights.map(|address| WeightSource { address, size_bytes }),
    })
}
