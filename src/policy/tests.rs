use super::*;
use test_case::test_case;

#[test_case(4, 0.1 => vec![-100, -17, 33, 83]; "the source's example")]
#[test_case(4, 0.2 => vec![-200, -33, 67, 167]; "twice the shift")]
#[test_case(1, 0.4 => vec![0]; "one worker")]
#[test_case(0, 0.4 => Vec::<i64>::new(); "no worker")]
fn semi_geometric_shifts(n: usize, r: f64) -> Vec<i64> {
    shifts(n, r).iter().map(|p| (p * 1000.0).round() as i64).collect()
}
