//! A new configuration names a discovery that cannot be reached for some seconds.
use super::lost_with_the_worker;
use crate::client::{self, Request};
use crate::discovery::Discovery;
use crate::dispatcher::{Dispatcher, Setup};
use crate::settings::QUARRY_HILL;
use crate::worker::{Log, Reply, Worker, AMPLE};
use crate::{Finding, Run};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const WORKERS: usize = 5;
const DISPATCHERS: usize = 4;
const RUN_MS: u64 = 120;
const RELOAD_AT: f64 = 3.0;
/// When the new discovery can be reached, and has it that a worker drains.
const UP_AT: f64 = 15.0;
/// When the platform ends the worker that drains, and the clients stop.
const LEAVE_AT: f64 = 31.0;
const END: f64 = 34.0;
const TOLD_WITHIN: Duration = Duration::from_secs(6);
const GRACE: Duration = Duration::from_millis(2500 + 50);

pub fn run(run: &Run) -> Result<Finding, String> {
    let record = &run.record;
    let log = Log::default();
    let old = Discovery::start("old", record, 40);
    let new = Discovery::start("new", record, 60);
    new.set_up(!run.trouble);
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let name = format!("w{number}");
        let worker = Worker::start(&name, record, &log, AMPLE, Arc::new(|_| Reply::Done));
        for discovery in [&old, &new] {
            discovery.set(&[(&name, worker.entry("worcester", 0, "ready"))]);
        }
        workers.push(worker);
    }
    let known = old.whole_list();
    let mut dispatchers = Vec::new();
    for me in 0..DISPATCHERS {
        let setup = Setup {
            name: &format!("n{me}"),
            discovery: old.address,
            known: &known,
            memory_mb: 192,
            settings: &QUARRY_HILL.settings(me as u32),
        };
        dispatchers.push(Dispatcher::start(&run.folder, record, &setup)?);
    }
    let mut load = Vec::new();
    for (me, dispatcher) in dispatchers.iter().enumerate() {
        let (record, address) = (record.clone(), dispatcher.address);
        load.push(thread::spawn(move || {
            let mut outcomes = Vec::new();
            while record.now().as_secs_f64() < END {
                let number = outcomes.len();
                let request = Request {
                    id: format!("r{me}-{number:04}"),
                    class: if number % 3 == 0 { "quote" } else { "reserve" },
                    tenant: QUARRY_HILL.tenant,
                    timeout: Duration::from_secs(5),
                    run_ms: RUN_MS + 8 * (number as u64 % 11),
                    hints: true,
                    body: "{}".into(),
                };
                outcomes.push(client::send(
                    &record,
                    address,
                    &request,
                    Duration::from_secs(6),
                ));
                thread::sleep(Duration::from_millis(20));
            }
            outcomes
        }));
    }
    run.until(RELOAD_AT);
    for (me, dispatcher) in dispatchers.iter().enumerate() {
        dispatcher.reload(&Setup {
            name: &format!("n{me}"),
            discovery: new.address,
            known: &known,
            memory_mb: 192,
            settings: &QUARRY_HILL.settings(me as u32),
        });
    }
    run.until(RELOAD_AT + 1.5);
    old.close();
    record.line("the old discovery has closed its connections");
    run.until(UP_AT);
    let drained_at = new.set(&[("w0", workers[0].entry("worcester", 0, "draining"))]);
    new.set_up(true);
    record.line_at(
        drained_at,
        "the new discovery can be reached and has it that w0 drains",
    );
    run.until(LEAVE_AT);
    let held = workers[0].end_while_busy("reserve", Duration::from_secs(2));
    new.set(&[("w0", workers[0].entry("worcester", 0, "gone"))]);
    record.line(&format!("w0 has ended and held {held:?}"));
    let outcomes: Vec<_> = load
        .into_iter()
        .filter_map(|load| load.join().ok())
        .flatten()
        .collect();
    dispatchers.iter_mut().for_each(Dispatcher::end);

    let seen = log.lock().unwrap();
    let last = drained_at + TOLD_WITHIN + GRACE;
    let late = seen
        .postings
        .iter()
        .filter(|posting| posting.worker == "w0" && posting.first_byte > last);
    let breaks: Vec<String> = late
        .map(|posting| {
            let after = (posting.first_byte - drained_at).as_secs_f64();
            format!("{} went to w0 {after:.2} s after the new discovery could be reached and had it that w0 drains", posting.id)
        })
        .collect();
    Ok(Finding {
        breaks,
        counted: format!(
            "{} requests, {} answered 200; {}",
            outcomes.len(),
            outcomes
                .iter()
                .filter(|outcome| outcome.answer.is_some_and(|(status, _)| status == 200))
                .count(),
            lost_with_the_worker(&held, &outcomes)
        ),
    })
}
