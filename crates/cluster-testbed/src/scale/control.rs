//! Processes of the testbed itself that each stand for many peers: controlled by lines on standard input, each answered
//! by one line of JSON.
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

/// A process that does not answer within this time has failed.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
/// How much of a command an error shows.
const MAX_SHOWN_COMMAND: usize = 80;
/// The answer to a command that asks for nothing.
const DONE: &str = "{}";

/// Why a process that stands for many peers cannot go on.
#[derive(Debug, thiserror::Error)]
pub enum SimulationError {
    /// There is no socket.
    #[error(transparent)]
    Socket(#[from] std::io::Error),
    /// A command or an answer is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A histogram has no valid bounds.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
    /// The configuration of a dispatcher is not valid.
    #[error(transparent)]
    Configuration(#[from] ConfigFileError),
    /// A dispatcher cannot start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A command is not known.
    #[error("no such word: {0}")]
    UnknownCommand(String),
}

/// One command: a word and its arguments.
pub struct Command<'a> {
    words: Vec<&'a str>,
}

impl<'a> Command<'a> {
    /// The word.
    pub fn name(&self) -> &'a str {
        self.words[0]
    }

    /// An argument that is a number, from 0 on.
    pub fn number(&self, index: usize) -> Option<usize> {
        self.words.get(index + 1)?.parse().ok()
    }

    /// All arguments, without the blanks between them.
    pub fn text(&self) -> String {
        self.words[1..].concat()
    }

    /// The error for a command that is not known.
    pub fn unknown(&self) -> SimulationError {
        SimulationError::UnknownCommand(self.name().to_string())
    }
}

/// What a command is answered with.
pub enum Answer {
    /// It has been carried out.
    Done,
    /// What it asked for, as JSON.
    Report(String),
}

impl Answer {
    /// A report as JSON.
    pub fn report(report: &impl Serialize) -> Result<Answer, SimulationError> {
        Ok(Answer::Report(serde_json::to_string(report)?))
    }
}

/// The commands that this process gets.
pub struct Commands(Receiver<String>);

impl Commands {
    /// Reads them in a thread of its own.
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

    /// Answers each until there are no more.
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

/// Says that this process has started what needs no ports.
pub fn announce_started() {
    println!("{DONE}");
}

/// Says that this process has started, and at which ports it listens.
pub fn announce_ports(ports: &[u16]) {
    println!("{}", serde_json::json!({ "ports": ports }));
}

/// A process that stands for many peers, as its parent sees it. It is killed when this is dropped.
pub struct SimulatedProcess {
    child: Child,
    commands: ChildStdin,
    answers: mpsc::Receiver<String>,
}

/// Passes on each line of the output, in a thread of its own.
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
    /// Starts this program with the arguments of a hidden command.
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

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The next answer.
    pub fn receive<T: DeserializeOwned>(&self) -> Result<T, TestbedError> {
        let silent = || TestbedError::SimulatedProcessSilent { pid: self.pid() };
        let line = self.answers.recv_timeout(ANSWER_TIMEOUT);
        serde_json::from_str(&line.map_err(|_| silent())?).map_err(|_| silent())
    }

    /// Sends a command; its answer.
    pub fn request<T: DeserializeOwned>(&mut self, command: &str) -> Result<T, TestbedError> {
        writeln!(self.commands, "{command}").map_err(|source| TestbedError::SimulatedProcess {
            arguments: command.chars().take(MAX_SHOWN_COMMAND).collect(),
            source,
        })?;
        self.receive()
    }

    /// Sends a command and waits until it has been carried out.
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
