//! Clients send many commands at once on one connection.
use crate::client::{self, Request};
use crate::discovery::Discovery;
use crate::dispatcher::{Dispatcher, Setup};
use crate::http::Connection;
use crate::settings::MANAR;
use crate::worker::{Log, Reply, Worker, AMPLE};
use crate::{Finding, Run};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const WORKERS: usize = 6;
const COMMANDS: usize = 20;
/// Running time of a page, and the time that a client waits for it.
const RUN_MS: u64 = 450;
const EXPIRY: Duration = Duration::from_secs(5);
/// What the pages allow an answer after its time, and the slack of the rules on sockets.
const SLACK: Duration = Duration::from_millis(500 + 50);

fn command(number: usize) -> Request {
    Request {
        id: format!("page-{number:03}"),
        class: "page-rebuild",
        tenant: MANAR.tenant,
        timeout: EXPIRY,
        run_ms: RUN_MS,
        hints: true,
        body: "{}".into(),
    }
}

pub fn run(run: &Run) -> Result<Finding, String> {
    let record = &run.record;
    let log = Log::default();
    let discovery = Discovery::start("agent", record, 40);
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let name = format!("w{number}");
        let worker = Worker::start(&name, record, &log, AMPLE, Arc::new(|_| Reply::Done));
        discovery.set(&[(&name, worker.entry("charguia", 0, "ready"))]);
        workers.push(worker);
    }
    let setup = Setup {
        name: "n0",
        discovery: discovery.address,
        known: &discovery.whole_list(),
        memory_mb: 192,
        settings: &MANAR.settings(0),
    };
    let mut dispatcher = Dispatcher::start(&run.folder, record, &setup)?;
    thread::sleep(Duration::from_secs(1));
    let address = dispatcher.address;
    // Number, time of the last byte, and status and time of the answer of each command.
    let mut results: Vec<(usize, Duration, Option<(u16, Duration)>)> = Vec::new();
    if run.trouble {
        let failed = |error: std::io::Error| error.to_string();
        let mut connection = Connection::connect(address).map_err(failed)?;
        let bytes: Vec<u8> = (0..COMMANDS)
            .flat_map(|number| command(number).bytes())
            .collect();
        connection.write(&bytes).map_err(failed)?;
        let sent = record.now();
        record.line(&format!(
            "client: sent {COMMANDS} commands at once, {} bytes",
            bytes.len()
        ));
        let until = Instant::now() + Duration::from_secs(30);
        for number in 0..COMMANDS {
            let answer = connection
                .read(Some(until))
                .ok()
                .map(|answer| (answer.status(), record.now()));
            record.line(&format!("client: page-{number:03} was answered {answer:?}"));
            results.push((number, sent, answer));
        }
    } else {
        for number in 0..COMMANDS {
            let outcome = client::send(
                record,
                address,
                &command(number),
                EXPIRY + Duration::from_secs(1),
            );
            results.push((number, outcome.sent, outcome.answer));
        }
    }
    dispatcher.end();

    let mut breaks = Vec::new();
    for (number, sent, answer) in &results {
        let due = *sent + EXPIRY + SLACK;
        match answer {
            None => breaks.push(format!("page-{number:03} had no answer")),
            Some((status, at)) if *at > due => breaks.push(format!(
                "page-{number:03} was answered {status} {:.2} s after its last byte, its client waits for {:.2} s",
                (*at - *sent).as_secs_f64(),
                EXPIRY.as_secs_f64()
            )),
            Some(_) => {}
        }
    }
    let seen = log.lock().unwrap();
    let told_too_much = seen.postings.iter().filter(|posting| {
        let number: Option<usize> = posting
            .id
            .strip_prefix("page-")
            .and_then(|number| number.parse().ok());
        let sent = number
            .and_then(|number| results.get(number))
            .map(|(_, sent, _)| *sent);
        sent.is_some_and(|sent| {
            let left = (sent + EXPIRY).as_secs_f64() - posting.last_byte.as_secs_f64();
            posting.timeout > left + 0.15
        })
    });
    let told_too_much = told_too_much.count();
    Ok(Finding {
        breaks,
        counted: format!(
            "{COMMANDS} commands, {} postings, {told_too_much} of them told the worker more time than was left to the client and 0.15 s",
            seen.postings.len()
        ),
    })
}
