//! Bearer tokens of callers and teams.

use sha2::{Digest, Sha256};

/// Returns the token of a caller or team in the example documents.
pub fn token_of(name: &str) -> String {
    format!("{name}-token")
}

/// Returns the digest of a token in the format of the document: SHA-256 in
/// lower-case hexadecimal.
pub fn token_digest(token: &str) -> String {
    Sha256::digest(token).iter().map(|byte| format!("{byte:02x}")).collect()
}
