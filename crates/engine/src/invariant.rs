//! The `invariant!` macro: an assertion that panics in debug builds and is counted in release
//! builds.

/// Checks that an invariant holds. A violation panics in debug builds; in release builds it is
/// counted as `invariant_violations` and logged.
#[macro_export]
macro_rules! invariant {
    ($counters:expr, $holds:expr, $description:literal) => {
        if !$holds {
            debug_assert!(false, $description);
            $counters.invariant_violations.add();
            $crate::log::error!("invariant violated: {}", $description);
        }
    };
}
