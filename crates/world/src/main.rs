fn main() {
    let from: u64 = std::env::args().nth(1).unwrap().parse().unwrap();
    let to: u64 = std::env::args().nth(2).unwrap().parse().unwrap();
    for seed in from..to {
        let report =
            rosewall_world::world::play(&rosewall_world::draw::draw(seed), std::env::args().len() > 3);
        for (at, line) in &report.trace {
            println!("{at:.3} {line}");
        }
        println!(
            "{seed} steps {} tally {:?} virtual {:.1} {:016x}",
            report.steps, report.tally, report.virtual_s, report.digest
        );
        for violation in &report.violations {
            println!("   {violation:?}");
        }
    }
}
