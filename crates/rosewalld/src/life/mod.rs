//! Start, signals, stop.
mod logger;
pub mod start;

use std::process::ExitCode;

pub fn run() -> ExitCode {
    logger::start();
    let ended = start::run();
    log::logger().flush();
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("rosewalld: {fault}");
            ExitCode::FAILURE
        }
    }
}
