//! Hosts many dispatchers on one wire. Decides nothing: bytes in, events on, actions out.
mod codec;
#[cfg(test)]
mod tests;
mod translate;

use codec::{Fault, Fields, Reply};
use rosewall::policy::Dispatcher;
use rosewall::types::Action;
use rustc_hash::FxHashMap;
use std::io;
use std::process::ExitCode;
use translate::Incoming;

#[derive(Default)]
struct DiscoveredEndpoint {
    instances: FxHashMap<u32, Dispatcher>,
    actions: Vec<Action>,
}

impl DiscoveredEndpoint {
    fn batch(&mut self, bytes: &[u8], reply: &mut Reply) -> Result<(), Fault> {
        let mut fields = Fields::new(bytes);
        let now = fields.u64()?;
        let count = fields.u32()?;
        let mut current = None;
        let mut answering = None;
        for _ in 0..count {
            let (code, record) = fields.record()?;
            let incoming = translate::incoming(code, record)
                .map_err(|fault| format!("record of code {code}: {fault}"))?;
            match incoming {
                Incoming::Switch(instance) => current = Some(instance),
                Incoming::Unknown => {}
                Incoming::Create { seed, settings } => {
                    let instance = current.ok_or("a start before any instance was named")?;
                    self.instances.insert(
                        instance,
                        Dispatcher::start(now, seed, &settings)
                            .map_err(|error| error.to_string())?,
                    );
                }
                Incoming::Stop => {
                    let instance = current.ok_or("a stop before any instance was named")?;
                    self.instances.remove(&instance);
                }
                Incoming::For(event) => {
                    let instance = current.ok_or("an event before any instance was named")?;
                    let dispatcher = self.instances.get_mut(&instance).ok_or_else(|| {
                        format!("an event for instance {instance}, which does not run")
                    })?;
                    dispatcher.handle(now, event, &mut self.actions);
                    if !self.actions.is_empty() && answering != Some(instance) {
                        translate::switch(instance, reply);
                        answering = Some(instance);
                    }
                    self.actions
                        .drain(..)
                        .for_each(|action| translate::outgoing(&action, reply));
                }
            }
        }
        Ok(())
    }
}

fn run() -> Result<(), Fault> {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let (mut host, mut buffer, mut reply) =
        (DiscoveredEndpoint::default(), Vec::new(), Reply::new());
    while codec::read_batch(&mut input, &mut buffer)? {
        reply.clear();
        host.batch(&buffer, &mut reply)?;
        reply.write(&mut output)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("rosewall-wirehost: {fault}");
            ExitCode::FAILURE
        }
    }
}
