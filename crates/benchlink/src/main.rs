//! `myrtlegauge-benchlink`: connects the bench to the decision module with JSON messages on standard input and output.
//! Reads messages, maps ids to small indices, calls the decision module and writes its decisions.

mod read;
mod write;

use myrtlegauge::decide::{Round, Router};
use myrtlegauge::interface::{Get, ListUpdate, Outcome, PurgeKey, Settings, duration_from_ms};
use read::{Envelope, parse_body};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::time::Duration;
use write::ReplyWriter;

/// One of the routers that this process hosts, with the ids that it knows.
struct Instance {
    router: Router,
    writer: ReplyWriter,
}

/// A message of the current batch.
struct Message {
    line_number: usize,
    instance_id: u64,
    name: String,
    body: String,
}

fn main() -> ExitCode {
    match serve(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("myrtlegauge-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches of messages until the end of the input.
fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut instances = BTreeMap::<u64, Instance>::new();
    let (mut line_number, mut line, mut batch) = (0, String::new(), Vec::new());
    let (mut reply, mut now) = (Vec::new(), None);
    loop {
        line.clear();
        if input
            .read_line(&mut line)
            .map_err(|e| format!("line {}: cannot read standard input: {e}", line_number + 1))?
            == 0
        {
            return Ok(());
        }
        line_number += 1;
        let text = line.trim();
        if text.is_empty() {
            continue;
        }
        let envelope = Envelope::parse(line_number, text)?;
        match envelope.name.as_str() {
            "BeginBatch" => {
                now = Some(duration_from_ms(
                    parse_body::<read::BeginBatch>(line_number, "BeginBatch", envelope.body)?.moment_ms,
                ))
            }
            "Commit" => {
                let batch_time =
                    now.take().ok_or_else(|| format!("line {line_number}: Commit without BeginBatch"))?;
                process_batch(&mut instances, batch_time, &mut batch, &mut reply)?;
                reply.extend_from_slice(b"{\"Yield\":{}}\n");
                let written = output.write_all(&reply).and_then(|()| output.flush());
                written.map_err(|e| format!("cannot write to standard output: {e}"))?;
                reply.clear();
            }
            _ if now.is_none() => {
                return Err(format!(
                    "line {line_number}: {} outside a batch: send BeginBatch first",
                    envelope.name
                ));
            }
            _ => {
                let instance_id = parse_body::<read::Instance>(line_number, &envelope.name, envelope.body)?.i;
                let body = envelope.body.to_owned();
                batch.push(Message { line_number, instance_id, name: envelope.name, body });
            }
        }
    }
}

/// Runs one round of each router that has messages in the batch; `Kill` and `Init` messages end a round.
fn process_batch(
    instances: &mut BTreeMap<u64, Instance>,
    now: Duration,
    batch: &mut Vec<Message>,
    reply: &mut Vec<u8>,
) -> Result<(), String> {
    batch.sort_by_key(|message| message.instance_id);
    for messages in batch.chunk_by(|a, b| a.instance_id == b.instance_id) {
        let instance_id = messages[0].instance_id;
        let mut rest = messages;
        while let Some(first) = rest.first() {
            match first.name.as_str() {
                "Kill" => {
                    instances.remove(&instance_id);
                    rest = &rest[1..];
                }
                "Init" => {
                    let init: read::Init = parse_body(first.line_number, "Init", &first.body)?;
                    let router = create_router(first.line_number, &init.facts, init.init_seed)?;
                    instances.insert(instance_id, Instance { router, writer: ReplyWriter::new(instance_id) });
                    rest = &rest[1..];
                }
                _ => {
                    let end =
                        rest.iter().position(|message| matches!(message.name.as_str(), "Kill" | "Init"));
                    let (round_messages, after) = rest.split_at(end.unwrap_or(rest.len()));
                    rest = after;
                    let known = instances.get_mut(&instance_id);
                    let instance = known.ok_or_else(|| {
                        let line_number = round_messages[0].line_number;
                        format!("line {line_number}: instance {instance_id} is not started: send Init first")
                    })?;
                    run_round(instance, now, round_messages)?;
                    reply.append(&mut instance.writer.lines.bytes);
                }
            }
        }
    }
    batch.clear();
    Ok(())
}

fn create_router(line_number: usize, facts: &Settings, seed: u64) -> Result<Router, String> {
    Router::new(facts, seed).map_err(|error| format!("line {line_number}: Init: facts: {error}"))
}

/// Runs one round of a router. A panic inside it is reported as a `Bug` message of that router.
fn run_round(instance: &mut Instance, now: Duration, messages: &[Message]) -> Result<(), String> {
    let Instance { router, writer } = instance;
    let result = catch_unwind(AssertUnwindSafe(|| {
        router.round(now, writer, |round| {
            messages.iter().try_for_each(|message| handle_message(round, message))
        })
    }));
    result.unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
        let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
        writer.write_bug(text.as_deref().unwrap_or("the decision module panicked without a message"));
        Ok(())
    })
}

