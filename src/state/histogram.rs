//! The histogram of work by request size, with logarithmic bins.

/// With four bins an octave, 64 bins reach from 1 ms to 64 s. Hints are less exact than a bin is wide.
pub(crate) const BINS: usize = 64;
const BINS_PER_OCTAVE: usize = 4;

/// The size at which the first bin starts, in nanoseconds of work.
pub(crate) const FIRST_BIN_START: f64 = 1e6;

/// A size above all bins, small enough to have an index.
const MAX_SIZE: f64 = 1e18;

/// The work in each bin.
pub(crate) type Bins = [f64; BINS];

/// The index of the bin that a size belongs to; it may lie beyond the last bin.
pub(crate) fn bin_index(size: f64) -> usize {
    let units = (size / FIRST_BIN_START).max(1.0);
    let octave = (units as u64).ilog2() as usize;
    octave * BINS_PER_OCTAVE
        + ((units / (1_u64 << octave) as f64 - 1.0) * BINS_PER_OCTAVE as f64) as usize
}

/// The least size that belongs to a bin.
pub(crate) fn bin_start(bin: usize) -> f64 {
    FIRST_BIN_START
        * (1_u64 << (bin / BINS_PER_OCTAVE)) as f64
        * (1.0 + (bin % BINS_PER_OCTAVE) as f64 / BINS_PER_OCTAVE as f64)
}

/// The work of requests below a size, by interpolation inside its bin.
pub(crate) fn work_below(bins: &Bins, size: f64) -> f64 {
    let bin = bin_index(size.min(MAX_SIZE)).min(BINS);
    let part = if bin < BINS {
        ((size - bin_start(bin)) / (bin_start(bin + 1) - bin_start(bin))).clamp(0.0, 1.0)
    } else {
        0.0
    };
    bins[..bin].iter().sum::<f64>() + bins.get(bin).map_or(0.0, |work| work * part)
}
