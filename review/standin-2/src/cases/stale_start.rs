//! A dispatcher is killed and starts again while discovery is down.
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
/// When the dispatcher is killed, the agent gets the drain, discovery goes down, the dispatcher starts
/// again, and discovery is back, in seconds.
const KILL_AT: f64 = 3.0;
const DRAIN_AT: f64 = 3.2;
const DOWN_AT: f64 = 3.6;
const START_AT: f64 = 4.5;
const BACK_AT: f64 = 11.6;
/// When the platform ends the worker that drains, and the clients stop.
const LEAVE_AT: f64 = 10.5;
const END: f64 = 15.0;
/// The grace, and the slack of the rules on sockets.
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
    // What the dispatcher last had: nothing changes before it is killed.
    let known = discovery.whole_list();
    let settings = MANAR.settings(0);
    let setup = Setup {
        name: "n0",
        discovery: discovery.address,
        known: &known,
        memory_mb: 192,
        settings: &settings,
    };
    let mut dispatcher = Dispatcher::start(&run.folder, record, &setup)?;
    let address = dispatcher.address;
    let load = thread::spawn({
        let record = record.clone();
        move || {
            let mut clients = Vec::new();
            while record.now().as_secs_f64() < END {
                let number = clients.len();
                let request = Request {
                    id: format!("r{number:04}"),
                    class: if number % 2 == 0 {
                        "page-rebuild"
                    } else {
                        "seller-message"
                    },
                    tenant: MANAR.tenant,
                    timeout: Duration::from_secs(5),
                    run_ms: RUN_MS + 13 * (number as u64 % 11),
                    hints: true,
                    body: "{}".into(),
                };
                let record = record.clone();
                clients.push(thread::spawn(move || {
                    client::send(&record, address, &request, Duration::from_secs(6))
                }));
                thread::sleep(Duration::from_millis(100));
            }
            clients
                .into_iter()
                .filter_map(|client| client.join().ok())
                .collect::<Vec<_>>()
        }
    });
    run.until(KILL_AT);
    dispatcher.kill();
    record.line("n0 was killed");
    run.until(DRAIN_AT);
    let drained_at = discovery.set(&[("w0", workers[0].entry("charguia", 0, "draining"))]);
    record.line_at(drained_at, "the agent has it that w0 drains");
    run.until(DOWN_AT);
    if run.trouble {
        discovery.set_silent(true);
        record.line("discovery is down, the agent is silent");
    }
    run.until(START_AT);
    let started_at = record.now();
    record.line("n0 is started again, with the list that it last had");
    let mut dispatcher = Dispatcher::start_at(address, &run.folder, record, &setup)?;
    run.until(LEAVE_AT);
    let held = workers[0].end_while_busy("seller-message", Duration::from_secs(1));
    discovery.set(&[("w0", workers[0].entry("charguia", 0, "gone"))]);
    record.line(&format!("w0 has ended and held {held:?}"));
    run.until(BACK_AT);
    discovery.set_silent(false);
    record.line("discovery is back");
    let outcomes = load.join().map_err(|_| "the clients failed".to_string())?;
    dispatcher.end();

    let seen = log.lock().unwrap();
    let last = started_at + GRACE;
    let late = seen
        .postings
        .iter()
        .filter(|posting| posting.worker == "w0" && posting.first_byte > last);
    let breaks: Vec<String> = late
        .map(|posting| {
            let after = (posting.first_byte - started_at).as_secs_f64();
            format!("{} went to w0 {after:.2} s after the start of a process whose agent had it that w0 drains", posting.id)
        })
        .collect();
    let served = outcomes
        .iter()
        .filter(|outcome| outcome.answer.is_some_and(|(status, _)| status == 200))
        .count();
    Ok(Finding {
        breaks,
        counted: format!(
            "{} requests, {served} answered 200; {}",
            outcomes.len(),
            lost_with_the_worker(&held, &outcomes)
        ),
    })
}
