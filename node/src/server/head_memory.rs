//! The memory of a head while the parser receives it. The parser keeps an unfinished head in one block, which doubles as the
//! head grows and is kept for later requests of the connection.

use crate::limited_read::PARSER_BLOCK_BYTES;
use crate::memory::{Account, Kind, Permit, Stage};

use super::connection::MAX_HEAD_BYTES;

/// Memory that is missing before the parser may read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// What it is for.
    pub kind: Kind,
    /// How much is missing.
    pub bytes: usize,
}

/// The memory for the heads of one connection.
pub struct HeadMemory {
    account: Account,
    /// Whether the parser is to receive a head, rather than a body.
    receiving: bool,
    /// Bytes of the head that were handed to the parser.
    received_bytes: usize,
    /// For a head that is being received.
    start: Option<Permit>,
    /// For the growth of the parser's block, until the connection is closed.
    growth: Option<Permit>,
    shortfall: Option<Shortfall>,
}

impl HeadMemory {
    /// The memory of a connection that has not received anything.
    pub fn new(account: &Account) -> Self {
        let account = account.clone();
        Self { account, receiving: true, received_bytes: 0, start: None, growth: None, shortfall: None }
    }

    /// Whether the parser may read on. If not, [`Self::shortfall`] says what is missing.
    pub fn admits_read(&mut self) -> bool {
        if !self.receiving {
            return true;
        }
        self.shortfall = self.acquire().err();
        self.shortfall.is_none()
    }

    fn acquire(&mut self) -> Result<(), Shortfall> {
        if self.start.is_none() {
            let shortfall = Shortfall { kind: Kind::HeadStart, bytes: PARSER_BLOCK_BYTES };
            self.start = Some(self.try_acquire(shortfall)?);
        }
        let held = self.growth.as_ref().map_or(0, Permit::bytes);
        let needed = growth_bytes(self.received_bytes);
        if needed > held {
            let shortfall = Shortfall { kind: Kind::LargeHead, bytes: needed - held };
            let permit = self.try_acquire(shortfall)?;
            self.grant(permit);
        }
        Ok(())
    }

    fn try_acquire(&self, shortfall: Shortfall) -> Result<Permit, Shortfall> {
        self.account.try_acquire(shortfall.kind, shortfall.bytes).ok_or(shortfall)
    }

    /// What is missing before the parser may read on.
    pub fn shortfall(&self) -> Option<Shortfall> {
        self.shortfall
    }

    /// Provides the memory that was missing.
    pub fn grant(&mut self, permit: Permit) {
        self.shortfall = None;
        if permit.kind() == Kind::HeadStart {
            self.start = Some(permit);
            return;
        }
        match &mut self.growth {
            Some(growth) => growth.merge(permit),
            None => self.growth = Some(permit),
        }
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
        (self.receiving, self.start) = (false, None);
    }

    /// The parser goes on with the next head.
    pub fn next_head(&mut self) {
        (self.receiving, self.received_bytes) = (true, 0);
    }
}

/// How much the parser's block may grow beyond twice its first size once it has read more of a head of which it has this
/// much: it makes room for the next read before it asks for it.
fn growth_bytes(received_bytes: usize) -> usize {
    if received_bytes == 0 {
        return 0;
    }
    let block_bytes = (received_bytes + 2 * PARSER_BLOCK_BYTES).min(MAX_HEAD_BYTES).next_power_of_two();
    block_bytes.saturating_sub(2 * PARSER_BLOCK_BYTES)
}

#[cfg(test)]
mod tests;
