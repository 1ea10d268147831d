//! Account of the memory that callers' requests hold in a process.
//!
//! Load pattern: ordinary requests are small and arrive whole. Clients that
//! nobody controls send many large bodies at once, stop short of their end, and
//! return when they are closed. [`RequestMemory`] bounds the sum of all bodies.
//! When it is used up, the incomplete body that holds the most is ended, the
//! oldest among equals, so that small requests that arrive whole get through.
//!
//! A body counts from its first byte until its request is answered. It is copied
//! into one buffer, so that it does not keep the buffers that it arrived in.

use std::{cell::RefCell, cmp::Reverse, collections::BTreeSet, rc::Rc};

use bytes::Bytes;
use displaydoc::Display;
use slotmap::{SlotMap, new_key_type};
use tokio::sync::oneshot;

#[cfg(test)]
mod tests;

/// Copies of a whole body that exist while its request is served: as received,
/// decoded, and encoded for the store or for a peer.
const COPIES: usize = 4;
/// Largest body that may use all of the memory.
const SMALL_BODY: ByteCount = ByteCount(16 << 10);
/// Part of the memory that larger bodies leave to small ones.
const SMALL_BODIES_DIVISOR: usize = 4;

new_key_type! {
    struct BodyKey;
}

/// Number of bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ByteCount(pub usize);

/// Reasons why a body is not received.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum BodyError {
    /// the memory for requests is used up; retry later or raise limits.memory_mb
    Exhausted,
    /// the body is larger than its limit; send a smaller one
    TooLarge,
}

impl std::error::Error for BodyError {}

/// Account of the bodies that a process holds. Clones share it.
#[derive(Clone, Debug)]
pub struct RequestMemory {
    account: Rc<RefCell<Account>>,
}

#[derive(Debug)]
struct Account {
    limit_bytes: usize,
    held_bytes: usize,
    incomplete: SlotMap<BodyKey, Buffer>,
    /// Incomplete bodies that hold memory, the one to end first last.
    by_size: BTreeSet<(usize, Reverse<u64>, BodyKey)>,
    begun: u64,
}

/// Buffer of an incomplete body; its capacity counts as held.
#[derive(Debug)]
struct Buffer {
    order: u64,
    bytes: Vec<u8>,
    /// Dropped when the body is ended.
    _end: oneshot::Sender<()>,
}

/// A body that is being received. Its memory is released when this is dropped.
#[derive(Debug)]
pub struct IncompleteBody {
    account: Rc<RefCell<Account>>,
    key: BodyKey,
    max: ByteCount,
    end: oneshot::Receiver<()>,
}

/// A whole body. Its memory is released when this is dropped, after the request
/// was answered.
#[derive(Debug)]
pub struct WholeBody {
    bytes: Bytes,
    _reservation: Reservation,
}

/// Memory that is released when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    account: Rc<RefCell<Account>>,
    held_bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.account.borrow_mut().held_bytes -= self.held_bytes;
    }
}

impl RequestMemory {
    /// Creates an account without bodies.
    pub fn new(limit: ByteCount) -> Self {
        let account = Account {
            limit_bytes: limit.0,
            held_bytes: 0,
            incomplete: SlotMap::with_key(),
            by_size: BTreeSet::new(),
            begun: 0,
        };
        Self { account: Rc::new(RefCell::new(account)) }
    }

    /// Begins a body of at most `max` bytes.
    pub fn begin(&self, max: ByteCount) -> IncompleteBody {
        let (sender, end) = oneshot::channel();
        let mut account = self.account.borrow_mut();
        account.begun += 1;
        let buffer = Buffer { order: account.begun, bytes: Vec::new(), _end: sender };
        let key = account.incomplete.insert(buffer);
        IncompleteBody { account: Rc::clone(&self.account), key, max, end }
    }

    /// Reserves memory for what a whole request takes beyond the copies of its
    /// body.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::Exhausted`] if there is no memory.
    pub fn reserve(&self, extra: ByteCount) -> Result<Reservation, BodyError> {
        self.account.borrow_mut().reserve_whole(extra.0, extra.0)?;
        Ok(Reservation { account: Rc::clone(&self.account), held_bytes: extra.0 })
    }

    /// Returns what all bodies hold.
    pub fn held(&self) -> ByteCount {
        ByteCount(self.account.borrow().held_bytes)
    }
}

