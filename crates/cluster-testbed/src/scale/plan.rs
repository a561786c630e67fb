//! What is played: sizes, ways, load and faults, as the command takes them.
use crate::error::TestbedError;
use crate::scale::map::{KEEPERS, Ways};
use clap::{Args, ValueEnum};
use serde::Serialize;
use std::time::Duration;

/// The machine's limits, as the operators set them.
pub const MOST_PROCESSES: usize = 299;
pub const MOST_BYTES: u64 = 12 << 30;
/// Hollow dispatchers that share a process.
pub const SHARE: usize = 50;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Lists {
    /// An agent beside each dispatcher knows the list; calls cost nothing.
    #[default]
    Pushed,
    /// Each call costs the service.
    Asked,
}

/// A trouble, written as `KIND@SECOND[:FIGURE[:SECONDS]]`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fault {
    pub kind: Kind,
    pub at_s: f64,
    pub figure: f64,
    pub lasts_s: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// So many dispatchers are restarted (SIGTERM; hollow ones just end).
    Restart,
    /// All dispatchers are restarted one after the other, within so many seconds.
    Release,
    /// So many workers are replaced by cold ones.
    Replace,
    /// One of so many machines is lost, whatever it holds, for so long.
    Rack,
    /// This zone is lost, for so long.
    Zone,
    /// This region is lost, for so long.
    Region,
    /// The first two regions are cut from each other (datagrams and postings), for so long.
    Cut,
    /// The control machines are killed for good, one each so many seconds.
    Keepers,
    /// Discovery is down, for so long.
    Discovery,
}

impl std::str::FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Fault, String> {
        let wanted =
            || format!("{text:?} is no KIND@SECOND[:FIGURE[:SECONDS]], such as zone@2:8:5");
        let (kind, rest) = text.split_once('@').ok_or_else(wanted)?;
        let kind = Kind::from_str(kind, true).map_err(|_| {
            let kinds: Vec<String> = Kind::value_variants()
                .iter()
                .filter_map(|kind| Some(kind.to_possible_value()?.get_name().to_string()))
                .collect();
            format!("{kind:?} is none of {}", kinds.join(", "))
        })?;
        let figures = rest
            .split(':')
            .map(str::parse::<f64>)
            .collect::<Result<Vec<_>, _>>()
            .map_err(|_| wanted())?;
        let sound = |value: &f64| value.is_finite() && (0.0..=100_000.0).contains(value);
        if figures.len() > 3 || !figures.iter().all(sound) {
            return Err(wanted());
        }
        let figure = |at: usize, other| figures.get(at).copied().unwrap_or(other);
        Ok(Fault {
            kind,
            at_s: figure(0, 0.0),
            figure: figure(1, 1.0),
            lasts_s: figure(2, 3.0),
        })
    }
}

#[derive(Args, Clone, Debug, Serialize)]
pub struct Plan {
    /// Real processes of the program; with 7 or more, five of them are control machines (keepers)
    #[arg(long, default_value_t = 8)]
    pub dispatchers: usize,
    /// Hollow dispatchers beside them, without clients
    #[arg(long, default_value_t = 60)]
    pub hollow: usize,
    /// Hollow workers, all in one process
    #[arg(long, default_value_t = 300)]
    pub workers: usize,
    /// Seats of a worker
    #[arg(long, default_value_t = 5)]
    pub seats: usize,
    /// Task starts a second, over all real dispatchers, open loop; 0 for an idle fleet
    #[arg(long, default_value_t = 0.0)]
    pub starts: f64,
    /// How long a task runs in the mean, in seconds; what runs at the beginning is starts times this
    #[arg(long, default_value_t = 10.2)]
    pub task_s: f64,
    /// Teams, the nth with a part like 1/n
    #[arg(long, default_value_t = 150)]
    pub teams: usize,
    /// The part of the txns that is of the urgent class
    #[arg(long, default_value_t = 0.05)]
    pub urgent: f64,
    /// Changes of the list a second
    #[arg(long, default_value_t = 0.0)]
    pub changes: f64,
    /// How long is measured
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Dispatchers do not know each other
    #[arg(long)]
    pub apart: bool,
    /// Dispatchers tell each other what they have out (`Peers` in the settings)
    #[arg(long)]
    pub peers: bool,
    #[arg(long, value_enum, default_value_t = Lists::Pushed)]
    pub lists: Lists,
    /// One way inside a zone, between zones of a region, and between regions, in ms
    #[arg(long, default_value_t = 0.25)]
    pub zone_ms: f64,
    #[arg(long, default_value_t = 1.0)]
    pub zones_ms: f64,
    #[arg(long, default_value_t = 40.0)]
    pub regions_ms: f64,
    /// KIND@SECOND[:FIGURE[:SECONDS]], again for each; kinds: restart, release, replace, rack, zone, region, cut, keepers, discovery
    #[arg(long = "fault", value_name = "FAULT")]
    pub faults: Vec<Fault>,
    /// Starts of processes lie so far apart, in ms
    #[arg(long, default_value_t = 15)]
    pub starts_apart_ms: u64,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        #[derive(clap::Parser)]
        struct Alone {
            #[command(flatten)]
            plan: Plan,
        }
        <Alone as clap::Parser>::parse_from(["plan"]).plan
    }
}

