//! What all parts of the environment share: the clock, the network and the checker.
use crate::checker::{Checker, Rule};
use crate::kernel::{Event, Kernel, OwnedEvent};
use crate::network::Network;
use std::cell::RefCell;
use std::rc::Rc;

/// The clock, the network and the checker of one simulation.
pub struct Context {
    /// The virtual clock and the event queue.
    pub kernel: Rc<Kernel>,
    /// The virtual network.
    pub network: Rc<Network>,
    /// The checker of the rules.
    pub checker: RefCell<Checker>,
}

impl Context {
    /// Lets the next event happen.
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

    /// Reports a violation of a rule at this moment.
    pub fn report_violation(&self, rule: Rule, text: String) {
        self.checker
            .borrow_mut()
            .report_violation(self.kernel.now(), rule, text);
    }
}
