//! The body of an HTTP/1.1 answer, taken while it arrives: with a length, in chunks, or ended by the connection's close.

use super::StreamError;
use bytes::{Buf, BytesMut};

const MAX_HEADERS: usize = 32;
/// Limit of the bytes of the head of an answer.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The line break after the data of a chunk.
const CHUNK_END: &[u8] = b"\r\n";

/// Which bytes come next.
#[derive(Debug, Default)]
enum Framing {
    #[default]
    Head,
    /// This many bytes of a body with a length.
    Length(usize),
    ChunkSize,
    /// This many bytes of a chunk's data.
    Chunk(usize),
    /// The line break after a chunk's data, or after the last chunk.
    ChunkEnd {
        is_last: bool,
    },
    UntilClose,
    Complete,
}

/// Reads one answer.
#[derive(Debug, Default)]
pub struct BodyReader {
    framing: Framing,
}

impl BodyReader {
    /// Whether nothing of the answer was taken yet.
    pub fn is_new(&self) -> bool {
        matches!(self.framing, Framing::Head)
    }

    /// Moves what has arrived of the body from `inbound` to `body`. Returns whether the body is complete; what
    /// follows stays in `inbound`.
    ///
    /// # Errors
    /// The answer is not valid HTTP, or has a status other than 200.
    pub fn read(
        &mut self,
        inbound: &mut BytesMut,
        body: &mut BytesMut,
        is_peer_closed: bool,
    ) -> Result<bool, StreamError> {
        loop {
            let next = match self.framing {
                Framing::Head => read_head(inbound)?,
                Framing::Length(length) => {
                    let left = length - move_bytes(inbound, body, length);
                    (left == 0).then_some(Framing::Complete).or_else(|| self.wait_for(Framing::Length(left)))
                }
                Framing::ChunkSize => read_chunk_size(inbound)?,
                Framing::Chunk(length) => {
                    let left = length - move_bytes(inbound, body, length);
                    let end = Framing::ChunkEnd { is_last: false };
                    (left == 0).then_some(end).or_else(|| self.wait_for(Framing::Chunk(left)))
                }
                Framing::ChunkEnd { is_last } => read_chunk_end(inbound, is_last)?,
                Framing::UntilClose => {
                    move_bytes(inbound, body, inbound.len());
                    is_peer_closed.then_some(Framing::Complete)
                }
                Framing::Complete => return Ok(true),
            };
            let Some(next) = next else { return Ok(false) };
            self.framing = next;
        }
    }

    /// Keeps what is to come, since not all of it has arrived.
    fn wait_for(&mut self, framing: Framing) -> Option<Framing> {
        self.framing = framing;
        None
    }
}

/// Moves up to `max_bytes` bytes and returns their number.
fn move_bytes(inbound: &mut BytesMut, body: &mut BytesMut, max_bytes: usize) -> usize {
    let count = inbound.len().min(max_bytes);
    body.extend_from_slice(&inbound[..count]);
    inbound.advance(count);
    count
}

fn read_head(inbound: &mut BytesMut) -> Result<Option<Framing>, StreamError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let head_length = match response.parse(inbound) {
        Ok(httparse::Status::Complete(head_length)) => head_length,
        Ok(httparse::Status::Partial) if inbound.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) => return Err(StreamError("head of an answer exceeds the size limit")),
        Err(_) => return Err(StreamError("change log answer is not valid HTTP")),
    };
    if response.code != Some(200) {
        return Err(StreamError("change log answer has a status other than 200"));
    }
    let header_value = |name: &str| {
        let header = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        header.and_then(|header| std::str::from_utf8(header.value).ok()).map(str::trim)
    };
    let is_chunked =
        header_value("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    let framing = match header_value("content-length") {
        _ if is_chunked => Framing::ChunkSize,
        None => Framing::UntilClose,
        Some(length) => Framing::Length(
            length.parse().map_err(|_| StreamError("change log answer has no valid content length"))?,
        ),
    };
    inbound.advance(head_length);
    Ok(Some(framing))
}

fn read_chunk_size(inbound: &mut BytesMut) -> Result<Option<Framing>, StreamError> {
    let invalid = StreamError("chunk of a change log answer has no valid length");
    match httparse::parse_chunk_size(inbound) {
        Ok(httparse::Status::Complete((line_length, length))) => {
            inbound.advance(line_length);
            let length = usize::try_from(length).map_err(|_| invalid)?;
            Ok(Some(if length == 0 { Framing::ChunkEnd { is_last: true } } else { Framing::Chunk(length) }))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(invalid),
    }
}

fn read_chunk_end(inbound: &mut BytesMut, is_last: bool) -> Result<Option<Framing>, StreamError> {
    if inbound.len() < CHUNK_END.len() {
        return Ok(None);
    }
    if !inbound.starts_with(CHUNK_END) {
        return Err(StreamError("chunk of a change log answer does not end at its length"));
    }
    inbound.advance(CHUNK_END.len());
    Ok(Some(if is_last { Framing::Complete } else { Framing::ChunkSize }))
}
