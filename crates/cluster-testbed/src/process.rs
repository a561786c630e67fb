//! Processes of the program under test: start, log, signals and termination. They end with the testbed, even if it is
//! killed.
use crate::error::TestbedError;
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Path of the program under test: the value of ROSEWALL_PROGRAM, or else `rosewalld` of the build that the caller
/// belongs to.
pub fn program() -> PathBuf {
    match std::env::var_os("ROSEWALL_PROGRAM") {
        Some(path) => PathBuf::from(path),
        None => build_folder().join("rosewalld"),
    }
}

/// Folder of the programs of this build. Test programs are in its subfolder `deps`.
fn build_folder() -> PathBuf {
    let executable = std::env::current_exe().unwrap_or_default();
    let folder = executable.parent().unwrap_or(Path::new("."));
    let parent = folder.parent().filter(|_| folder.ends_with("deps"));
    parent.unwrap_or(folder).to_path_buf()
}

/// Returns a command whose shell runs `prelude` and then executes the program under test in its place.
pub fn command(prelude: &str) -> Command {
    child_command(prelude, &program())
}

/// Returns a command whose shell runs `prelude` and then executes `program` in its place; arguments added to the command
/// are passed to the program. Where the system has `setpriv`, the kernel kills the program once the thread that
/// started it has ended, so that no process outlives a testbed that was killed.
pub fn child_command(prelude: &str, program: &Path) -> Command {
    let setpriv =
        "setpriv=; command -v setpriv >/dev/null 2>&1 && setpriv='setpriv --pdeathsig KILL --'";
    let script = format!("{prelude}\n{setpriv}\nexec $setpriv \"$0\" \"$@\"");
    let mut command = Command::new("/bin/sh");
    command.args(["-c", &script, &program.to_string_lossy()]);
    command
}

/// Lines that a process has logged so far.
#[derive(Default)]
struct Log {
    lines: Mutex<Vec<String>>,
    appended: Condvar,
}

impl Log {
    fn lines(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends all lines of `source` until it ends.
    fn read_from(&self, source: impl Read) {
        for line in BufReader::new(source).lines().map_while(Result::ok) {
            self.lines().push(line);
            self.appended.notify_all();
        }
    }
}

/// A running process of the program under test, which is killed on drop.
pub struct Process {
    child: Child,
    log: Arc<Log>,
}

impl Process {
    /// Starts a dispatcher with its configuration file. The variables of `environment` are added to the testbed's own.
    pub fn start(
        dispatcher: usize,
        configuration: &Path,
        environment: &[(&str, String)],
    ) -> Result<Process, TestbedError> {
        let path = program();
        if !path.exists() {
            return Err(TestbedError::ProgramMissing { path });
        }
        let mut command = command("");
        command
            .env("PROXY_CONFIG", configuration)
            .stderr(Stdio::piped())
            .stdout(Stdio::null())
            .envs(environment.iter().map(|(name, value)| (*name, value)));
        let mut child = command
            .spawn()
            .map_err(|source| TestbedError::Spawn { dispatcher, source })?;
        let log = Arc::<Log>::default();
        if let Some(stderr) = child.stderr.take() {
            let shared = log.clone();
            thread::spawn(move || shared.read_from(stderr));
        }
        Ok(Process { child, log })
    }

    /// Waits for a log line that contains `text` and returns the first one; `None` after the time-out.
    pub fn wait_for_line(&self, text: &str, timeout: Duration) -> Option<String> {
        let deadline = Instant::now() + timeout;
        let mut lines = self.log.lines();
        loop {
            if let Some(line) = lines.iter().find(|line| line.contains(text)) {
                return Some(line.clone());
            }
            let remaining = deadline.checked_duration_since(Instant::now())?;
            lines = self.log.appended.wait_timeout(lines, remaining).ok()?.0;
        }
    }

    /// Returns the newest log line that contains `text`.
    pub fn last_line(&self, text: &str) -> Option<String> {
        let lines = self.log.lines();
        lines.iter().rfind(|line| line.contains(text)).cloned()
    }

    /// Returns all log lines so far.
    pub fn lines(&self) -> Vec<String> {
        self.log.lines().clone()
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends the signal with this name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .stderr(Stdio::null())
            .status();
    }

    /// Whether the process has ended.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
