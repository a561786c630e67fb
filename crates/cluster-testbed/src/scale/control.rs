//! Control of the testbed processes that each simulate many peers: commands are lines on standard input, each answered by
//! one line of JSON on standard output.
use crate::error::TestbedError;
use crate::process::child_command;
use async_channel::Receiver;
use rosewall_runtime::node::StartError;
use rosewalld::config_file::ConfigFileError;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Stdio};
use std::sync::mpsc;
use std::time::Duration;

/// Time after which a process that has not answered counts as failed.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
/// Characters of a command that an error shows.
const MAX_SHOWN_COMMAND: usize = 80;
/// Answer to a command that returns no data.
const DONE: &str = "{}";

/// Failure that ends a process of simulated peers.
#[derive(Debug, thiserror::Error)]
pub enum SimulationError {
    /// A socket could not be opened.
    #[error(transparent)]
    Socket(#[from] std::io::Error),
    /// A command or an answer is not valid JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The bounds of a histogram are invalid.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
    /// The configuration of a dispatcher is invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigFileError),
    /// A dispatcher could not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A command is unknown.
    #[error("unknown command: {0}")]
    UnknownCommand(String),
}

/// A command: a name and its arguments.
pub struct Command<'a> {
    words: Vec<&'a str>,
}

impl<'a> Command<'a> {
    /// Name of the command.
    pub fn name(&self) -> &'a str {
        self.words[0]
    }

    /// Returns the argument at an index, from 0 on, as a number; `None` if it is missing or not a number.
    pub fn number(&self, index: usize) -> Option<usize> {
        self.words.get(index + 1)?.parse().ok()
    }

    /// Returns all arguments, joined without spaces.
    pub fn text(&self) -> String {
        self.words[1..].concat()
    }

    /// Returns the error for an unknown command.
    pub fn unknown(&self) -> SimulationError {
        SimulationError::UnknownCommand(self.name().to_string())
    }
}

/// Answer to a command.
pub enum Answer {
    /// The command has been executed and returns no data.
    Done,
    /// The requested data as JSON.
    Report(String),
}

impl Answer {
    /// Serializes a report as JSON.
    pub fn report(report: &impl Serialize) -> Result<Answer, SimulationError> {
        Ok(Answer::Report(serde_json::to_string(report)?))
    }
}

/// Commands that this process receives.
pub struct Commands(Receiver<String>);

impl Commands {
    /// Reads commands from standard input in a separate thread.
    pub fn from_stdin() -> Commands {
        let (sender, receiver) = async_channel::unbounded();
        std::thread::spawn(move || {
            for line in std::io::stdin().lock().lines().map_while(Result::ok) {
                if sender.send_blocking(line).is_err() {
                    return;
                }
            }
        });
        Commands(receiver)
    }

    /// Answers each command until standard input ends.
    pub async fn answer_all(
        &self,
        answer: impl Fn(&Command) -> Result<Answer, SimulationError>,
    ) -> Result<(), SimulationError> {
        while let Ok(line) = self.0.recv().await {
            let words: Vec<&str> = line.split_whitespace().collect();
            if words.is_empty() {
                continue;
            }
            match answer(&Command { words })? {
                Answer::Done => println!("{DONE}"),
                Answer::Report(text) => println!("{text}"),
            }
        }
        Ok(())
    }
}

/// Reports to the parent that this process has started; for processes without listening ports.
pub fn announce_started() {
    println!("{DONE}");
}

/// Reports to the parent that this process has started and listens on these ports.
pub fn announce_ports(ports: &[u16]) {
    println!("{}", serde_json::json!({ "ports": ports }));
}

/// Handle of the parent on a process of simulated peers, which is killed on drop.
pub struct SimulatedProcess {
    child: Child,
    commands: ChildStdin,
    answers: mpsc::Receiver<String>,
}

/// Forwards each line of the output to a channel, in a separate thread.
fn read_answers(output: ChildStdout) -> mpsc::Receiver<String> {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    receiver
}

impl SimulatedProcess {
    /// Starts this program with the hidden command and these arguments.
    pub fn start(arguments: &[String]) -> Result<SimulatedProcess, TestbedError> {
        let failed = |source| TestbedError::SimulatedProcess {
            arguments: arguments.join(" "),
            source,
        };
        let program = std::env::current_exe().map_err(failed)?;
        let mut child = child_command("", &program)
            .arg("hollow")
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(failed)?;
        let (Some(commands), Some(output)) = (child.stdin.take(), child.stdout.take()) else {
            return Err(failed(std::io::ErrorKind::BrokenPipe.into()));
        };
        Ok(SimulatedProcess {
            child,
            commands,
            answers: read_answers(output),
        })
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the next answer.
    pub fn receive<T: DeserializeOwned>(&self) -> Result<T, TestbedError> {
        let silent = || TestbedError::SimulatedProcessSilent { pid: self.pid() };
        let line = self.answers.recv_timeout(ANSWER_TIMEOUT);
        serde_json::from_str(&line.map_err(|_| silent())?).map_err(|_| silent())
    }

    /// Sends a command and returns its answer.
    pub fn request<T: DeserializeOwned>(&mut self, command: &str) -> Result<T, TestbedError> {
        writeln!(self.commands, "{command}").map_err(|source| TestbedError::SimulatedProcess {
            arguments: command.chars().take(MAX_SHOWN_COMMAND).collect(),
            source,
        })?;
        self.receive()
    }

    /// Sends a command and waits until it has been executed.
    pub fn send(&mut self, command: &str) -> Result<(), TestbedError> {
        self.request::<serde_json::Value>(command).map(drop)
    }
}

impl Drop for SimulatedProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
