//! Simulated dispatchers: many in one process, each with the unchanged decisions, state machines and drivers of the program,
//! a datagram port and a watch on discovery. They share a process, log and executor, and have no clients.
use super::control::{Answer, Command, Commands, SimulationError, announce_started};
use async_executor::LocalExecutor;
use async_io::Timer;
use rosewall_runtime::node::Node;
use rosewalld::config_file;
use rosewalld::sockets::{SocketListener, Sockets};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Membership view of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "(usize, usize)", from = "(usize, usize)")]
pub struct MembershipView {
    /// Rank of the dispatcher.
    pub rank: usize,
    /// Number of known members, including the dispatcher.
    pub members: usize,
}

impl From<(usize, usize)> for MembershipView {
    fn from((rank, members): (usize, usize)) -> Self {
        MembershipView { rank, members }
    }
}

impl From<MembershipView> for (usize, usize) {
    fn from(view: MembershipView) -> Self {
        (view.rank, view.members)
    }
}

/// Membership views of the dispatchers of a process.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Views {
    /// View of each running dispatcher.
    pub views: Vec<MembershipView>,
    /// Number of dispatchers that have an endpoint list.
    pub ready: usize,
    /// Bytes that the dispatchers sent to other members.
    pub bytes: u64,
}

struct Dispatchers {
    executor: Rc<LocalExecutor<'static>>,
    configurations: Vec<PathBuf>,
    /// Running dispatchers, by their index in this process.
    nodes: RefCell<Vec<Option<Node<Sockets>>>>,
}

/// Returns the number after a prefix in the description of a cluster, or 0.
fn number_in<T: std::str::FromStr + Default>(description: &str, prefix: &str) -> T {
    let mut words = description.split(' ');
    let number = words.find_map(|word| word.strip_prefix(prefix));
    number.unwrap_or("").parse().unwrap_or_default()
}

impl Dispatchers {
    fn start(&self, index: usize) -> Result<(), SimulationError> {
        let configuration = config_file::load(&self.configurations[index])?;
        let listener = SocketListener::bind(configuration.listen)?;
        let node = Node::start(Sockets::new(self.executor.clone()), configuration, listener)?;
        self.nodes.borrow_mut()[index] = Some(node);
        Ok(())
    }

    fn answer(&self, command: &Command) -> Result<Answer, SimulationError> {
        let index = command
            .number(0)
            .filter(|index| *index < self.configurations.len());
        match (command.name(), index) {
            ("views", _) => return Answer::report(&self.views()),
            // Dropping a node closes its port and cancels its tasks.
            ("kill", Some(index)) => drop(self.nodes.borrow_mut()[index].take()),
            ("start", Some(index)) => self.start(index)?,
            _ => return Err(command.unknown()),
        }
        Ok(Answer::Done)
    }

    fn views(&self) -> Views {
        let mut views = Views::default();
        for node in self.nodes.borrow().iter().flatten() {
            let cluster = node.context.cluster.as_ref();
            let description = cluster.map(ToString::to_string).unwrap_or_default();
            views.views.push(MembershipView {
                rank: number_in(&description, "rank="),
                members: number_in(&description, "count="),
            });
            views.ready += usize::from(node.context.ready.get());
            views.bytes += number_in::<u64>(&description, "bytes=");
        }
        views
    }
}

/// Runs the dispatchers with these numbers until standard input ends, started one per `interval`. Their configuration files
/// are in `folder`.
pub fn run(folder: &Path, numbers: &[usize], interval: Duration) -> Result<(), SimulationError> {
    let executor = Rc::new(LocalExecutor::new());
    let configurations = numbers
        .iter()
        .map(|number| folder.join(format!("n{number}.json")));
    let dispatchers = Dispatchers {
        executor: executor.clone(),
        configurations: configurations.collect(),
        nodes: RefCell::new(numbers.iter().map(|_| None).collect()),
    };
    let commands = Commands::from_stdin();
    let running = async {
        for index in 0..numbers.len() {
            dispatchers.start(index)?;
            Timer::after(interval).await;
        }
        announce_started();
        commands
            .answer_all(|command| dispatchers.answer(command))
            .await
    };
    async_io::block_on(executor.run(running))
}
