//! The monotonic clock of a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock in nanoseconds. It starts at the Unix time of its creation, so its readings are comparable with
/// timestamps from other hosts.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    unix_offset_ns: u64,
}

impl Clock {
    /// Starts a clock at the current Unix time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started_at: Instant::now(), unix_offset_ns: nanos(unix) }
    }

    /// Returns the current reading in nanoseconds.
    pub fn now(&self) -> u64 {
        self.unix_offset_ns.saturating_add(nanos(self.started_at.elapsed()))
    }

    /// Converts a reading of this clock to a tokio instant.
    pub fn instant(&self, at: u64) -> tokio::time::Instant {
        (self.started_at + Duration::from_nanos(at.saturating_sub(self.unix_offset_ns))).into()
    }

    /// Sleeps until this clock reads `at`.
    pub async fn sleep_until(&self, at: u64) {
        tokio::time::sleep_until(self.instant(at)).await;
    }
}

fn nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
