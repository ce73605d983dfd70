//! The memory of a head while the parser receives it. The parser keeps an unfinished head in one block, which doubles as the
//! head grows and is kept for later requests of the connection.

use std::time::Duration;

use tokio::time::Instant;

use crate::limited_read::PARSER_BLOCK_BYTES;
use crate::memory::{Account, Kind, Permit, Stage};

use super::connection::MAX_HEAD_BYTES;

/// The parser has doubled its block by the time it asks for the rest of a head, whether or not there is memory.
const FIRST_GROWTH_BYTES: usize = PARSER_BLOCK_BYTES;

/// The memory for the heads of one connection.
pub struct HeadMemory {
    account: Account,
    /// Whether the parser is to receive a head, rather than a body.
    receiving: bool,
    /// Bytes of the head that were handed to the parser.
    received_bytes: usize,
    /// For the growth of the parser's block, until the connection is closed.
    growth: Option<Permit>,
    missing_bytes: Option<usize>,
    /// Since when bytes have been missing.
    missing_since: Option<Instant>,
    /// How long the parser has waited for memory for the current head.
    wait: Duration,
}

impl HeadMemory {
    /// The memory of a connection that has not received anything.
    pub fn new(account: &Account) -> Self {
        let account = account.clone();
        Self {
            account,
            receiving: true,
            received_bytes: 0,
            growth: None,
            missing_bytes: None,
            missing_since: None,
            wait: Duration::ZERO,
        }
    }

    /// Whether the parser may read on. If not, [`Self::missing_bytes`] says how much is missing.
    pub fn admits_read(&mut self) -> bool {
        if !self.receiving {
            return true;
        }
        self.missing_bytes = self.acquire().err();
        if self.missing_bytes.is_some() {
            self.missing_since.get_or_insert_with(Instant::now);
            return false;
        }
        self.wait += self.missing_since.take().map_or(Duration::ZERO, |since| since.elapsed());
        true
    }

    /// The error is the number of bytes that are missing.
    fn acquire(&mut self) -> Result<(), usize> {
        if self.received_bytes == 0 {
            return Ok(());
        }
        let grown = self.growth.get_or_insert_with(|| self.account.hold(Kind::LargeHead, FIRST_GROWTH_BYTES));
        let missing = growth_bytes(self.received_bytes).saturating_sub(grown.bytes());
        if missing > 0 {
            grown.merge(self.account.try_acquire(Kind::LargeHead, missing).ok_or(missing)?);
        }
        Ok(())
    }

    /// Bytes of [`Kind::LargeHead`] that are missing before the parser may read on.
    pub fn missing_bytes(&self) -> Option<usize> {
        self.missing_bytes
    }

    /// Provides the memory that was missing.
    pub fn grant(&mut self, permit: Permit) {
        self.missing_bytes = None;
        match &mut self.growth {
            Some(growth) => growth.merge(permit),
            None => self.growth = Some(permit),
        }
    }

    /// How long the parser has waited for memory for the current head.
    pub fn take_wait(&mut self) -> Duration {
        std::mem::take(&mut self.wait)
    }

    /// Counts bytes that were handed to the parser.
    pub fn count(&mut self, bytes: usize) {
        if self.receiving && bytes > 0 {
            self.received_bytes += bytes;
            self.account.set_stage(Stage::Receiving);
        }
    }

    /// The parser has received a whole head.
    pub fn head_received(&mut self) {
        self.receiving = false;
    }

    /// The parser goes on with the next head.
    pub fn next_head(&mut self) {
        (self.receiving, self.received_bytes) = (true, 0);
    }
}

/// How much the parser's block grows beyond its first size by reading more of a head of which it has this much. It makes room
/// for the next read before it asks for it.
fn growth_bytes(received_bytes: usize) -> usize {
    let block_bytes = (received_bytes + 2 * PARSER_BLOCK_BYTES).min(MAX_HEAD_BYTES).next_power_of_two();
    block_bytes.saturating_sub(PARSER_BLOCK_BYTES)
}

#[cfg(test)]
mod tests;
