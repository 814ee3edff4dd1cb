//! Logging to standard output through a bounded queue and a writer thread.
//!
//! A stalled reader of standard output must not delay requests, nor exhaust the memory with lines that are
//! as long as what callers send: lines that do not fit into the queue are dropped, and their number is logged.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Duration;

use anyhow::{Context, Result};
use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};

/// Capacity of the queue; lines beyond it are dropped.
const QUEUE_CAPACITY_LINES: usize = 4_096;

/// Bytes of the lines that have not been written; lines beyond them are dropped.
const QUEUE_CAPACITY_BYTES: usize = 4 << 20;

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

/// Counts that the logger and the writer thread share.
#[derive(Debug, Default)]
struct QueueCounts {
    dropped_lines: AtomicU64,
    /// Bytes of the lines that have not been written.
    unwritten_bytes: AtomicUsize,
}

/// Writer behind the logger: queues each complete line without blocking.
struct QueueWriter {
    queue: SyncSender<QueueItem>,
    counts: Arc<QueueCounts>,
    line: Vec<u8>,
}

impl QueueWriter {
    fn queue_line(&self, line: Vec<u8>) {
        let length = line.len();
        let unwritten_bytes = self.counts.unwritten_bytes.fetch_add(length, Ordering::Relaxed);
        let is_queued = unwritten_bytes + length <= QUEUE_CAPACITY_BYTES
            && self.queue.try_send(QueueItem::Line(line)).is_ok();
        if !is_queued {
            self.counts.unwritten_bytes.fetch_sub(length, Ordering::Relaxed);
            self.counts.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if bytes.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            self.queue_line(line);
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
    let counts = Arc::new(QueueCounts::default());
    let writer_counts = counts.clone();
    thread::Builder::new()
        .name("logs".to_owned())
        .spawn(move || write_lines(&lines, &writer_counts))?;
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_ignore_str("ntex")
        .add_filter_ignore_str("hyper")
        .build();
    let logger = QueueWriter { queue: queue.clone(), counts, line: Vec::new() };
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

fn write_lines(lines: &Receiver<QueueItem>, counts: &QueueCounts) {
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
        let taken_bytes = batch.len();
        let dropped_lines = counts.dropped_lines.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            batch.extend_from_slice(format!("log.dropped lines={dropped_lines}\n").as_bytes());
        }
        // If standard output is closed, there is nowhere to report the error.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        batch.clear();
        counts.unwritten_bytes.fetch_sub(taken_bytes, Ordering::Relaxed);
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
