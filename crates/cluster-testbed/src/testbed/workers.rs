//! Changes to the endpoint list: workers that join or drain.
use super::Testbed;
use crate::checker::Drain;
use crate::error::TestbedError;
use crate::stubs::endpoint_json;
use crate::worker::Worker;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}

impl Testbed {
    /// Starts workers that are warming up and publishes them.
    pub fn add_workers(&mut self, count: usize) -> Result<(), TestbedError> {
        let slow_start = self.workers[0].slow_start;
        let mut changed = Vec::new();
        for _ in 0..count {
            let slots = self.scenario.fleet.slots;
            let window = self.scenario.load.retry_window();
            let worker = Worker::start(slots, Some(Instant::now()), slow_start, window)?;
            let started_ms = wall_clock_ms();
            let name = format!("w{:02}", self.workers.len());
            let mut endpoint = endpoint_json(&name, &worker.address, "ready");
            endpoint["born_ms"] = started_ms.into();
            self.workers.push(worker);
            self.endpoints.push(endpoint.clone());
            changed.push(endpoint);
        }
        self.discovery.publish(changed, self.endpoints.clone());
        Ok(())
    }

    /// Publishes a worker as draining. Does nothing if there is no worker of this number.
    pub fn drain(&mut self, worker: usize) {
        let Some(endpoint) = self.endpoints.get_mut(worker) else {
            return;
        };
        endpoint["health"] = "draining".into();
        let changed = vec![endpoint.clone()];
        self.discovery.publish(changed, self.endpoints.clone());
        self.drains.push(Drain {
            worker,
            at: self.accountable_from(),
        });
    }
}
