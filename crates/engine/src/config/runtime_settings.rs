//! Settings used by the engine and the runtime, read once at startup.
use super::ConfigError;
use rosewall::read_setting;
use rosewall::types::Nanos;
use rosewall_settings::SettingsMap;

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;

/// Common keep-alive time of HTTP servers.
const DEFAULT_IDLE_TIMEOUT: Nanos = 5 * SECOND;
/// Sufficient for a connection within one data centre.
const DEFAULT_CONNECT_TIMEOUT: Nanos = 250 * MILLISECOND;

/// Maximum deadline that counts for a shutdown. By the protocol, a process is killed
/// `SHUTDOWN_GRACE` plus the longest deadline, at most this one, after the signal to stop.
const MAX_SHUTDOWN_DEADLINE: Nanos = 3 * SECOND;
const SHUTDOWN_GRACE: Nanos = 700 * MILLISECOND;
/// Part of the time before the kill that is reserved for deciding on and writing the last answers.
pub const FINAL_ANSWERS_RESERVE: Nanos = 300 * MILLISECOND;

/// Delivery mode of endpoint lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointsMode {
    /// Discovery pushes each change over a watch.
    Pushed,
    /// The dispatcher polls for the list when the policy permits it.
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

/// Settings used by the engine and the runtime. A setting that is missing or cannot be read gets
/// its default here; [`Config::validate`](super::Config::validate) rejects it if the dispatcher
/// must not start without it.
#[derive(Clone, Debug, PartialEq)]
pub struct RuntimeSettings {
    /// Longest time that connecting to a worker may take; 250 ms by default.
    pub connect_timeout: Nanos,
    /// Time that workers keep an idle connection open; 5 s by default.
    pub idle_timeout: Nanos,
    /// Time after the signal to stop by which all requests must be answered.
    pub shutdown_timeout: Nanos,
    /// Time that a worker warms up after its start; 0 by default.
    pub slow_start_duration: Nanos,
    /// Delivery mode of endpoint lists; pushed by default.
    pub endpoints_mode: EndpointsMode,
    /// Time for which new work may go to a worker after it was reported as draining; 0 by default.
    pub drain_grace: Nanos,
    /// Names of the values of a load report, in the order in which workers send them.
    pub report_fields: Vec<String>,
    /// Rank of this dispatcher according to the settings; `None` if it is missing or cannot be
    /// read.
    pub rank: Option<u16>,
}

impl RuntimeSettings {
    pub(super) fn read(settings: &SettingsMap) -> Self {
        let nanos = |name: &str| read_setting::<Nanos>(settings, name).ok();
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
            drain_grace: nanos("endpoints.drain_grace").unwrap_or(0),
            report_fields: report_fields.map_or_else(Vec::new, |fields| split_list(fields)),
            rank: read_setting(settings, "me").ok(),
        }
    }
}

fn split_list(list: &str) -> Vec<String> {
    list.split(',')
        .filter(|word| !word.is_empty())
        .map(str::to_string)
        .collect()
}

/// Returns the time after the signal to stop by which all requests must be answered: the time until
/// the kill, less `FINAL_ANSWERS_RESERVE`.
pub(super) fn shutdown_timeout(settings: &SettingsMap) -> Nanos {
    let deadline =
        |class: usize| read_setting::<Nanos>(settings, &format!("class.{class}.deadline")).ok();
    let longest = (0..)
        .map_while(deadline)
        .max()
        .unwrap_or(MAX_SHUTDOWN_DEADLINE);
    longest.min(MAX_SHUTDOWN_DEADLINE) + SHUTDOWN_GRACE - FINAL_ANSWERS_RESERVE
}
