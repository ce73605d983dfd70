//! Runs another build's balancers in virtual time through an adapter process, one per zone, that speaks the
//! simulator's JSON-lines protocol on stdin and stdout. Events of one point in time are sent as a batch; the reply
//! holds the actions.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

use brookfield::{
    Action, AttemptResult, BackendId, Event, ListScope, Member, Nanos, Outcome, RequestId, Stage,
};
use flaxdale_model::balancers::BalancerSet;
use flaxdale_model::world::World;
use serde_json::{Value, json};

/// Maximum number of lines in one reply.
const MAX_REPLY_LINES: usize = 1_000_000;
/// Maximum size of one line of a reply.
const MAX_LINE_BYTES: u64 = 1024 * 1024;
/// Count of list numbers in the protocol; they are reused cyclically.
const LIST_NUMBERS: u32 = 16;

/// An adapter process and the batch of messages that has not been sent to it yet.
pub struct Adapter {
    child: Child,
    stdin: Option<ChildStdin>,
    stdout: BufReader<ChildStdout>,
    batch: String,
    next_list: u32,
    seq_no: u64,
    zones: Vec<String>,
    kinds: Vec<String>,
    classes: Vec<String>,
    tenants: Vec<String>,
}

fn push_message(batch: &mut String, tag: &str, fields: Value) {
    // Writing to a string cannot fail.
    let _ = writeln!(batch, "{}", json!({ tag: fields }));
}

fn outcome_code(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "S",
        Outcome::Error => "E",
        Outcome::Full => "F",
        Outcome::TimedOut => "T",
        Outcome::ConnectFailed => "C",
        Outcome::Reset => "R",
        Outcome::Cancelled => "X",
        Outcome::Moot => "N",
    }
}

fn request_id(request: RequestId) -> String {
    format!("rq_{}", request.0)
}

fn parse_id(fields: &Value, key: &str, prefix: &str) -> Result<u64, String> {
    let id = fields[key].as_str().and_then(|id| id.strip_prefix(prefix)?.parse().ok());
    id.ok_or_else(|| format!("unknown {key} in a message of the adapter: {fields}"))
}

impl Adapter {
    /// Starts an adapter with a shell command.
    pub fn start(command: &str, world: &World) -> Result<Self, String> {
        let mut child = Command::new("/bin/sh")
            .args(["-c", &format!("exec {command}")])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("{command}: {error}"))?;
        let (stdin, stdout) = (child.stdin.take(), child.stdout.take());
        let stdout = BufReader::new(stdout.ok_or("the adapter has no standard output")?);
        Ok(Self {
            child,
            stdin,
            stdout,
            batch: String::new(),
            next_list: 0,
            seq_no: 0,
            zones: world.zones.clone(),
            kinds: world.kinds.clone(),
            classes: world.classes.iter().map(|class| class.name.clone()).collect(),
            tenants: world.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        })
    }

    fn push_list(&mut self, members: &[Member]) -> u32 {
        let entry = |member: &Member| {
            let stage = match member.stage {
                Stage::InService => "in_service",
                Stage::Draining => "terminating",
                Stage::Gone => "terminated",
            };
            json!({"backend": format!("b_{}", member.backend.0), "hall": self.zones[member.zone.0 as usize],
                "type": self.kinds[member.kind as usize], "pod": member.cell, "stage-state": stage,
                "power-hint": member.weight, "online-since-ns": member.online_since})
        };
        let entries: Vec<Value> = members.iter().map(entry).collect();
        let list = self.next_list;
        self.next_list = (list + 1) % LIST_NUMBERS;
        push_message(&mut self.batch, "MANIFEST", json!({"list": list, "members-list": entries}));
        list
    }

    fn push_result(&mut self, who: usize, result: &AttemptResult) {
        let usage = result.report.util.map(|util| json!({"load_share": util, "util": util}));
        let fields = json!({"who": who, "request-id": request_id(result.request), "try": result.attempt,
            "backend": Value::Null, "disposition": outcome_code(result.outcome), "elapsed-ns": result.elapsed,
            "no-more": result.request_ended, "usage": usage});
        push_message(&mut self.batch, "SETTLED", fields);
    }

    fn read_reply(&mut self, actions: &mut Vec<(usize, Action)>) -> Result<(), String> {
        let mut line = String::new();
        for _ in 0..MAX_REPLY_LINES {
            line.clear();
            let read = (&mut self.stdout).take(MAX_LINE_BYTES).read_line(&mut line);
            if read.map_err(|error| error.to_string())? == 0 {
                return Err("the adapter closed its standard output during a run".to_owned());
            }
            let value: Value = serde_json::from_str(&line)
                .map_err(|error| format!("invalid JSON from the adapter: {error}"))?;
            let Some((tag, fields)) = value.as_object().and_then(|object| object.iter().next()) else {
                return Err(format!("the adapter sent a line that is not a message: {line}"));
            };
            if tag == "YIELD" {
                return Ok(());
            }
            let who = fields["who"]
                .as_u64()
                .ok_or_else(|| format!("field who missing in the adapter's message: {line}"))?
                as usize;
            let integer = |key: &str| fields[key].as_u64().unwrap_or(0);
            let request = || parse_id(fields, "request-id", "rq_").map(RequestId);
            let action = match tag.as_str() {
                "PLACE" => Action::Send {
                    request: request()?,
                    backend: BackendId(parse_id(fields, "backend", "b_")? as u32),
                    timeout: Some(integer("max-wait-ns")).filter(|timeout| *timeout > 0),
                    send_by: None,
                },
                "DECLINE" => Action::Reject { request: request()?, retry_after: integer("pause-ns") },
                "END_FAILED" => Action::Fail { request: request()? },
                "RECALL" => Action::Cancel { request: request()?, attempt: integer("try") as u32 },
                "DEFER" => Action::Timer { after: integer("from-now-ns"), token: integer("name") },
                "DIE" => return Err(format!("the adapter reported a fatal error: {}", fields["note-text"])),
                // Lists are pushed and probes are not simulated, so queries are ignored; remarks are informational.
                _ => continue,
            };
            actions.push((who, action));
        }
        Err("the adapter's reply has too many lines".to_owned())
    }
}

