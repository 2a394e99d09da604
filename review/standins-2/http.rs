//! The little of HTTP/1.1 that the stand-ins need.

use std::io::BufRead;

/// Host that the callers name.
pub const HOST: &str = "jepu9.example";

/// Request or status line and headers.
pub struct Head {
    pub first_line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Reads a head; `None` once the connection has ended or the head is incomplete.
    pub fn read(reader: &mut impl BufRead) -> Option<Self> {
        let mut head: Option<Self> = None;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            match &mut head {
                None => {
                    head = Some(Self {
                        first_line: line.to_owned(),
                        headers: Vec::new(),
                    });
                }
                Some(_) if line.is_empty() => return head,
                Some(head) => {
                    let (name, value) = line.split_once(':')?;
                    let name = name.to_ascii_lowercase();
                    head.headers.push((name, value.trim().to_owned()));
                }
            }
        }
    }

    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the path of a request, with its query.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Reads the body of a request that has a length or no body.
    pub fn read_body(&self, reader: &mut impl BufRead) -> Option<Vec<u8>> {
        let length = self.header("content-length").unwrap_or("0");
        let mut body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
        Some(body)
    }
}

/// Returns the value of a parameter of a path's query.
pub fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value)
}

/// Reads one chunk of a chunked body; `Some` of an empty chunk is the end of the body.
pub fn read_chunk(reader: &mut impl BufRead) -> std::io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
        return Ok(None);
    };
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok(Some(chunk))
}

/// Returns a response with a JSON body.
pub fn json_response(status: u16, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}
