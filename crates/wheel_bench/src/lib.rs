//! Measures the slopes behind docs/CAPACITY.md and writes them as CSV.
