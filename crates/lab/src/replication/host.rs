//! Stand-in hosts: they return each GET with a copy made now, and tell the oracle by whom, for what and with which limit
//! on the copy's age it was asked for.

use super::errors::{ProofError, io};
use super::oracle::{Forward, HostAddress, Oracle};
use crate::stand::listener;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Digits of a request's id that name the dispatcher, in hexadecimal.
const MARK_LONG: usize = 4;

/// Listens as a host; where.
pub fn serve(host: HostAddress, oracle: &Arc<Oracle>) -> Result<SocketAddr, ProofError> {
    let (listener, address) = listener().map_err(io("a host"))?;
    let listener = TcpListener::from_std(listener).map_err(io("a host"))?;
    let oracle = Arc::clone(oracle);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let oracle = Arc::clone(&oracle);
            tokio::spawn(async move { answer_all(stream, host, &oracle).await });
        }
    });
    Ok(address)
}

async fn answer_all(stream: TcpStream, host: HostAddress, oracle: &Oracle) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    while let Some(message) = read_message(&mut stream).await? {
        let [verb, id, fields, _] = &message[..] else { continue };
        if verb != "serve" {
            continue;
        }
        let arrived_ms = oracle.now_ms();
        if let Some(forward) = forward(id, fields, host, arrived_ms) {
            oracle.forward_arrived(forward);
        }
        let copy = format!("why=TCP_HIT,rev=a,since={arrived_ms:.0}");
        stream.get_mut().write_all(&answer(&[id, "200", &copy, "the bytes"])).await?;
    }
    Ok(())
}

fn forward(id: &str, fields: &str, host: HostAddress, arrived_ms: f64) -> Option<Forward> {
    let field = |name: &str| {
        let mut pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
        pairs.find(|(known, _)| *known == name).map(|(_, value)| value)
    };
    let dispatcher = usize::from_str_radix(id.get(..MARK_LONG)?, 16).ok()?;
    let object = u64::from_str_radix(field("name")?, 16).ok()?;
    // Zero says as little as no limit: any copy will do.
    let oldest_ms = field("cap").and_then(|cap| cap.parse().ok()).filter(|cap| *cap > 0.0);
    Some(Forward { dispatcher, object, oldest_ms, host, arrived_ms })
}

fn answer(words: &[&str]) -> Vec<u8> {
    let words: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
    format!("*4\r\n{words}").into_bytes()
}

/// The words of the next message; none: the connection has ended.
async fn read_message(stream: &mut BufReader<TcpStream>) -> std::io::Result<Option<Vec<String>>> {
    let Some(count) = read_number(stream, '*').await? else { return Ok(None) };
    let mut words = Vec::new();
    for _ in 0..count {
        let Some(long) = read_number(stream, '$').await? else { return Ok(None) };
        let mut word = vec![0; long + "\r\n".len()];
        stream.read_exact(&mut word).await?;
        word.truncate(long);
        words.push(String::from_utf8_lossy(&word).into_owned());
    }
    Ok(Some(words))
}

async fn read_number(stream: &mut BufReader<TcpStream>, sign: char) -> std::io::Result<Option<usize>> {
    let mut line = String::new();
    stream.read_line(&mut line).await?;
    Ok(line.strip_prefix(sign).and_then(|number| number.trim_end().parse().ok()))
}
