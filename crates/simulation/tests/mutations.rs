//! The checker detects every mutation of the dispatcher within 1000 simulations.
#![cfg(feature = "mutations")]

use rosewall_simulation::mutation;

#[test]
fn every_fault_injected_into_the_dispatcher_is_found() {
    let jobs = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);

    for mutation in mutation::all() {
        let result = mutation::find(*mutation, 0, 1000, jobs);
        assert!(result.simulations.is_some(), "{mutation:?} was not found");
    }
}
