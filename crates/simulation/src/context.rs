//! State shared by all parts of the simulated environment: clock, network and checker.
use crate::checker::{Checker, Rule};
use crate::kernel::{Event, Kernel, OwnedEvent};
use crate::network::Network;
use std::cell::RefCell;
use std::rc::Rc;

/// Clock, network and checker of one simulation.
pub struct Context {
    /// Virtual clock and event queue.
    pub kernel: Rc<Kernel>,
    /// Virtual network between all hosts.
    pub network: Rc<Network>,
    /// Checker that receives the events and reports violations.
    pub checker: RefCell<Checker>,
}

impl Context {
    /// Advances the clock to the next event and processes it; does nothing if the queue is empty.
    pub fn step(&self) {
        let Some(OwnedEvent { owner, event }) = self.kernel.next_event() else {
            return;
        };
        match event {
            Event::Wake(waker) => self.kernel.wake(owner, waker),
            Event::Deliver { link, direction } => self.network.deliver(link, direction),
            Event::Datagram(datagram) => self.network.deliver_datagram(datagram),
        }
    }

    /// Reports a violation of a rule at the current virtual time.
    pub fn report_violation(&self, rule: Rule, text: String) {
        self.checker
            .borrow_mut()
            .report_violation(self.kernel.now(), rule, text);
    }
}
