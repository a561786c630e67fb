//! Tests of DIFFEQAL: semi-geometric shifts, shift ratios and interval bounds.
use super::{ShiftRatios, compute_interval_bounds, semi_geometric_shifts};
use crate::policy::test_support::{MS, dispatcher, only_attempt, request, send_request};
use crate::state::{BINS, bin_index};
use crate::types::Nanos;
use std::collections::BTreeSet;
use test_case::test_case;

#[test_case(4, 0.1 => vec![-100, -17, 33, 83]; "the paper's example")]
#[test_case(4, 0.2 => vec![-200, -33, 67, 167]; "twice the shift")]
#[test_case(1, 0.4 => vec![0]; "one worker")]
#[test_case(0, 0.4 => Vec::<i64>::new(); "no worker")]
fn shifts_sum_to_zero_and_start_at_minus_the_ratio(count: usize, ratio: f64) -> Vec<i64> {
    semi_geometric_shifts(count, ratio)
        .map(|shift| (shift * 1000.0).round() as i64)
        .collect()
}

#[test_case(0.0, 0.0 => (0.0, 0.4, 0.0); "neither")]
#[test_case(0.3, 0.0 => (0.4, 0.4, 0.0); "low only")]
#[test_case(0.2, 0.3 => (0.4, 0.0, 0.2); "high more")]
#[test_case(0.3, 0.3 => (0.4, 0.4, 0.0); "alike")]
fn shift_ratios_follow_the_autocorrelation(low: f64, high: f64) -> (f64, f64, f64) {
    let ratios = ShiftRatios::from_autocorrelation(low, high);
    (ratios.all, ratios.low, ratios.high)
}

#[test_case(&[1.0, 1.0], &[(10, 100.0), (20, 100.0)] => vec![100, 200]; "between two sizes")]
#[test_case(&[1.0, 1.0, 2.0], &[(10, 100.0)] => vec![25, 50, 100]; "inside one bin")]
#[test_case(&[1.0, 1.0], &[] => vec![0, 0]; "empty")]
fn intervals_end_at_their_part_of_the_work(
    interval_weights: &[f64],
    filled: &[(usize, f64)],
) -> Vec<i64> {
    let mut bins = [0.0; BINS];
    for (bin, work) in filled {
        bins[*bin] = *work;
    }
    let mut interval_bounds = Vec::new();
    compute_interval_bounds(
        &bins,
        &bins,
        interval_weights,
        semi_geometric_shifts(interval_weights.len(), 0.0),
        &mut interval_bounds,
    );
    interval_bounds
        .iter()
        .map(|bound| bound.round() as i64)
        .collect()
}

#[test]
fn class_shifts_keep_the_total_work_of_a_class() {
    let mut all_work = [0.0; BINS];
    let mut class_work = [0.0; BINS];
    all_work[8..40].fill(10.0);
    class_work[8..24].fill(5.0);
    class_work[24..40].fill(1.0);
    let mut interval_bounds = Vec::new();
    compute_interval_bounds(
        &all_work,
        &class_work,
        &[1.0; 2],
        semi_geometric_shifts(2, 0.4),
        &mut interval_bounds,
    );
    let rounded: Vec<f64> = interval_bounds.iter().map(|bound| bound.round()).collect();
    assert_eq!(rounded, [48.0, 70.0]);
}

/// Guards against many dispatchers with few requests each that send all such requests to the last
/// worker.
#[test]
fn a_request_larger_than_all_before_falls_into_any_interval_that_its_work_fills() {
    let worker_for = |hint: Nanos| {
        let mut d = dispatcher(10);
        d.classes[0].histogram[bin_index(1e6)] = 1e6;
        only_attempt(&send_request(&mut d, MS, request(1, 0, hint * MS, 0))).addr[3]
    };
    let workers: BTreeSet<u8> = (0..40).map(|step| worker_for(100 + 5 * step)).collect();
    assert!(workers.len() > 6, "{workers:?}");
}
