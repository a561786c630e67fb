//! Sends requests over reused connections and counts their outcomes.
use super::LoadTotals;
use super::schedule::PlannedRequest;
use crate::scale::http::{MessageReader, unix_nanos};
use crate::stubs::request;
use async_io::Async;
use futures_lite::AsyncWriteExt;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Address of each dispatcher for clients, or `None` while it is not running.
pub type ClientAddresses = Arc<Mutex<Vec<Option<SocketAddr>>>>;

/// Classes of non-urgent requests, assigned round robin.
const NON_URGENT_CLASSES: [&str; 3] = ["thumb", "invoice", "charge"];

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// HTTP status of the response.
    Response(u16),
    /// There was no connection, or it ended without a response.
    Lost,
    /// The dispatcher was not running.
    DispatcherDown,
}

/// A reusable connection, whose last request has been answered.
struct IdleConnection {
    address: SocketAddr,
    stream: Async<TcpStream>,
}

pub(super) struct Clients {
    addresses: ClientAddresses,
    /// Idle connections, by the number of the dispatcher.
    idle: RefCell<Vec<Vec<IdleConnection>>>,
    totals: RefCell<LoadTotals>,
    timeout: Duration,
}

fn status_in(head: &str) -> Option<u16> {
    head.split(' ').nth(1)?.parse().ok()
}

impl Clients {
    pub(super) fn new(addresses: ClientAddresses, dispatchers: usize, timeout: Duration) -> Self {
        Clients {
            addresses,
            idle: RefCell::new((0..dispatchers).map(|_| Vec::new()).collect()),
            totals: RefCell::default(),
            timeout,
        }
    }

    pub(super) fn totals(&self) -> LoadTotals {
        *self.totals.borrow()
    }

    /// Sends a request and waits for its outcome.
    pub(super) async fn send(&self, planned: &PlannedRequest) -> Outcome {
        let address = match self.addresses.lock() {
            Ok(addresses) => addresses.get(planned.dispatcher).copied().flatten(),
            Err(_) => return Outcome::Lost,
        };
        let Some(address) = address else {
            return Outcome::DispatcherDown;
        };
        let status = self.exchange(planned, address).await;
        status.map_or(Outcome::Lost, Outcome::Response)
    }

    async fn exchange(&self, planned: &PlannedRequest, address: SocketAddr) -> Option<u16> {
        let idle = self.idle.borrow_mut()[planned.dispatcher]
            .pop()
            .filter(|idle| idle.address == address);
        let text = self.request_text(planned);
        let mut stream = match idle {
            Some(idle) => idle.stream,
            None => Async::<TcpStream>::connect(address).await.ok()?,
        };
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut reader = MessageReader::default();
        let message = reader.next(&mut stream, |_| ()).await?;
        let message = message.to_ascii_lowercase();
        if !message.contains("connection: close") {
            let idle = IdleConnection { address, stream };
            self.idle.borrow_mut()[planned.dispatcher].push(idle);
        }
        status_in(&message)
    }

    fn request_text(&self, planned: &PlannedRequest) -> String {
        let class = if planned.urgent {
            "urgent"
        } else {
            NON_URGENT_CLASSES[planned.serial as usize % NON_URGENT_CLASSES.len()]
        };
        let urgency = if planned.urgent { "urgent" } else { "usual" };
        let work_us = planned.work.as_micros();
        let body = format!("{work_us} {} {urgency}", unix_nanos());
        let id = format!("d{}-{}", planned.dispatcher, planned.serial);
        let headers = format!("Work-Hint: {work_us}\r\n");
        let text = request(&id, class, self.timeout.as_secs_f64(), &headers, &body);
        text.replacen("Tenant: acme", &format!("Tenant: t{}", planned.tenant), 1)
    }

    pub(super) fn count_sent(&self, planned: &PlannedRequest) {
        if planned.measured {
            self.totals.borrow_mut().requests += 1;
        }
    }

    pub(super) fn count_outcome(&self, planned: &PlannedRequest, outcome: Outcome) {
        let mut totals = self.totals.borrow_mut();
        if outcome == Outcome::Response(200) {
            totals.all_succeeded += 1;
        } else {
            totals.all_failed += 1;
        }
        if !planned.measured {
            return;
        }
        match outcome {
            Outcome::Response(200) => totals.succeeded += 1,
            Outcome::Response(503 | 429) => totals.rejected += 1,
            Outcome::Response(502 | 504) => totals.failed += 1,
            Outcome::Response(_) => totals.other += 1,
            Outcome::DispatcherDown => totals.down += 1,
            Outcome::Lost => totals.lost += 1,
        }
    }
}
