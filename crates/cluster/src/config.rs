//! Parser of the cluster file that an operator writes: TOML with strict keys; errors name the file, line
//! and key.
use crate::error::ClusterError;
use crate::member::is_name;
use crate::time::MILLISECOND;
use rosewall::types::Nanos;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use toml::{Spanned, Value};

/// The configuration with which one dispatcher joins a cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterConfig {
    /// The name of the cluster, the same for all its members.
    pub cluster: String,
    /// The name of this dispatcher, unique in the cluster.
    pub name: String,
    /// The IPv4 address at which this dispatcher receives datagrams.
    pub listen: SocketAddr,
    /// Addresses of dispatchers that are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// The names of the dispatchers that vote on the lease: none, 1, 3 or 5.
    pub quorum: Vec<String>,
    /// A relay through which all datagrams pass, each prefixed with the other side's address; `None` for
    /// direct exchange.
    pub relay: Option<SocketAddr>,
    /// The maximum difference between the machines' wall clocks.
    pub max_clock_skew: Nanos,
}

/// The keys of the file.
mod key {
    pub const VERSION: &str = "version";
    pub const CLUSTER: &str = "cluster";
    pub const NAME: &str = "name";
    pub const LISTEN: &str = "listen";
    pub const SEEDS: &str = "seeds";
    pub const QUORUM: &str = "keepers";
    pub const RELAY: &str = "through";
    pub const MAX_CLOCK_SKEW_MS: &str = "clocks_ms";
    pub const ALL: &[&str] = &[
        VERSION,
        CLUSTER,
        NAME,
        LISTEN,
        SEEDS,
        QUORUM,
        RELAY,
        MAX_CLOCK_SKEW_MS,
    ];
}

const EXPECTED_NAME: &str = "1 to 32 ASCII letters, digits, '.', '-' or '_'";
const EXPECTED_ADDRESS: &str = "an IPv4 address and a port, such as \"10.0.0.4:7946\"";
/// The supported format version of the file.
const FILE_VERSION: i64 = 1;
/// The default of [`ClusterConfig::max_clock_skew`]; synchronized clocks differ by less.
const DEFAULT_MAX_CLOCK_SKEW_MS: i64 = 10_000;
const LARGEST_CLOCK_SKEW_MS: i64 = 3_600_000;

type Table = BTreeMap<Spanned<String>, Spanned<Value>>;

/// Parses the text of a cluster file; `path` appears only in error messages.
///
/// # Errors
///
/// Returns a [`ClusterError`] for the first fault in the file.
pub fn parse(path: &Path, text: &str) -> Result<ClusterConfig, ClusterError> {
    let file = File::parse(path, text)?;
    file.require(key::VERSION, "1", |value| {
        (value.as_integer() == Some(FILE_VERSION)).then_some(())
    })?;
    let quorum = file.quorum()?;
    let max_clock_skew = file.max_clock_skew()?;
    Ok(ClusterConfig {
        cluster: file.require(key::CLUSTER, EXPECTED_NAME, name)?,
        name: file.require(key::NAME, EXPECTED_NAME, name)?,
        listen: file.require(key::LISTEN, EXPECTED_ADDRESS, address)?,
        seeds: file.require(
            key::SEEDS,
            "a list of IPv4 addresses with ports",
            list_of(address),
        )?,
        quorum,
        relay: file.get(key::RELAY, EXPECTED_ADDRESS, address)?,
        max_clock_skew,
    })
}

/// A parsed file without unknown keys.
struct File<'a> {
    path: &'a Path,
    text: &'a str,
    table: Table,
}

impl<'a> File<'a> {
    fn parse(path: &'a Path, text: &'a str) -> Result<Self, ClusterError> {
        let table: Table = toml::from_str(text).map_err(|error| ClusterError::Syntax {
            path: path.to_path_buf(),
            line: error.span().map_or(1, |span| line_of(text, span.start)),
            message: error.message().to_string(),
        })?;
        let is_unknown = |key: &&Spanned<String>| !key::ALL.contains(&key.get_ref().as_str());
        if let Some(unknown) = table.keys().find(is_unknown) {
            return Err(ClusterError::UnknownKey {
                path: path.to_path_buf(),
                line: line_of(text, unknown.span().start),
                key: unknown.get_ref().clone(),
                nearest: nearest(unknown.get_ref(), key::ALL),
            });
        }
        Ok(File { path, text, table })
    }

