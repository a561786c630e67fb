//! Runs one case of the second review: `review-standin-2 CASE FOLDER`, from the root of the repository.
//!
//! Ends with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With `TROUBLE=0` in
//! the environment the case runs without its disruption.
mod cases;
mod client;
mod discovery;
mod dispatcher;
mod http;
mod record;
mod settings;
mod wire;
mod worker;

use record::Record;
use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

/// Limit for a run; beyond it the case could not run.
const LIMIT: Duration = Duration::from_secs(116);

/// What a case needs from its surroundings.
pub struct Run {
    pub record: Record,
    /// Temporary folder of this run.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

impl Run {
    /// Waits until this time of the run.
    pub fn until(&self, at: f64) {
        thread::sleep(Duration::from_secs_f64(at).saturating_sub(self.record.now()));
    }
}

/// What a case found: one line for each break of its rule.
pub struct Finding {
    pub breaks: Vec<String>,
    /// What was counted, for the record.
    pub counted: String,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("expected the name of a case and its folder");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            exit(2);
        }
    };
    thread::spawn(|| {
        thread::sleep(LIMIT);
        dispatcher::kill_all();
        eprintln!("the case took too long");
        exit(2);
    });
    let temporary = std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&temporary) {
        eprintln!("cannot make a temporary folder: {error}");
        exit(2);
    }
    let run = Run {
        record: record.clone(),
        folder: temporary.clone(),
        trouble,
    };
    record.line(&format!("case {case}, trouble: {trouble}"));
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| cases::run(case, &run)));
    dispatcher::kill_all();
    let _ = std::fs::remove_dir_all(&temporary);
    let (text, code) = match result {
        Ok(Ok(finding)) if finding.breaks.is_empty() => {
            (format!("the rule held; {}", finding.counted), 0)
        }
        Ok(Ok(finding)) => {
            for line in &finding.breaks {
                record.line(&format!("BREAK {line}"));
            }
            let first = finding.breaks[0].clone();
            (
                format!(
                    "the rule was broken {} times, first: {first}; {}",
                    finding.breaks.len(),
                    finding.counted
                ),
                1,
            )
        }
        Ok(Err(why)) => (format!("could not run: {why}"), 2),
        Err(_) => ("could not run: a fault of the stand-in".to_string(), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    exit(code);
}
