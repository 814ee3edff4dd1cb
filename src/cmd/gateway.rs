//! `dragonflyfront-gateway`: proxies requests of callers to upstreams on the users' platform.

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
dragonflyfront-gateway: proxies requests of callers to upstreams on the users' platform

usage: dragonflyfront-gateway [--settings FILE] [--check-settings]

Without --settings, the gateway reads the file at the path that the platform defines.

example: dragonflyfront-gateway --settings local.toml --check-settings";

/// Interval between checks of the settings file, which may change without a SIGHUP.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Runs the program.
pub fn main(mut arguments: Arguments) -> Result<()> {
    if arguments.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(());
    }
    let check_only = arguments.contains("--check-settings");
    let settings_path: Option<PathBuf> = arguments.opt_value_from_str("--settings")?;
    let unknown = arguments.finish();
    anyhow::ensure!(unknown.is_empty(), "unknown arguments: {unknown:?}; see --help");
    let path = settings_path.unwrap_or_else(platform::settings_path);
    let settings = Settings::load(&path)?;
    if check_only {
        println!("{}: valid", path.display());
        return Ok(());
    }
    logs::init()?;
    let system = ntex::rt::System::new("gateway", ntex::rt::DefaultRuntime);
    let (result_sender, result_receiver) = std::sync::mpsc::channel();
    system.block_on(async move {
        // Sending cannot fail: the receiver is dropped only after `block_on` returns.
        let _ = result_sender.send(serve(&path, settings).await);
    });
    result_receiver.recv().context("the gateway task ended without a result")?
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
    tokio::task::spawn_local(watch_settings_file(path.to_owned(), settings, handle.clone()));
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

/// Reloads the settings on SIGHUP, or when polling finds that the file has changed.
async fn watch_settings_file(path: PathBuf, mut current: Settings, handle: GatewayHandle) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            warn!("reload.no_signal error={error}");
            return;
        }
    };
    loop {
        let signal_received = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        match Settings::load(&path) {
            Ok(settings) if settings != current => {
                info!("reload sighup={signal_received} changed=true");
                handle.reload(settings.gateway.clone());
                current = settings;
            }
            Ok(_) if signal_received => info!("reload sighup=true changed=false"),
            Ok(_) => {}
            Err(error) => warn!("reload.refused reason={error:#}"),
        }
    }
}
