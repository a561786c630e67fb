//! Starts, restarts and kills of dispatchers during a run.
use super::{Fleet, SimulatedDispatchers};
use crate::error::TestbedError;
use crate::process::Process;
use crate::testbed::request_status;
use std::time::{Duration, Instant};

/// Time within which a started process must be ready; otherwise the run fails.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time within which a process must end after SIGTERM; otherwise it is killed, as a deployment platform does.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between the end of a simulated dispatcher and its next start, so that its port is free.
const SIMULATED_RESTART_DELAY: Duration = Duration::from_millis(100);
const HEALTH_REQUEST: &str = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// Phase of a transition.
#[derive(Clone, Copy)]
enum Phase {
    /// A real dispatcher has been sent SIGTERM and has not ended.
    ShuttingDown,
    /// A real dispatcher has been started and is not ready.
    Starting,
    /// A simulated dispatcher has been killed and will start again.
    WaitingToRestart,
}

/// A dispatcher that is starting or shutting down.
#[derive(Clone, Copy)]
pub(super) struct Transition {
    number: usize,
    phase: Phase,
    since: Instant,
}

impl Transition {
    fn new(number: usize, phase: Phase) -> Self {
        Transition {
            number,
            phase,
            since: Instant::now(),
        }
    }
}

/// Returns the listening address of a process, once its log has it.
fn service_address(process: &Process) -> Option<String> {
    let line = process.wait_for_line("listening on ", Duration::ZERO)?;
    line.rsplit(' ').next().map(str::to_string)
}

fn is_healthy(address: &str) -> bool {
    request_status(address, HEALTH_REQUEST, HEALTH_TIMEOUT) == Some(200)
}

impl Fleet {
    /// Starts a real dispatcher without waiting until it is ready.
    pub(super) fn start_real(&mut self, number: usize) -> Result<(), TestbedError> {
        let configuration = self.folder.join(format!("n{number}.json"));
        self.real[number] = Some(Process::start(number, &configuration, &[])?);
        self.should_run[number] = true;
        self.transitions
            .push(Transition::new(number, Phase::Starting));
        Ok(())
    }

    /// Advances each dispatcher that is starting or shutting down.
    pub(super) fn advance_transitions(&mut self) -> Result<(), TestbedError> {
        for transition in std::mem::take(&mut self.transitions) {
            match transition.phase {
                Phase::ShuttingDown => self.advance_shutdown(transition)?,
                Phase::Starting => self.advance_start(transition)?,
                Phase::WaitingToRestart => {
                    if transition.since.elapsed() > SIMULATED_RESTART_DELAY {
                        self.start_again(transition.number)?;
                    } else {
                        self.transitions.push(transition);
                    }
                }
            }
        }
        Ok(())
    }

    fn advance_shutdown(&mut self, transition: Transition) -> Result<(), TestbedError> {
        let Some(process) = &mut self.real[transition.number] else {
            return Ok(());
        };
        if process.has_exited() || transition.since.elapsed() > SHUTDOWN_TIMEOUT {
            return self.start_real(transition.number);
        }
        self.transitions.push(transition);
        Ok(())
    }

    fn advance_start(&mut self, transition: Transition) -> Result<(), TestbedError> {
        let number = transition.number;
        let Some(process) = &self.real[number] else {
            return Ok(());
        };
        let address = service_address(process).filter(|address| is_healthy(address));
        if let Some(address) = address {
            self.ready_s.push(transition.since.elapsed().as_secs_f64());
            self.set_client_address(number, Some(&address));
        } else if transition.since.elapsed() > READY_TIMEOUT {
            return Err(TestbedError::NotReady {
                dispatcher: number,
                seconds: READY_TIMEOUT.as_secs(),
                last_line: process.lines().last().cloned().unwrap_or_default(),
            });
        } else {
            self.transitions.push(transition);
        }
        Ok(())
    }

    /// Sets the address at which clients reach a real dispatcher; `None` while it is not running.
    fn set_client_address(&self, number: usize, address: Option<&str>) {
        if let Ok(mut addresses) = self.client_addresses.lock() {
            addresses[number] = address.and_then(|address| address.parse().ok());
        }
    }

    /// Returns the process that simulates a dispatcher.
    fn simulated_with(&mut self, number: usize) -> Option<&mut SimulatedDispatchers> {
        let mut simulated = self.simulated.iter_mut();
        simulated.find(|simulated| simulated.numbers.contains(&number))
    }

    /// Kills a dispatcher.
    pub(super) fn kill(&mut self, number: usize) -> Result<(), TestbedError> {
        self.should_run[number] = false;
        if self.is_real(number) {
            if let Some(mut process) = self.real[number].take() {
                process.kill();
            }
            self.set_client_address(number, None);
        } else {
            self.send_to_simulated("kill", number)?;
        }
        self.discovery.send(&format!("gone {number}"))
    }

    /// Sends a command about one dispatcher to the process that simulates it.
    fn send_to_simulated(&mut self, command: &str, number: usize) -> Result<(), TestbedError> {
        let Some(simulated) = self.simulated_with(number) else {
            return Ok(());
        };
        let index = number - simulated.numbers[0];
        simulated.process.send(&format!("{command} {index}"))
    }

    /// Restarts a dispatcher, unless it has been killed.
    pub(super) fn restart(&mut self, number: usize) -> Result<(), TestbedError> {
        if !self.should_run[number] {
            return Ok(());
        }
        if !self.is_real(number) {
            self.kill(number)?;
            self.transitions
                .push(Transition::new(number, Phase::WaitingToRestart));
            return Ok(());
        }
        self.set_client_address(number, None);
        if let Some(process) = &self.real[number] {
            process.signal("TERM");
            self.transitions
                .push(Transition::new(number, Phase::ShuttingDown));
        }
        self.discovery.send(&format!("gone {number}"))
    }

    /// Starts a killed dispatcher again.
    pub(super) fn start_again(&mut self, number: usize) -> Result<(), TestbedError> {
        if self.should_run[number] {
            return Ok(());
        }
        if self.is_real(number) {
            return self.start_real(number);
        }
        self.should_run[number] = true;
        self.send_to_simulated("start", number)
    }
}
