//! Detects when all members agree on one membership view.
use super::Fleet;
use crate::error::TestbedError;
use crate::process::Process;
use crate::scale::dispatchers::{MembershipView, Views};
use std::thread;
use std::time::{Duration, Instant};

const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(120);
/// Time for which members must agree without a break; ranks still change for a second after the last member has joined.
const STABLE_FOR: Duration = Duration::from_millis(2_500);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the newest membership view in the log of a process, or rank 0 of 0 members if there is none.
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

/// Whether each view has this many members, and the ranks are 0, 1, 2 and so on, each once.
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
            "{others} of {running} members see another number of members, or ranks are duplicated"
        ),
    }
}

impl Fleet {
    /// Returns the membership view of each running dispatcher.
    fn views(&mut self) -> Result<Vec<MembershipView>, TestbedError> {
        let mut views: Vec<MembershipView> = self.real.iter().flatten().map(view_in_log).collect();
        for simulated in &mut self.simulated {
            let answer: Views = simulated.process.request("views")?;
            views.extend(answer.views);
        }
        Ok(views)
    }

    /// Waits until the view of each running dispatcher has as many members as run, with unique ranks; returns the seconds
    /// from `from` to the first moment of stable agreement.
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
