//! The keys that all instances share, and their change without an interruption.

use derive_more::Debug;

/// A key that all instances share.
pub type PeerKey = [u8; 32];

/// The key that an instance uses, and others that it still accepts from its peers.
///
/// A key is changed in three restarts of each instance: first all accept the new key, then all use
/// it, then none accepts the old one.
#[derive(Debug, Clone)]
pub struct KeyRing {
    #[debug(skip)]
    current: PeerKey,
    #[debug(skip)]
    accepted: Vec<PeerKey>,
}

impl From<PeerKey> for KeyRing {
    fn from(current: PeerKey) -> Self {
        Self::new(current, Vec::new())
    }
}

impl KeyRing {
    /// Creates a ring that uses `current` and also accepts the other keys.
    pub fn new(current: PeerKey, accepted: Vec<PeerKey>) -> Self {
        Self { current, accepted }
    }

    /// Returns the key that is used.
    pub fn current(&self) -> &PeerKey {
        &self.current
    }

    /// Returns the key that is used, and then the other accepted ones.
    pub fn all(&self) -> impl Iterator<Item = &PeerKey> {
        std::iter::once(&self.current).chain(&self.accepted)
    }

    /// Derives a ring for another purpose.
    pub fn derive(&self, context: &str) -> Self {
        let derive = |key: &PeerKey| blake3::derive_key(context, key);
        Self::new(derive(&self.current), self.accepted.iter().map(derive).collect())
    }
}
