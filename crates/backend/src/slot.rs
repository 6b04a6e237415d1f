//! Permission to send one request to a backend server, which can be revoked.

use async_trait::async_trait;

/// A slot of a backend server that can be lost while a request uses it, for example when its lease expires.
#[async_trait]
pub trait Slot: Send + Sync {
    /// Whether the slot may still be used; checked immediately before the first byte is sent.
    fn is_valid(&self) -> bool;
    /// Waits until the slot is lost; the pool then aborts the exchange and closes its connection.
    async fn revoked(&self);
}
