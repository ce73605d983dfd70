#![forbid(unsafe_code)]
//! Adapter between brookfield and the simulator's protocol: reads batches of events from standard input and
//! writes the resulting actions to standard output.

mod wire;

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use brookfield::{
    Action, Arrival, AttemptResult, BackendId, Balancer, ClassId, Event, ListScope, LogEvent, Member, Nanos,
    RequestId,
};
use brookfield_settings::{Fields, NameTable};
use serde_json::{Value, json};
use wire::Line;

/// A request that the balancer may still refer to.
struct OpenRequest {
    name: String,
    attempts_in_flight: u32,
    ended: bool,
}

/// One balancer instance and the names of its ids. Instances share no state.
struct Instance {
    balancer: Balancer,
    names: NameTable,
    backends: HashMap<String, BackendId>,
    backend_names: Vec<String>,
    requests: HashMap<String, RequestId>,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    next_request: u64,
}

impl Instance {
    fn backend_id(&mut self, name: &str) -> BackendId {
        if let Some(&id) = self.backends.get(name) {
            return id;
        }
        let id = BackendId(self.backend_names.len() as u32);
        self.backend_names.push(name.to_owned());
        self.backends.insert(name.to_owned(), id);
        id
    }

    fn members(&mut self, list: &[wire::ListEntry]) -> Vec<Member> {
        list.iter()
            .map(|entry| Member {
                backend: self.backend_id(&entry.backend),
                zone: self.names.zone(&entry.zone),
                kind: self.names.kind(&entry.kind),
                cell: entry.cell,
                stage: entry.stage,
                weight: entry.weight,
                online_since: entry.online_since,
            })
            .collect()
    }

    fn add_request(&mut self, name: &str) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.requests.insert(name.to_owned(), id);
        self.open_requests
            .insert(id, OpenRequest { name: name.to_owned(), attempts_in_flight: 0, ended: false });
        id
    }

    fn update_request(&mut self, id: RequestId, change: impl FnOnce(&mut OpenRequest)) {
        let Some(request) = self.open_requests.get_mut(&id) else { return };
        change(request);
        if request.ended && request.attempts_in_flight == 0 {
            self.requests.remove(&request.name);
            self.open_requests.remove(&id);
        }
    }
}

#[derive(Default)]
struct Adapter {
    instances: BTreeMap<i64, Instance>,
    lists: HashMap<i64, Vec<wire::ListEntry>>,
    now: Nanos,
    reply: String,
    actions: Vec<Action>,
    warned_unknown: bool,
}

impl Adapter {
    fn write_message(&mut self, tag: &str, body: Value) {
        self.reply.push_str(&json!({ tag: body }).to_string());
        self.reply.push('\n');
    }

