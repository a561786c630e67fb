//! Start, signals, stop.
mod logger;
mod start;

use std::process::ExitCode;

pub fn run() -> ExitCode {
    logger::start();
    match start::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("rosewalld: {fault}");
            ExitCode::FAILURE
        }
    }
}
