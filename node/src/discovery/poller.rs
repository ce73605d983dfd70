//! When the list is asked for, and how long an answer is waited for, as a state machine. Time is an argument; the
//! sockets are the driver's.
//!
//! One clock decides what counts as told, whoever tells the list: a call that stays silent is broken, and what it
//! missed counts 6 s after it fell silent, or 2 s after the wait that it was granted, whichever is later. After a call
//! that failed it counts 6 s after it was there to be told, whatever wait the next call is granted. An agent's word
//! counts sooner: what it has is told at once, also right after it was away. So a call that is overdue is not waited
//! out: another one goes out beside it.

use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// How long whoever tells the list is waited for.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// How long a watch may wait for news, and the first one after a failure.
    pub hold: (Duration, Duration),
    /// A watch is given up so long after its wait.
    pub grace: Duration,
    /// A call that does not wait is given up after this: at first, and, doubled with each failure, at most.
    pub answer: (Duration, Duration),
    /// A call is overdue so long after its wait: another one goes out beside it ...
    pub overdue: Duration,
    /// ... while there are fewer than this.
    pub most: usize,
    /// The pause after a failure, at first and, doubled with each further one, at most.
    pub again: (Duration, Duration),
}

impl Timeouts {
    /// With an agent on the node's own machine, where a call costs nothing. A watch of 2 s that falls silent is overdue
    /// 3.75 s before what it missed counts as told. When the agent comes back, a call goes out within the 500 ms that a
    /// drain leaves, whether it had refused the calls before, swallowed them or keeps them for later.
    pub const PUSHED: Self = Self {
        hold: (ms(2000), ms(2000)),
        grace: ms(500),
        answer: (ms(1000), ms(1000)),
        overdue: ms(250),
        most: 4,
        again: (ms(50), ms(200)),
    };
    /// With one service that all nodes ask: watches are long and calls alone. A watch of 20 s is given up 1.5 s before
    /// what it missed counts as told, and the longest call and the longest pause together fit into the 6 s of a poll.
    /// After a failure what is missed counts 6 s after it was there, whatever wait was granted: the first watch then is
    /// so short that a call and the next one fit in behind it. The module names the pause; the one here is for want of
    /// that.
    pub const ASKED: Self = Self {
        hold: (ms(20_000), ms(3500)),
        grace: ms(500),
        answer: (ms(1000), ms(2000)),
        overdue: ms(500),
        most: 1,
        again: (ms(3500), ms(3500)),
    };
}

/// A call to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Names it when it ends.
    pub call: u64,
    /// Changes since this version; none for the whole list.
    pub from: Option<u64>,
    /// How long it may wait for news.
    pub hold: Duration,
    /// When it is given up, from now.
    pub limit: Duration,
}

/// What is asked, and when. A time counts from whenever its owner began.
#[derive(Clone, Debug)]
pub struct Poller {
    timeouts: Timeouts,
    rev: Option<u64>,
    /// The calls that are out, at most [`Timeouts::most`], and whether each is a watch.
    out: Vec<(u64, bool)>,
    next: u64,
    due: Option<Duration>,
    failures: u32,
    /// Whether a call has failed since a watch was last answered.
    wary: bool,
    /// Whether the last answer told what is known now, and not what a wait had brought.
    current: bool,
}

impl Poller {
    /// Goes on from this version, at once.
    pub fn new(timeouts: Timeouts, rev: Option<u64>) -> Self {
        Self {
            timeouts,
            rev,
            out: Vec::new(),
            next: 0,
            due: Some(Duration::ZERO),
            failures: 0,
            wary: false,
            current: false,
        }
    }

    /// When the next call is due; none while one is waited for.
    pub fn due(&self) -> Option<Duration> {
        self.due.filter(|_| self.out.len() < self.timeouts.most)
    }

    /// The call that is due, if one is. `linked` says whether the connection that brought the last list still stands.
    pub fn call(&mut self, now: Duration, whole: bool, linked: bool) -> Option<Ask> {
        self.due().filter(|due| *due <= now)?;
        let from = self.rev.filter(|_| !whole);
        let Timeouts { hold, grace, answer, overdue, most, .. } = self.timeouts;
        // A new connection may be long in coming up, and an agent's word counts meanwhile. One that ends with each
        // answer is no reason to ask without end.
        let unsure = most > 1 && !linked && !self.current;
        // Whoever doubts wants an answer, not news.
        let trusts = from.is_some() && self.failures == 0 && self.out.is_empty() && !unsure;
        let hold = match (trusts, self.wary) {
            (false, _) => Duration::ZERO,
            (true, false) => hold.0,
            (true, true) => hold.1,
        };
        let waits = hold > Duration::ZERO;
        let call = self.next;
        self.next += 1;
        self.out.push((call, waits));
        self.due = (most > 1).then(|| now + hold + overdue);
        let limit = if waits { hold + grace } else { doubled(answer, self.failures) };
        Some(Ask { call, from, hold, limit })
    }

    /// A call has brought this version, of the whole list or of changes. All others are to be dropped: they ask for what
    /// is known now. Whether the list can be taken: changes up to a version before ours are of a list that began anew.
    pub fn answered(&mut self, now: Duration, call: u64, rev: u64, whole: bool) -> bool {
        let watch = self.out.contains(&(call, true));
        let taken = whole || self.rev.is_none_or(|known| known <= rev);
        self.rev = taken.then_some(rev);
        self.out.clear();
        self.wary &= !watch;
        (self.failures, self.due, self.current) = (0, Some(now), !watch);
        taken
    }

    /// A call has brought nothing.
    pub fn failed(&mut self, now: Duration, call: u64) {
        self.out.retain(|out| out.0 != call);
        let at = now + doubled(self.timeouts.again, self.failures);
        self.failures = self.failures.saturating_add(1);
        (self.wary, self.current) = (true, false);
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }

    /// The module wants to know. A call that is out will tell.
    pub fn wanted(&mut self, now: Duration) {
        if self.out.is_empty() {
            self.due = Some(now);
        }
    }

    /// Whoever tells the list is at another address now, where versions may be others: the whole list comes first.
    /// Calls that are out are to be dropped.
    pub fn moved(&mut self, now: Duration) {
        *self = Self { due: Some(now), next: self.next, ..Self::new(self.timeouts, None) };
    }
}

/// A span that doubles with each failure, up to a longest.
fn doubled((first, longest): (Duration, Duration), failures: u32) -> Duration {
    first.saturating_mul(1 << failures.min(8)).min(longest)
}

#[cfg(test)]
mod tests;
