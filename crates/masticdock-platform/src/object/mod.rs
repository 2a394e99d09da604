//! Client of the object store (S3 path-style `GET` and `PUT` without signatures).

use crate::http::{HttpSettings, PlatformError, prepare};

/// Client of a bucket.
#[derive(Debug, Clone)]
pub struct ObjectClient {
    url: String,
    http: HttpSettings,
}

impl ObjectClient {
    /// Creates a client for the bucket at `url` without sending a request.
    #[must_use]
    pub fn new(url: impl Into<String>, http: HttpSettings) -> Self {
        let mut url = url.into();
        while url.ends_with('/') {
            url.pop();
        }
        Self { url, http }
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails; its kind is `NotFound` if the object
    /// does not exist.
    pub fn get(&self, key: &str) -> Result<Vec<u8>, PlatformError> {
        const CALL: &str = "object read";
        let from_http = |error: attohttpc::Error| PlatformError::from_http(CALL, &error);
        let url = format!("{}/{key}", self.url);
        let response = prepare(attohttpc::get(url), self.http)
            .send()
            .map_err(from_http)?;
        let status = response.status().as_u16();
        let bytes = response.bytes().map_err(from_http)?;
        if status != 200 {
            return Err(PlatformError::from_status(
                CALL,
                status,
                &String::from_utf8_lossy(&bytes),
            ));
        }
        Ok(bytes)
    }

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer or rejects the write.
    pub fn put(&self, key: &str, bytes: &[u8]) -> Result<(), PlatformError> {
        const CALL: &str = "object write";
        let from_http = |error: attohttpc::Error| PlatformError::from_http(CALL, &error);
        let url = format!("{}/{key}", self.url);
        let response = prepare(attohttpc::put(url), self.http)
            .bytes(bytes)
            .send()
            .map_err(from_http)?;
        let status = response.status().as_u16();
        if status == 200 {
            return Ok(());
        }
        let text = response.text_utf8().unwrap_or_default();
        Err(PlatformError::from_status(CALL, status, &text))
    }
}
