//! A client that follows the operators' protocol page.
use crate::http::{is_timeout, Connection};
use crate::record::Record;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// One request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub class: &'static str,
    pub tenant: &'static str,
    /// Time that the client waits for the answer.
    pub timeout: Duration,
    /// Running time of the job; a worker reads it in the query.
    pub run_ms: u64,
    /// Whether the client gives a guess at the work, and then a good one.
    pub hints: bool,
    pub body: String,
}

impl Request {
    pub fn bytes(&self) -> Vec<u8> {
        let hint = if self.hints {
            format!("Work-Hint: {}\r\n", self.run_ms * 1000)
        } else {
            String::new()
        };
        format!(
            "POST /{}?ms={} HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {}\r\nRequest-Class: {}\r\nTenant: {}\r\n\
             Request-Timeout: {:.3}\r\n{hint}Content-Length: {}\r\n\r\n{}",
            self.class,
            self.run_ms,
            self.id,
            self.class,
            self.tenant,
            self.timeout.as_secs_f64(),
            self.body.len(),
            self.body
        )
        .into_bytes()
    }
}

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub class: &'static str,
    pub sent: Duration,
    /// Status and time of the answer; `None` if there was none.
    pub answer: Option<(u16, Duration)>,
    pub why: String,
}

/// Sends one request on a new connection and waits for its answer, for `patience` at most.
pub fn send(
    record: &Record,
    address: SocketAddr,
    request: &Request,
    patience: Duration,
) -> Outcome {
    let mut outcome = Outcome {
        id: request.id.clone(),
        class: request.class,
        sent: record.now(),
        answer: None,
        why: String::new(),
    };
    let result = Connection::connect(address).and_then(|mut connection| {
        connection.write(&request.bytes())?;
        outcome.sent = record.now();
        connection.read(Some(Instant::now() + patience))
    });
    match result {
        Ok(answer) => outcome.answer = Some((answer.status(), record.now())),
        Err(error) if is_timeout(&error) => outcome.why = "no answer".into(),
        Err(error) => outcome.why = error.to_string(),
    }
    record.line_at(
        outcome.sent,
        &format!("client: sent {} ({})", outcome.id, request.class),
    );
    match &outcome.answer {
        Some((status, at)) => record.line_at(
            *at,
            &format!("client: {} was answered {status}", outcome.id),
        ),
        None => record.line(&format!(
            "client: {} had no answer: {}",
            outcome.id, outcome.why
        )),
    }
    outcome
}