impl IncompleteBody {
    /// Appends a part.
    ///
    /// # Errors
    ///
    /// Returns why the body cannot be received.
    pub fn push(&mut self, part: &[u8]) -> Result<(), BodyError> {
        let mut account = self.account.borrow_mut();
        let buffer = account.incomplete.get(self.key).ok_or(BodyError::Exhausted)?;
        let (wanted, capacity) = (buffer.bytes.len() + part.len(), buffer.bytes.capacity());
        if wanted > self.max.0 {
            return Err(BodyError::TooLarge);
        }
        if wanted > capacity {
            // Buffers of few sizes fragment the heap less.
            account.grow(self.key, wanted.next_power_of_two().min(self.max.0))?;
        }
        let buffer = account.incomplete.get_mut(self.key).ok_or(BodyError::Exhausted)?;
        buffer.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Waits until the body is ended because others need its memory.
    pub async fn ended(&mut self) {
        // Nothing is ever sent: the sender is dropped.
        let _ = (&mut self.end).await;
    }

    /// Ends the receipt of a body that has arrived whole.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::Exhausted`] if there is no memory for serving the
    /// request.
    pub fn finish(self) -> Result<WholeBody, BodyError> {
        let mut account = self.account.borrow_mut();
        let buffer = account.take(self.key).ok_or(BodyError::Exhausted)?;
        let held_bytes = buffer.bytes.capacity() + (COPIES - 1) * buffer.bytes.len();
        account.reserve_whole(buffer.bytes.len(), held_bytes)?;
        drop(account);
        let reservation = Reservation { account: Rc::clone(&self.account), held_bytes };
        Ok(WholeBody { bytes: buffer.bytes.into(), _reservation: reservation })
    }
}

impl Drop for IncompleteBody {
    fn drop(&mut self) {
        self.account.borrow_mut().take(self.key);
    }
}

impl WholeBody {
    /// Returns the content.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

impl Account {
    /// Returns the part of the memory that a body may use.
    fn limit_bytes(&self, body_bytes: usize) -> usize {
        if body_bytes <= SMALL_BODY.0 {
            self.limit_bytes
        } else {
            self.limit_bytes - self.limit_bytes / SMALL_BODIES_DIVISOR
        }
    }

    /// Gives an incomplete body a buffer of `capacity` bytes; ends it if it would
    /// hold the most.
    fn grow(&mut self, key: BodyKey, capacity: usize) -> Result<(), BodyError> {
        let Some(buffer) = self.incomplete.get(key) else { return Err(BodyError::Exhausted) };
        let (order, former) = (buffer.order, buffer.bytes.capacity());
        let added = capacity - former;
        let limit_bytes = self.limit_bytes(capacity);
        while self.held_bytes + added > limit_bytes {
            match self.by_size.last() {
                Some(&(size, _, largest)) if size >= capacity => {
                    self.take(largest);
                }
                _ => {
                    self.take(key);
                    return Err(BodyError::Exhausted);
                }
            }
        }
        let Some(buffer) = self.incomplete.get_mut(key) else { return Err(BodyError::Exhausted) };
        buffer.bytes.reserve_exact(capacity - buffer.bytes.len());
        let capacity = buffer.bytes.capacity();
        self.by_size.remove(&(former, Reverse(order), key));
        self.by_size.insert((capacity, Reverse(order), key));
        self.held_bytes += capacity - former;
        Ok(())
    }

    /// Reserves memory for serving a whole body; ends incomplete ones for it.
    fn reserve_whole(&mut self, body_bytes: usize, held_bytes: usize) -> Result<(), BodyError> {
        let limit_bytes = self.limit_bytes(body_bytes);
        while self.held_bytes + held_bytes > limit_bytes {
            let &(_, _, largest) = self.by_size.last().ok_or(BodyError::Exhausted)?;
            self.take(largest);
        }
        self.held_bytes += held_bytes;
        Ok(())
    }

    /// Removes an incomplete body, which ends it, and releases its memory.
    fn take(&mut self, key: BodyKey) -> Option<Buffer> {
        let buffer = self.incomplete.remove(key)?;
        let capacity = buffer.bytes.capacity();
        self.by_size.remove(&(capacity, Reverse(buffer.order), key));
        self.held_bytes -= capacity;
        Some(buffer)
    }
}
