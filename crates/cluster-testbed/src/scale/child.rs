//! Processes of the rig itself that hold many hollow ones: asked by lines on standard input, each answered by one line of JSON.
use crate::error::TestbedError;
use crate::process::tethered_command;
use async_channel::Receiver;
use serde::de::DeserializeOwned;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child as Process, ChildStdin, Stdio};
use std::sync::mpsc;
use std::time::Duration;

/// A child that is not heard for so long has failed.
const PATIENCE: Duration = Duration::from_secs(60);

/// Where a request with a head and a body by its length ends in these bytes, once it is whole.
pub fn message_end(bytes: &[u8]) -> Option<usize> {
    let head = bytes.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    let text = std::str::from_utf8(&bytes[..head]).ok()?;
    let length = crate::stand::field(text, "content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    (bytes.len() >= head + length).then_some(head + length)
}

/// The lines that a child is asked by.
pub struct Asked(Receiver<String>);

impl Asked {
    /// Reads them on a thread of its own.
    pub fn new() -> Asked {
        let (tell, asked) = async_channel::unbounded();
        std::thread::spawn(move || {
            for line in std::io::stdin().lock().lines().map_while(Result::ok) {
                if tell.send_blocking(line).is_err() {
                    return;
                }
            }
        });
        Asked(asked)
    }

    /// Answers each until there are no more.
    pub async fn answer(
        &self,
        answer: impl Fn(&[&str]) -> Result<String, String>,
    ) -> Result<(), String> {
        while let Ok(line) = self.0.recv().await {
            let words: Vec<&str> = line.split_whitespace().collect();
            if words.is_empty() {
                continue;
            }
            let text = answer(&words)?;
            println!("{text}");
        }
        Ok(())
    }
}

impl Default for Asked {
    fn default() -> Self {
        Asked::new()
    }
}

/// The parent's side of one.
pub struct Child {
    process: Process,
    ask: ChildStdin,
    told: mpsc::Receiver<String>,
}

impl Child {
    pub fn start(words: &[String]) -> Result<Child, TestbedError> {
        let failed = |source| TestbedError::SimulatedProcess {
            arguments: words.join(" "),
            source,
        };
        let own = std::env::current_exe().map_err(failed)?;
        let mut command = tethered_command("", &own);
        command
            .arg("hollow")
            .args(words)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped());
        let mut process = command.spawn().map_err(failed)?;
        let (ask, out) = (process.stdin.take(), process.stdout.take());
        let (Some(ask), Some(out)) = (ask, out) else {
            return Err(failed(std::io::ErrorKind::BrokenPipe.into()));
        };
        let (tell, told) = mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                if tell.send(line).is_err() {
                    return;
                }
            }
        });
        Ok(Child { process, ask, told })
    }

    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    /// The next line that it tells.
    pub fn heard<T: DeserializeOwned>(&self) -> Result<T, TestbedError> {
        let line = self
            .told
            .recv_timeout(PATIENCE)
            .map_err(|_| TestbedError::SimulatedProcessSilent { pid: self.pid() })?;
        serde_json::from_str(&line)
            .map_err(|_| TestbedError::SimulatedProcessSilent { pid: self.pid() })
    }

    pub fn ask<T: DeserializeOwned>(&mut self, line: &str) -> Result<T, TestbedError> {
        let failed = |source| TestbedError::SimulatedProcess {
            arguments: line.chars().take(80).collect(),
            source,
        };
        writeln!(self.ask, "{line}").map_err(failed)?;
        self.heard()
    }

    /// Asks where no answer but that it was heard matters.
    pub fn tell(&mut self, line: &str) -> Result<(), TestbedError> {
        self.ask::<serde_json::Value>(line).map(drop)
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
