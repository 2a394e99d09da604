//! Client of the weight origin: HTTP range reads (RFC 9110).

use std::io::Read as _;
use std::time::Duration;

use crate::http::{HttpSettings, PlatformError, PlatformErrorKind, prepare};

/// Length of the slices of a paced read.
const SLICE_BYTES: usize = 16 << 10;

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

    /// Reads like [`OriginClient::read`], in slices: `on_slice` is told the
    /// length of each slice, may sleep to pace the read, and returns false to
    /// give the read up. The read fails when no byte comes within
    /// `stall_timeout`; the whole read may take longer.
    ///
    /// # Errors
    ///
    /// Fails when the origin stalls, refuses or sends another length, or when
    /// the read was given up.
    pub fn read_paced(
        &self,
        object: &str,
        offset: u64,
        length: u64,
        stall_timeout: Duration,
        on_slice: &mut dyn FnMut(usize) -> bool,
    ) -> Result<Vec<u8>, PlatformError> {
        const CALL: &str = "origin read";
        let last = offset + length.saturating_sub(1);
        let response = attohttpc::get(format!("{}/{object}", self.url))
            .connect_timeout(stall_timeout)
            .read_timeout(stall_timeout)
            .follow_redirects(false)
            .proxy_settings(attohttpc::ProxySettings::builder().build())
            .header("Range", format!("bytes={offset}-{last}"))
            .send()
            .map_err(|error| PlatformError::from_http(CALL, &error))?;
        let (status, _, mut body) = response.split();
        if status.as_u16() != 206 {
            return Err(PlatformError::from_status(CALL, status.as_u16(), ""));
        }
        let malformed =
            |message: String| PlatformError::new(PlatformErrorKind::Malformed, CALL, message);
        let mut bytes = Vec::new();
        let mut slice = vec![0; SLICE_BYTES];
        loop {
            let count = body.read(&mut slice).map_err(|error| {
                PlatformError::new(PlatformErrorKind::OutcomeUnknown, CALL, error.to_string())
            })?;
            if count == 0 {
                break;
            }
            bytes.extend_from_slice(&slice[..count]);
            if bytes.len() as u64 > length {
                return Err(malformed(format!("asked for {length} bytes, got more")));
            }
            if !on_slice(count) {
                return Err(PlatformError::new(
                    PlatformErrorKind::Rejected,
                    CALL,
                    "the read was given up",
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
