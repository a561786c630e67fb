//! The runtime of a dispatcher, based on the virtual clock and network, with a separate executor.
use crate::context::Context;
use crate::network::{HostId, VirtualDatagramSocket, VirtualListener, VirtualStream};
use async_executor::{LocalExecutor, Task};
use rosewall::types::Nanos;
use rosewall_runtime::traits::Runtime;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

/// The runtime of one dispatcher.
pub struct VirtualRuntime {
    pub(super) context: Rc<Context>,
    pub(super) host: HostId,
    pub(super) executor: Weak<LocalExecutor<'static>>,
    /// Number of tasks of the dispatcher.
    pub(super) tasks: Rc<Cell<usize>>,
    /// Time by which the dispatcher's wall clock is ahead of the virtual clock.
    pub(super) clock_offset: Nanos,
}

/// Counts a task until it is dropped.
struct TaskCounter(Rc<Cell<usize>>);

impl TaskCounter {
    fn new(tasks: &Rc<Cell<usize>>) -> Self {
        tasks.set(tasks.get() + 1);
        TaskCounter(tasks.clone())
    }
}

impl Drop for TaskCounter {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Runtime for VirtualRuntime {
    type Stream = VirtualStream;
    type Listener = VirtualListener;
    type DatagramSocket = VirtualDatagramSocket;

    fn bind_datagram_socket(
        &self,
        at: SocketAddr,
        through: Option<SocketAddr>,
    ) -> io::Result<VirtualDatagramSocket> {
        match through {
            Some(_) => Err(io::ErrorKind::Unsupported.into()),
            None => Ok(VirtualDatagramSocket::bind(
                &self.context.network,
                self.host,
                at,
            )),
        }
    }

    fn now(&self) -> Nanos {
        self.context.kernel.now() + self.clock_offset
    }

    async fn sleep_until(&self, at: Nanos) {
        self.context
            .kernel
            .sleep_until(self.host, at.saturating_sub(self.clock_offset))
            .await;
    }

    fn spawn(&self, work: impl Future<Output = ()> + 'static) -> Task<()> {
        let counter = TaskCounter::new(&self.tasks);
        let work = async move {
            let _counter = counter;
            work.await;
        };
        match self.executor.upgrade() {
            Some(executor) => executor.spawn(work),
            // The dispatcher is being dropped: the task never runs.
            None => LocalExecutor::new().spawn(work),
        }
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<VirtualStream> {
        self.context.network.connect(self.host, to).await
    }
}
