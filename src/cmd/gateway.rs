//! `dragonflyfront-gateway`: the process on the entry hosts of the users' platform.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use clock::SystemClock;
use gateway::peers::Member;
use gateway::{Gateway, GatewayHandle};
use log::{info, warn};
use pico_args::Arguments;
use platform::{PlatformHeaders, Settings, StoreWatcher};
use tokio::signal::unix::{SignalKind, signal};

use super::logs;

const HELP: &str = "\
dragonflyfront-gateway: the process between callers and upstreams on the users' platform

usage: dragonflyfront-gateway [--settings FILE] [--check-settings]

Without --settings, the file that the platform names is read.

example: dragonflyfront-gateway --settings local.toml --check-settings";

/// How often the settings file is looked at; it may change without a signal.
const SETTINGS_POLL: Duration = Duration::from_secs(2);

/// Runs the program.
pub fn main(mut arguments: Arguments) -> Result<()> {
    if arguments.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(());
    }
    let check_only = arguments.contains("--check-settings");
    let given: Option<PathBuf> = arguments.opt_value_from_str("--settings")?;
    let unknown = arguments.finish();
    anyhow::ensure!(unknown.is_empty(), "unknown arguments: {unknown:?}; see --help");
    let path = given.unwrap_or_else(platform::settings_path);
    let settings = Settings::load(&path)?;
    if check_only {
        println!("{}: good", path.display());
        return Ok(());
    }
    logs::start()?;
    let system = ntex::rt::System::new("gateway", ntex::rt::DefaultRuntime);
    let (ended, result) = std::sync::mpsc::channel();
    system.block_on(async move {
        // The receiver outlives the system.
        let _ = ended.send(serve(&path, settings).await);
    });
    result.recv().context("the system ended early")?
}

async fn serve(path: &Path, settings: Settings) -> Result<()> {
    let clock = Arc::new(SystemClock);
    let process_id: u64 = rand::random();
    let host = settings.gateway.host.clone();
    let zone = settings.gateway.topology.own_zone.clone();
    let (store, cores) = (settings.store, settings.gateway.cores);
    info!("start host={host} process={process_id} store={store}");
    let handle = Gateway {
        settings: settings.gateway.clone(),
        process_id,
        header_codec: Box::new(PlatformHeaders),
        clock: clock.clone(),
    }
    .spawn()
    .await?;
    tokio::task::spawn_local(platform::watch_store(StoreWatcher {
        store,
        host: host.clone(),
        own_member: Member { id: process_id, address: handle.addresses().datagrams, zone, cores },
        clock,
        directory: handle.directory(),
    }));
    tokio::task::spawn_local(reload_regularly(path.to_owned(), settings, handle.clone()));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    handle.stop().await;
    info!("stop host={host}");
    logs::flush();
    Ok(())
}

/// Takes in the settings file again when told to or when it has changed.
async fn reload_regularly(path: PathBuf, mut known: Settings, handle: GatewayHandle) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            warn!("reload.no_signal error={error}");
            return;
        }
    };
    loop {
        let asked = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_POLL) => false,
        };
        match Settings::load(&path) {
            Ok(settings) if settings != known => {
                info!("reload asked={asked} changed=true");
                handle.reload(settings.gateway.clone());
                known = settings;
            }
            Ok(_) if asked => info!("reload asked=true changed=false"),
            Ok(_) => {}
            Err(error) => warn!("reload.refused reason={error:#}"),
        }
    }
}
