//! Daemon process under test.
use super::{Client, TIMEOUT};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that a process has logged so far.
#[derive(Default)]
struct Log {
    lines: Mutex<Vec<String>>,
    appended: Condvar,
}

/// Part of the log that is read.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LogReading {
    All,
    /// Only the lines up to "listening on", so that the log pipe fills up.
    UntilListening,
}

/// Daemon process. Dropping it kills the process and removes its folder.
pub struct Daemon {
    child: Child,
    /// Address on which it accepts clients.
    pub address: String,
    log: Arc<Log>,
    folder: PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Creates a temporary folder for the files of one process.
fn create_folder() -> PathBuf {
    static SERIAL: AtomicU32 = AtomicU32::new(0);
    let serial = SERIAL.fetch_add(1, Ordering::SeqCst);
    let folder = std::env::temp_dir().join(format!("rosewalld-{}-{serial}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

impl Log {
    fn read_from(&self, stderr: ChildStderr, reading: LogReading) {
        let mut lines = BufReader::new(stderr).lines();
        while let Some(Ok(line)) = lines.next() {
            let listens = line.contains("listening on ");
            self.lines.lock().unwrap().push(line);
            self.appended.notify_all();
            if listens && reading == LogReading::UntilListening {
                thread::sleep(2 * TIMEOUT);
            }
        }
    }
}

impl Daemon {
    /// Starts a daemon and waits until it listens.
    pub fn start(configuration: &Value) -> Daemon {
        Daemon::start_after_shell_command("", configuration)
    }

    /// Starts a daemon from a shell that runs `shell_command` first, for example to set a limit.
    pub fn start_after_shell_command(shell_command: &str, configuration: &Value) -> Daemon {
        Daemon::start_with(shell_command, configuration, LogReading::All)
    }

    /// Starts a daemon whose log is not read any more once it listens.
    pub fn start_with_unread_log(configuration: &Value) -> Daemon {
        Daemon::start_with("", configuration, LogReading::UntilListening)
    }

    fn start_with(shell_command: &str, configuration: &Value, reading: LogReading) -> Daemon {
        let folder = create_folder();
        let file = folder.join("config.json");
        std::fs::write(&file, configuration.to_string()).unwrap();
        let mut child = crate::process::command(shell_command)
            .env("PROXY_CONFIG", &file)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = Arc::<Log>::default();
        let stderr = child.stderr.take().unwrap();
        let shared = log.clone();
        thread::spawn(move || shared.read_from(stderr, reading));
        let mut daemon = Daemon {
            child,
            address: String::new(),
            log,
            folder,
        };
        let line = daemon.wait_for_line("listening on ", 0);
        daemon.address = line.rsplit(' ').next().unwrap().to_string();
        daemon
    }

    /// Waits for a log line that contains `text`, at or after line number `from`, and returns it.
    fn wait_for_line(&self, text: &str, from: usize) -> String {
        let find = |lines: &Vec<String>| {
            lines
                .iter()
                .skip(from)
                .find(|line| line.contains(text))
                .cloned()
        };
        let lines = self.log.lines.lock().unwrap();
        let (lines, _) = self
            .log
            .appended
            .wait_timeout_while(lines, TIMEOUT, |lines| find(lines).is_none())
            .unwrap();
        find(&lines).unwrap_or_else(|| panic!("no log line contains {text:?}: {lines:#?}"))
    }

    /// Sends the process a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        assert!(
            Command::new("/bin/sh")
                .args(["-c", &command])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Replaces the configuration file, sends `HUP` and waits for a new log line that contains `line`.
    pub fn reload(&self, text: &str, line: &str) {
        let from = self.log.lines.lock().unwrap().len();
        std::fs::write(self.folder.join("config.json"), text).unwrap();
        self.signal("HUP");
        self.wait_for_line(line, from);
    }

    /// Returns the number of log lines so far that contain `text`.
    pub fn line_count(&self, text: &str) -> usize {
        self.log
            .lines
            .lock()
            .unwrap()
            .iter()
            .filter(|line| line.contains(text))
            .count()
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process is running.
    pub fn is_running(&self) -> bool {
        std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))
            .is_ok_and(|stat| !stat.contains(") Z "))
    }

    /// Requests the counters with `USR1` and returns the present value of one.
    pub fn counter(&self, name: &str) -> u64 {
        let from = self.log.lines.lock().unwrap().len();
        self.signal("USR1");
        counter_in(&self.wait_for_line("counters:", from), name)
    }

    /// Waits until a counter is at least `value`.
    pub fn wait_for_counter(&self, name: &str, value: u64) {
        let deadline = Instant::now() + TIMEOUT;
        while self.counter(name) < value {
            assert!(
                Instant::now() < deadline,
                "{name} has not reached {value}: {:#?}",
                self.log.lines.lock().unwrap()
            );
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Sends a signal `count` times, 1 ms apart.
    pub fn signal_repeatedly(&self, name: &str, count: u32) {
        let pid = self.child.id();
        let command = format!("for i in $(seq {count}); do kill -{name} {pid}; sleep 0.001; done");
        assert!(
            Command::new("/bin/sh")
                .args(["-c", &command])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Waits until the process exits and returns its exit code, or `None` if a signal ended it.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }

    /// Waits until the process exits and returns its exit code and the final log line with the counters.
    pub fn wait_for_exit_and_counters(&mut self) -> (Option<i32>, String) {
        let code = self.child.wait().unwrap().code();
        (code, self.wait_for_line("stopped; counters:", 0))
    }

    /// Connects a new client.
    pub fn client(&self) -> Client {
        Client::connect(&self.address)
    }

    /// Waits until the health endpoint answers with status 200.
    pub fn wait_until_ready(&self) {
        let deadline = Instant::now() + TIMEOUT;
        while self.client().get("/healthz") != 200 {
            assert!(
                Instant::now() < deadline,
                "the daemon was not ready within {TIMEOUT:?}"
            );
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Returns the value of a counter in a log line. Panics if the line does not contain it.
pub fn counter_in(line: &str, name: &str) -> u64 {
    let mut words = line.split(' ').filter_map(|word| word.split_once('='));
    words
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap()
}
