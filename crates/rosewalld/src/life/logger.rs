//! A line a message on standard error: seconds since the start, level, text. Lines are written by a thread of their own.
use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

/// Lines that wait to be written: more than a busy second has, and under 100 KB.
const WAITING: usize = 512;
/// How long the end of the program waits for the last lines: a reader that is there takes them in less.
const LAST_WITHIN: Duration = Duration::from_millis(200);

enum Note {
    Line(String),
    /// All before it is to be written; then whoever asks is told.
    Flush(SyncSender<()>),
}

struct Logger {
    start: Instant,
    notes: SyncSender<Note>,
    lost: AtomicU64,
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    /// Never waits. Guards against a log that no one reads, which would hold up all requests; what finds no room is
    /// counted and told of as soon as there is some.
    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let seconds = self.start.elapsed().as_secs_f64();
        let lost = self.lost.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line =
                format!("{seconds:.3} WARN {lost} lines of the log were lost: no one read it\n");
            if self.notes.try_send(Note::Line(line)).is_err() {
                self.lost.fetch_add(lost, Ordering::Relaxed);
            }
        }
        let line = format!("{seconds:.3} {} {}\n", record.level(), record.args());
        if let Err(TrySendError::Full(_)) = self.notes.try_send(Note::Line(line)) {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits for what was said, but not for long.
    fn flush(&self) {
        let (tell, told) = sync_channel(1);
        let until = Instant::now() + LAST_WITHIN;
        let mut note = Note::Flush(tell);
        while let Err(TrySendError::Full(back)) = self.notes.try_send(note) {
            if Instant::now() >= until {
                return;
            }
            note = back;
            std::thread::sleep(Duration::from_millis(5));
        }
        let _ = told.recv_timeout(until.saturating_duration_since(Instant::now()));
    }
}

fn write(notes: &Receiver<Note>) {
    while let Ok(note) = notes.recv() {
        match note {
            // A log that cannot be written is no reason to stop serving.
            Note::Line(line) => drop(std::io::stderr().write_all(line.as_bytes())),
            Note::Flush(tell) => drop(tell.try_send(())),
        }
    }
}

pub fn start() {
    let (notes, lines) = sync_channel(WAITING);
    let writer = std::thread::Builder::new()
        .name("log".to_string())
        .stack_size(64 * 1024);
    if writer.spawn(move || write(&lines)).is_err() {
        return;
    }
    let logger = Logger {
        start: Instant::now(),
        notes,
        lost: AtomicU64::new(0),
    };
    if log::set_boxed_logger(Box::new(logger)).is_ok() {
        let level = std::env::var("ROSEWALL_LOG")
            .ok()
            .and_then(|level| level.parse().ok());
        log::set_max_level(level.unwrap_or(LevelFilter::Info));
    }
}
