//! RESP as the stand-ins for hosts read it.

/// The first command in the bytes: its length and its words; `None` until it is complete.
pub fn parse_command(bytes: &[u8]) -> Option<(usize, Vec<Vec<u8>>)> {
    let (count, mut position) = read_length(bytes, 0)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let (length, start) = read_length(bytes, position)?;
        words.push(bytes.get(start..start + length)?.to_vec());
        position = start + length + 2;
    }
    (bytes.len() >= position).then_some((position, words))
}

/// Reads a length line; returns the length and the position behind the line.
fn read_length(bytes: &[u8], from: usize) -> Option<(usize, usize)> {
    let line = bytes.get(from + 1..)?;
    let end = line.iter().position(|&byte| byte == b'\r')?;
    let length = std::str::from_utf8(&line[..end]).ok()?.parse().ok()?;
    (line.len() > end + 1).then_some((length, from + end + 3))
}
