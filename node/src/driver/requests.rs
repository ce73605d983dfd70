//! Table of the requests that are open or still have an attempt in flight.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use brookfield::{Nanos, Outcome, RequestId};
use hyper::header::HeaderValue;
use tokio::sync::oneshot;

use super::past_ids::{IdHash, PastIds};
use super::types::{FinalResponse, HiddenClose, HttpRequest};

struct InFlightAttempt {
    started_at: Nanos,
    cancel: Option<oneshot::Sender<()>>,
}

struct RequestEntry {
    response: Option<oneshot::Sender<FinalResponse>>,
    http: Rc<HttpRequest>,
    deadline: Nanos,
    /// Attempts by number; none for those that have ended.
    attempts: Vec<Option<InFlightAttempt>>,
    ended: bool,
    hidden_close: HiddenClose,
    /// The client's id, if the request must not run twice.
    once: Option<IdHash>,
    /// Whether an attempt that has ended may have run.
    may_have_run: bool,
}

/// An attempt that has been added to its request.
pub struct StartedAttempt {
    /// Number within the request, from 0.
    pub attempt: u32,
    pub http: Rc<HttpRequest>,
    /// When the client stops waiting.
    pub client_deadline: Nanos,
    /// Resolves once the attempt has been cancelled.
    pub cancelled: oneshot::Receiver<()>,
}

/// The table of requests. Client connections bound its size, as each one carries at most one request.
#[derive(Default)]
pub struct RequestTable {
    entries: HashMap<RequestId, RequestEntry>,
    next_id: u64,
    /// The ids of the entries that must not run twice.
    open_ids: HashSet<IdHash>,
    past_ids: PastIds,
}

const CALL_ID: &str = "x-call-id";

fn call_id(http: &HttpRequest) -> &[u8] {
    http.headers.get(CALL_ID).map(HeaderValue::as_bytes).unwrap_or_default()
}

impl RequestTable {
    /// Whether a request with this id of the client's, which must not run twice, is open or may have run.
    pub fn is_repeated(&self, id: &str) -> bool {
        let id = self.past_ids.hash(id.as_bytes());
        self.open_ids.contains(&id) || self.past_ids.contains(id)
    }

    /// Adds a request and returns its id, which is never reused. Unless it is `repeatable`, its client's id is remembered.
    pub fn insert(
        &mut self,
        http: HttpRequest,
        response: oneshot::Sender<FinalResponse>,
        deadline: Nanos,
        hidden_close: HiddenClose,
        repeatable: bool,
    ) -> RequestId {
        let request = RequestId(self.next_id);
        self.next_id += 1;
        let once = (!repeatable).then(|| self.past_ids.hash(call_id(&http)));
        self.open_ids.extend(once);
        let entry = RequestEntry {
            response: Some(response),
            http: Rc::new(http),
            deadline,
            attempts: Vec::new(),
            ended: false,
            hidden_close,
            once,
            may_have_run: false,
        };
        self.entries.insert(request, entry);
        request
    }

    /// Adds an attempt; none if the request is unknown.
    pub fn start_attempt(&mut self, request: RequestId, now: Nanos) -> Option<StartedAttempt> {
        let entry = self.entries.get_mut(&request)?;
        let (cancel, cancelled) = oneshot::channel();
        let attempt = entry.attempts.len() as u32;
        entry.attempts.push(Some(InFlightAttempt { started_at: now, cancel: Some(cancel) }));
        Some(StartedAttempt { attempt, http: entry.http.clone(), client_deadline: entry.deadline, cancelled })
    }

    /// Signals the transport to stop an attempt.
    pub fn cancel_attempt(&mut self, request: RequestId, attempt: u32) {
        let entry = self.entries.get_mut(&request);
        let in_flight = entry.and_then(|entry| entry.attempts.get_mut(attempt as usize));
        let cancel = in_flight.and_then(Option::as_mut).and_then(|in_flight| in_flight.cancel.take());
        // The receiver is gone if the attempt has just ended; its own result follows.
        let _ = cancel.map(|cancel| cancel.send(()));
    }

    /// Removes an attempt and returns when it started; none if it has already ended.
    pub fn end_attempt(&mut self, request: RequestId, attempt: u32, outcome: Outcome) -> Option<Nanos> {
        let entry = self.entries.get_mut(&request)?;
        let in_flight = entry.attempts.get_mut(attempt as usize).and_then(Option::take)?;
        entry.may_have_run |= outcome.may_have_run();
        Some(in_flight.started_at)
    }

    /// Sends the final response and returns the request's deadline; does nothing if the request has ended.
    pub fn finish(&mut self, request: RequestId, response: FinalResponse) -> Option<Nanos> {
        let entry = self.entries.get_mut(&request).filter(|entry| !entry.ended)?;
        if let Some(sender) = entry.response.take() {
            // Fails if the client has just disconnected.
            let _ = sender.send(response);
        }
        entry.ended = true;
        Some(entry.deadline)
    }

    /// Whether the request still awaits its final response.
    pub fn is_open(&self, request: RequestId) -> bool {
        self.entries.get(&request).is_some_and(|entry| !entry.ended)
    }

    /// Whether an attempt of the request may be made: it still awaits its final response and its deadline has not passed.
    /// Further attempts are only made while it is certain that the client has not gone.
    pub fn may_attempt(&self, request: RequestId, attempt: u32, now: Nanos) -> bool {
        self.entries.get(&request).is_some_and(|entry| {
            let client_may_have_gone = attempt > 0 && entry.hidden_close.is_possible();
            !entry.ended && now < entry.deadline && !client_may_have_gone
        })
    }

    /// Removes the request if it has ended and has no attempt in flight.
    pub fn remove_if_done(&mut self, request: RequestId, now: Nanos) {
        let done = |entry: &RequestEntry| entry.ended && entry.attempts.iter().all(Option::is_none);
        if !self.entries.get(&request).is_some_and(done) {
            return;
        }
        let Some(entry) = self.entries.remove(&request) else { return };
        let Some(id) = entry.once else { return };
        self.open_ids.remove(&id);
        if entry.may_have_run {
            self.past_ids.add(id, now);
        }
    }

    /// The client's `x-call-id`, for the log.
    pub fn call_id(&self, request: RequestId) -> &str {
        let id = self.entries.get(&request).map(|entry| call_id(&entry.http));
        id.and_then(|id| std::str::from_utf8(id).ok()).unwrap_or("-")
    }

    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.entries.len()
    }
}
