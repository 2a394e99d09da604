//! Client of the weight origin: HTTP range reads (RFC 9110).

use crate::http::{HttpSettings, PlatformError, PlatformErrorKind, prepare};

/// Client of the origin.
#[derive(Debug, Clone)]
pub struct OriginClient {
    url: String,
    http: HttpSettings,
}

impl OriginClient {
    /// Makes a client; nothing is sent.
    #[must_use]
    pub fn new(url: impl Into<String>, http: HttpSettings) -> Self {
        let mut url = url.into();
        while url.ends_with('/') {
            url.pop();
        }
        Self { url, http }
    }

    /// Reads `length` bytes of `object` from `offset`.
    ///
    /// # Errors
    ///
    /// Fails when the origin does not answer, refuses, or sends another length.
    pub fn read(&self, object: &str, offset: u64, length: u64) -> Result<Vec<u8>, PlatformError> {
        const CALL: &str = "origin read";
        let from_http = |error: attohttpc::Error| PlatformError::from_http(CALL, &error);
        let last = offset + length.saturating_sub(1);
        let response = prepare(attohttpc::get(format!("{}/{object}", self.url)), self.http)
            .header("Range", format!("bytes={offset}-{last}"))
            .send()
            .map_err(from_http)?;
        let status = response.status().as_u16();
        let bytes = response.bytes().map_err(from_http)?;
        if status != 206 {
            return Err(PlatformError::from_status(
                CALL,
                status,
                &String::from_utf8_lossy(&bytes),
            ));
        }
        if bytes.len() as u64 != length {
            return Err(PlatformError::new(
                PlatformErrorKind::Malformed,
                CALL,
                format!("asked for {length} bytes, got {}", bytes.len()),
            ));
        }
        Ok(bytes)
    }
}
