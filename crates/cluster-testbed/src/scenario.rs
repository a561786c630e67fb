//! What is played: the fleet, the load, the clocks, the ways between dispatchers, and the faults with their moments.
use crate::error::RigError;
use crate::relay::Way;
use rosewall::pcg::Pcg;
use serde::{Deserialize, Serialize};
use std::path::Path;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    pub name: String,
    /// What is left to chance follows from it.
    pub seed: u64,
    /// How long clients go on asking.
    pub seconds: f64,
    pub fleet: Fleet,
    pub load: Load,
    pub cold: ColdStart,
    pub datagrams: Way,
    pub fault: Vec<Fault>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// How many run from the beginning, and how many the files speak of (0: just as many).
    pub dispatchers: usize,
    pub says: usize,
    /// Whether they know each other as members, and how many of them are keepers.
    pub members: bool,
    pub keepers: usize,
    /// Whether the settings let them tell each other what they have out.
    pub peers: bool,
    pub workers: usize,
    pub seats: usize,
    /// Their wall clocks lie up to so far apart.
    pub skew_ms: u64,
}

impl Default for Fleet {
    fn default() -> Self {
        let (dispatchers, workers, seats) = (5, 6, 2);
        Fleet {
            dispatchers,
            says: 0,
            members: true,
            keepers: 3,
            peers: false,
            workers,
            seats,
            skew_ms: 0,
        }
    }
}

