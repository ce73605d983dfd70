//! Another build's decisions in virtual time: an adapter process that speaks the operators' wire on its standard
//! input and output, one for each zone. Events of one moment go as a batch; its reply is what the nodes do.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

use brookfield::{
    Action, AttemptResult, BackendId, Event, ListScope, Member, Nanos, Outcome, RequestId, Stage,
};
use flaxdale_model::balancers::BalancerSet;
use flaxdale_model::world::World;
use serde_json::{Value, json};

/// Lines of one reply, and bytes of one of them, that are taken at most.
const MOST_LINES: usize = 1_000_000;
const MOST_LINE: u64 = 1024 * 1024;
/// Numbers of lists that the wire knows.
const LISTS: u32 = 16;

/// An adapter process and what it has not been told yet.
pub struct Adapter {
    child: Child,
    input: Option<ChildStdin>,
    output: BufReader<ChildStdout>,
    batch: String,
    next_list: u32,
    version: u64,
    zones: Vec<String>,
    kinds: Vec<String>,
    classes: Vec<String>,
    tenants: Vec<String>,
}

fn line(batch: &mut String, tag: &str, fields: Value) {
    // Writing to a string does not fail.
    let _ = writeln!(batch, "{}", json!({ tag: fields }));
}

fn code(outcome: Outcome) -> &'static str {
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

fn request_name(request: RequestId) -> String {
    format!("rq_{}", request.0)
}

fn number(fields: &Value, key: &str, prefix: &str) -> Result<u64, String> {
    let text = fields[key].as_str().and_then(|text| text.strip_prefix(prefix)?.parse().ok());
    text.ok_or_else(|| format!("the adapter's {key} is none that it was told: {fields}"))
}

impl Adapter {
    /// Starts an adapter, by a command for the shell.
    pub fn start(command: &str, world: &World) -> Result<Self, String> {
        let mut child = Command::new("/bin/sh")
            .args(["-c", &format!("exec {command}")])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("{command}: {error}"))?;
        let (input, output) = (child.stdin.take(), child.stdout.take());
        let output = BufReader::new(output.ok_or("the adapter has no output")?);
        Ok(Self {
            child,
            input,
            output,
            batch: String::new(),
            next_list: 0,
            version: 0,
            zones: world.zones.clone(),
            kinds: world.kinds.clone(),
            classes: world.classes.iter().map(|class| class.name.clone()).collect(),
            tenants: world.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        })
    }

    fn list(&mut self, members: &[Member]) -> u32 {
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
        self.next_list = (list + 1) % LISTS;
        line(&mut self.batch, "MANIFEST", json!({"list": list, "members-list": entries}));
        list
    }

    fn settled(&mut self, who: usize, settled: &AttemptResult) {
        let usage = settled.report.util.map(|util| json!({"load_share": util, "util": util}));
        let fields = json!({"who": who, "request-id": request_name(settled.request), "try": settled.attempt,
            "backend": Value::Null, "disposition": code(settled.outcome), "elapsed-ns": settled.elapsed,
            "no-more": settled.request_ended, "usage": usage});
        line(&mut self.batch, "SETTLED", fields);
    }

    fn read_reply(&mut self, actions: &mut Vec<(usize, Action)>) -> Result<(), String> {
        let mut text = String::new();
        for _ in 0..MOST_LINES {
            text.clear();
            let read = (&mut self.output).take(MOST_LINE).read_line(&mut text);
            if read.map_err(|error| error.to_string())? == 0 {
                return Err("the adapter ended in the middle of a run".to_owned());
            }
            let value: Value =
                serde_json::from_str(&text).map_err(|error| format!("the adapter's line: {error}"))?;
            let Some((tag, fields)) = value.as_object().and_then(|object| object.iter().next()) else {
                return Err(format!("the adapter's line is no message: {text}"));
            };
            if tag == "YIELD" {
                return Ok(());
            }
            let who = fields["who"].as_u64().ok_or_else(|| format!("no instance in {text}"))? as usize;
            let whole = |key: &str| fields[key].as_u64().unwrap_or(0);
            let request = || number(fields, "request-id", "rq_").map(RequestId);
            let action = match tag.as_str() {
                "PLACE" => Action::Send {
                    request: request()?,
                    backend: BackendId(number(fields, "backend", "b_")? as u32),
                    timeout: Some(whole("max-wait-ns")).filter(|wait| *wait > 0),
                    send_by: None,
                },
                "DECLINE" => Action::Reject { request: request()?, retry_after: whole("pause-ns") },
                "END_FAILED" => Action::Fail { request: request()? },
                "RECALL" => Action::Cancel { request: request()?, attempt: whole("try") as u32 },
                "DEFER" => Action::Timer { after: whole("from-now-ns"), token: whole("name") },
                "DIE" => return Err(format!("the adapter gave up: {}", fields["note-text"])),
                // The list is pushed, no probes are made, and remarks are for people.
                _ => continue,
            };
            actions.push((who, action));
        }
        Err("the adapter's reply has no end".to_owned())
    }
}

