//! The planned stop: all that was taken is answered, and no one is cut off who could still be served.
use crate::kept::shared::{News, Shared};
use async_channel::Sender;
use async_executor::Task;
use async_io::Timer;
use rosewall::pick;
use rosewall::types::Nanos;
use rosewall_settings::Map;
use std::rc::Rc;
use std::time::Duration;

/// New connections go on coming for up to 0.4 s after the signal; a tenth more is for their requests.
const LISTEN_ON: Duration = Duration::from_millis(500);
/// The protocol: no kill sooner than the longest expiry, 3 s at most, and 0.7 s more.
const LONGEST: Nanos = 3_000_000_000;
const MORE: Nanos = 700_000_000;
/// Of that, kept for deciding and writing the last answers.
const SPARE: Nanos = 300_000_000;

/// How long after the signal all must be answered.
pub fn within(map: &Map) -> Nanos {
    let expiry = |at: usize| pick::<Nanos>(map, &format!("scheme.{at}.expiry")).ok();
    let longest = (0..).map_while(expiry).max().unwrap_or(LONGEST);
    longest.min(LONGEST) + MORE - SPARE
}

pub async fn stop(shared: &Rc<Shared>, map: &Map, end: Sender<()>, accepting: Task<()>) {
    let by = shared.clock.now() + within(map);
    shared.stopping.set(true);
    shared.tell(News::Stop(by));
    Timer::after(LISTEN_ON).await;
    drop(end);
    accepting.await;
    let last = by + SPARE / 2;
    while shared.budget.clients() > 0 && shared.clock.now() < last {
        while shared.budget.close_waiting() {}
        Timer::after(Duration::from_millis(5)).await;
    }
    log::info!("{} clients were still connected at the end", shared.budget.clients());
}
