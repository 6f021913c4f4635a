//! Works the letter's size out of the measured slopes.

/// The tables of docs/CAPACITY.md.
#[derive(Clone, Copy, Debug, Default)]
pub struct CapacityPage;
