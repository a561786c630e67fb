//! Scenario files: read, checked and written.
use super::Scenario;
use super::validate::{Problem, validate};
use std::ops::Range;

/// Why a scenario could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The text is not TOML, or has a key or a value that a scenario does not have.
    #[error("line {line}: {}", source.message())]
    Syntax {
        /// The line, from 1.
        line: usize,
        /// What the parser found.
        #[source]
        source: Box<toml::de::Error>,
    },
    /// An entry of the file makes no sense.
    #[error("line {line}: {problem}")]
    InvalidEntry {
        /// The line at which the entry begins, from 1.
        line: usize,
        /// What is wrong with it.
        #[source]
        problem: Problem,
    },
    /// Something that the file does not name makes no sense.
    #[error("{0}")]
    Invalid(#[source] Problem),
    /// The scenario cannot be expressed as TOML.
    #[error("the scenario cannot be written as TOML: {0}")]
    Write(#[from] toml::ser::Error),
}

/// Reads a scenario.
///
/// # Errors
///
/// Where the text is not a scenario, with the line.
pub fn read(text: &str) -> Result<Scenario, ScenarioError> {
    let scenario: Scenario = toml::from_str(text).map_err(|error| ScenarioError::Syntax {
        line: error.span().map_or(0, |span| line_at(text, span)),
        source: Box::new(error),
    })?;
    validate(&scenario).map_err(|invalid| {
        let problem = invalid.problem;
        match line_of(text, invalid.key, invalid.index) {
            Some(line) => ScenarioError::InvalidEntry { line, problem },
            None => ScenarioError::Invalid(problem),
        }
    })?;
    Ok(scenario)
}

/// Writes a scenario as a file's text.
///
/// # Errors
///
/// Where a value cannot be expressed as TOML.
pub fn write(scenario: &Scenario) -> Result<String, ScenarioError> {
    Ok(toml::to_string(scenario)?)
}

fn line_at(text: &str, span: Range<usize>) -> usize {
    text.bytes()
        .take(span.start)
        .filter(|byte| *byte == b'\n')
        .count()
        + 1
}

/// The line at which the entry `index` of the list `key` begins, or that of a plain key.
fn line_of(text: &str, key: &str, index: usize) -> Option<usize> {
    let table: toml::Table = toml::from_str(text).ok()?;
    let _ = table.get(key)?;
    let begins_entry = |line: &str| {
        let line = line.trim();
        line == format!("[[{key}]]")
            || line
                .strip_prefix(key)
                .is_some_and(|rest| rest.trim().starts_with('='))
    };
    text.lines()
        .enumerate()
        .filter(|(_, line)| begins_entry(line))
        .nth(index)
        .map(|(line, _)| line + 1)
}
