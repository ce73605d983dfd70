//! The requests that are open, or ended with an attempt still out: whom each answer goes to, and what is out.

use std::collections::HashMap;
use std::rc::Rc;

use brookfield::{Nanos, RequestId};
use tokio::sync::oneshot;

use super::types::{FinalResponse, HttpRequest};

struct Flight {
    since: Nanos,
    withdraw: Option<oneshot::Sender<()>>,
}

struct Open {
    response: Option<oneshot::Sender<FinalResponse>>,
    http: Rc<HttpRequest>,
    not_after: Nanos,
    /// Attempts by number; none where settled.
    attempts: Vec<Option<Flight>>,
    ended: bool,
}

/// An attempt that has just been entered.
pub struct Begun {
    /// Its number, from 0.
    pub attempt: u32,
    /// What to send.
    pub http: Rc<HttpRequest>,
    /// When the client stops waiting.
    pub not_after: Nanos,
    /// Resolves once the attempt has been withdrawn.
    pub withdrawn: oneshot::Receiver<()>,
}

/// The table of requests. Its bound is the clients' descriptors: each holds one request at most.
#[derive(Default)]
pub struct Requests {
    table: HashMap<RequestId, Open>,
    next: u64,
}

impl Requests {
    /// Enters a request, under a number that is used once in a node's life.
    pub fn open(
        &mut self,
        http: HttpRequest,
        response: oneshot::Sender<FinalResponse>,
        not_after: Nanos,
    ) -> RequestId {
        let request = RequestId(self.next);
        self.next += 1;
        let (http, response) = (Rc::new(http), Some(response));
        self.table.insert(request, Open { response, http, not_after, attempts: Vec::new(), ended: false });
        request
    }

    /// Enters an attempt; none for a request that is not known.
    pub fn begin(&mut self, request: RequestId, now: Nanos) -> Option<Begun> {
        let open = self.table.get_mut(&request)?;
        let (withdraw, withdrawn) = oneshot::channel();
        let attempt = open.attempts.len() as u32;
        open.attempts.push(Some(Flight { since: now, withdraw: Some(withdraw) }));
        Some(Begun { attempt, http: open.http.clone(), not_after: open.not_after, withdrawn })
    }

    /// Tells whoever carries an attempt to stop.
    pub fn withdraw(&mut self, request: RequestId, attempt: u32) {
        let open = self.table.get_mut(&request);
        let flight = open.and_then(|open| open.attempts.get_mut(attempt as usize));
        let withdraw = flight.and_then(Option::as_mut).and_then(|flight| flight.withdraw.take());
        // An attempt that ended meanwhile no longer listens: its own outcome is on the way.
        let _ = withdraw.map(|withdraw| withdraw.send(()));
    }

    /// Takes the end of an attempt, once: when it was sent.
    pub fn settle(&mut self, request: RequestId, attempt: u32) -> Option<Nanos> {
        let open = self.table.get_mut(&request)?;
        let flight = open.attempts.get_mut(attempt as usize).and_then(Option::take)?;
        Some(flight.since)
    }

    /// Gives the final answer, of which only the first of a request goes out. The request's time limit, or none
    /// if it waits for none.
    pub fn finish(&mut self, request: RequestId, response: FinalResponse) -> Option<Nanos> {
        let open = self.table.get_mut(&request).filter(|open| !open.ended)?;
        if let Some(sender) = open.response.take() {
            // The client may have gone in this very moment.
            let _ = sender.send(response);
        }
        open.ended = true;
        Some(open.not_after)
    }

    /// Whether a request still waits for its answer.
    pub fn waits(&self, request: RequestId) -> bool {
        self.table.get(&request).is_some_and(|open| !open.ended)
    }

    /// Whether a request still waits for its answer, and its client for it.
    pub fn live(&self, request: RequestId, now: Nanos) -> bool {
        self.table.get(&request).is_some_and(|open| !open.ended && now < open.not_after)
    }

    /// Drops a request that has ended with nothing out.
    pub fn forget_if_done(&mut self, request: RequestId) {
        let done = |open: &Open| open.ended && open.attempts.iter().all(Option::is_none);
        if self.table.get(&request).is_some_and(done) {
            self.table.remove(&request);
        }
    }

    /// The client's own name for a request, for the log.
    pub fn call_id(&self, request: RequestId) -> &str {
        let header = self.table.get(&request).and_then(|open| open.http.headers.get("x-call-id"));
        header.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    /// How many are kept.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.table.len()
    }
}
