//! Hollow dispatchers: many in one process, each with the decisions, the machines and the drivers of the program as they are, a
//! port for datagrams and a watch on discovery. What they do not have: a process, a log and an executor of their own, and clients.
use crate::scale::child::Asked;
use async_executor::LocalExecutor;
use async_io::Timer;
use rosewall_runtime::node::Node;
use rosewalld::config_file;
use rosewalld::sockets::{SocketListener, Sockets};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Views {
    /// The rank of each among the members, and how many it holds these to be.
    pub views: Vec<(usize, usize)>,
    /// How many have a list of workers.
    pub ready: usize,
    /// Bytes that they sent to each other.
    pub bytes: u64,
}

struct Crowd {
    ex: Rc<LocalExecutor<'static>>,
    files: Vec<String>,
    nodes: RefCell<Vec<Option<Node<Sockets>>>>,
}

impl Crowd {
    fn start(&self, at: usize) -> Result<(), String> {
        let given =
            config_file::load(Path::new(&self.files[at])).map_err(|error| error.to_string())?;
        let listener = SocketListener::bind(given.listen).map_err(|error| error.to_string())?;
        let node = Node::start(Sockets::new(self.ex.clone()), given, listener)
            .map_err(|error| error.to_string())?;
        self.nodes.borrow_mut()[at] = Some(node);
        Ok(())
    }

    fn answer(&self, words: &[&str]) -> Result<String, String> {
        let at = words
            .get(1)
            .and_then(|word| word.parse::<usize>().ok())
            .filter(|at| *at < self.files.len());
        match (words[0], at) {
            ("views", _) => {
                let mut seen = Views::default();
                for node in self.nodes.borrow().iter().flatten() {
                    let text = node
                        .context
                        .cluster
                        .as_ref()
                        .map(ToString::to_string)
                        .unwrap_or_default();
                    let word = |name: &str| {
                        text.split(' ')
                            .find_map(|word| word.strip_prefix(name))
                            .unwrap_or("")
                    };
                    let number = |name| word(name).parse().unwrap_or(0);
                    seen.views.push((number("rank="), number("count=")));
                    seen.ready += usize::from(node.context.ready.get());
                    seen.bytes += word("bytes=").parse().unwrap_or(0);
                }
                return serde_json::to_string(&seen).map_err(|error| error.to_string());
            }
            // Killed: its port closes and its tasks end where they are.
            ("kill", Some(at)) => drop(self.nodes.borrow_mut()[at].take()),
            ("start", Some(at)) => self.start(at)?,
            (other, _) => return Err(format!("no such word: {other}")),
        }
        Ok("{}".to_string())
    }
}

/// Runs those of the files in a folder until standard input ends; `apart` lies between their starts.
pub fn run(folder: &Path, numbers: &[usize], apart: Duration) -> Result<(), String> {
    let ex = Rc::new(LocalExecutor::new());
    let files: Vec<String> = numbers
        .iter()
        .map(|at| {
            folder
                .join(format!("n{at}.json"))
                .to_string_lossy()
                .into_owned()
        })
        .collect();
    let nodes = RefCell::new(numbers.iter().map(|_| None).collect());
    let crowd = Rc::new(Crowd {
        ex: ex.clone(),
        files,
        nodes,
    });
    let asked = Asked::new();
    let running = async {
        for at in 0..numbers.len() {
            crowd.start(at)?;
            Timer::after(apart).await;
        }
        println!("{{}}");
        asked.answer(|words| crowd.answer(words)).await
    };
    async_io::block_on(ex.run(running))
}
