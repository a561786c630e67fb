//! Dispatchers of this process, addressed by instance numbers that the simulator assigns.
use crate::actions;
use crate::codec::{Fields, Reply};
use crate::error::AdapterError;
use crate::events::{self, Incoming};
use rosewall::policy::Dispatcher;
use rosewall::types::{Action, Event, Nanos};
use rosewall_settings::SettingsMap;
use rustc_hash::FxHashMap;

/// Running dispatchers by instance number.
#[derive(Default)]
pub struct Host {
    dispatchers: FxHashMap<u32, Dispatcher>,
    /// Buffer reused for each event to save allocations.
    actions: Vec<Action>,
}

/// Instances that the current records of a batch and of its reply belong to.
#[derive(Default)]
struct Context {
    /// Instance that the following records of the batch address; `None` until the batch names one.
    instance: Option<u32>,
    /// Instance last named in the reply; `None` until the reply names one.
    reply_instance: Option<u32>,
}

impl Context {
    /// Returns the instance that a record addresses, or an error if the batch has named none.
    fn instance_for(&self, record: &'static str) -> Result<u32, AdapterError> {
        self.instance.ok_or(AdapterError::NoInstance { record })
    }
}

impl Host {
    /// Handles the records of one batch and appends the resulting actions to the reply.
    pub fn handle_batch(&mut self, bytes: &[u8], reply: &mut Reply) -> Result<(), AdapterError> {
        let mut fields = Fields::new(bytes);
        let now = fields.u64()?;
        let count = fields.u32()?;
        let mut context = Context::default();
        for _ in 0..count {
            let (code, record) = fields.record()?;
            let incoming = events::read(code, record)
                .map_err(|source| AdapterError::Record { code, source })?;
            match incoming {
                Incoming::Instance(instance) => context.instance = Some(instance),
                Incoming::Start { seed, settings } => {
                    let instance = context.instance_for("a start")?;
                    self.start(now, instance, seed, &settings)?;
                }
                Incoming::Stop => {
                    self.dispatchers.remove(&context.instance_for("a stop")?);
                }
                Incoming::Event(event) => self.handle_event(now, event, &mut context, reply)?,
                Incoming::Ignored => {}
            }
        }
        Ok(())
    }

    fn start(
        &mut self,
        now: Nanos,
        instance: u32,
        seed: u64,
        settings: &SettingsMap,
    ) -> Result<(), AdapterError> {
        let dispatcher = Dispatcher::start(now, seed, settings)?;
        self.dispatchers.insert(instance, dispatcher);
        Ok(())
    }

    fn handle_event(
        &mut self,
        now: Nanos,
        event: Event,
        context: &mut Context,
        reply: &mut Reply,
    ) -> Result<(), AdapterError> {
        let instance = context.instance_for("an event")?;
        let dispatcher = self
            .dispatchers
            .get_mut(&instance)
            .ok_or(AdapterError::UnknownInstance { instance })?;
        dispatcher.handle(now, event, &mut self.actions);
        if !self.actions.is_empty() && context.reply_instance != Some(instance) {
            actions::write_instance(instance, reply);
            context.reply_instance = Some(instance);
        }
        for action in self.actions.drain(..) {
            actions::write(&action, reply);
        }
        Ok(())
    }
}