    /// Returns the value of a key, or `None` if the file does not have the key.
    fn get<T>(
        &self,
        key: &'static str,
        expected: &'static str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Result<Option<T>, ClusterError> {
        let Some((_, value)) = self.table.iter().find(|(name, _)| name.get_ref() == key) else {
            return Ok(None);
        };
        let invalid = || ClusterError::InvalidValue {
            path: self.path.to_path_buf(),
            line: line_of(self.text, value.span().start),
            key,
            value: value.get_ref().to_string(),
            expected,
        };
        read(value.get_ref()).map(Some).ok_or_else(invalid)
    }

    /// Returns the value of a mandatory key.
    fn require<T>(
        &self,
        key: &'static str,
        expected: &'static str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Result<T, ClusterError> {
        let missing = || ClusterError::Missing {
            path: self.path.to_path_buf(),
            key,
        };
        self.get(key, expected, read)?.ok_or_else(missing)
    }

    fn quorum(&self) -> Result<Vec<String>, ClusterError> {
        let names = self
            .get(key::QUORUM, "a list of names", list_of(name))?
            .unwrap_or_default();
        let mut distinct = names.clone();
        distinct.sort();
        distinct.dedup();
        if matches!(names.len(), 0 | 1 | 3 | 5) && distinct.len() == names.len() {
            return Ok(names);
        }
        let mut keys = self.table.keys();
        let key = keys.find(|name| name.get_ref() == key::QUORUM);
        Err(ClusterError::QuorumSize {
            path: self.path.to_path_buf(),
            line: key.map_or(1, |key| line_of(self.text, key.span().start)),
            count: distinct.len(),
        })
    }

    fn max_clock_skew(&self) -> Result<Nanos, ClusterError> {
        let in_range = |value: &Value| {
            value
                .as_integer()
                .filter(|ms| (0..=LARGEST_CLOCK_SKEW_MS).contains(ms))
        };
        let ms = self
            .get(key::MAX_CLOCK_SKEW_MS, "from 0 to 3600000 (ms)", in_range)?
            .unwrap_or(DEFAULT_MAX_CLOCK_SKEW_MS);
        Ok(ms as Nanos * MILLISECOND)
    }
}

/// Returns the number of the line, from 1, that contains the byte at `offset`.
fn line_of(text: &str, offset: usize) -> usize {
    let before = text.as_bytes().iter().take(offset);
    1 + before.filter(|byte| **byte == b'\n').count()
}

fn name(value: &Value) -> Option<String> {
    let text = value.as_str().filter(|text| is_name(text));
    text.map(str::to_string)
}

fn address(value: &Value) -> Option<SocketAddr> {
    let address: SocketAddr = value.as_str()?.parse().ok()?;
    let usable =
        matches!(address.ip(), IpAddr::V4(ip) if !ip.is_unspecified()) && address.port() != 0;
    usable.then_some(address)
}

fn list_of<T>(item: impl Fn(&Value) -> Option<T>) -> impl Fn(&Value) -> Option<Vec<T>> {
    move |value| value.as_array()?.iter().map(&item).collect()
}

/// Returns the known key closest to an unknown one, unless all differ too much.
fn nearest(word: &str, keys: &[&'static str]) -> Option<&'static str> {
    let nearest = keys
        .iter()
        .map(|key| (edit_distance(word, key), *key))
        .min();
    nearest
        .filter(|(distance, key)| *distance <= (key.len() / 2).max(1))
        .map(|(_, key)| key)
}

/// Returns the Levenshtein distance of two words.
fn edit_distance(one: &str, other: &str) -> usize {
    let other: Vec<char> = other.chars().collect();
    let mut row: Vec<usize> = (0..=other.len()).collect();
    for (i, a) in one.chars().enumerate() {
        let mut diagonal = std::mem::replace(&mut row[0], i + 1);
        for (j, b) in other.iter().enumerate() {
            let substituted = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[other.len()]
}

#[cfg(test)]
mod tests;
