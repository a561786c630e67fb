//! The settings map, and the typed settings of the decisions.
use std::collections::BTreeMap;
use std::str::FromStr;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Values of settings by name, as text. The decisions and the programs read their settings from it.
pub type SettingsMap = BTreeMap<String, String>;

/// Error for a setting that is missing or has an invalid value. The message names the setting.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SettingsError {
    /// A required setting is absent.
    #[error("setting {name} is missing")]
    Missing {
        /// Name of the setting in the map.
        name: String,
    },
    /// The value is not of the setting's type, or not one of its keywords.
    #[error("setting {name} cannot be read: {value:?}")]
    Unreadable {
        /// Name of the setting in the map.
        name: String,
        /// Text of the value.
        value: String,
    },
    /// The number is negative, not finite, or 1e18 or more.
    #[error("setting {name} is out of range: {value}")]
    OutOfRange {
        /// Name of the setting in the map.
        name: &'static str,
        /// Number that was read.
        value: f64,
    },
    /// The rank is not below the number of dispatchers, or there are more than 65535 dispatchers. Only
    /// checked for dispatchers that exchange load.
    #[error("setting me is out of range: {rank} of {dispatchers} dispatchers")]
    RankOutOfRange {
        /// Configured rank, from 0.
        rank: f64,
        /// Configured number of dispatchers.
        dispatchers: f64,
    },
}

/// Reads one required setting.
///
/// # Errors
/// Returns an error if the setting is missing or its value cannot be parsed.
pub fn read_setting<T: FromStr>(map: &SettingsMap, name: &str) -> Result<T, SettingsError> {
    let value = map.get(name).ok_or_else(|| SettingsError::Missing {
        name: name.to_string(),
    })?;
    value.parse().map_err(|_| unreadable(name, value))
}

/// Reads one optional setting.
fn read_setting_or<T: FromStr>(
    map: &SettingsMap,
    name: &str,
    default: T,
) -> Result<T, SettingsError> {
    if map.contains_key(name) {
        read_setting(map, name)
    } else {
        Ok(default)
    }
}

/// Reads a non-negative number below 1e18. `true` counts as 1 and `false` as 0.
fn read_quantity(map: &SettingsMap, name: &'static str) -> Result<f64, SettingsError> {
    let value = match read_setting::<bool>(map, name) {
        Ok(flag) => f64::from(flag),
        Err(_) => read_setting::<f64>(map, name)?,
    };
    if (0.0..1e18).contains(&value) {
        Ok(value)
    } else {
        Err(SettingsError::OutOfRange { name, value })
    }
}

fn unreadable(name: &str, value: &str) -> SettingsError {
    SettingsError::Unreadable {
        name: name.to_string(),
        value: value.to_string(),
    }
}

/// What follows from a worker that is at capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum AtCapacityMeaning {
    /// The request did not run.
    #[default]
    NotRun,
    /// The worker may have begun the request before.
    MayHaveRun,
}

impl AtCapacityMeaning {
    fn read(map: &SettingsMap) -> Result<Self, SettingsError> {
        let may_have_run = read_setting_or(map, "at_capacity.may_have_run", false)?;
        Ok(if may_have_run {
            AtCapacityMeaning::MayHaveRun
        } else {
            AtCapacityMeaning::NotRun
        })
    }
}

/// Unit to which the priority weights of the settings refer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum WeightBasis {
    /// Each unit of work of a class has the same weight.
    #[default]
    Work,
    /// Each request of a class has the same weight, regardless of its work.
    Request,
}

impl WeightBasis {
    const NAME: &str = "priority_weight.basis";

    fn read(map: &SettingsMap) -> Result<Self, SettingsError> {
        match read_setting_or(map, Self::NAME, "work".to_string())?.as_str() {
            "work" => Ok(WeightBasis::Work),
            "request" => Ok(WeightBasis::Request),
            other => Err(unreadable(Self::NAME, other)),
        }
    }
}

/// Rule by which requests of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Idempotency {
    /// A request may run again at any worker at any time.
    Idempotent,
    /// A request may run again within its retry scope and retry window.
    IdempotentWithKey,
    /// A request must not run twice.
    NonIdempotent,
}

/// Set of workers that know the idempotency key of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RetryScope {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one group of the endpoint list.
    Group,
}

/// The settings of one request class.
#[derive(Clone, Debug)]
pub(crate) struct ClassSettings {
    pub(crate) idempotency: Idempotency,
    pub(crate) retry_scope: RetryScope,
    /// Time for which workers know an idempotency key, in nanoseconds.
    pub(crate) retry_window: u64,
    /// Constant part of the latency objective, in nanoseconds.
    pub(crate) latency_objective: f64,
    /// Multiple of the service time that is added to the latency objective.
    pub(crate) objective_stretch: f64,
    pub(crate) priority_weight: f64,
    /// Worker type that requests of the class require; any type if negative.
    pub(crate) worker_type: i64,
}