impl BalancerSet for Adapter {
    fn open(&mut self, node: usize, settings: &Value, seed: u64, _: Nanos) -> Result<(), String> {
        let mut config = settings.clone();
        config["me"] = json!(node);
        // The wire's numbers have 63 bits.
        line(&mut self.batch, "OPEN_INSTANCE", json!({"who": node, "nonce64": seed >> 1, "config": config}));
        Ok(())
    }

    fn close(&mut self, node: usize) {
        line(&mut self.batch, "EXIT", json!({ "who": node }));
    }

    fn handle(&mut self, node: usize, _: Nanos, event: Event, _: &mut Vec<(usize, Action)>) {
        match event {
            // An instance that was opened has started; the wire knows neither probes nor an operator's orders.
            Event::Start | Event::ProbeEnded { .. } | Event::ZoneOverrides(_) => {}
            Event::BackendList { scope, members } => {
                let list = self.list(&members);
                let mode = match scope {
                    ListScope::Changes => "delta",
                    ListScope::Full => "full",
                    ListScope::Cached => "cached",
                };
                self.version += 1;
                let fields = json!({"who": node, "mode": mode, "seq-no": self.version, "list": list});
                line(&mut self.batch, "FLEET", fields);
            }
            Event::DiscoveryFailed => {
                let fields = json!({"who": node, "mode": "failed", "seq-no": self.version, "list": 0});
                line(&mut self.batch, "FLEET", fields);
            }
            Event::Request(arrival) => {
                let tenant = arrival.tenant.and_then(|tenant| self.tenants.get(tenant as usize));
                let fields = json!({"who": node, "request-id": request_name(arrival.request), "options": 0,
                    "band": self.classes[arrival.class.0 as usize], "org": tenant,
                    "not-after-ns": arrival.not_after});
                line(&mut self.batch, "INCOMING", fields);
            }
            Event::AttemptEnded(settled) => self.settled(node, &settled),
            Event::ResponseStarted { request } => {
                line(&mut self.batch, "ACK_FIRST", json!({"who": node, "request-id": request_name(request)}));
            }
            Event::ClientDisconnected { request } => {
                line(&mut self.batch, "LEFT", json!({"who": node, "request-id": request_name(request)}));
            }
            Event::Timer { token } => line(&mut self.batch, "WAKEUP", json!({"who": node, "name": token})),
        }
    }

    fn flush(&mut self, now: Nanos, actions: &mut Vec<(usize, Action)>) -> Result<(), String> {
        let batch = std::mem::take(&mut self.batch);
        let text = format!("{}\n{batch}{}\n", json!({"BATCH": {"sim-time-ns": now}}), json!({"GO": {}}));
        let input = self.input.as_mut().ok_or("the adapter has no input")?;
        let sent = input.write_all(text.as_bytes()).and_then(|()| input.flush());
        sent.map_err(|error| format!("the adapter takes nothing more: {error}"))?;
        self.read_reply(actions)
    }
}

impl Drop for Adapter {
    fn drop(&mut self) {
        // It ends with its input; one that does not is ended.
        self.input.take();
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
