//! A buffer whose memory is taken from a budget.

use bytes::Bytes;

use crate::{BudgetExhausted, ByteLease};

/// Unused bytes of a buffer above which it is shrunk once it is complete.
const MAX_UNUSED_BYTES: usize = 16 << 10;

/// A growing buffer. Its lease covers its capacity, and lasts until the last clone of the bytes is
/// dropped.
///
/// ```
/// use wheel_memory::{ByteBudget, LeasedBuffer};
///
/// let budget = ByteBudget::new(1 << 20);
/// let mut buffer = LeasedBuffer::new(budget.lease());
/// assert!(buffer.push(b"body").is_ok());
/// let bytes = buffer.freeze();
/// assert_eq!(&bytes[..], b"body");
/// assert!(budget.held() >= 4);
/// drop(bytes);
/// assert_eq!(budget.held(), 0);
/// ```
#[derive(Debug)]
pub struct LeasedBuffer {
    buffer: Vec<u8>,
    lease: ByteLease,
}

impl LeasedBuffer {
    /// An empty buffer.
    pub fn new(lease: ByteLease) -> Self {
        Self { buffer: Vec::new(), lease }
    }

    /// Number of bytes in it.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Makes room for `bytes` in all.
    ///
    /// # Errors
    /// [`BudgetExhausted`] if there is no memory for them; the buffer is unchanged then.
    pub fn reserve(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        if bytes > self.buffer.capacity() {
            self.lease.resize(bytes)?;
            self.buffer.reserve_exact(bytes - self.buffer.len());
        }
        Ok(())
    }

    /// Appends a piece.
    ///
    /// # Errors
    /// [`BudgetExhausted`] if there is no memory for it; the buffer is unchanged then.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), BudgetExhausted> {
        let needed = self.buffer.len() + piece.len();
        if needed > self.buffer.capacity() {
            let doubled = needed.max(self.buffer.capacity() * 2);
            self.lease.resize(doubled).or_else(|_| self.lease.resize(needed))?;
            self.buffer.reserve_exact(self.lease.bytes() - self.buffer.len());
        }
        self.buffer.extend_from_slice(piece);
        Ok(())
    }

    /// Discards its bytes and gives its memory back.
    pub fn discard(&mut self) {
        self.buffer = Vec::new();
        // Always possible for less.
        let _ = self.lease.resize(0);
    }

    /// Counts in the whole budget alone from now on.
    pub fn leave_part(&mut self) {
        self.lease.leave_part();
    }

    /// The bytes, which keep the lease.
    pub fn freeze(mut self) -> Bytes {
        if self.buffer.is_empty() {
            return Bytes::new();
        }
        if self.buffer.capacity() - self.buffer.len() > MAX_UNUSED_BYTES {
            self.buffer.shrink_to_fit();
            // Always possible for less.
            let _ = self.lease.resize(self.buffer.len());
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for LeasedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}
