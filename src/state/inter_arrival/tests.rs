//! Tests of the autocorrelation estimate.
use crate::state::InterArrivalTimes;
use crate::types::Nanos;
use test_case::test_case;

const MS: Nanos = 1_000_000;

#[test_case(60, 4 => false; "too few arrivals do not change the estimate")]
#[test_case(300, 4 => true; "bursts of four are correlated")]
#[test_case(300, 1 => false; "alternating intervals are not")]
fn bursts_are_autocorrelated(arrivals: u64, burst: u64) -> bool {
    let mut times = InterArrivalTimes::default();
    let mut now = 0;
    for n in 0..arrivals {
        now += if (n / burst).is_multiple_of(2) {
            10 * MS
        } else {
            90 * MS
        };
        times.record_arrival(now);
    }
    times.update_estimate(now);
    times.autocorrelation > 0.1
}
