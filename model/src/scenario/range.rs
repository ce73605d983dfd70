//! A value of a scenario, or a range to sample it from.

use std::fmt;

use serde::de::{self, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A value or a range to sample it from: `5` or `[2, 8]`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    /// First bound.
    pub from: f64,
    /// Second bound, which may be less than the first.
    pub to: f64,
}

impl Range {
    /// A fixed value.
    pub const fn fixed(value: f64) -> Self {
        Self { from: value, to: value }
    }

    /// A range between two values.
    pub const fn new(from: f64, to: f64) -> Self {
        Self { from, to }
    }

    /// Linear interpolation between the bounds; `share` is from 0 to 1.
    pub fn interpolate(&self, share: f64) -> f64 {
        self.from + (self.to - self.from) * share
    }

    pub(super) fn min(&self) -> f64 {
        self.from.min(self.to)
    }

    pub(super) fn max(&self) -> f64 {
        self.from.max(self.to)
    }
}

impl Serialize for Range {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        if self.from == self.to { out.serialize_f64(self.from) } else { [self.from, self.to].serialize(out) }
    }
}

impl<'de> Deserialize<'de> for Range {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        struct RangeVisitor;
        impl<'de> Visitor<'de> for RangeVisitor {
            type Value = Range;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a number or a range such as [2, 8]")
            }

            fn visit_f64<E: de::Error>(self, value: f64) -> Result<Range, E> {
                if value.is_finite() {
                    Ok(Range::fixed(value))
                } else {
                    Err(E::custom("expected a finite number"))
                }
            }

            fn visit_i64<E: de::Error>(self, value: i64) -> Result<Range, E> {
                Ok(Range::fixed(value as f64))
            }

            fn visit_u64<E: de::Error>(self, value: u64) -> Result<Range, E> {
                Ok(Range::fixed(value as f64))
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Range, A::Error> {
                let invalid = || de::Error::custom("expected a range of two numbers such as [2, 8]");
                let from: f64 = seq.next_element()?.ok_or_else(invalid)?;
                let to: f64 = seq.next_element()?.ok_or_else(invalid)?;
                if seq.next_element::<f64>()?.is_some() || !from.is_finite() || !to.is_finite() {
                    return Err(invalid());
                }
                Ok(Range { from, to })
            }
        }
        input.deserialize_any(RangeVisitor)
    }
}