impl ClassSettings {
    fn read(map: &SettingsMap, class_index: usize) -> Result<Self, SettingsError> {
        let name = |part: &str| format!("class.{class_index}.{part}");
        let latency_objective = read_setting(map, &name("latency_objective"))?;
        let idempotency = match read_setting::<String>(map, &name("idempotency"))?.as_str() {
            "idempotent" => Idempotency::Idempotent,
            "idempotent-with-key" => Idempotency::IdempotentWithKey,
            "non-idempotent" => Idempotency::NonIdempotent,
            other => return Err(unreadable(&name("idempotency"), other)),
        };
        let retry_scope = match read_setting::<String>(map, &name("retry_scope"))?.as_str() {
            "all" => RetryScope::All,
            "zone" => RetryScope::Zone,
            _ => RetryScope::Group,
        };
        Ok(ClassSettings {
            idempotency,
            retry_scope,
            retry_window: read_setting(map, &name("retry_window"))?,
            latency_objective,
            objective_stretch: read_setting_or(map, &name("objective_stretch"), 0.0)?,
            priority_weight: read_setting(map, &name("priority_weight"))?,
            worker_type: read_setting_or(map, &name("worker_type"), -1)?,
        })
    }

    /// Returns whether workers of the type may run requests of the class.
    pub(crate) fn accepts(&self, worker_type: u8) -> bool {
        self.worker_type < 0 || i64::from(worker_type) == self.worker_type
    }
}

/// Positions of the used values in a load report; `None` if the report lacks them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportFields {
    pub(crate) free_slots: Option<usize>,
    pub(crate) in_flight: Option<usize>,
}

impl ReportFields {
    fn read(map: &SettingsMap) -> Result<Self, SettingsError> {
        let fields: String = read_setting(map, "report.fields")?;
        let position = |name: &str| fields.split(',').position(|field| field == name);
        Ok(ReportFields {
            free_slots: position("free-slots"),
            in_flight: position("inflight"),
        })
    }
}

/// Settings of one dispatcher, except those of its classes. Times are in nanoseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Settings {
    /// Number of dispatchers, at least 1.
    pub(crate) dispatchers: f64,
    /// Rank of this dispatcher, from 0.
    pub(crate) rank: f64,
    pub(crate) zone: u16,
    pub(crate) max_attempts: usize,
    /// Maximum retry delay stated to a rejected client; 0 if none may be stated.
    pub(crate) max_retry_after: f64,
    /// Whether workers report that a request has started.
    pub(crate) reports_starts: bool,
    /// What follows from a worker that is at capacity.
    pub(crate) at_capacity: AtCapacityMeaning,
    /// Fraction of its capacity that a worker has when it starts.
    pub(crate) slow_start_initial: f64,
    pub(crate) slow_start_duration: f64,
    /// A worker fails if it gets more than this multiple of its capacity within the overload window.
    pub(crate) overload_multiple: f64,
    pub(crate) overload_window: f64,
    /// Whether the dispatcher has to poll the endpoint list.
    pub(crate) polls_endpoints: bool,
    /// Whether dispatchers send load reports to each other.
    pub(crate) exchanges_load: bool,
    /// Whether workers start requests in the order of their arrival.
    pub(crate) fifo_workers: bool,
    /// Whether a grant issuer divides the warm-up budgets.
    pub(crate) uses_warm_up_grants: bool,
    pub(crate) report_fields: ReportFields,
    pub(crate) weight_basis: WeightBasis,
}

impl Settings {
    /// Reads and checks the settings of a dispatcher.
    pub(crate) fn read(map: &SettingsMap) -> Result<Self, SettingsError> {
        let settings = Settings {
            rank: read_quantity(map, "me")?,
            max_retry_after: read_quantity(map, "retry_after.allowed")?
                * read_quantity(map, "retry_after.max")?,
            reports_starts: read_quantity(map, "start_notes")? > 0.0,
            at_capacity: AtCapacityMeaning::read(map)?,
            slow_start_initial: read_quantity(map, "slow_start.from")?,
            slow_start_duration: read_quantity(map, "slow_start.duration")?,
            overload_multiple: read_quantity(map, "overload.multiple")?,
            overload_window: read_quantity(map, "overload.window")?,
            report_fields: ReportFields::read(map)?,
            dispatchers: read_setting::<f64>(map, "dispatchers")?.max(1.0),
            exchanges_load: read_setting_or(map, "peer_load.allowed", false)?,
            uses_warm_up_grants: read_setting_or(map, "warm_up_grants", false)?,
            max_attempts: read_setting(map, "attempts.max")?,
            polls_endpoints: read_setting::<String>(map, "endpoints.mode")? == "polled",
            fifo_workers: read_setting_or(map, "queue.order", "fifo".to_string())? == "fifo",
            weight_basis: WeightBasis::read(map)?,
            zone: read_setting_or(map, "zone", 0)?,
        };
        settings.check_rank()?;
        Ok(settings)
    }

    /// Reads the settings of all classes.
    pub(crate) fn read_classes(map: &SettingsMap) -> Result<Vec<ClassSettings>, SettingsError> {
        let count: usize = read_setting(map, "class.count")?;
        (0..count)
            .map(|class_index| ClassSettings::read(map, class_index))
            .collect()
    }

    fn check_rank(&self) -> Result<(), SettingsError> {
        let fits = self.dispatchers <= 65_535.0 && self.rank < self.dispatchers;
        if self.exchanges_load && !fits {
            return Err(SettingsError::RankOutOfRange {
                rank: self.rank,
                dispatchers: self.dispatchers,
            });
        }
        Ok(())
    }
}