    fn handle_event(&mut self, who: i64, event: Event) {
        let Some(instance) = self.instances.get_mut(&who) else { return };
        let mut actions = std::mem::take(&mut self.actions);
        instance.balancer.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            self.write_action(who, action);
        }
        self.actions = actions;
    }

    fn write_action(&mut self, who: i64, action: Action) {
        let Some(instance) = self.instances.get_mut(&who) else { return };
        let name = |instance: &Instance, id| {
            instance.open_requests.get(&id).map_or(String::new(), |open| open.name.clone())
        };
        let backend = |instance: &Instance, id: BackendId| instance.backend_names[id.0 as usize].clone();
        let (tag, body) = match action {
            // The simulator sends immediately, so there is no send deadline to pass on.
            Action::Send { request, backend: to, timeout, send_by: _ } => {
                instance.update_request(request, |open| open.attempts_in_flight += 1);
                let body = json!({"who": who, "request-id": name(instance, request),
                    "backend": backend(instance, to), "max-wait-ns": timeout.unwrap_or(0)});
                ("PLACE", body)
            }
            Action::Reject { request, retry_after } => {
                let body =
                    json!({"who": who, "request-id": name(instance, request), "pause-ns": retry_after});
                instance.update_request(request, |open| open.ended = true);
                ("DECLINE", body)
            }
            Action::Fail { request } => {
                let body = json!({"who": who, "request-id": name(instance, request)});
                instance.update_request(request, |open| open.ended = true);
                ("END_FAILED", body)
            }
            Action::Cancel { request, attempt } => {
                ("RECALL", json!({"who": who, "request-id": name(instance, request), "try": attempt}))
            }
            Action::Probe { backend: to } => ("TEST", json!({"who": who, "backend": backend(instance, to)})),
            Action::Watch => ("SUBSCRIBE", json!({"who": who, "on": true})),
            Action::Fetch => ("QUERY_ALL", json!({"who": who})),
            Action::Timer { after, token } => {
                ("DEFER", json!({"who": who, "from-now-ns": after, "name": token}))
            }
            // Omitted: these are emitted with every attempt to a cold backend.
            Action::Log(LogEvent::SlowStart(_)) => return,
            Action::Log(event) => ("REMARK", json!({"who": who, "note-text": event.to_string()})),
        };
        self.write_message(tag, body);
    }

    /// Processes one line. Returns true when the batch is complete.
    fn process_line(&mut self, line: &Line) -> Result<bool, String> {
        let Fields { tag, .. } = line.fields;
        let fields = &line.fields;
        match tag {
            "BATCH" => self.now = fields.unsigned("sim-time-ns")?,
            "GO" => return Ok(true),
            "MANIFEST" => {
                self.lists.insert(fields.integer("list")?, wire::decode_list(fields)?);
            }
            "OPEN_INSTANCE" => self.open_instance(fields)?,
            "EXIT" => {
                self.instances.remove(&fields.integer("who")?);
            }
            "FLEET" | "INCOMING" | "SETTLED" | "ACK_FIRST" | "LEFT" | "STATUS_BACK" | "WAKEUP" => {
                self.process_event(tag, fields)?;
            }
            "NEIGHBOUR_SAYS" => {}
            unknown => {
                if !std::mem::replace(&mut self.warned_unknown, true) {
                    eprintln!("line {}: skipped an unknown event {unknown}", line.line_number);
                }
            }
        }
        Ok(false)
    }

    fn open_instance(&mut self, fields: &Fields) -> Result<(), String> {
        let who = fields.integer("who")?;
        let seed = fields.unsigned("nonce64")?;
        let created = brookfield_settings::parse(fields.required("config")?).and_then(|parsed| {
            let balancer = Balancer::new(parsed.settings, seed, self.now).map_err(|e| e.to_string())?;
            Ok((balancer, parsed.names))
        });
        match created {
            Ok((balancer, names)) => {
                let instance = Instance {
                    balancer,
                    names,
                    backends: HashMap::new(),
                    backend_names: Vec::new(),
                    requests: HashMap::new(),
                    open_requests: BTreeMap::new(),
                    next_request: 0,
                };
                self.instances.insert(who, instance);
                self.handle_event(who, Event::Start);
            }
            Err(error) => self.write_message("DIE", json!({"who": who, "note-text": error})),
        }
        Ok(())
    }

    fn process_event(&mut self, tag: &str, fields: &Fields) -> Result<(), String> {
        let who = fields.integer("who")?;
        let Some(instance) = self.instances.get_mut(&who) else { return Ok(()) };
        let event = match tag {
            "FLEET" => {
                let scope = match fields.string("mode")? {
                    "delta" => Some(ListScope::Changes),
                    "full" => Some(ListScope::Full),
                    "cached" => Some(ListScope::Cached),
                    "failed" => None,
                    _ => return Err(fields.invalid("mode")),
                };
                match scope {
                    None => Event::DiscoveryFailed,
                    Some(scope) => {
                        let list = fields.integer("list")?;
                        let entries = self.lists.get(&list).ok_or_else(|| fields.invalid("list"))?;
                        Event::BackendList { scope, members: instance.members(entries) }
                    }
                }
            }
            "INCOMING" => {
                let class =
                    instance.names.class(fields.string("band")?).ok_or_else(|| fields.invalid("band"))?;
                let options = fields.unsigned_or("options", 0)?;
                let cost_hint = fields.unsigned_or("weight-hint-ns", 0)?;
                let not_after = fields.unsigned("not-after-ns")?;
                let name = fields.string("request-id")?;
                Event::Request(Arrival {
                    request: instance.add_request(name),
                    class: ClassId(class),
                    cost_hint: (options & 1 != 0).then_some(cost_hint),
                    is_retry: options & 2 != 0,
                    tenant: instance.names.tenant(fields.map.get("org").and_then(Value::as_str)),
                    not_after,
                })
            }
            "SETTLED" => {
                let request_ended = fields.boolean("no-more")?;
                let result = (
                    wire::decode_outcome(fields)?,
                    fields.unsigned("elapsed-ns")?,
                    wire::decode_load_report(fields)?,
                );
                let attempt = fields.unsigned("try")? as u32;
                let Some(&request) = instance.requests.get(fields.string("request-id")?) else {
                    return Ok(());
                };
                let (outcome, elapsed, report) = result;
                let event = Event::AttemptEnded(AttemptResult {
                    request,
                    attempt,
                    outcome,
                    elapsed,
                    request_ended,
                    report,
                });
                // The request is updated after the event is handled, as the actions may refer to it.
                self.handle_event(who, event);
                if let Some(instance) = self.instances.get_mut(&who) {
                    instance.update_request(request, |open| {
                        open.attempts_in_flight = open.attempts_in_flight.saturating_sub(1);
                        open.ended |= request_ended;
                    });
                }
                return Ok(());
            }
            "ACK_FIRST" | "LEFT" => {
                let Some(&request) = instance.requests.get(fields.string("request-id")?) else {
                    return Ok(());
                };
                if tag == "ACK_FIRST" {
                    Event::ResponseStarted { request }
                } else {
                    self.handle_event(who, Event::ClientDisconnected { request });
                    if let Some(instance) = self.instances.get_mut(&who) {
                        instance.update_request(request, |open| open.ended = true);
                    }
                    return Ok(());
                }
            }
            "STATUS_BACK" => {
                let backend = instance.backend_id(fields.string("backend")?);
                let elapsed = fields.unsigned("elapsed-ns")?;
                Event::ProbeEnded {
                    backend,
                    outcome: wire::decode_outcome(fields)?,
                    elapsed,
                    report: wire::decode_load_report(fields)?,
                }
            }
            _ => Event::Timer { token: fields.unsigned("name")? },
        };
        self.handle_event(who, event);
        Ok(())
    }
}

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut adapter = Adapter::default();
    let mut buffer = String::new();
    let mut line_number = 0u64;
    loop {
        buffer.clear();
        let bytes_read = input.read_line(&mut buffer).map_err(|e| format!("standard input: {e}"))?;
        if bytes_read == 0 {
            return Ok(());
        }
        line_number += 1;
        if buffer.trim().is_empty() {
            continue;
        }
        let value: Value = serde_json::from_str(&buffer).map_err(|e| format!("line {line_number}: {e}"))?;
        let line = Line::new(line_number, &value)?;
        if adapter.process_line(&line).map_err(|e| format!("line {line_number}: {e}"))? {
            adapter.reply.push_str("{\"YIELD\":{}}\n");
            let written = output.write_all(adapter.reply.as_bytes()).and_then(|()| output.flush());
            written.map_err(|e| format!("standard output: {e}"))?;
            adapter.reply.clear();
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("brookfield-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}
