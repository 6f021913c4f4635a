//! HTTP answers as a caller reads them from a plain connection, which may carry several requests at once.

use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue};
use tokio::io::{AsyncBufRead, AsyncBufReadExt};

use crate::soak_caller::MAX_ANSWER;

/// The head of one answer.
pub(crate) struct WireAnswer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
}

impl WireAnswer {
    /// Reads the next head; `None` if the connection ends before its end, or if it isn't HTTP.
    pub(crate) async fn read(from: &mut (impl AsyncBufRead + Unpin)) -> Option<Self> {
        let first = read_line(from).await?;
        let status = first.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()?;
        let mut headers = HeaderMap::new();
        loop {
            let line = read_line(from).await?;
            if line.is_empty() {
                return Some(Self { status, headers });
            }
            let (name, value) = line.split_once(':')?;
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            headers.append(name, HeaderValue::from_str(value.trim()).ok()?);
        }
    }

    /// Whether no answer follows on the connection.
    pub(crate) fn is_last(&self) -> bool {
        self.text(&CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// Reads the body into `body`; returns whether it is complete.
    pub(crate) async fn read_body(
        &self,
        from: &mut (impl AsyncBufRead + Unpin),
        body: &mut Vec<u8>,
    ) -> bool {
        let length = self.text(&CONTENT_LENGTH).and_then(|value| value.parse().ok());
        match (self.text(&TRANSFER_ENCODING), length) {
            (Some(_), _) => read_chunks(from, body).await.is_some(),
            (None, Some(length)) => read_part(from, length, body).await.is_some(),
            (None, None) => matches!(self.status, 204 | 304),
        }
    }

    fn text(&self, name: &HeaderName) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Reads a line without its end; `None` at the end of the connection.
async fn read_line(from: &mut (impl AsyncBufRead + Unpin)) -> Option<String> {
    let mut line = String::new();
    from.read_line(&mut line).await.ok()?;
    line.strip_suffix("\r\n").map(str::to_owned)
}

async fn read_chunks(from: &mut (impl AsyncBufRead + Unpin), body: &mut Vec<u8>) -> Option<()> {
    loop {
        let size = usize::from_str_radix(&read_line(from).await?, 16).ok()?;
        read_part(from, size, body).await?;
        if !read_line(from).await?.is_empty() {
            return None;
        }
        if size == 0 {
            return Some(());
        }
    }
}

/// Appends `length` bytes to `body` as they arrive.
async fn read_part(
    from: &mut (impl AsyncBufRead + Unpin),
    length: usize,
    body: &mut Vec<u8>,
) -> Option<()> {
    let mut left = length;
    while left > 0 {
        let bytes = from.fill_buf().await.ok().filter(|bytes| !bytes.is_empty())?;
        let count = bytes.len().min(left);
        body.extend_from_slice(&bytes[..count]);
        from.consume(count);
        left -= count;
        if body.len() > MAX_ANSWER {
            return None;
        }
    }
    Some(())
}
