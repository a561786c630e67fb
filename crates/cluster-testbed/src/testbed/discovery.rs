//! Outages and moves of the discovery service.
use super::{Testbed, write_file};
use crate::error::TestbedError;
use crate::stubs::Discovery;
use serde_json::Value;
use std::thread;
use std::time::{Duration, Instant};

/// Time from a new configuration until the old service closes its connections.
const OLD_SERVICE_CLOSES_AFTER: Duration = Duration::from_millis(1_500);
/// Time from when a service that closed connections can be reached until dispatchers are accountable for a polled list.
const POLLED_LIST_NOTICE: Duration = Duration::from_secs(6);
/// The same for a service that was silent: the wait of a watch and 2 s.
const SILENT_WATCH_NOTICE: Duration = Duration::from_secs(22);
/// The same for a pushed list: the interval of calls, and a call.
const PUSHED_LIST_NOTICE: Duration = Duration::from_millis(400);

/// What a service does with calls during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OutageKind {
    /// It takes calls and answers none, then or later.
    Silent,
    /// It closes their connections.
    Closed,
}

/// Begins an outage of a service, which ends by itself.
fn begin_outage(discovery: &Discovery, kind: OutageKind, duration: Duration) {
    match kind {
        OutageKind::Silent => discovery.stop_responding(),
        OutageKind::Closed => discovery.shut_down(),
    }
    let discovery = discovery.clone();
    thread::spawn(move || {
        thread::sleep(duration);
        match kind {
            OutageKind::Silent => discovery.resume_responding(),
            OutageKind::Closed => discovery.reopen(),
        }
    });
}

impl Testbed {
    /// Begins an outage of the discovery service.
    pub(super) fn interrupt_discovery(&mut self, kind: OutageKind, duration: Duration) {
        begin_outage(&self.discovery, kind, duration);
        self.outage_began(kind, duration);
    }

    fn outage_began(&mut self, kind: OutageKind, duration: Duration) {
        let notice = match (self.scenario.fleet.polls_endpoints, kind) {
            (true, OutageKind::Closed) => POLLED_LIST_NOTICE,
            (true, OutageKind::Silent) => SILENT_WATCH_NOTICE,
            (false, _) => PUSHED_LIST_NOTICE,
        };
        self.discovery_outage_ends = Instant::now() + duration;
        self.accountable_after_outage = self.discovery_outage_ends + notice;
    }

    /// Moves all running dispatchers to a new service, which closes connections for this time. The old one does so a
    /// little later for good.
    pub(super) fn move_discovery(&mut self, duration: Duration) -> Result<(), TestbedError> {
        let new = self.discovery.successor(self.endpoints.clone());
        begin_outage(&new, OutageKind::Closed, duration);
        let old = std::mem::replace(&mut self.discovery, new);
        self.outage_began(OutageKind::Closed, duration);
        for number in 0..self.dispatchers.len() {
            self.reload(number)?;
        }
        thread::spawn(move || {
            thread::sleep(OLD_SERVICE_CLOSES_AFTER);
            old.shut_down();
        });
        Ok(())
    }

    /// Writes the address of the present service to the configuration of a running dispatcher, and reloads it.
    fn reload(&self, number: usize) -> Result<(), TestbedError> {
        let Some(process) = self.process(number) else {
            return Ok(());
        };
        let path = self.folder.join(format!("n{number}.json"));
        let text = std::fs::read_to_string(&path).map_err(|source| TestbedError::Read {
            path: path.clone(),
            source,
        })?;
        let mut document: Value = serde_json::from_str(&text).unwrap_or_default();
        document["discovery"] = self.discovery.address.clone().into();
        write_file(&path, &document.to_string())?;
        process.signal("HUP");
        Ok(())
    }

    /// Returns from when on dispatchers are accountable for a change that is published now.
    pub(super) fn accountable_from(&self) -> Instant {
        let now = Instant::now();
        if self.discovery_outage_ends <= now && !self.scenario.fleet.polls_endpoints {
            return now;
        }
        // A polled list may be requested some seconds after the end of an outage.
        self.accountable_after_outage.max(now)
    }
}
