//! The endpoint list with its versions, and which follower has applied which.
use async_channel::Sender;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// How many versions are remembered for followers that were away; for older ones they get the full list.
const MAX_RETAINED_VERSIONS: usize = 4_096;

/// What discovery did in the measured time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DiscoveryReport {
    /// Watches.
    #[serde(rename = "calls")]
    pub watches: u64,
    /// Watches that were answered with the full list.
    #[serde(rename = "whole")]
    pub full_lists: u64,
    /// The bytes of the full lists.
    #[serde(rename = "whole_bytes")]
    pub full_list_bytes: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Changes of the list.
    pub changes: u64,
    /// How many followers have called at all.
    pub followers: u64,
    /// The mean over all changes of the time until the last follower had applied it.
    #[serde(rename = "taken_mean_ms")]
    pub applied_mean_ms: f64,
    /// The longest of these times.
    #[serde(rename = "taken_most_ms")]
    pub applied_max_ms: f64,
    /// Changes that some followers have not applied yet.
    #[serde(rename = "open")]
    pub pending_changes: u64,
}

/// Whether a watch may still wait for news.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum WatchState {
    Waiting,
    Expired,
}

/// The endpoints that a version changed.
struct Version {
    number: u64,
    changed: Vec<String>,
}

/// A version that not all followers have applied.
struct PendingVersion {
    published: Instant,
    /// From then until the newest follower had applied it.
    applied_after: Duration,
}

pub(super) struct EndpointList {
    version: u64,
    endpoints: BTreeMap<String, String>,
    /// The newest last.
    history: VecDeque<Version>,
    pending: BTreeMap<u64, PendingVersion>,
    applied_ms: Vec<f64>,
    /// The version that each follower has, once it called.
    follower_versions: Vec<Option<u64>>,
    /// Those to be notified of the next change.
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

    /// What a watch from this version on is answered; none while there is no news.
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

    /// Whether all changes after this version are known.
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

    /// Records that a follower watches from a version on, and so has applied all up to it.
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

    /// Completes the versions that all followers have applied.
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

    /// Publishes changed endpoints as a new version.
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

    /// Forgets a follower that is gone, so that changes do not wait for it.
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
