//! Bounded storage for input that was read from a client's socket ahead of the HTTP parser. Each connection has an
//! allowance of its own; whatever exceeds it is taken from a reserve that all connections share.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::ReadBuf;

use crate::memory::{Account, Budget, Kind, Permit};

/// Bytes that a connection may hold without taking any from the reserve. Clients send one request at a time. Bounds the
/// memory that a node needs with every connection slot in use.
pub const CONNECTION_ALLOWANCE_BYTES: usize = 32 * 1024;
/// Size of the blocks in which input is stored. Blocks keep the memory in use close to the number of bytes held.
const BLOCK_BYTES: usize = 4 * 1024;

/// Bytes of read-ahead storage that all connections share. Clones share the same bytes.
#[derive(Clone)]
pub struct ReadAheadReserve {
    available_bytes: Rc<Cell<usize>>,
    budget: Budget,
}

impl ReadAheadReserve {
    /// Creates a reserve of `bytes`, which are drawn from `budget` as they are used.
    pub fn new(bytes: usize, budget: Budget) -> Self {
        Self { available_bytes: Rc::new(Cell::new(bytes)), budget }
    }

    /// The budget of the node's memory.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Bytes that no connection holds.
    pub fn available(&self) -> usize {
        self.available_bytes.get()
    }

    /// Takes up to `bytes` and returns how many were taken.
    fn take(&self, bytes: usize) -> usize {
        let taken = bytes.min(self.available());
        self.available_bytes.set(self.available() - taken);
        taken
    }

    fn give_back(&self, bytes: usize) {
        self.available_bytes.set(self.available() + bytes);
    }
}

/// Input of one connection that the parser has not read yet, in order of arrival.
pub struct ReadAhead {
    blocks: VecDeque<BytesMut>,
    len: usize,
    /// Bytes taken from the reserve.
    reserved_bytes: usize,
    reserve: ReadAheadReserve,
    memory: Permit,
}

impl ReadAhead {
    /// Creates an empty buffer that may grow into `reserve`, and counts its memory against `account`.
    pub fn new(reserve: ReadAheadReserve, account: &Account) -> Self {
        let memory = account.hold(Kind::ReadAhead, 0);
        Self { blocks: VecDeque::new(), len: 0, reserved_bytes: 0, reserve, memory }
    }

    /// Bytes held.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no bytes are held.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether nothing may be appended. The first block always may.
    pub fn is_full(&self) -> bool {
        self.len >= BLOCK_BYTES && self.room() == 0
    }

    /// Bytes that may still be appended within the allowance.
    pub fn room_in_allowance(&self) -> usize {
        CONNECTION_ALLOWANCE_BYTES.saturating_sub(self.len).min(self.room_in_memory())
    }

    /// Bytes that may still be appended within the allowance and the reserve.
    pub fn room(&self) -> usize {
        let room = CONNECTION_ALLOWANCE_BYTES + self.reserved_bytes + self.reserve.available();
        room.saturating_sub(self.len).min(self.room_in_memory())
    }

    /// Bytes for which there is memory. Each connection may have one block, however short memory is.
    fn room_in_memory(&self) -> usize {
        let available = self.reserve.budget.available(Kind::ReadAhead);
        self.len.saturating_add(available).max(BLOCK_BYTES).saturating_sub(self.len)
    }

    /// Appends bytes, at most as many as there is room for.
    pub fn append(&mut self, mut bytes: &[u8]) {
        debug_assert!(bytes.len() <= self.room());
        self.len += bytes.len();
        while !bytes.is_empty() {
            let spare = self.blocks.back().map_or(0, |block| block.capacity() - block.len());
            if spare == 0 {
                self.blocks.push_back(BytesMut::with_capacity(BLOCK_BYTES));
                continue;
            }
            let (fitting, rest) = bytes.split_at(spare.min(bytes.len()));
            self.blocks.back_mut().into_iter().for_each(|block| block.extend_from_slice(fitting));
            bytes = rest;
        }
        self.adjust_reserved();
    }

    /// Puts bytes before all others. They have been read already, so they are held even if there is no room for them.
    pub fn prepend(&mut self, bytes: Bytes) {
        self.len += bytes.len();
        self.blocks.push_front(bytes.into());
        self.adjust_reserved();
    }

    /// Moves up to `max_bytes` to `buffer`, which has room for them.
    pub fn read_into(&mut self, buffer: &mut ReadBuf<'_>, max_bytes: usize) {
        let mut remaining_bytes = max_bytes;
        while let Some(block) = self.blocks.front_mut() {
            let count = block.len().min(remaining_bytes);
            buffer.put_slice(&block[..count]);
            block.advance(count);
            self.len -= count;
            remaining_bytes -= count;
            if !block.is_empty() {
                break;
            }
            self.blocks.pop_front();
        }
        self.adjust_reserved();
    }

    /// Discards all bytes.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.len = 0;
        self.adjust_reserved();
    }

    /// Holds as much of the reserve as the bytes beyond the allowance need, and the memory for all.
    fn adjust_reserved(&mut self) {
        self.memory.set(self.len);
        let needed = self.len.saturating_sub(CONNECTION_ALLOWANCE_BYTES);
        if needed > self.reserved_bytes {
            self.reserved_bytes += self.reserve.take(needed - self.reserved_bytes);
        } else {
            self.reserve.give_back(self.reserved_bytes - needed);
            self.reserved_bytes = needed;
        }
    }
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.reserve.give_back(self.reserved_bytes);
    }
}

#[cfg(test)]
mod tests;
