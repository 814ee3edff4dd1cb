//! Log lines on standard output, written by a thread of their own.
//!
//! A reader that stalls must not stall requests: lines go through a bounded queue, and what does not
//! fit is counted and reported.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Duration;

use anyhow::{Context, Result};
use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};

/// Lines that may wait for the reader.
const QUEUE_LINES: usize = 4_096;

/// How long the writer collects lines, to write them in one call.
const COLLECT: Duration = Duration::from_millis(20);

/// Longest wait for the last lines of a process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

static QUEUE: OnceLock<SyncSender<Entry>> = OnceLock::new();

enum Entry {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Takes lines from the logger without waiting.
struct Queued {
    queue: SyncSender<Entry>,
    dropped: Arc<AtomicU64>,
    line: Vec<u8>,
}

impl Write for Queued {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if bytes.ends_with(b"\n") {
            let line = Entry::Line(std::mem::take(&mut self.line));
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

/// Starts logging.
pub(super) fn start() -> Result<()> {
    let (queue, lines) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counted = dropped.clone();
    thread::Builder::new().name("logs".to_owned()).spawn(move || write_lines(&lines, &counted))?;
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_ignore_str("ntex")
        .add_filter_ignore_str("hyper")
        .build();
    let logger = Queued { queue: queue.clone(), dropped, line: Vec::new() };
    WriteLogger::init(LevelFilter::Info, config, logger).context("logging started twice")?;
    QUEUE.set(queue).map_err(|_| anyhow::anyhow!("logging started twice"))
}

/// Waits until the lines so far are written, for a short time.
pub(super) fn flush() {
    let (done, written) = sync_channel(1);
    let Some(queue) = QUEUE.get() else { return };
    if queue.try_send(Entry::Flush(done)).is_ok() {
        // A reader that stalls must not hold up the exit.
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn write_lines(lines: &Receiver<Entry>, dropped: &AtomicU64) {
    let mut output = io::stdout();
    let mut batch = Vec::new();
    while let Ok(first) = lines.recv() {
        let mut flushes = Vec::new();
        collect(first, &mut batch, &mut flushes);
        if flushes.is_empty() {
            thread::sleep(COLLECT);
        }
        while let Ok(entry) = lines.try_recv() {
            collect(entry, &mut batch, &mut flushes);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend_from_slice(format!("log.dropped lines={lost}\n").as_bytes());
        }
        // Nobody is left to tell where standard output is gone.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        batch.clear();
        for done in flushes {
            let _ = done.try_send(());
        }
    }
}

fn collect(entry: Entry, batch: &mut Vec<u8>, flushes: &mut Vec<SyncSender<()>>) {
    match entry {
        Entry::Line(line) => batch.extend_from_slice(&line),
        Entry::Flush(done) => flushes.push(done),
    }
}
