//! Whether all members agree on who they are.
use super::Fleet;
use crate::error::TestbedError;
use crate::process::Process;
use crate::scale::dispatchers::{MembershipView, Views};
use std::thread;
use std::time::{Duration, Instant};

const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(120);
/// How long members must go on to agree; claims of ranks change for a second after the last member came.
const STABLE_FOR: Duration = Duration::from_millis(2_500);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The newest view in the log of a process.
fn view_in_log(process: &Process) -> MembershipView {
    let line = process.last_line("cluster view ").unwrap_or_default();
    let number = |prefix: &str| {
        let mut words = line.split(' ');
        words.find_map(|word| word.strip_prefix(prefix)?.parse().ok())
    };
    MembershipView {
        rank: number("rank=").unwrap_or(0),
        members: number("members=").unwrap_or(0),
    }
}

/// Whether each knows this many members and has a rank of its own.
fn all_agree(mut views: Vec<MembershipView>, members: usize) -> bool {
    views.sort_unstable();
    let mut ranked = views.iter().enumerate();
    ranked.all(|(rank, view)| *view == MembershipView { rank, members })
}

fn no_agreement(views: &[MembershipView], running: usize) -> TestbedError {
    let others = views.iter().filter(|view| view.members != running).count();
    TestbedError::NoCommonView {
        seconds: AGREEMENT_TIMEOUT.as_secs(),
        observed: format!(
            "{others} of {running} hold another number for it, or ranks are held twice"
        ),
    }
}

impl Fleet {
    /// The view of each dispatcher that runs.
    fn views(&mut self) -> Result<Vec<MembershipView>, TestbedError> {
        let mut views: Vec<MembershipView> = self.real.iter().flatten().map(view_in_log).collect();
        for simulated in &mut self.simulated {
            let answer: Views = simulated.process.request("views")?;
            views.extend(answer.views);
        }
        Ok(views)
    }

    /// Seconds from a moment until all that run knew just each other, each with a rank of its own.
    pub(super) fn wait_for_agreement(&mut self, from: Instant) -> Result<f64, TestbedError> {
        let deadline = Instant::now() + AGREEMENT_TIMEOUT;
        let running = self.should_run.iter().filter(|up| **up).count();
        let mut agreed_since = None;
        loop {
            let now = Instant::now();
            let views = self.views()?;
            agreed_since = if all_agree(views.clone(), running) {
                agreed_since.or(Some(now))
            } else {
                None
            };
            if let Some(since) = agreed_since.filter(|since| since.elapsed() >= STABLE_FOR) {
                return Ok(since.saturating_duration_since(from).as_secs_f64());
            }
            if now > deadline {
                return Err(no_agreement(&views, running));
            }
            self.check_resources()?;
            thread::sleep(POLL_INTERVAL);
        }
    }
}
