//! Runs many dispatchers behind the simulator's binary protocol: reads batches of events from
//! standard input and writes replies with the resulting actions to standard output. Contains no
//! policy of its own.
mod actions;
mod codec;
mod codes;
mod error;
mod events;
mod host;
#[cfg(test)]
mod tests;

use codec::Reply;
use error::AdapterError;
use host::Host;
use std::io;
use std::process::ExitCode;

fn run() -> Result<(), AdapterError> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut batch = Vec::new();
    let mut reply = Reply::new();
    while codec::read_batch(&mut input, &mut batch)? {
        reply.clear();
        host.handle_batch(&batch, &mut reply)?;
        reply.write(&mut output)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rosewall-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}
