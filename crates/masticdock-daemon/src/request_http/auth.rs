//! Authentication of entries to agents by a keyed digest.

use tiny_http::Header;

use super::headers::{header_name, header_value};

/// Difference between the clocks of two machines that is accepted, in milliseconds.
const CLOCK_SKEW_MS_MAX: u64 = 300_000;

/// Headers that the digest covers, in this order.
const COVERED: [&str; 10] = [
    header_name::REQUEST_ID,
    header_name::WORKSPACE,
    header_name::DEADLINE_MS,
    header_name::PRIORITY,
    header_name::IDEMPOTENT,
    header_name::IDEMPOTENCY_KEY,
    header_name::VERSION,
    header_name::RESUME_FROM,
    header_name::SUSPECT,
    header_name::SENT_AT,
];

/// Key of requests from entries to agents; never printed.
#[derive(Clone)]
pub(crate) struct RequestAuthKey([u8; 32]);

impl std::fmt::Debug for RequestAuthKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("RequestAuthKey(..)")
    }
}

impl RequestAuthKey {
    /// Derives the key of requests from the key that all processes share.
    pub(crate) fn derive(secret: &[u8]) -> Self {
        Self(blake3::derive_key(
            "masticdock 2026 entry to agent requests",
            secret,
        ))
    }
}

/// Parts of a request that the digest covers.
pub(crate) struct MacInput<'a> {
    method: &'a str,
    path: &'a str,
    headers: Vec<Option<&'a str>>,
    body: &'a [u8],
}

impl<'a> MacInput<'a> {
    /// Collects the parts of a request that is about to be sent.
    pub(crate) fn from_sent(
        method: &'a str,
        path: &'a str,
        sent: &'a [(&'static str, String)],
        body: &'a [u8],
    ) -> Self {
        let find = |name: &str| {
            sent.iter()
                .find(|(sent_name, _)| *sent_name == name)
                .map(|(_, value)| value.as_str())
        };
        Self {
            method,
            path,
            headers: COVERED.iter().map(|name| find(name)).collect(),
            body,
        }
    }

    /// Collects the parts of a received request.
    pub(crate) fn from_received(
        method: &'a str,
        path: &'a str,
        received: &'a [Header],
        body: &'a [u8],
    ) -> Self {
        Self {
            method,
            path,
            headers: COVERED
                .iter()
                .map(|name| header_value(received, name))
                .collect(),
            body,
        }
    }

    /// Computes the digest.
    pub(crate) fn mac(&self, key: &RequestAuthKey) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&key.0);
        let mut part = |bytes: &[u8]| {
            hasher.update(&(bytes.len() as u64).to_le_bytes());
            hasher.update(bytes);
        };
        part(self.method.as_bytes());
        part(self.path.as_bytes());
        for header in &self.headers {
            part(&[u8::from(header.is_some())]);
            part(header.unwrap_or("").as_bytes());
        }
        part(self.body);
        hasher.finalize()
    }

    /// Verifies a received digest and the time of sending.
    pub(crate) fn verify(&self, key: &RequestAuthKey, mac: Option<&str>, now_unix_ms: u64) -> bool {
        let Some(received) = mac.and_then(|text| blake3::Hash::from_hex(text).ok()) else {
            return false;
        };
        let sent_at = self.headers[COVERED.len() - 1].and_then(|text| text.parse::<u64>().ok());
        let Some(sent_at) = sent_at else {
            return false;
        };
        // The comparison of two `blake3::Hash` takes constant time.
        received == self.mac(key) && sent_at.abs_diff(now_unix_ms) <= CLOCK_SKEW_MS_MAX
    }
}
