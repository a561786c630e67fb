//! Regular clients, whose requests must be answered in time whatever others do.
use crate::stubs::{read_message, request};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Number of clients, each with one connection.
const CLIENTS: usize = 8;
/// Pause after each answer.
const PAUSE: Duration = Duration::from_millis(25);
/// Time that a client waits for an answer, as its request states.
const DEADLINE: Duration = Duration::from_secs(2);
/// Time after the deadline from which a request counts as lost, by the operators' pages.
const LOST_AFTER: Duration = Duration::from_millis(500);
const ID_PREFIX: &str = "regular";

/// How a request of a regular client ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    Succeeded,
    Rejected,
    Failed,
    /// Answered after the deadline.
    Late,
    /// Not answered at all, or too late.
    Lost,
}

pub(super) struct RegularClients(Vec<JoinHandle<Vec<Outcome>>>);

impl RegularClients {
    /// Starts the clients, which send requests until `until`.
    pub fn start(address: &str, until: Instant) -> RegularClients {
        let start = |client: usize| {
            let address = address.to_string();
            thread::spawn(move || send_requests(client, &address, until))
        };
        RegularClients((0..CLIENTS).map(start).collect())
    }

    pub fn join(self) -> Vec<Outcome> {
        let outcomes = self.0.into_iter().map(|client| client.join().unwrap());
        outcomes.flatten().collect()
    }
}

fn send_requests(client: usize, address: &str, until: Instant) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    let mut connection = None;
    while Instant::now() < until {
        let id = format!("{ID_PREFIX}-{client}-{}", outcomes.len());
        let sent_at = Instant::now();
        // A connection that was closed between requests is replaced once, as the protocol says.
        let reused = connection.take().and_then(|open| exchange(open, &id));
        let answered = reused.or_else(|| exchange(connect(address)?, &id));
        let (outcome, open) = match answered {
            Some((status, open)) => (outcome(status, sent_at.elapsed()), open),
            None => (Outcome::Lost, None),
        };
        outcomes.push(outcome);
        connection = open;
        thread::sleep(PAUSE);
    }
    outcomes
}

fn outcome(status: u16, elapsed: Duration) -> Outcome {
    if elapsed > DEADLINE + LOST_AFTER {
        Outcome::Lost
    } else if elapsed > DEADLINE {
        Outcome::Late
    } else {
        match status {
            200 => Outcome::Succeeded,
            429 | 503 => Outcome::Rejected,
            _ => Outcome::Failed,
        }
    }
}

type Connection = BufReader<TcpStream>;

fn connect(address: &str) -> Option<Connection> {
    let address = address.parse().ok()?;
    let stream = TcpStream::connect_timeout(&address, DEADLINE).ok()?;
    stream.set_read_timeout(Some(DEADLINE + LOST_AFTER)).ok()?;
    Some(BufReader::new(stream))
}

/// Sends one request. Returns the status and the connection, if it stays open.
fn exchange(mut connection: Connection, id: &str) -> Option<(u16, Option<Connection>)> {
    let text = request(id, "thumb", DEADLINE.as_secs_f64(), "", "a body");
    connection.get_mut().write_all(text.as_bytes()).ok()?;
    let (head, _) = read_message(&mut connection)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let stays_open = !head.to_ascii_lowercase().contains("connection: close");
    Some((status, stays_open.then_some(connection)))
}
