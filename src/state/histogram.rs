//! Histogram of work by request size, with logarithmic bins.

/// Number of bins. With four bins per octave they cover 1 ms to 64 s. Hints are less precise than the
/// width of a bin.
pub(crate) const BINS: usize = 64;
const BINS_PER_OCTAVE: usize = 4;

/// Lower bound of the first bin, in nanoseconds of work.
pub(crate) const FIRST_BIN_START: f64 = 1e6;

/// Size above all bins for which the bin index does not overflow.
const MAX_SIZE: f64 = 1e18;

/// Work in each bin, in nanoseconds of one slot.
pub(crate) type Bins = [f64; BINS];

/// Returns the index of the bin that contains a size. The index may be beyond the last bin.
pub(crate) fn bin_index(size: f64) -> usize {
    let units = (size / FIRST_BIN_START).max(1.0);
    let octave = (units as u64).ilog2() as usize;
    octave * BINS_PER_OCTAVE
        + ((units / (1_u64 << octave) as f64 - 1.0) * BINS_PER_OCTAVE as f64) as usize
}

/// Returns the lower bound of a bin.
pub(crate) fn bin_start(bin: usize) -> f64 {
    FIRST_BIN_START
        * (1_u64 << (bin / BINS_PER_OCTAVE)) as f64
        * (1.0 + (bin % BINS_PER_OCTAVE) as f64 / BINS_PER_OCTAVE as f64)
}

/// Returns the work of requests below a size, interpolated inside the bin of the size.
pub(crate) fn work_below(bins: &Bins, size: f64) -> f64 {
    let bin = bin_index(size.min(MAX_SIZE)).min(BINS);
    let fraction = if bin < BINS {
        ((size - bin_start(bin)) / (bin_start(bin + 1) - bin_start(bin))).clamp(0.0, 1.0)
    } else {
        0.0
    };
    bins[..bin].iter().sum::<f64>() + bins.get(bin).map_or(0.0, |work| work * fraction)
}
