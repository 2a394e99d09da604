//! Authentication of requests from entries to agents by a message authentication code (MAC).

use tiny_http::Header;

use super::headers::{header_name, header_value};

/// Maximum accepted clock difference between entry and agent, in milliseconds.
const CLOCK_SKEW_MS_MAX: u64 = 300_000;

/// Headers that the MAC covers, in this order.
const MAC_HEADERS: [&str; 10] = [
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

/// Key that authenticates requests from entries to agents; its `Debug` output hides the bytes.
#[derive(Clone)]
pub(crate) struct RequestAuthKey([u8; 32]);

impl std::fmt::Debug for RequestAuthKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("RequestAuthKey(..)")
    }
}

impl RequestAuthKey {
    /// Derives the request key from the peer key that all processes share.
    pub(crate) fn derive(secret: &[u8]) -> Self {
        Self(blake3::derive_key(
            "masticdock 2026 entry to agent requests",
            secret,
        ))
    }
}

/// Parts of a request that the MAC covers.
pub(crate) struct MacInput<'a> {
    method: &'a str,
    path: &'a str,
    headers: Vec<Option<&'a str>>,
    body: &'a [u8],
}

impl<'a> MacInput<'a> {
    /// Collects the covered parts of an outgoing request.
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
            headers: MAC_HEADERS.iter().map(|name| find(name)).collect(),
            body,
        }
    }

    /// Collects the covered parts of a received request.
    pub(crate) fn from_received(
        method: &'a str,
        path: &'a str,
        received: &'a [Header],
        body: &'a [u8],
    ) -> Self {
        Self {
            method,
            path,
            headers: MAC_HEADERS
                .iter()
                .map(|name| header_value(received, name))
                .collect(),
            body,
        }
    }

    /// Computes the MAC. Each part is preceded by its length, so that parts cannot be shifted
    /// into one another.
    pub(crate) fn mac(&self, key: &RequestAuthKey) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&key.0);
        let mut append_part = |bytes: &[u8]| {
            hasher.update(&(bytes.len() as u64).to_le_bytes());
            hasher.update(bytes);
        };
        append_part(self.method.as_bytes());
        append_part(self.path.as_bytes());
        for header in &self.headers {
            append_part(&[u8::from(header.is_some())]);
            append_part(header.unwrap_or("").as_bytes());
        }
        append_part(self.body);
        hasher.finalize()
    }

    /// Returns true when `mac` matches and the request was sent within [`CLOCK_SKEW_MS_MAX`].
    pub(crate) fn verify(&self, key: &RequestAuthKey, mac: Option<&str>, now_unix_ms: u64) -> bool {
        let Some(received) = mac.and_then(|text| blake3::Hash::from_hex(text).ok()) else {
            return false;
        };
        let sent_at = self.headers[MAC_HEADERS.len() - 1].and_then(|text| text.parse::<u64>().ok());
        let Some(sent_at) = sent_at else {
            return false;
        };
        // Comparing two `blake3::Hash` values takes constant time.
        received == self.mac(key) && sent_at.abs_diff(now_unix_ms) <= CLOCK_SKEW_MS_MAX
    }
}