impl Fleet {
    pub fn slots(&self) -> usize {
        if self.says == 0 {
            self.dispatchers
        } else {
            self.says
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Clients that ask each dispatcher, one txn at a time each.
    pub clients: usize,
    pub work_ms: f64,
    /// The mean pause of a client between an answer and the next txn.
    pub pause_ms: f64,
    pub expiry_ms: u64,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            clients: 4,
            work_ms: 60.0,
            pause_ms: 150.0,
            expiry_ms: 1_500,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ColdStart {
    pub from: f64,
    pub time_ms: u64,
    pub multiple: f64,
    pub window_ms: u64,
    /// What the program is told in place of `multiple`, to show that the judge finds a budget not kept.
    pub told_multiple: Option<f64>,
}

impl Default for ColdStart {
    fn default() -> Self {
        ColdStart {
            from: 0.2,
            time_ms: 6_000,
            multiple: 4.0,
            window_ms: 1_000,
            told_multiple: None,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// SIGKILL; started again after `lasts_ms`, if given.
    Kill,
    /// SIGSTOP, and SIGCONT after `lasts_ms`.
    Pause,
    /// SIGTERM; started again once it has ended.
    Roll,
    /// SIGTERM for good.
    Leave,
    /// Started only now.
    Start,
    /// So many new workers join cold: `count`.
    Join,
    Drain,
    /// Workers that say nothing, that break connections, that run and break before the answer.
    Hang,
    Reset,
    Lose,
    /// No datagram passes between these and all others, to these, or from these.
    Split,
    Deaf,
    Mute,
    /// All ways are as `way` says.
    Ways,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at_ms: u64,
    pub what: What,
    /// Dispatchers, or workers, by their numbers.
    #[serde(default)]
    pub who: Vec<usize>,
    /// 0: to the end.
    #[serde(default)]
    pub lasts_ms: u64,
    #[serde(default)]
    pub count: usize,
    #[serde(default)]
    pub way: Way,
}

impl Fault {
    pub fn new(at_ms: u64, what: What, who: impl IntoIterator<Item = usize>) -> Self {
        Fault {
            at_ms,
            what,
            who: who.into_iter().collect(),
            lasts_ms: 0,
            count: 0,
            way: Way::default(),
        }
    }

    pub fn lasting(self, lasts_ms: u64) -> Self {
        Fault { lasts_ms, ..self }
    }

    pub fn join(at_ms: u64, count: usize) -> Self {
        Fault {
            count,
            ..Fault::new(at_ms, What::Join, [])
        }
    }
}

impl Scenario {
    pub fn load(path: &Path) -> Result<Scenario, RigError> {
        let text = std::fs::read_to_string(path).map_err(|source| RigError::Read {
            path: path.to_path_buf(),
            source,
        })?;
        let scenario: Scenario = toml::from_str(&text).map_err(|source| RigError::Scenario {
            path: path.to_path_buf(),
            source,
        })?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Whether it can be played on one machine, in bounded time.
    pub fn check(&self) -> Result<(), RigError> {
        let range = |what, value: usize, most: usize, allowed| match value {
            value if (1..=most).contains(&value) => Ok(()),
            value => Err(RigError::Range {
                what,
                value: value as u64,
                allowed,
            }),
        };
        range("fleet.dispatchers", self.fleet.dispatchers, 50, "1 to 50")?;
        range("fleet.workers", self.fleet.workers, 64, "1 to 64")?;
        range("fleet.seats", self.fleet.seats, 64, "1 to 64")?;
        range("load.clients", self.load.clients, 16, "1 to 16")?;
        range(
            "seconds",
            self.seconds.ceil() as usize,
            300,
            "above 0, up to 300",
        )?;
        let most = self.fleet.slots().max(self.fleet.dispatchers).max(50);
        let late = |fault: &&Fault| fault.who.iter().any(|who| *who >= most.max(64));
        match self.fault.iter().find(late) {
            Some(fault) => Err(RigError::Range {
                what: "fault.who",
                value: fault.at_ms,
                allowed: "below 50",
            }),
            None => Ok(()),
        }
    }

    /// One of the drawn ones: a small fleet, workers that join cold, and up to four faults of any kind.
    pub fn drawn(seed: u64) -> Scenario {
        let mut chance = Pcg::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x72_6967);
        let mut below = |most: u64| (chance.unit() * most as f64) as u64;
        let dispatchers = 5 + below(4) as usize;
        let seconds = 9.0;
        let fleet = Fleet {
            dispatchers,
            workers: 5 + below(3) as usize,
            skew_ms: [0, 500, 5_000][below(3) as usize],
            peers: below(2) == 1,
            ..Fleet::default()
        };
        let load = Load {
            clients: 3 + below(3) as usize,
            pause_ms: 60.0 + below(120) as f64,
            ..Load::default()
        };
        let multiple = [1.5, 4.0][below(2) as usize];
        let cold = ColdStart {
            multiple,
            ..ColdStart::default()
        };
        let datagrams = Way {
            loss: [0.0, 0.05, 0.2][below(3) as usize],
            twice: [0.0, 0.1][below(2) as usize],
            jitter_ms: [0, 20, 100][below(3) as usize],
            ..Way::default()
        };
        let mut fault = vec![Fault::join(1_500 + below(2_000), 1 + below(3) as usize)];
        for _ in 0..1 + below(4) {
            let at_ms = 500 + below(6_000);
            let one = below(dispatchers as u64) as usize;
            let some: Vec<usize> = (0..dispatchers).filter(|_| below(2) == 1).collect();
            let worker = below(fleet.workers as u64) as usize;
            fault.push(match below(12) {
                0 => Fault::new(at_ms, What::Kill, some).lasting([0, 1_000][below(2) as usize]),
                1 => Fault::new(at_ms, What::Kill, [one]).lasting(500),
                2 | 3 => Fault::new(at_ms, What::Pause, [one]).lasting(300 + below(3_000)),
                4 => Fault::new(at_ms, What::Roll, [one]),
                5 => Fault::new(at_ms, What::Drain, [worker]),
                6 => Fault::new(at_ms, What::Hang, [worker]).lasting(1_000),
                7 => Fault::new(at_ms, What::Reset, [worker]).lasting(500),
                8 => Fault::new(at_ms, What::Lose, [worker]).lasting(500),
                9 => Fault::new(at_ms, What::Split, some).lasting(1_000 + below(4_000)),
                10 => Fault::new(at_ms, What::Deaf, [one]).lasting(2_000),
                _ => Fault::new(at_ms, What::Mute, [one]).lasting(2_000),
            });
        }
        Scenario {
            name: format!("drawn {seed}"),
            seed,
            seconds,
            fleet,
            load,
            cold,
            datagrams,
            fault,
        }
    }
}
