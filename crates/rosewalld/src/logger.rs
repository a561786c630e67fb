//! The log on standard error, one line a message: seconds since the start, level, text. A thread of its own writes it, so
//! that a log that no one reads holds up no request.
use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

/// The environment variable with the level of the log.
const LEVEL_VARIABLE: &str = "ROSEWALL_LOG";
/// Lines that may wait to be written: more than a busy second has, and under 100 KB.
const MAX_QUEUED_LINES: usize = 512;
/// How long the end of the program waits for the last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// How long to wait where the queue is full at the end of the program.
const FLUSH_RETRY_PAUSE: Duration = Duration::from_millis(5);
const WRITER_STACK_BYTES: usize = 64 * 1024;

enum Message {
    Line(String),
    /// All lines before it are to be written; then this is answered.
    Flush(SyncSender<()>),
}

struct Logger {
    started: Instant,
    messages: SyncSender<Message>,
    /// Lines that found no place in the queue since the last line that did.
    dropped: AtomicU64,
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    /// Never waits. Lines that find no place in the queue are counted, and reported with the next one that does.
    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let seconds = self.started.elapsed().as_secs_f64();
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line =
                format!("{seconds:.3} WARN {dropped} lines of the log were lost: no one read it\n");
            if self.messages.try_send(Message::Line(line)).is_err() {
                self.dropped.fetch_add(dropped, Ordering::Relaxed);
            }
        }
        let line = format!("{seconds:.3} {} {}\n", record.level(), record.args());
        if let Err(TrySendError::Full(_)) = self.messages.try_send(Message::Line(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the lines are written, but not for long.
    fn flush(&self) {
        let (done, flushed) = sync_channel(1);
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let mut message = Message::Flush(done);
        while let Err(TrySendError::Full(refused)) = self.messages.try_send(message) {
            if Instant::now() >= deadline {
                return;
            }
            message = refused;
            std::thread::sleep(FLUSH_RETRY_PAUSE);
        }
        let _ = flushed.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

fn write_messages(messages: &Receiver<Message>) {
    while let Ok(message) = messages.recv() {
        match message {
            // A log that cannot be written is no reason to stop serving.
            Message::Line(line) => drop(std::io::stderr().write_all(line.as_bytes())),
            Message::Flush(done) => drop(done.try_send(())),
        }
    }
}

/// Starts the log, at the level that `ROSEWALL_LOG` names, or at `info`. Without a thread for it there is none.
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
