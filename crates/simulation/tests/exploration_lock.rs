//! Locks the behaviour of generated simulations: a refactoring must not change any step of them.
use rosewall_simulation::generate::generate;
use rosewall_simulation::simulation::{Trace, run_scenario};

#[test]
fn sixty_generated_simulations_take_exactly_the_recorded_steps() {
    let mut total = [0_u64; 4];
    let mut digest = 0xcbf2_9ce4_8422_2325_u64;

    for seed in 0..60 {
        let report = run_scenario(&generate(seed), Trace::Off);
        let counts = [
            report.steps,
            report.counts.requests,
            report.counts.attempts,
            report.counts.succeeded,
        ];
        for (total, count) in total.iter_mut().zip(counts) {
            *total += count;
            digest = (digest ^ count).wrapping_mul(0x0100_0000_01b3);
        }
    }

    assert_eq!(total, [843_498, 52_650, 50_368, 46_891]);
    assert_eq!(digest, 6_324_419_932_043_854_066);
}