/// Passes a message to the decision module.
fn handle_message(round: &mut Round<'_, ReplyWriter>, message: &Message) -> Result<(), String> {
    let (line_number, name, body) = (message.line_number, message.name.as_str(), message.body.as_str());
    match name {
        "Call" => {
            let fields: read::Call = parse_body(line_number, name, body)?;
            let ticket = read::parse_ticket(line_number, name, &fields.ticket)?;
            let get = round.next_get_index();
            round.sink().insert_get(ticket, get);
            round.on_get(Get {
                ds: fields.lane,
                object: fields.item,
                part: fields.slice,
                group: fields.purge_group,
                size_kb: fields.kbytes,
                viewer_timeout: duration_from_ms(fields.ttl_ms),
                is_retry: false,
                in_shed_fraction: false,
            });
        }
        "Response" => {
            let fields: read::Response = parse_body(line_number, name, body)?;
            let ticket = read::parse_ticket(line_number, name, &fields.ticket)?;
            let Some(get) = round.sink().get_index(ticket) else { return Ok(()) };
            let outcome = Outcome {
                attempt: fields.hop,
                end: read::parse_end(fields.result).ok_or_else(|| {
                    format!("line {line_number}: Response: unknown result {}", fields.result)
                })?,
                elapsed: duration_from_ms(fields.spent_ms),
                is_answered: fields.no_more,
                note: read::parse_note(fields.detail).ok_or_else(|| {
                    format!("line {line_number}: Response: unknown detail {}", fields.detail)
                })?,
                is_unmodified: false,
                source_wait: duration_from_ms(fields.source_wait_ms),
                load: read::load_report(&fields.gauge),
            };
            round.on_outcome(get, &outcome);
        }
        "Abandoned" => {
            let fields: read::Abandoned = parse_body(line_number, name, body)?;
            let ticket = read::parse_ticket(line_number, name, &fields.ticket)?;
            if let Some(get) = round.sink().get_index(ticket) {
                round.on_abandoned(get);
            }
        }
        "Endpoints" => {
            let fields: read::Endpoints = parse_body(line_number, name, body)?;
            let update = match &*fields.kind {
                "Partial" => ListUpdate::Changes,
                "Complete" => ListUpdate::Full,
                "Persisted" => ListUpdate::Persisted,
                "Error" => ListUpdate::Failed,
                other => return Err(format!("line {line_number}: Endpoints: unknown kind {other:?}")),
            };
            let mut entries = Vec::with_capacity(fields.items.len());
            for item in &fields.items {
                let host = round.sink().host_index(&item.host);
                entries.push(item.host_entry(host).ok_or_else(|| {
                    format!("line {line_number}: Endpoints: unknown lifecycle {:?}", item.lifecycle)
                })?);
            }
            round.on_host_list(update, &entries);
        }
        "ExpiredNow" => {
            let fields: read::ExpiredNow = parse_body(line_number, name, body)?;
            let key = fields.item.map_or(PurgeKey::Group(fields.set_no), PurgeKey::Object);
            round.on_purge(key, duration_from_ms(fields.oldness_ms));
        }
        "DeadlineHit" => round.on_wakeup(),
        "Opened" | "Peer" | "Sampled" => {}
        other => return Err(format!("line {line_number}: unknown message {other}")),
    }
    Ok(())
}

#[cfg(test)]
mod tests;
