//! Reading and writing of scenario files.
use super::Scenario;
use super::validate::{Problem, validate};
use std::ops::Range;

/// Error of reading or writing a scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The text is not TOML, or has an unknown key or a value of the wrong type.
    #[error("line {line}: {}", source.message())]
    Syntax {
        /// Line number, from 1.
        line: usize,
        /// Error of the parser.
        #[source]
        source: Box<toml::de::Error>,
    },
    /// An entry of the file is invalid.
    #[error("line {line}: {problem}")]
    InvalidEntry {
        /// Line number at which the entry begins, from 1.
        line: usize,
        /// Problem with the entry.
        #[source]
        problem: Problem,
    },
    /// A value that the file does not contain is invalid, such as a missing list.
    #[error("{0}")]
    Invalid(#[source] Problem),
    /// The scenario cannot be expressed as TOML.
    #[error("cannot write the scenario as TOML: {0}")]
    Write(#[from] toml::ser::Error),
}

/// Parses and validates a scenario.
///
/// # Errors
///
/// Returns an error with the line if the text is not a valid scenario.
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

/// Formats a scenario as TOML.
///
/// # Errors
///
/// Returns an error if a value cannot be expressed as TOML.
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

/// Returns the line number of the entry `index` of the list `key`, or of the key itself if it is
/// not a list.
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
