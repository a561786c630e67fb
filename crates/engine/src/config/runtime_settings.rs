//! The settings that engine and runtime use, read once.
use super::ConfigError;
use rosewall::pick;
use rosewall::types::Nanos;
use rosewall_settings::Map;

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;

/// The usual keep-alive time of servers.
const DEFAULT_IDLE_TIMEOUT: Nanos = 5 * SECOND;
/// Enough for a connection within one data centre.
const DEFAULT_CONNECT_TIMEOUT: Nanos = 250 * MILLISECOND;

/// The protocol allows a process the longest deadline, at most this, and `SHUTDOWN_GRACE` from the signal to its kill.
const MAX_SHUTDOWN_DEADLINE: Nanos = 3 * SECOND;
const SHUTDOWN_GRACE: Nanos = 700 * MILLISECOND;
/// The part of the time before the kill that is reserved for deciding and writing the last answers.
pub const FINAL_ANSWERS_RESERVE: Nanos = 300 * MILLISECOND;

/// How endpoint lists come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointsMode {
    /// Discovery pushes each change to whoever watches.
    Pushed,
    /// The dispatcher polls for the list when the decisions allow it.
    Polled,
}

impl EndpointsMode {
    pub(super) fn parse(value: &str) -> Result<Self, ConfigError> {
        match value {
            "pushed" => Ok(EndpointsMode::Pushed),
            "polled" => Ok(EndpointsMode::Polled),
            _ => Err(ConfigError::EndpointsMode {
                value: value.to_string(),
            }),
        }
    }
}

/// The settings that engine and runtime use. One that is missing or cannot be read has its default here;
/// [`Config::validate`](super::Config::validate) rejects it where the dispatcher must not start without it.
#[derive(Clone, Debug, PartialEq)]
pub struct RuntimeSettings {
    /// How long a connection to a worker may take to come up.
    pub connect_timeout: Nanos,
    /// How long workers keep an idle connection open.
    pub idle_timeout: Nanos,
    /// How long after the signal to stop all requests must be answered.
    pub shutdown_timeout: Nanos,
    /// How long after its start a worker is warming up.
    pub slow_start_duration: Nanos,
    /// How endpoint lists come.
    pub endpoints_mode: EndpointsMode,
    /// The names of the values of a load report, in the order in which workers send them.
    pub report_fields: Vec<String>,
    /// The rank of this dispatcher, as the settings number the dispatchers.
    pub rank: Option<u16>,
}

impl RuntimeSettings {
    pub(super) fn read(settings: &Map) -> Self {
        let nanos = |name: &str| pick::<Nanos>(settings, name).ok();
        let report_fields = settings.get("report.wire_fields");
        let endpoints_mode = settings
            .get("endpoints.mode")
            .and_then(|mode| EndpointsMode::parse(mode).ok());
        RuntimeSettings {
            connect_timeout: nanos("connect.timeout").unwrap_or(DEFAULT_CONNECT_TIMEOUT),
            idle_timeout: nanos("connection.idle_timeout").unwrap_or(DEFAULT_IDLE_TIMEOUT),
            shutdown_timeout: shutdown_timeout(settings),
            slow_start_duration: nanos("slow_start.duration").unwrap_or(0),
            endpoints_mode: endpoints_mode.unwrap_or(EndpointsMode::Pushed),
            report_fields: report_fields.map_or_else(Vec::new, |fields| split_list(fields)),
            rank: pick(settings, "me").ok(),
        }
    }
}

fn split_list(list: &str) -> Vec<String> {
    list.split(',')
        .filter(|word| !word.is_empty())
        .map(str::to_string)
        .collect()
}

/// How long after the signal to stop all requests must be answered: the time before the kill, less the reserve.
pub(super) fn shutdown_timeout(settings: &Map) -> Nanos {
    let deadline = |class: usize| pick::<Nanos>(settings, &format!("class.{class}.deadline")).ok();
    let longest = (0..)
        .map_while(deadline)
        .max()
        .unwrap_or(MAX_SHUTDOWN_DEADLINE);
    longest.min(MAX_SHUTDOWN_DEADLINE) + SHUTDOWN_GRACE - FINAL_ANSWERS_RESERVE
}
