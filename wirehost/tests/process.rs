//! The adapter as a process, with handwritten batches.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const CONFIG: &str = r#"{"az":"a","zones":["a","b"],"kinds":["k"],"n-instances":2,"discovery":"pushed","unknown":1,
"classes":[{"name":"read","effect":"repeatable","on-time-ns":200000000,"deadline-ns":500000000,"importance":1.0}],
"policy-limits":{"attempts-cap":3,"may-cancel":true,"second-copies":true,"probes":false},
"goal":{"worst-class":0.1},"quantum-ns":1000000,
"rules":{"answer-slack-ns":20000000,"ask-within-ns":10000000000,"drain-grace-ns":500000000,"fall-ns":1500000000,
"start-capacity":0.1,"tip-multiple":2.5,"warm-after-ns":20000000000}}"#;

fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_brookfield-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("failed to start the adapter");
    let mut stdin = child.stdin.take().expect("stdin is piped");
    stdin.write_all(input.as_bytes()).ok();
    drop(stdin);
    child.wait_with_output().expect("failed to wait for the adapter")
}

fn reply_to(input: &str) -> String {
    let output = run_adapter(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("output is not UTF-8")
}

fn batch(at: u64, lines: &[String]) -> String {
    format!("{{\"BATCH\":{{\"sim-time-ns\":{at}}}}}\n{}{{\"GO\":{{}}}}\n", lines.concat())
}

fn open_instance(who: u32) -> String {
    let config = CONFIG.replace('\n', "");
    format!("{{\"OPEN_INSTANCE\":{{\"who\":{who},\"nonce64\":{who}9,\"config\":{config}}}}}\n")
}

fn manifest(list: u32, backend: &str) -> String {
    format!(
        "{{\"MANIFEST\":{{\"list\":{list},\"members-list\":[{{\"backend\":\"{backend}\",\"hall\":\"a\",\"type\":\"k\",\
         \"pod\":0,\"stage-state\":\"in_service\",\"power-hint\":1,\"online-since-ns\":null}}]}}}}\n"
    )
}

fn fleet_update(who: u32, list: u32) -> String {
    format!("{{\"FLEET\":{{\"who\":{who},\"mode\":\"cached\",\"seq-no\":1,\"list\":{list}}}}}\n")
}

fn incoming(who: u32, id: &str) -> String {
    format!(
        "{{\"INCOMING\":{{\"who\":{who},\"request-id\":\"{id}\",\"options\":0,\"band\":\"read\",\"org\":null,\
         \"key\":null,\"weight-hint-ns\":0,\"not-after-ns\":400000000}}}}\n"
    )
}

fn placements(reply: &str, who: u32) -> Vec<String> {
    let instance = format!("\"who\":{who}");
    reply
        .lines()
        .filter(|line| line.contains("PLACE") && line.contains(&instance))
        .map(str::to_owned)
        .collect()
}

#[test]
fn empty_batch_gets_an_empty_reply() {
    assert_eq!(reply_to(&batch(5, &[])), "{\"YIELD\":{}}\n");
}

#[test]
fn reused_list_number_refers_to_the_latest_list() {
    let lines = [
        open_instance(1),
        open_instance(2),
        manifest(0, "b-one"),
        fleet_update(1, 0),
        manifest(0, "b-two"),
        fleet_update(2, 0),
    ];
    let requests = [incoming(1, "r1"), incoming(2, "r2")];
    let out = reply_to(&(batch(0, &lines) + &batch(1_000_000, &requests)));
    assert!(placements(&out, 1)[0].contains("b-one") && placements(&out, 2)[0].contains("b-two"), "{out}");
}

#[test]
fn instance_reopened_in_one_batch_keeps_no_state() {
    let first = [open_instance(1), manifest(0, "b-old"), fleet_update(1, 0)];
    let exit = "{\"EXIT\":{\"who\":1}}\n".to_owned();
    let second = [exit, open_instance(1), manifest(1, "b-new"), fleet_update(1, 1), incoming(1, "r")];
    let out = reply_to(&(batch(0, &first) + &batch(1_000_000, &second)));
    assert_eq!(placements(&out, 1).len(), 1);
    assert!(placements(&out, 1)[0].contains("b-new"), "{out}");
}

#[test]
fn instances_do_not_influence_each_other() {
    let lines = |who: u32| {
        let start = vec![open_instance(who), manifest(0, "b-one"), fleet_update(who, 0)];
        let requests: Vec<String> = (0..5).map(|n| incoming(who, &format!("r{who}{n}"))).collect();
        (start, requests)
    };
    let ((start1, requests1), (start2, requests2)) = (lines(1), lines(2));
    let separate =
        |start: &[String], requests: &[String]| reply_to(&(batch(0, start) + &batch(1_000_000, requests)));
    let mixed: Vec<String> =
        requests1.iter().zip(&requests2).flat_map(|(a, b)| [a.clone(), b.clone()]).collect();
    let both = reply_to(&(batch(0, &[start1.clone(), start2.clone()].concat()) + &batch(1_000_000, &mixed)));
    assert_eq!(placements(&both, 1), placements(&separate(&start1, &requests1), 1));
    assert_eq!(placements(&both, 2), placements(&separate(&start2, &requests2), 2));
    assert_eq!(placements(&both, 1).len(), 5);
}

#[test]
fn malformed_input_fails_with_line_and_field_and_without_partial_reply() {
    let cases = [
        ("{\"BATCH\":{\"sim-time-ns\":1}}\nnonsense\n", "line 2"),
        ("{\"BATCH\":{}}\n", "sim-time-ns"),
        ("{\"BATCH\":{\"sim-time-ns\":1}}\n{\"INCOMING\":{\"who\":\"x\"}}\n{\"GO\":{}}\n", "who"),
        ("[1]\n", "line 1"),
    ];
    for (input, expected) in cases {
        let output = run_adapter(input);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && output.stdout.is_empty(), "{input}");
        assert!(error.contains(expected) && error.contains("line"), "{error}");
    }
}

#[test]
fn unknown_events_are_skipped_with_a_single_warning() {
    let unknown = "{\"NOVELTY\":{\"who\":1}}\n".to_owned();
    let output = run_adapter(&batch(1, &[unknown.clone(), unknown]));
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stderr).matches("NOVELTY").count(), 1);
}

#[test]
fn invalid_settings_are_reported_with_the_field() {
    for (from, to, field) in [
        ("\"zones\":[\"a\",\"b\"]", "\"zones\":[]", "az"),
        ("\"repeatable\"", "\"sometimes\"", "effect"),
        ("\"fall-ns\":1500000000,", "", "fall-ns"),
        ("\"attempts-cap\":3", "\"attempts-cap\":0", "attempts"),
        ("\"goal\":", "\"projects\":[{\"name\":\"t\"}],\"goal\":", "quota-rps"),
    ] {
        let line = open_instance(1).replace(from, to);
        let out = reply_to(&batch(1, &[line]));
        assert!(out.contains("DIE") && out.contains(field), "{out}");
    }
}
