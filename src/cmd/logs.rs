//! Logging to standard output through a bounded queue and a writer thread.
//!
//! A stalled reader of standard output must not delay requests: lines that do not fit into the
//! queue are dropped, and their number is logged.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Duration;

use anyhow::{Context, Result};
use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};

/// Capacity of the queue; lines beyond it are dropped.
const QUEUE_CAPACITY_LINES: usize = 4_096;

/// Time for which the writer thread collects lines, to write them in one call.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time that a process waits at exit for its last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Queue of the logger, for `flush`.
static LOG_QUEUE: OnceLock<SyncSender<QueueItem>> = OnceLock::new();

/// Item for the writer thread.
enum QueueItem {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Writer behind the logger: queues each complete line without blocking.
struct QueueWriter {
    queue: SyncSender<QueueItem>,
    dropped: Arc<AtomicU64>,
    line: Vec<u8>,
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if bytes.ends_with(b"\n") {
            let line = QueueItem::Line(std::mem::take(&mut self.line));
            if let Err(TrySendError::Full(_)) = self.queue.try_send(line) {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Initializes logging.
pub(super) fn init() -> Result<()> {
    let (queue, lines) = sync_channel(QUEUE_CAPACITY_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let dropped_count = dropped.clone();
    thread::Builder::new()
        .name("logs".to_owned())
        .spawn(move || write_lines(&lines, &dropped_count))?;
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_ignore_str("ntex")
        .add_filter_ignore_str("hyper")
        .build();
    let logger = QueueWriter { queue: queue.clone(), dropped, line: Vec::new() };
    WriteLogger::init(LevelFilter::Info, config, logger)
        .context("logging is already initialized")?;
    LOG_QUEUE.set(queue).map_err(|_| anyhow::anyhow!("logging is already initialized"))
}

/// Waits at most `FLUSH_TIMEOUT` until the lines queued so far are written; returns at once if the
/// queue is full.
pub(super) fn flush() {
    let (done, written) = sync_channel(1);
    let Some(queue) = LOG_QUEUE.get() else { return };
    if queue.try_send(QueueItem::Flush(done)).is_ok() {
        // A stalled reader must not delay the exit.
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn write_lines(lines: &Receiver<QueueItem>, dropped: &AtomicU64) {
    let mut output = io::stdout();
    let mut batch = Vec::new();
    while let Ok(first) = lines.recv() {
        let mut flushes = Vec::new();
        append_to_batch(first, &mut batch, &mut flushes);
        if flushes.is_empty() {
            thread::sleep(BATCH_INTERVAL);
        }
        while let Ok(item) = lines.try_recv() {
            append_to_batch(item, &mut batch, &mut flushes);
        }
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            batch.extend_from_slice(format!("log.dropped lines={dropped_lines}\n").as_bytes());
        }
        // If standard output is closed, there is nowhere to report the error.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        batch.clear();
        for done in flushes {
            let _ = done.try_send(());
        }
    }
}

fn append_to_batch(item: QueueItem, batch: &mut Vec<u8>, flushes: &mut Vec<SyncSender<()>>) {
    match item {
        QueueItem::Line(line) => batch.extend_from_slice(&line),
        QueueItem::Flush(done) => flushes.push(done),
    }
}
