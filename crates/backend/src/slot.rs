//! The slot of a backend server that a request holds.

use async_trait::async_trait;

/// A slot that may be lost while a request uses it.
#[async_trait]
pub trait Slot: Send + Sync {
    /// Whether the slot may still be used; checked right before the first byte is sent.
    fn is_valid(&self) -> bool;
    /// Waits until the slot is lost. The exchange then ends and its connection closes.
    async fn revoked(&self);
}
