//! Answers to watchers. All who have one version and are told of one change get the same bytes, which are made once.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;

use crate::list::Rev;
use crate::state_machine::SharedState;
use crate::wire::Listing;

/// Answers to one version that are kept: one for each version that some watcher still has.
const MOST_KEPT: usize = 64;

/// Makes answers.
pub struct Hub {
    shared: Arc<SharedState>,
    kept: Mutex<Kept>,
}

#[derive(Default)]
struct Kept {
    rev: Rev,
    answers: HashMap<Option<Rev>, Bytes>,
}

impl Hub {
    /// Answers from this state.
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self { shared, kept: Mutex::default() }
    }

    /// What a watcher that has version `from` is told now; the whole list if it has none.
    pub fn answer(&self, from: Option<Rev>) -> Bytes {
        // Held while the answer is made: whoever wants the same one waits for it.
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let state = self.shared.read();
        let list = &state.list;
        if kept.rev != list.rev() {
            *kept = Kept { rev: list.rev(), answers: HashMap::new() };
        }
        if let Some(answer) = kept.answers.get(&from) {
            return answer.clone();
        }
        let told = match from {
            None => list.full(),
            Some(from) => list.changes_since(from).unwrap_or_else(|| list.no_changes()),
        };
        let listing = Listing::new(&told, list.incarnation());
        drop(state);
        // Plain fields, which always can be written.
        let answer = Bytes::from(serde_json::to_vec(&listing).unwrap_or_default());
        if kept.answers.len() < MOST_KEPT {
            kept.answers.insert(from, answer.clone());
        }
        answer
    }
}