impl BalancerSet for Adapter {
    fn open(&mut self, node: usize, settings: &Value, seed: u64, _: Nanos) -> Result<(), String> {
        let mut config = settings.clone();
        config["me"] = json!(node);
        // Integers of the protocol have 63 bits.
        push_message(
            &mut self.batch,
            "OPEN_INSTANCE",
            json!({"who": node, "nonce64": seed >> 1, "config": config}),
        );
        Ok(())
    }

    fn close(&mut self, node: usize) {
        push_message(&mut self.batch, "EXIT", json!({ "who": node }));
    }

    fn handle(&mut self, node: usize, _: Nanos, event: Event, _: &mut Vec<(usize, Action)>) {
        match event {
            // OPEN_INSTANCE implies the start; the protocol has neither probes nor zone overrides.
            Event::Start | Event::ProbeEnded { .. } | Event::ZoneOverrides(_) => {}
            Event::BackendList { scope, members } => {
                let list = self.push_list(&members);
                let mode = match scope {
                    ListScope::Changes => "delta",
                    ListScope::Full => "full",
                    ListScope::Cached => "cached",
                };
                self.seq_no += 1;
                let fields = json!({"who": node, "mode": mode, "seq-no": self.seq_no, "list": list});
                push_message(&mut self.batch, "FLEET", fields);
            }
            Event::DiscoveryFailed => {
                let fields = json!({"who": node, "mode": "failed", "seq-no": self.seq_no, "list": 0});
                push_message(&mut self.batch, "FLEET", fields);
            }
            Event::Request(arrival) => {
                let tenant = arrival.tenant.and_then(|tenant| self.tenants.get(tenant as usize));
                let fields = json!({"who": node, "request-id": request_id(arrival.request), "options": 0,
                    "band": self.classes[arrival.class.0 as usize], "org": tenant,
                    "not-after-ns": arrival.not_after});
                push_message(&mut self.batch, "INCOMING", fields);
            }
            Event::AttemptEnded(result) => self.push_result(node, &result),
            Event::ResponseStarted { request } => {
                push_message(
                    &mut self.batch,
                    "ACK_FIRST",
                    json!({"who": node, "request-id": request_id(request)}),
                );
            }
            Event::ClientDisconnected { request } => {
                push_message(
                    &mut self.batch,
                    "LEFT",
                    json!({"who": node, "request-id": request_id(request)}),
                );
            }
            Event::Timer { token } => {
                push_message(&mut self.batch, "WAKEUP", json!({"who": node, "name": token}))
            }
        }
    }

    fn flush(&mut self, now: Nanos, actions: &mut Vec<(usize, Action)>) -> Result<(), String> {
        let batch = std::mem::take(&mut self.batch);
        let input = format!("{}\n{batch}{}\n", json!({"BATCH": {"sim-time-ns": now}}), json!({"GO": {}}));
        let stdin = self.stdin.as_mut().ok_or("the adapter has no standard input")?;
        let sent = stdin.write_all(input.as_bytes()).and_then(|()| stdin.flush());
        sent.map_err(|error| format!("cannot write to the adapter: {error}"))?;
        self.read_reply(actions)
    }
}

impl Drop for Adapter {
    fn drop(&mut self) {
        // The adapter exits at the end of its input; it is killed if it does not within 1 s.
        self.stdin.take();
        for _ in 0..100 {
            if matches!(self.child.try_wait(), Ok(Some(_)) | Err(_)) {
                return;
            }
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
