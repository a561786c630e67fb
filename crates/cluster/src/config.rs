//! The members' part of an operator's files: TOML, each key checked, errors with file, line and key.
use crate::datagram::is_name;
use crate::error::ClusterError;
use rosewall::types::Nanos;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use toml::{Spanned, Value};

/// How one dispatcher joins the others.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterConfig {
    pub cluster: String,
    pub name: String,
    pub listen: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub quorum: Vec<String>,
    /// All datagrams go by this relay, each with the other side's address before it.
    pub relay: Option<SocketAddr>,
    /// How far the machines' wall clocks may lie apart.
    pub max_clock_skew: Nanos,
}

const KEYS: &[&str] = &[
    "version",
    "cluster",
    "name",
    "listen",
    "seeds",
    "keepers",
    "through",
    "clocks_ms",
];
/// Clocks that are set by anyone at all lie closer.
const CLOCKS_MS: i64 = 10_000;

type Table = BTreeMap<Spanned<String>, Spanned<Value>>;

/// Changes of one letter from one word to another, at most.
pub fn distance(one: &str, other: &str) -> usize {
    let other: Vec<char> = other.chars().collect();
    let mut row: Vec<usize> = (0..=other.len()).collect();
    for (at, a) in one.chars().enumerate() {
        let mut before = std::mem::replace(&mut row[0], at + 1);
        for (place, b) in other.iter().enumerate() {
            let kept = before + usize::from(a != *b);
            before = row[place + 1];
            row[place + 1] = kept.min(before + 1).min(row[place] + 1);
        }
    }
    row[other.len()]
}

/// The key that was meant, if one is near.
pub fn nearest(word: &str, keys: &[&'static str]) -> Option<&'static str> {
    let near = keys.iter().map(|key| (distance(word, key), *key)).min();
    near.filter(|(far, key)| *far <= (key.len() / 2).max(1))
        .map(|(_, key)| key)
}

struct File<'a> {
    path: &'a Path,
    text: &'a str,
    table: Table,
}

impl File<'_> {
    fn line(&self, place: usize) -> usize {
        1 + self
            .text
            .as_bytes()
            .iter()
            .take(place)
            .filter(|byte| **byte == b'\n')
            .count()
    }

    fn get<T>(
        &self,
        key: &'static str,
        wants: &'static str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Result<Option<T>, ClusterError> {
        let Some((_, value)) = self.table.iter().find(|(name, _)| name.get_ref() == key) else {
            return Ok(None);
        };
        let (path, line) = (self.path.to_path_buf(), self.line(value.span().start));
        let wrong = || ClusterError::InvalidValue {
            path,
            line,
            key,
            value: value.get_ref().to_string(),
            wants,
        };
        read(value.get_ref()).map(Some).ok_or_else(wrong)
    }

    fn need<T>(
        &self,
        key: &'static str,
        wants: &'static str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Result<T, ClusterError> {
        let missing = || ClusterError::Missing {
            path: self.path.to_path_buf(),
            key,
        };
        self.get(key, wants, read)?.ok_or_else(missing)
    }
}

fn name(value: &Value) -> Option<String> {
    value
        .as_str()
        .filter(|text| is_name(text))
        .map(str::to_string)
}

fn address(value: &Value) -> Option<SocketAddr> {
    let address: SocketAddr = value.as_str()?.parse().ok()?;
    let usable =
        matches!(address.ip(), IpAddr::V4(ip) if !ip.is_unspecified()) && address.port() != 0;
    usable.then_some(address)
}

fn list<T>(value: &Value, one: impl Fn(&Value) -> Option<T>) -> Option<Vec<T>> {
    value.as_array()?.iter().map(one).collect()
}

/// Reads the file's text; `path` is for what is said of it.
pub fn parse(path: &Path, text: &str) -> Result<ClusterConfig, ClusterError> {
    let mut file = File {
        path,
        text,
        table: Table::new(),
    };
    file.table = toml::from_str(text).map_err(|fault| ClusterError::Syntax {
        path: path.to_path_buf(),
        line: fault.span().map_or(1, |span| file.line(span.start)),
        what: fault.message().to_string(),
    })?;
    if let Some(key) = file
        .table
        .keys()
        .find(|key| !KEYS.contains(&key.get_ref().as_str()))
    {
        let (line, nearest) = (file.line(key.span().start), nearest(key.get_ref(), KEYS));
        let (path, key) = (path.to_path_buf(), key.get_ref().clone());
        return Err(ClusterError::UnknownKey {
            path,
            line,
            key,
            nearest,
        });
    }
    const NAME: &str = "up to 32 letters, digits, points, minuses and underlines";
    const ADDRESS: &str = "an IPv4 address and a port, such as \"10.0.0.4:7946\"";
    file.need("version", "1", |value| {
        (value.as_integer() == Some(1)).then_some(())
    })?;
    let keepers = file
        .get("keepers", "a list of names", |value| list(value, name))?
        .unwrap_or_default();
    let mut apart = keepers.clone();
    apart.sort();
    apart.dedup();
    if !matches!(keepers.len(), 0 | 1 | 3 | 5) || apart.len() != keepers.len() {
        let at = file
            .table
            .iter()
            .find(|(key, _)| key.get_ref() == "keepers");
        let line = at.map_or(1, |(key, _)| file.line(key.span().start));
        return Err(ClusterError::QuorumSize {
            path: path.to_path_buf(),
            line,
            count: apart.len(),
        });
    }
    let clocks = |value: &Value| value.as_integer().filter(|ms| (0..=3_600_000).contains(ms));
    let clocks = file
        .get("clocks_ms", "0 to 3600000 (ms)", clocks)?
        .unwrap_or(CLOCKS_MS);
    Ok(ClusterConfig {
        cluster: file.need("cluster", NAME, name)?,
        name: file.need("name", NAME, name)?,
        listen: file.need("listen", ADDRESS, address)?,
        seeds: file.need("seeds", "a list of IPv4 addresses with ports", |value| {
            list(value, address)
        })?,
        quorum: keepers,
        relay: file.get("through", ADDRESS, address)?,
        max_clock_skew: clocks as Nanos * 1_000_000,
    })
}

#[cfg(test)]
pub(crate) mod tests;
