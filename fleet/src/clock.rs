//! A process's one clock. What is given a time as an argument needs none.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Nanoseconds that never step back, counted from the Unix time at the start, so that times told by other machines
/// compare with them.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Instant,
    offset: u64,
}

impl Clock {
    /// A clock that starts at the present time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { began: Instant::now(), offset: nanos(unix) }
    }

    /// The present.
    pub fn now(&self) -> u64 {
        self.offset.saturating_add(nanos(self.began.elapsed()))
    }

    /// The runtime's time for one of this clock's.
    pub fn instant(&self, at: u64) -> tokio::time::Instant {
        (self.began + Duration::from_nanos(at.saturating_sub(self.offset))).into()
    }

    /// Waits until then.
    pub async fn sleep_until(&self, at: u64) {
        tokio::time::sleep_until(self.instant(at)).await;
    }
}

fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}
