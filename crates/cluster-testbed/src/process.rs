//! One process of the real program: started, signalled, ended. It ends with the rig, also where that is killed.
use crate::error::RigError;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The program under test: what ROSEWALL_PROGRAM names, else the one built beside the caller.
pub fn program() -> PathBuf {
    std::env::var_os("ROSEWALL_PROGRAM")
        .map(PathBuf::from)
        .unwrap_or_else(|| {
            let own = std::env::current_exe().unwrap_or_default();
            let folder = own.parent().unwrap_or(Path::new("."));
            let folder = if folder.ends_with("deps") {
                folder.parent().unwrap_or(folder)
            } else {
                folder
            };
            folder.join("rosewalld")
        })
}

/// A shell that runs `first` and then becomes the program. Where the system has `setpriv`, the kernel kills the program
/// once the thread that started it is gone. Guards against processes that outlive a rig that was killed.
pub fn command(first: &str) -> Command {
    tied(first, &program())
}

/// The same for any program; arguments that are added go to it.
pub fn tied(first: &str, program: &Path) -> Command {
    let tied = "tie=; command -v setpriv >/dev/null 2>&1 && tie='setpriv --pdeathsig KILL --'";
    let mut command = Command::new("/bin/sh");
    command.args([
        "-c",
        &format!("{first}\n{tied}\nexec $tie \"$0\" \"$@\""),
        &program.to_string_lossy(),
    ]);
    command
}

type Log = Arc<(Mutex<Vec<String>>, Condvar)>;

pub struct Process {
    child: Child,
    log: Log,
}

impl Process {
    /// Starts it with its file; `env` is added to its own.
    pub fn start(at: usize, file: &Path, env: &[(&str, String)]) -> Result<Process, RigError> {
        let path = program();
        if !path.exists() {
            return Err(RigError::Program { path });
        }
        let mut command = command("");
        command
            .env("PROXY_CONFIG", file)
            .stderr(Stdio::piped())
            .stdout(Stdio::null());
        command.envs(env.iter().map(|(name, value)| (*name, value)));
        let mut child = command
            .spawn()
            .map_err(|source| RigError::Spawn { at, source })?;
        let log = Log::default();
        if let Some(errors) = child.stderr.take() {
            let kept = log.clone();
            thread::spawn(move || {
                for line in BufReader::new(errors).lines().map_while(Result::ok) {
                    kept.0
                        .lock()
                        .unwrap_or_else(|held| held.into_inner())
                        .push(line);
                    kept.1.notify_all();
                }
            });
        }
        Ok(Process { child, log })
    }

    /// The first line of its log with `text`, waited for.
    pub fn line(&self, text: &str, within: Duration) -> Option<String> {
        let end = Instant::now() + within;
        let mut lines = self.log.0.lock().ok()?;
        loop {
            if let Some(line) = lines.iter().find(|line| line.contains(text)) {
                return Some(line.clone());
            }
            let left = end.checked_duration_since(Instant::now())?;
            lines = self.log.1.wait_timeout(lines, left).ok()?.0;
        }
    }

    /// The newest line of its log with `text`.
    pub fn last(&self, text: &str) -> Option<String> {
        let lines = self.log.0.lock().ok()?;
        lines.iter().rfind(|line| line.contains(text)).cloned()
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn lines(&self) -> Vec<String> {
        self.log
            .0
            .lock()
            .map(|lines| lines.clone())
            .unwrap_or_default()
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .stderr(Stdio::null())
            .status();
    }

    /// Whether it has ended, and how.
    pub fn ended(&mut self) -> Option<Option<i32>> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.code())
    }

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
