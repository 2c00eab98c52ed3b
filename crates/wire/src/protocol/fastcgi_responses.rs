//! Writes FastCGI 1.0 records: responses and the ends of requests.

use super::fastcgi::{COMPLETE, END_REQUEST, MAX_RECORD_CONTENT_BYTES, OVERLOADED, STDOUT, VERSION};
use bytes::{BufMut, Bytes, BytesMut};

/// Writes the header of a record.
pub(super) fn write_record_header(out: &mut BytesMut, kind: u8, number: u16, content_length: usize) {
    debug_assert!(content_length <= 0xffff, "the content of a record is at most 65,535 bytes");
    out.put_slice(&[VERSION, kind]);
    out.put_u16(number);
    out.put_u16(content_length as u16);
    out.put_u16(0);
}

/// An `FCGI_END_REQUEST` record without a response before it.
pub(super) fn end_request(number: u16, status: u8) -> Bytes {
    let mut out = BytesMut::with_capacity(16);
    write_end_request(&mut out, number, status);
    out.freeze()
}

/// The `FCGI_END_REQUEST` record of a request that its client aborted.
pub fn end_request_aborted(number: u16) -> Bytes {
    end_request(number, COMPLETE)
}

/// The `FCGI_END_REQUEST` record of a request that was never forwarded, so that a retry is safe.
pub fn end_request_overloaded(number: u16) -> Bytes {
    end_request(number, OVERLOADED)
}

fn write_end_request(out: &mut BytesMut, number: u16, status: u8) {
    write_record_header(out, END_REQUEST, number, 8);
    out.put_slice(&[0, 0, 0, 0, status, 0, 0, 0]);
}

/// Writes a complete response: its head, the body without copying it, and the end. `out` receives the pieces in order.
pub fn write_response(
    buffer: &mut BytesMut,
    number: u16,
    head: &[u8],
    mut body: Bytes,
    mut out: impl FnMut(Bytes),
) {
    write_record_header(buffer, STDOUT, number, head.len());
    buffer.put_slice(head);
    while !body.is_empty() {
        let content = body.split_to(body.len().min(MAX_RECORD_CONTENT_BYTES));
        write_record_header(buffer, STDOUT, number, content.len());
        out(buffer.split().freeze());
        out(content);
    }
    write_record_header(buffer, STDOUT, number, 0);
    write_end_request(buffer, number, COMPLETE);
    out(buffer.split().freeze());
}
