//! `myrtlegauge-benchlink`: the bench's wire on standard input and output. It reads, maps ids to small indices,
//! calls the decision module and writes what it decides.

mod read;
mod write;

use myrtlegauge::decide::{Round, Router};
use myrtlegauge::interface::{Get, ListUpdate, Outcome, PurgeKey, Settings, duration_from_ms};
use read::{Envelope, body};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::time::Duration;
use write::Desk;

/// One router of the several that this process hosts, with the ids that it knows.
struct Instance {
    router: Router,
    desk: Desk,
}

struct Line {
    number: usize,
    instance: u64,
    name: String,
    text: String,
}

fn main() -> ExitCode {
    match serve(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("myrtlegauge-benchlink: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut instances = BTreeMap::<u64, Instance>::new();
    let (mut number, mut raw, mut batch) = (0, String::new(), Vec::new());
    let (mut reply, mut now) = (Vec::new(), None);
    loop {
        raw.clear();
        if input.read_line(&mut raw).map_err(|e| format!("line {}: {e}", number + 1))? == 0 {
            return Ok(());
        }
        number += 1;
        let text = raw.trim();
        if text.is_empty() {
            continue;
        }
        let envelope = Envelope::read(number, text)?;
        match envelope.name.as_str() {
            "BeginBatch" => {
                now = Some(duration_from_ms(
                    body::<read::Begin>(number, "BeginBatch", envelope.body)?.moment_ms,
                ))
            }
            "Commit" => {
                let at = now.take().ok_or_else(|| format!("line {number}: Commit without BeginBatch"))?;
                answer(&mut instances, at, &mut batch, &mut reply)?;
                reply.extend_from_slice(b"{\"Yield\":{}}\n");
                let sent = output.write_all(&reply).and_then(|()| output.flush());
                sent.map_err(|e| format!("standard output: {e}"))?;
                reply.clear();
            }
            _ if now.is_none() => return Err(format!("line {number}: {} outside a batch", envelope.name)),
            _ => {
                let instance = body::<read::Instance>(number, &envelope.name, envelope.body)?.i;
                let text = envelope.body.to_owned();
                batch.push(Line { number, instance, name: envelope.name, text });
            }
        }
    }
}

/// Calls each router that has a message in the batch, once between its starts.
fn answer(
    instances: &mut BTreeMap<u64, Instance>,
    now: Duration,
    batch: &mut Vec<Line>,
    reply: &mut Vec<u8>,
) -> Result<(), String> {
    batch.sort_by_key(|line| line.instance);
    for lines in batch.chunk_by(|a, b| a.instance == b.instance) {
        let i = lines[0].instance;
        let mut rest = lines;
        while let Some(first) = rest.first() {
            match first.name.as_str() {
                "Kill" => {
                    instances.remove(&i);
                    rest = &rest[1..];
                }
                "Init" => {
                    let init: read::Init = body(first.number, "Init", &first.text)?;
                    let router = start(first.number, &init.facts, init.init_seed)?;
                    instances.insert(i, Instance { router, desk: Desk::new(i) });
                    rest = &rest[1..];
                }
                _ => {
                    let end = rest.iter().position(|l| matches!(l.name.as_str(), "Kill" | "Init"));
                    let (said, after) = rest.split_at(end.unwrap_or(rest.len()));
                    rest = after;
                    let known = instances.get_mut(&i);
                    let instance = known
                        .ok_or_else(|| format!("line {}: instance {i} has not started", said[0].number))?;
                    play(instance, now, said)?;
                    reply.append(&mut instance.desk.lines.bytes);
                }
            }
        }
    }
    batch.clear();
    Ok(())
}

fn start(number: usize, facts: &Settings, seed: u64) -> Result<Router, String> {
    Router::new(facts, seed).map_err(|fault| format!("line {number}: Init: facts: {fault}"))
}

/// One round of one router. A failure inside it is reported as its own fault.
fn play(instance: &mut Instance, now: Duration, said: &[Line]) -> Result<(), String> {
    let Instance { router, desk } = instance;
    let played = catch_unwind(AssertUnwindSafe(|| {
        router.round(now, desk, |round| said.iter().try_for_each(|line| tell(round, line)))
    }));
    played.unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<&str>().map(|s| (*s).to_owned());
        let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
        desk.fault(text.as_deref().unwrap_or("the decision module failed"));
        Ok(())
    })
}

/// Turns one message into one call.
fn tell(round: &mut Round<'_, Desk>, line: &Line) -> Result<(), String> {
    let (number, name, text) = (line.number, line.name.as_str(), line.text.as_str());
    match name {
        "Call" => {
            let m: read::Call = body(number, name, text)?;
            let ticket = read::ticket(number, name, &m.ticket)?;
            let place = round.next_get_index();
            round.sink().open(ticket, place);
            round.on_get(Get {
                ds: m.lane,
                object: m.item,
                part: m.slice,
                group: m.purge_group,
                size_kb: m.kbytes,
                viewer_timeout: duration_from_ms(m.ttl_ms),
                is_retry: false,
                in_shed_fraction: false,
            });
        }
        "Response" => {
            let m: read::Response = body(number, name, text)?;
            let ticket = read::ticket(number, name, &m.ticket)?;
            let Some(place) = round.sink().place(ticket) else { return Ok(()) };
            let outcome = Outcome {
                attempt: m.hop,
                end: read::end(m.result)
                    .ok_or_else(|| format!("line {number}: Response: result {}", m.result))?,
                elapsed: duration_from_ms(m.spent_ms),
                is_answered: m.no_more,
                note: read::note(m.detail)
                    .ok_or_else(|| format!("line {number}: Response: detail {}", m.detail))?,
                source_wait: duration_from_ms(m.source_wait_ms),
                load: read::load(&m.gauge),
            };
            round.on_outcome(place, &outcome);
        }
        "Abandoned" => {
            let m: read::Named = body(number, name, text)?;
            let ticket = read::ticket(number, name, &m.ticket)?;
            if let Some(place) = round.sink().place(ticket) {
                round.on_abandoned(place);
            }
        }
        "Endpoints" => {
            let m: read::Endpoints = body(number, name, text)?;
            let kind = match &*m.kind {
                "Partial" => ListUpdate::Changes,
                "Complete" => ListUpdate::Full,
                "Persisted" => ListUpdate::Persisted,
                "Error" => ListUpdate::Failed,
                other => return Err(format!("line {number}: Endpoints: kind {other:?}")),
            };
            let mut entries = Vec::with_capacity(m.items.len());
            for item in &m.items {
                let host = round.sink().host(&item.host);
                entries
                    .push(item.entry(host).ok_or_else(|| {
                        format!("line {number}: Endpoints: lifecycle {:?}", item.lifecycle)
                    })?);
            }
            round.on_host_list(kind, &entries);
        }
        "ExpiredNow" => {
            let m: read::ExpiredNow = body(number, name, text)?;
            let named = m.item.map_or(PurgeKey::Group(m.set_no), PurgeKey::Object);
            round.on_purge(named, duration_from_ms(m.oldness_ms));
        }
        "DeadlineHit" => round.on_wakeup(),
        "Opened" | "Peer" | "Sampled" => {}
        other => return Err(format!("line {number}: unknown message {other}")),
    }
    Ok(())
}

#[cfg(test)]
mod tests;
