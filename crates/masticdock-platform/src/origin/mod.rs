//! Client of the weight origin, which is read by HTTP range requests (RFC 9110).

use std::io::Read as _;
use std::time::Duration;

use crate::http::{HttpSettings, PlatformError, PlatformErrorKind, prepare};

/// Maximum number of bytes that a paced read takes from the connection at once.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Client of the origin.
#[derive(Debug, Clone)]
pub struct OriginClient {
    url: String,
    http: HttpSettings,
}

impl OriginClient {
    /// Creates a client without sending a request.
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
    /// Returns an error if the origin does not answer, rejects the read, or sends
    /// another number of bytes.
    pub fn read(&self, object: &str, offset: u64, length: u64) -> Result<Vec<u8>, PlatformError> {
        const CALL: &str = "origin read";
        let from_http = |error: attohttpc::Error| PlatformError::from_http(CALL, &error);
        let last_offset = offset + length.saturating_sub(1);
        let response = prepare(attohttpc::get(format!("{}/{object}", self.url)), self.http)
            .header("Range", format!("bytes={offset}-{last_offset}"))
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

    /// Reads `length` bytes of `object` from `offset` in small steps.
    ///
    /// `on_read` is called with the number of bytes of each step. It may sleep
    /// to limit the rate of the read, and returns false to cancel it. The read
    /// times out if no byte arrives within `stall_timeout`; the read as a whole
    /// has no timeout.
    ///
    /// # Errors
    ///
    /// Returns an error if the origin stalls, rejects the read or sends another
    /// number of bytes, or if the read is cancelled.
    pub fn read_paced(
        &self,
        object: &str,
        offset: u64,
        length: u64,
        stall_timeout: Duration,
        on_read: &mut dyn FnMut(usize) -> bool,
    ) -> Result<Vec<u8>, PlatformError> {
        const CALL: &str = "origin read";
        let last_offset = offset + length.saturating_sub(1);
        let response = attohttpc::get(format!("{}/{object}", self.url))
            .connect_timeout(stall_timeout)
            .read_timeout(stall_timeout)
            .follow_redirects(false)
            .proxy_settings(attohttpc::ProxySettings::builder().build())
            .header("Range", format!("bytes={offset}-{last_offset}"))
            .send()
            .map_err(|error| PlatformError::from_http(CALL, &error))?;
        let (status, _, mut body) = response.split();
        if status.as_u16() != 206 {
            return Err(PlatformError::from_status(CALL, status.as_u16(), ""));
        }
        let malformed =
            |message: String| PlatformError::new(PlatformErrorKind::Malformed, CALL, message);
        let mut bytes = Vec::new();
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            let count = body.read(&mut buffer).map_err(|error| {
                PlatformError::new(PlatformErrorKind::OutcomeUnknown, CALL, error.to_string())
            })?;
            if count == 0 {
                break;
            }
            bytes.extend_from_slice(&buffer[..count]);
            if bytes.len() as u64 > length {
                return Err(malformed(format!("asked for {length} bytes, got more")));
            }
            if !on_read(count) {
                return Err(PlatformError::new(
                    PlatformErrorKind::Rejected,
                    CALL,
                    "the read was cancelled",
                ));
            }
        }
        if bytes.len() as u64 != length {
            return Err(malformed(format!(
                "asked for {length} bytes, got {}",
                bytes.len()
            )));
        }
        Ok(bytes)
    }
}
