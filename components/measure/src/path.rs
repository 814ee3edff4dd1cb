//! Latency and CPU time that entry and agent add to a call, compared with direct calls of the
//! stand-in engine in the same run.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use hdrhistogram::Histogram;
use scenario::{EnginePlan, Fleet, FleetPlan, ModelRequest, ProgramPaths};
use web::{Client, Request};

use crate::process::resident_bytes_of;

/// Calls before the measurement starts.
const WARM_UP_CALLS: u32 = 50;

/// Ratio of concurrent calls, which measure CPU time, to serial calls, which measure latency.
const CONCURRENT_TO_SERIAL_CALLS: u32 = 4;

/// Calls in flight while CPU time is measured.
const CONCURRENT_CALLS: usize = 32;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Clock ticks per second in `/proc/PID/stat` on Linux.
const CLOCK_TICKS_PER_S: f64 = 100.0;

const ENGINE: &str = "engine fast";
const AGENT: &str = "agent fast";
const ENTRY: &str = "entry-1";

/// Address to measure, and the request that is sent to it.
struct Target {
    name: &'static str,
    address: SocketAddr,
    request: Request,
}

/// Measures calls with responses of `tokens` tokens: `calls` concurrent ones for CPU time, after a
/// quarter as many serial ones for latency.
pub(crate) fn measure(tokens: u32, calls: u32) -> Result<()> {
    let mut fleet = Fleet::spawn(find_programs()?, plan())?;
    let request =
        ModelRequest { tokens, stream: true, text: "?".to_owned(), ..ModelRequest::default() };
    let direct = Target {
        name: "direct",
        address: fleet.process(ENGINE)?.addresses()[0],
        request: (&request).into(),
    };
    let through = Target {
        name: "through",
        address: fleet.process(ENTRY)?.addresses()[0],
        request: (&request).into(),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let client = Client::spawn()?;
    let direct_us =
        runtime.block_on(measure_latency(&client, &direct, calls / CONCURRENT_TO_SERIAL_CALLS))?;
    let through_us =
        runtime.block_on(measure_latency(&client, &through, calls / CONCURRENT_TO_SERIAL_CALLS))?;
    println!(
        "latency p50 through/direct = {:.2}, p95 through/direct = {:.2}",
        quantile_ratio(&through_us, &direct_us, 0.5),
        quantile_ratio(&through_us, &direct_us, 0.95)
    );
    let process_ids = [ENTRY, AGENT].map(|name| fleet.process(name).map(|process| process.pid()));
    let [entry, agent] = process_ids;
    let (entry, agent) = (entry?, agent?);
    let cpu_before = (cpu_time_s(entry)?, cpu_time_s(agent)?);
    let start = Instant::now();
    runtime.block_on(run_concurrently(&client, &through, calls))?;
    let elapsed_s = start.elapsed().as_secs_f64();
    let cpu_used = (cpu_time_s(entry)? - cpu_before.0, cpu_time_s(agent)? - cpu_before.1);
    for (name, process, cpu_used_s) in [("entry", entry, cpu_used.0), ("agent", agent, cpu_used.1)]
    {
        println!(
            "{name}: {:.0} us of CPU time per request of {tokens} tokens, {:.0} requests per second and core, {} bytes resident",
            cpu_used_s * 1e6 / f64::from(calls),
            f64::from(calls) / cpu_used_s,
            resident_bytes_of(process)?
        );
    }
    println!(
        "{calls} calls, {CONCURRENT_CALLS} in flight, {:.0} per second",
        f64::from(calls) / elapsed_s
    );
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
    let program = std::env::current_exe()?;
    let folder = program.parent().context("the program's path has no folder")?;
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

async fn send_call(client: &Client, target: &Target) -> Result<()> {
    let mut response = client.send(target.address, target.request.clone(), CALL_TIMEOUT).await?;
    let body = response.read_body().await?;
    ensure!(response.status == 200, "{}: status {}", target.name, response.status);
    ensure!(body.ends_with(b"data: [DONE]\n\n"), "{}: response is truncated", target.name);
    Ok(())
}

async fn measure_latency(client: &Client, target: &Target, calls: u32) -> Result<Histogram<u64>> {
    let mut histogram = Histogram::new(3)?;
    for number in 0..WARM_UP_CALLS + calls {
        let start = Instant::now();
        send_call(client, target).await?;
        if number >= WARM_UP_CALLS {
            histogram.record(start.elapsed().as_micros() as u64)?;
        }
    }
    println!(
        "{}: p50 {} us, p95 {} us over {calls} serial calls",
        target.name,
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.95)
    );
    Ok(histogram)
}

fn quantile_ratio(through: &Histogram<u64>, direct: &Histogram<u64>, quantile: f64) -> f64 {
    through.value_at_quantile(quantile) as f64 / direct.value_at_quantile(quantile).max(1) as f64
}

async fn run_concurrently(client: &Client, target: &Target, calls: u32) -> Result<()> {
    let workers = (0..CONCURRENT_CALLS).map(|worker| async move {
        for _ in (worker..calls as usize).step_by(CONCURRENT_CALLS) {
            send_call(client, target).await?;
        }
        Ok::<_, anyhow::Error>(())
    });
    futures_util::future::try_join_all(workers).await?;
    Ok(())
}

/// Returns the CPU time that a process has used, in user and kernel mode.
fn cpu_time_s(process_id: u32) -> Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{process_id}/stat"))?;
    let fields = stat.rsplit_once(')').context("unexpected format of /proc/PID/stat")?.1;
    let ticks: Vec<u64> = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .map(str::parse)
        .collect::<std::result::Result<_, _>>()?;
    Ok(ticks.iter().sum::<u64>() as f64 / CLOCK_TICKS_PER_S)
}
