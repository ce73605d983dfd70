//! A number that can be compared whatever it is.

use std::cmp::Ordering;

/// A floating-point number in its total order, for heaps.
#[derive(Clone, Copy, Debug)]
pub struct Finite(pub f64);

impl PartialEq for Finite {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Finite {}

impl PartialOrd for Finite {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Finite {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}
