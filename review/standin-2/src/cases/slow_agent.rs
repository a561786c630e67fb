//! Discovery answers slowly while a worker begins to drain.
use super::lost_with_the_worker;
use crate::client::{self, Request};
use crate::discovery::Discovery;
use crate::dispatcher::{Dispatcher, Setup};
use crate::settings::MANAR;
use crate::worker::{Log, Reply, Worker, AMPLE};
use crate::{Finding, Run};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const WORKERS: usize = 5;
const RUN_MS: u64 = 180;
/// How much longer each answer of discovery takes, and for how long, in seconds.
const DELAY: Duration = Duration::from_millis(1500);
const SLOW: (f64, f64) = (3.0, 28.0);
/// When the worker begins to drain.
const DRAIN_AT: f64 = 6.0;
/// When the platform ends the worker that drains, and the clients stop.
const LEAVE_AT: f64 = 22.0;
const END: f64 = 31.0;
/// The latest time after which a change counts as told, the grace, and the slack of the rules on sockets.
const TOLD_WITHIN: Duration = Duration::from_secs(6);
const GRACE: Duration = Duration::from_millis(3000 + 50);

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
    let address = dispatcher.address;
    let load = thread::spawn({
        let record = record.clone();
        move || {
            let mut clients = Vec::new();
            let mut number = 0;
            while record.now().as_secs_f64() < END {
                let request = Request {
                    id: format!("r{number:04}"),
                    class: if number % 2 == 0 {
                        "page-rebuild"
                    } else {
                        "seller-message"
                    },
                    tenant: MANAR.tenant,
                    timeout: Duration::from_secs(5),
                    run_ms: RUN_MS + 13 * (number % 11),
                    hints: true,
                    body: "{}".into(),
                };
                let record = record.clone();
                clients.push(thread::spawn(move || {
                    client::send(&record, address, &request, Duration::from_secs(6))
                }));
                number += 1;
                thread::sleep(Duration::from_millis(150));
            }
            clients
                .into_iter()
                .filter_map(|client| client.join().ok())
                .collect::<Vec<_>>()
        }
    });
    run.until(SLOW.0);
    if run.trouble {
        discovery.set_delay(DELAY);
        record.line("discovery answers slowly from now on");
    }
    run.until(DRAIN_AT);
    let drained_at = discovery.set(&[("w0", workers[0].entry("charguia", 0, "draining"))]);
    record.line_at(drained_at, "discovery has it that w0 drains");
    run.until(LEAVE_AT);
    let held = workers[0].end_while_busy("seller-message", Duration::from_secs(2));
    discovery.set(&[("w0", workers[0].entry("charguia", 0, "gone"))]);
    record.line(&format!("w0 has ended and held {held:?}"));
    run.until(SLOW.1);
    discovery.set_delay(Duration::ZERO);
    record.line("discovery answers at once from now on");
    let outcomes = load.join().map_err(|_| "the clients failed".to_string())?;
    dispatcher.end();

    let seen = log.lock().unwrap();
    let last = drained_at + TOLD_WITHIN + GRACE;
    let to_drained: Vec<_> = seen
        .postings
        .iter()
        .filter(|posting| posting.worker == "w0")
        .collect();
    let before = to_drained
        .iter()
        .filter(|posting| posting.first_byte < drained_at)
        .count();
    let breaks = to_drained
        .iter()
        .filter(|posting| posting.first_byte > last);
    let breaks: Vec<String> = breaks
        .map(|posting| {
            let after = (posting.first_byte - drained_at).as_secs_f64();
            format!(
                "{} went to w0 {after:.2} s after discovery had it that w0 drains",
                posting.id
            )
        })
        .collect();
    let served = outcomes
        .iter()
        .filter(|outcome| outcome.answer.is_some_and(|(status, _)| status == 200))
        .count();
    Ok(Finding {
        breaks,
        counted: format!(
            "{} requests, {served} answered 200; {} postings to w0, {before} of them before it drained; {}",
            outcomes.len(),
            to_drained.len(),
            lost_with_the_worker(&held, &outcomes)
        ),
    })
}
