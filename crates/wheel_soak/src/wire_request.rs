//! HTTP requests as a stub reads them, without a library that would hide malformed bytes.

use std::io;

use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

/// Maximum size of a body, in bytes.
const BODY_LIMIT: usize = 8 << 20;

/// One HTTP/1.1 request.
#[derive(Clone, Debug)]
pub(crate) struct WireRequest {
    pub(crate) path: String,
    /// Names in lowercase, with their values.
    headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl WireRequest {
    /// Reads the next request, or `None` at the end of the connection.
    pub(crate) async fn read(from: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Option<Self>> {
        let Some(first) = read_line(from).await? else { return Ok(None) };
        let path = first.split(' ').nth(1).ok_or(io::ErrorKind::InvalidData)?.to_owned();
        let mut headers = Vec::new();
        loop {
            let line = read_line(from).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let mut request = Self { path, headers, body: Vec::new() };
        // The system sends no chunked bodies to upstreams.
        let length = match request.header("transfer-encoding") {
            Some(_) => usize::MAX,
            None => {
                request.header("content-length").map_or(Ok(0), str::parse).unwrap_or(usize::MAX)
            }
        };
        if length > BODY_LIMIT {
            return Err(io::ErrorKind::InvalidData.into());
        }
        request.body = vec![0; length];
        from.read_exact(&mut request.body).await?;
        Ok(Some(request))
    }

    /// A header's value.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(held, _)| held == name);
        found.map(|(_, value)| value.as_str())
    }

    /// A header's value, if it is a number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }
}

async fn read_line(from: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Option<String>> {
    let mut line = String::new();
    let count = from.read_line(&mut line).await?;
    Ok((count > 0).then(|| line.trim_end().to_owned()))
}