impl Plan {
    pub fn all(&self) -> usize {
        self.dispatchers + self.hollow
    }

    pub fn processes(&self) -> usize {
        // Workers, discovery and the command itself.
        self.dispatchers + self.hollow.div_ceil(SHARE) + 3
    }

    pub fn ways(&self) -> Ways {
        let ms = |ms: f64| Duration::from_secs_f64(ms / 1e3);
        Ways {
            zone: ms(self.zone_ms),
            zones: ms(self.zones_ms),
            regions: ms(self.regions_ms),
        }
    }

    /// The control machines, by their numbers.
    pub fn keepers(&self) -> Vec<usize> {
        let real: Vec<usize> = KEEPERS
            .into_iter()
            .filter(|at| *at < self.dispatchers)
            .collect();
        real[..if real.len() == 5 {
            5
        } else {
            real.len().min(1)
        }]
            .to_vec()
    }

    /// Whether it can be played here, in bounded time.
    pub fn check(&self) -> Result<(), TestbedError> {
        let range = |what, value: f64, least: f64, most: f64, allowed| match value {
            value if (least..=most).contains(&value) => Ok(()),
            value => Err(TestbedError::OutOfRange {
                key: what,
                value: value.max(0.0) as u64,
                allowed,
            }),
        };
        range(
            "dispatchers",
            self.dispatchers as f64,
            1.0,
            280.0,
            "1 to 280",
        )?;
        range("hollow", self.hollow as f64, 0.0, 1_500.0, "0 to 1500")?;
        range("workers", self.workers as f64, 1.0, 4_000.0, "1 to 4000")?;
        range("seats", self.seats as f64, 1.0, 64.0, "1 to 64")?;
        range("starts", self.starts, 0.0, 5_000.0, "0 to 5000 a second")?;
        range("task_s", self.task_s, 0.001, 60.0, "0.001 to 60")?;
        range("teams", self.teams as f64, 1.0, 10_000.0, "1 to 10000")?;
        range("urgent", self.urgent, 0.0, 1.0, "0 to 1")?;
        range("changes", self.changes, 0.0, 100.0, "0 to 100 a second")?;
        range("seconds", self.seconds, 0.5, 600.0, "0.5 to 600")?;
        for ms in [self.zone_ms, self.zones_ms, self.regions_ms] {
            range("a way", ms, 0.0, 2_000.0, "0 to 2000 ms")?;
        }
        let most = MOST_PROCESSES as u64;
        let processes = self.processes() as u64;
        if processes > most {
            return Err(TestbedError::TooLarge {
                what: "the number of processes",
                value: processes,
                limit: most,
            });
        }
        Ok(())
    }

    /// One figure of the plan set anew, by its name; for sizes of a slope.
    pub fn set(&mut self, name: &str, value: f64) -> Result<(), String> {
        let whole = value.max(0.0) as usize;
        match name {
            "dispatchers" => self.dispatchers = whole,
            "hollow" => self.hollow = whole,
            // As many as may be real, the rest hollow.
            "fleet" => {
                (self.dispatchers, self.hollow) = (
                    whole.min(self.dispatchers),
                    whole - whole.min(self.dispatchers),
                )
            }
            "workers" => self.workers = whole,
            "starts" => self.starts = value,
            "task_s" => self.task_s = value,
            "teams" => self.teams = whole,
            "changes" => self.changes = value,
            other => {
                return Err(format!(
                    "{other:?} is none of dispatchers, hollow, fleet, workers, starts, task_s, teams, changes"
                ));
            }
        }
        Ok(())
    }
}
