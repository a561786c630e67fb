//! The versioned endpoint list, and the version that each follower has applied.
use async_channel::Sender;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Versions retained for followers that reconnect. A follower with an older version gets the full list.
const MAX_RETAINED_VERSIONS: usize = 4_096;

/// Statistics of discovery over the measured time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DiscoveryReport {
    /// Watches received.
    #[serde(rename = "calls")]
    pub watches: u64,
    /// Watches that were answered with the full list.
    #[serde(rename = "whole")]
    pub full_lists: u64,
    /// Bytes of the full lists.
    #[serde(rename = "whole_bytes")]
    pub full_list_bytes: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Changes of the list.
    pub changes: u64,
    /// Followers that have sent a watch.
    pub followers: u64,
    /// Milliseconds from a change until the last follower had applied it, mean over the changes that all have applied.
    #[serde(rename = "taken_mean_ms")]
    pub applied_mean_ms: f64,
    /// Maximum of these times.
    #[serde(rename = "taken_most_ms")]
    pub applied_max_ms: f64,
    /// Changes that some followers have not applied yet.
    #[serde(rename = "open")]
    pub pending_changes: u64,
}

/// Whether a watch may still wait for a change.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum WatchState {
    Waiting,
    Expired,
}

/// A version and the names of the endpoints that it changed.
struct Version {
    number: u64,
    changed: Vec<String>,
}

/// A version that not all followers have applied.
struct PendingVersion {
    published: Instant,
    /// Time from publication until the most recent follower applied it.
    applied_after: Duration,
}

pub(super) struct EndpointList {
    version: u64,
    endpoints: BTreeMap<String, String>,
    /// Retained versions, oldest first.
    history: VecDeque<Version>,
    pending: BTreeMap<u64, PendingVersion>,
    applied_ms: Vec<f64>,
    /// Version that each follower has applied, or `None` before its first watch.
    follower_versions: Vec<Option<u64>>,
    /// Senders that are notified of the next change.
    pub(super) watches: Vec<Sender<()>>,
    pub(super) report: DiscoveryReport,
}

impl EndpointList {
    pub(super) fn new(followers: usize) -> EndpointList {
        EndpointList {
            version: 0,
            endpoints: BTreeMap::new(),
            history: VecDeque::new(),
            pending: BTreeMap::new(),
            applied_ms: Vec::new(),
            follower_versions: vec![None; followers],
            watches: Vec::new(),
            report: DiscoveryReport::default(),
        }
    }

    /// Returns the answer to a watch from a version on; `None` while there is no change and the watch can wait.
    pub(super) fn answer(&mut self, version: Option<u64>, state: WatchState) -> Option<String> {
        match version.filter(|version| self.has_history_since(*version)) {
            Some(version) if version == self.version && state == WatchState::Waiting => None,
            Some(version) => Some(self.changes_since(version)),
            None => {
                let text = self.full_list();
                self.report.full_lists += 1;
                self.report.full_list_bytes += text.len() as u64;
                Some(text)
            }
        }
    }

    /// Whether all changes after this version are retained.
    fn has_history_since(&self, version: u64) -> bool {
        let oldest = self.history.front();
        version == self.version
            || oldest.is_some_and(|oldest| version + 1 >= oldest.number && version < self.version)
    }

    fn changes_since(&self, version: u64) -> String {
        let newer = self.history.iter().filter(|entry| entry.number > version);
        let mut names: Vec<&String> = newer.flat_map(|entry| &entry.changed).collect();
        names.sort_unstable();
        names.dedup();
        let endpoints = names.iter().filter_map(|name| self.endpoints.get(*name));
        let endpoints: Vec<&str> = endpoints.map(String::as_str).collect();
        self.document(false, &endpoints)
    }

    fn full_list(&self) -> String {
        let endpoints: Vec<&str> = self.endpoints.values().map(String::as_str).collect();
        self.document(true, &endpoints)
    }

    fn document(&self, whole: bool, endpoints: &[&str]) -> String {
        let (version, hosts) = (self.version, endpoints.join(","));
        format!("{{\"seq\":{version},\"whole\":{whole},\"hosts\":[{hosts}]}}")
    }

    /// Records a watch from a version on, which shows that the follower has applied all versions up to it.
    pub(super) fn record_watch(&mut self, follower: usize, version: Option<u64>) {
        self.report.watches += 1;
        let Some(version) = version else { return };
        let before = self.follower_versions[follower]
            .replace(version)
            .unwrap_or(0);
        let newly_applied = before + 1..=version;
        for (number, pending) in &mut self.pending {
            if newly_applied.contains(number) {
                pending.applied_after = pending.published.elapsed();
            }
        }
        self.complete_applied_versions();
    }

    /// Completes the versions that every follower has applied.
    fn complete_applied_versions(&mut self) {
        let oldest = self.follower_versions.iter().flatten().min();
        let oldest = oldest.copied().unwrap_or(0);
        while let Some(first) = self
            .pending
            .first_entry()
            .filter(|first| *first.key() <= oldest)
        {
            let applied_after = first.remove().applied_after;
            self.applied_ms.push(applied_after.as_secs_f64() * 1e3);
        }
    }

    /// Publishes changed endpoints as a new version and notifies all watches.
    pub(super) fn change(&mut self, endpoints: &[Value]) {
        self.version += 1;
        let mut changed = Vec::new();
        for endpoint in endpoints {
            if let Some(name) = endpoint["host"].as_str() {
                self.endpoints
                    .insert(name.to_string(), endpoint.to_string());
                changed.push(name.to_string());
            }
        }
        self.history.push_back(Version {
            number: self.version,
            changed,
        });
        if self.history.len() > MAX_RETAINED_VERSIONS {
            self.history.pop_front();
        }
        let published = PendingVersion {
            published: Instant::now(),
            applied_after: Duration::ZERO,
        };
        self.pending.insert(self.version, published);
        self.report.changes += 1;
        for watch in self.watches.drain(..) {
            let _ = watch.try_send(());
        }
    }

    /// Removes a follower that is no longer running, so that changes do not stay pending for it.
    pub(super) fn remove_follower(&mut self, follower: usize) {
        if let Some(version) = self.follower_versions.get_mut(follower) {
            *version = None;
        }
    }

    pub(super) fn begin_measurement(&mut self) {
        self.report = DiscoveryReport::default();
        self.applied_ms.clear();
        self.pending.clear();
    }

    pub(super) fn report(&self) -> DiscoveryReport {
        let applied_ms = &self.applied_ms;
        DiscoveryReport {
            followers: self.follower_versions.iter().flatten().count() as u64,
            applied_max_ms: applied_ms.iter().copied().fold(0.0, f64::max),
            applied_mean_ms: applied_ms.iter().sum::<f64>() / applied_ms.len().max(1) as f64,
            pending_changes: self.pending.len() as u64,
            ..self.report.clone()
        }
    }
}
