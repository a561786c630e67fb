//! Logging to standard error. Each message is one line: seconds since program start, level and
//! text. A separate thread writes the lines, so that a blocked standard error delays no request.
use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

/// Environment variable that sets the log level.
const LEVEL_VARIABLE: &str = "ROSEWALL_LOG";
/// Maximum number of lines queued for the writer thread: more than a busy second produces, and
/// under 100 KB.
const MAX_QUEUED_LINES: usize = 512;
/// Maximum wait at program end for the queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause between attempts to queue a flush while the queue is full.
const FLUSH_RETRY_PAUSE: Duration = Duration::from_millis(5);
const WRITER_STACK_BYTES: usize = 64 * 1024;

enum Message {
    Line(String),
    /// Requests a confirmation once all earlier lines are written.
    Flush(SyncSender<()>),
}

struct Logger {
    started: Instant,
    messages: SyncSender<Message>,
    /// Number of lines dropped since the last queued line because the queue was full.
    dropped: AtomicU64,
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    /// Queues a line without blocking. When the queue is full, the line is dropped and counted; the
    /// count is logged ahead of the next line that can be queued.
    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let seconds = self.started.elapsed().as_secs_f64();
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line =
                format!("{seconds:.3} WARN {dropped} log lines dropped: the log queue was full\n");
            if self.messages.try_send(Message::Line(line)).is_err() {
                self.dropped.fetch_add(dropped, Ordering::Relaxed);
            }
        }
        let line = format!("{seconds:.3} {} {}\n", record.level(), record.args());
        if let Err(TrySendError::Full(_)) = self.messages.try_send(Message::Line(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the queued lines are written, for at most [`FLUSH_TIMEOUT`].
    fn flush(&self) {
        let (done, flushed) = sync_channel(1);
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let mut message = Message::Flush(done);
        while let Err(TrySendError::Full(unsent)) = self.messages.try_send(message) {
            if Instant::now() >= deadline {
                return;
            }
            message = unsent;
            std::thread::sleep(FLUSH_RETRY_PAUSE);
        }
        let _ = flushed.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

fn write_messages(messages: &Receiver<Message>) {
    while let Ok(message) = messages.recv() {
        match message {
            // A write error must not stop the daemon.
            Message::Line(line) => drop(std::io::stderr().write_all(line.as_bytes())),
            Message::Flush(done) => drop(done.try_send(())),
        }
    }
}

/// Installs the logger at the level named by `ROSEWALL_LOG`, or at `info` if that is unset or
/// invalid. Nothing is logged if the writer thread cannot be started.
pub fn start() {
    let (messages, queue) = sync_channel(MAX_QUEUED_LINES);
    let writer = std::thread::Builder::new()
        .name("log".to_string())
        .stack_size(WRITER_STACK_BYTES);
    if writer.spawn(move || write_messages(&queue)).is_err() {
        return;
    }
    let logger = Logger {
        started: Instant::now(),
        messages,
        dropped: AtomicU64::new(0),
    };
    if log::set_boxed_logger(Box::new(logger)).is_ok() {
        let level = std::env::var(LEVEL_VARIABLE)
            .ok()
            .and_then(|level| level.parse().ok());
        log::set_max_level(level.unwrap_or(LevelFilter::Info));
    }
}
