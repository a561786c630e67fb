//! The histogram of work by request size, with logarithmic bins.

/// Four bins an octave (`BINS_PER_OCTAVE`, of like width) from 1 ms up reach 64 s: narrower than a hint is exact.
pub const BINS: usize = 64;

pub const BINS_PER_OCTAVE: usize = 4;

pub const FIRST_BIN_START: f64 = 1e6;

pub type Bins = [f64; BINS];

pub fn bin_index(work: f64) -> usize {
    let units = (work / FIRST_BIN_START).max(1.0);
    let octave = (units as u64).ilog2() as usize;
    octave * BINS_PER_OCTAVE
        + ((units / (1_u64 << octave) as f64 - 1.0) * BINS_PER_OCTAVE as f64) as usize
}

pub fn bin_start(bin: usize) -> f64 {
    FIRST_BIN_START
        * (1_u64 << (bin / BINS_PER_OCTAVE)) as f64
        * (1.0 + (bin % BINS_PER_OCTAVE) as f64 / BINS_PER_OCTAVE as f64)
}

/// The work in `bins` that lies below the size `x`.
pub fn work_below(bins: &Bins, x: f64) -> f64 {
    let bin = bin_index(x.min(1e18)).min(BINS);
    let part = if bin < BINS {
        ((x - bin_start(bin)) / (bin_start(bin + 1) - bin_start(bin))).clamp(0.0, 1.0)
    } else {
        0.0
    };
    bins[..bin].iter().sum::<f64>() + bins.get(bin).map_or(0.0, |work| work * part)
}
