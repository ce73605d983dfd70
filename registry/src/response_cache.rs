//! A cache of serialized responses to watchers. Watchers that hold the same revision share one response.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;

use crate::list::Rev;
use crate::state_machine::SharedState;
use crate::wire::Listing;

/// Maximum number of cached responses at the current revision, one for each revision that watchers hold.
const MAX_CACHED_RESPONSES: usize = 64;

/// Creates and caches the responses at the current revision.
pub struct ResponseCache {
    shared: Arc<SharedState>,
    cached: Mutex<CachedResponses>,
}

#[derive(Default)]
struct CachedResponses {
    rev: Rev,
    responses: HashMap<Option<Rev>, Bytes>,
}

impl ResponseCache {
    /// Creates an empty cache for a state.
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self { shared, cached: Mutex::default() }
    }

    /// Returns the response for a watcher at revision `from`; the full list if that is `None`.
    pub fn get(&self, from: Option<Rev>) -> Bytes {
        // The lock is held during serialization, so that concurrent requests for the same response share it.
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        let state = self.shared.read();
        let list = &state.list;
        if cached.rev != list.rev() {
            *cached = CachedResponses { rev: list.rev(), responses: HashMap::new() };
        }
        if let Some(response) = cached.responses.get(&from) {
            return response.clone();
        }
        let update = match from {
            None => list.full(),
            Some(from) => list.changes_since(from).unwrap_or_else(|| list.no_changes()),
        };
        let listing = Listing::new(&update, list.incarnation());
        drop(state);
        // Serialization cannot fail: the fields are plain values.
        let response = Bytes::from(serde_json::to_vec(&listing).unwrap_or_default());
        if cached.responses.len() < MAX_CACHED_RESPONSES {
            cached.responses.insert(from, response.clone());
        }
        response
    }
}
