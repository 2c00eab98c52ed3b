//! FastCGI 1.0 from the client's side: requests out, answers in. No I/O.

use super::Fault;
use super::fastcgi::{
    self, ABORT_REQUEST, BEGIN_REQUEST, COMPLETE, END_REQUEST, KEEP_CONN, OVERLOADED, PARAMS, RECORD_MOST,
    RESPONDER, STDIN, STDOUT, header,
};
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Bytes of one answer: an object is at most 240,000, and a head a few hundred.
const ANSWER_MOST: usize = 256 * 1024;
/// Bytes of an answer's head.
const HEAD_MOST: usize = 8 * 1024;

/// Writes a whole request.
pub fn request(out: &mut BytesMut, number: u16, params: &[(&str, &[u8])], body: &[u8]) {
    header(out, BEGIN_REQUEST, number, 8);
    out.put_u16(RESPONDER);
    out.put_slice(&[KEEP_CONN, 0, 0, 0, 0, 0]);
    let mut told = BytesMut::new();
    let length = |told: &mut BytesMut, long: usize| match u8::try_from(long) {
        Ok(short @ 0..0x80) => told.put_u8(short),
        _ => told.put_u32(long as u32 | 0x8000_0000),
    };
    for (name, value) in params {
        length(&mut told, name.len());
        length(&mut told, value.len());
        told.put_slice(name.as_bytes());
        told.put_slice(value);
    }
    for (kind, bytes) in [(PARAMS, &told[..]), (STDIN, body)] {
        for part in bytes.chunks(RECORD_MOST) {
            header(out, kind, number, part.len());
            out.put_slice(part);
        }
        header(out, kind, number, 0);
    }
}

/// Calls a request off.
pub fn abort(out: &mut BytesMut, number: u16) {
    header(out, ABORT_REQUEST, number, 0);
}

/// How an answer ends its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub number: u16,
    /// As HTTP has it; none: the protocol itself says that the other side is overloaded.
    pub status: Option<u16>,
    /// `Back-Off-Ms` as it was written.
    pub back_off: Option<Bytes>,
    /// The copy that the client holds is the one.
    pub valid: bool,
    pub body: Bytes,
}

/// The answers of one connection that are not yet whole.
#[derive(Default)]
pub struct Answers {
    partial: Vec<(u16, BytesMut)>,
}

impl Answers {
    /// Bytes of answers that are not yet whole.
    pub fn long(&self) -> usize {
        self.partial.iter().map(|(_, bytes)| bytes.len()).sum()
    }

    /// The next whole answer; none until more has come. `open`: whether a request of this number is out.
    ///
    /// # Errors
    /// What can't be read, is over a bound, or belongs to no request: the connection is of no further use.
    pub fn next(
        &mut self,
        inbound: &mut BytesMut,
        open: impl Fn(u16) -> bool,
    ) -> Result<Option<Answer>, Fault> {
        while let Some((kind, number, record)) = fastcgi::cut(inbound)? {
            if !matches!(kind, STDOUT | END_REQUEST) || number == 0 {
                continue;
            }
            if !open(number) {
                return Err(Fault("an answer that belongs to no request"));
            }
            let at = self.partial.iter().position(|(known, _)| *known == number);
            if kind == STDOUT {
                let at = at.unwrap_or_else(|| {
                    self.partial.push((number, BytesMut::new()));
                    self.partial.len() - 1
                });
                let bytes = &mut self.partial[at].1;
                if bytes.len() + record.len() > ANSWER_MOST {
                    return Err(Fault("an answer over the bound"));
                }
                bytes.extend_from_slice(&record);
                continue;
            }
            if record.len() != 8 {
                return Err(Fault("the end of a request that is malformed"));
            }
            let bytes = at.map(|at| self.partial.swap_remove(at).1).unwrap_or_default();
            return match record[4] {
                OVERLOADED => {
                    let (back_off, body) = (None, Bytes::new());
                    Ok(Some(Answer { number, status: None, back_off, valid: false, body }))
                }
                COMPLETE => read(number, bytes.freeze()).map(Some),
                _ => Err(Fault("an end that the protocol does not know")),
            };
        }
        Ok(None)
    }

    /// Passes over what has come of a request that was called off.
    pub fn forget(&mut self, number: u16) {
        self.partial.retain(|(known, _)| *known != number);
    }
}

/// Reads the CGI response.
fn read(number: u16, mut bytes: Bytes) -> Result<Answer, Fault> {
    let bad = Fault("an answer without a head");
    let look = &bytes[..bytes.len().min(HEAD_MOST)];
    let end = look.windows(4).position(|four| four == b"\r\n\r\n").ok_or(bad)?;
    let head = bytes.split_to(end);
    bytes.advance(4);
    let mut answer = Answer { number, status: Some(200), back_off: None, valid: false, body: bytes };
    for line in head.split(|&b| b == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(colon) = line.iter().position(|&b| b == b':') else {
            return Err(Fault("a line of an answer's head without a colon"));
        };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"status") {
            let code = value.get(..3).and_then(|code| std::str::from_utf8(code).ok()?.parse().ok());
            answer.status = Some(code.ok_or(Fault("an answer whose status is no number"))?);
        } else if name.eq_ignore_ascii_case(b"back-off-ms") {
            answer.back_off = Some(head.slice_ref(value));
        } else if name.eq_ignore_ascii_case(b"x-valid") {
            answer.valid = value == b"1";
        }
    }
    Ok(answer)
}
