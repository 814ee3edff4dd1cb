//! What entry and agent add to a call, against calling the stand-in directly in the same run.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use hdrhistogram::Histogram;
use scenario::{EnginePlan, Fleet, FleetPlan, ModelRequest, ProgramPaths};
use web::{Client, Request};

use crate::process::resident_bytes_of;

/// Calls before anything is counted.
const WARM_UP_CALLS: u32 = 50;

/// One call after the other, for latency, to so many at once, for processor time.
const SERIAL_SHARE: u32 = 4;

/// Calls at once, for processor time.
const CONCURRENT_CALLS: usize = 32;

const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Ticks a second of `/proc/PID/stat` on Linux.
const TICKS_PER_S: f64 = 100.0;

const ENGINE: &str = "engine fast";
const AGENT: &str = "agent fast";
const ENTRY: &str = "entry-1";

struct Target {
    name: &'static str,
    address: SocketAddr,
    request: Request,
}

/// Measures answers of `tokens` tokens, `calls` of them at once.
pub(crate) fn measure(tokens: u32, calls: u32) -> Result<()> {
    let mut fleet = Fleet::spawn(find_programs()?, plan())?;
    let asked =
        ModelRequest { tokens, stream: true, text: "?".to_owned(), ..ModelRequest::default() };
    let direct = Target {
        name: "direct",
        address: fleet.process(ENGINE)?.addresses()[0],
        request: (&asked).into(),
    };
    let through = Target {
        name: "through",
        address: fleet.process(ENTRY)?.addresses()[0],
        request: (&asked).into(),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let client = Client::spawn()?;
    let direct_us = runtime.block_on(measure_latency(&client, &direct, calls / SERIAL_SHARE))?;
    let through_us = runtime.block_on(measure_latency(&client, &through, calls / SERIAL_SHARE))?;
    println!(
        "latency p50 through/direct = {:.2}, p95 through/direct = {:.2}",
        direct_ratio(&through_us, &direct_us, 0.5),
        direct_ratio(&through_us, &direct_us, 0.95)
    );
    let ids = [ENTRY, AGENT].map(|name| fleet.process(name).map(|process| process.pid()));
    let [entry, agent] = ids;
    let (entry, agent) = (entry?, agent?);
    let before = (processor_s(entry)?, processor_s(agent)?);
    let start = Instant::now();
    runtime.block_on(run_concurrently(&client, &through, calls))?;
    let took = start.elapsed().as_secs_f64();
    let used = (processor_s(entry)? - before.0, processor_s(agent)? - before.1);
    for (name, process, used_s) in [("entry", entry, used.0), ("agent", agent, used.1)] {
        println!(
            "{name}: {:.0} us of processor time a request of {tokens} tokens, {:.0} requests a second on one core, {} bytes resident",
            used_s * 1e6 / f64::from(calls),
            f64::from(calls) / used_s,
            resident_bytes_of(process)?
        );
    }
    println!("{calls} calls, {CONCURRENT_CALLS} at once, {:.0} a second", f64::from(calls) / took);
    Ok(())
}

fn plan() -> FleetPlan {
    let engine = EnginePlan {
        prefill_tokens_per_s: 10_000_000,
        decode_tokens_per_s: 100_000,
        slots: 64,
        ..EnginePlan::default()
    };
    FleetPlan {
        engines: [("fast".to_owned(), engine)].into(),
        entries: [(ENTRY.to_owned(), "riga-a".to_owned())].into(),
        requests_per_s: 1_000_000,
        ..FleetPlan::default()
    }
}

fn find_programs() -> Result<ProgramPaths> {
    let own = std::env::current_exe()?;
    let folder = own.parent().context("folder of the program")?;
    let find = |name: &str| -> Result<PathBuf> {
        let path = folder.join(name);
        ensure!(path.exists(), "{name} is not built; run cargo build --release first");
        Ok(path)
    };
    Ok(ProgramPaths {
        entry: find("dragonflyfront-entry")?,
        agent: find("dragonflyfront-agent")?,
        standin: find("dragonflyfront-standin")?,
    })
}

async fn call(client: &Client, target: &Target) -> Result<()> {
    let mut response = client.send(target.address, target.request.clone(), CALL_LIMIT).await?;
    let body = response.read().await?;
    ensure!(response.status == 200, "{}: status {}", target.name, response.status);
    ensure!(body.ends_with(b"data: [DONE]\n\n"), "{}: answer is not whole", target.name);
    Ok(())
}

async fn measure_latency(client: &Client, target: &Target, calls: u32) -> Result<Histogram<u64>> {
    let mut histogram = Histogram::new(3)?;
    for number in 0..WARM_UP_CALLS + calls {
        let start = Instant::now();
        call(client, target).await?;
        if number >= WARM_UP_CALLS {
            histogram.record(start.elapsed().as_micros() as u64)?;
        }
    }
    println!(
        "{}: p50 {} us, p95 {} us over {calls} calls one after the other",
        target.name,
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.95)
    );
    Ok(histogram)
}

fn direct_ratio(through: &Histogram<u64>, direct: &Histogram<u64>, quantile: f64) -> f64 {
    through.value_at_quantile(quantile) as f64 / direct.value_at_quantile(quantile).max(1) as f64
}

async fn run_concurrently(client: &Client, target: &Target, calls: u32) -> Result<()> {
    let lanes = (0..CONCURRENT_CALLS).map(|lane| async move {
        for _ in (lane..calls as usize).step_by(CONCURRENT_CALLS) {
            call(client, target).await?;
        }
        Ok::<_, anyhow::Error>(())
    });
    futures_util::future::try_join_all(lanes).await?;
    Ok(())
}

/// Processor time that a process has used, in user and kernel.
fn processor_s(process: u32) -> Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
    let fields = stat.rsplit_once(')').context("stat")?.1;
    let ticks: Vec<u64> = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .map(str::parse)
        .collect::<std::result::Result<_, _>>()?;
    Ok(ticks.iter().sum::<u64>() as f64 / TICKS_PER_S)
}
