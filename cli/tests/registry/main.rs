//! The registry as several processes of the program, with faults between them.

mod history;
mod site;

use std::collections::BTreeSet;
use std::time::Duration;

use flaxdale_fleet::watch::WatchPolicy;
use flaxdale_registry::client::ClientError;
use flaxdale_registry::wire::Listing;
use rustix::process::Signal;
use serde_json::{Value, json};
use site::{Site, Watcher, Writer, instance, refusal, until};
use tokio::time::sleep;

/// Leases that outlast every test: what is tested there is not who lapses.
const LONG: &str = "lease_ms = 600000";

fn watch_all(site: &Site) -> Vec<Watcher> {
    let quick = WatchPolicy { hold: Duration::from_millis(500), ..WatchPolicy::default() };
    let addresses: Vec<_> = site.replicas.iter().map(|one| one.client).collect();
    let turned = |by: usize| addresses.iter().cycle().skip(by).take(addresses.len()).copied().collect();
    (0..addresses.len()).map(|by| Watcher::of(turned(by), quick)).collect()
}

/// Nothing acknowledged is lost, no client's version stepped back, and every client ends with the committed list.
async fn account(site: &Site, writer: Writer, watchers: Vec<Watcher>) {
    site.until("writes go on", || async {
        site.any().post::<Value>("/registry/register", &instance("last", 1)).await.is_ok()
    })
    .await;
    let written = writer.stop().await;
    let list = site.settled().await;
    let uids: BTreeSet<&str> = list.targets.iter().map(|one| one.uid.as_str()).collect();
    let lost: Vec<_> = written.acknowledged.iter().filter(|(uid, _)| !uids.contains(uid.as_str())).collect();
    assert!(lost.is_empty(), "acknowledged and lost: {lost:?}\n{}", site.logs());
    assert!(!written.acknowledged.is_empty());
    let revs: Vec<u64> = written.acknowledged.iter().map(|(_, rev)| *rev).collect();
    assert!(revs.is_sorted(), "versions of writes rise: {revs:?}");
    sleep(Duration::from_secs(2)).await;
    for watcher in watchers {
        let seen = watcher.stop().await;
        assert_eq!(seen.backwards, Vec::new());
        assert_eq!(seen.gone, Vec::<String>::new(), "nobody left");
        let has: BTreeSet<&str> = seen.list.keys().map(String::as_str).collect();
        assert_eq!((seen.rev, has), (list.rev, uids.clone()), "a client has the committed list");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_leader_is_killed_while_writes_are_in_flight() {
    let mut site = Site::start(3, LONG).await;
    let (watchers, writer) = (watch_all(&site), Writer::start(site.any(), "w"));
    for _ in 0..2 {
        sleep(Duration::from_millis(300)).await;
        let leader = site.ready().await;
        site.kill(leader);
        let next = site.ready().await;
        assert_ne!(next, leader);
        site.boot(leader);
        site.ready().await;
    }
    account(&site, writer, watchers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_paused_past_the_election_neither_tells_an_old_list_nor_renews_a_lease() {
    let site = Site::start(3, LONG).await;
    let (watchers, writer) = (watch_all(&site), Writer::start(site.any(), "w"));
    site.register("x", 1).await;
    let paused = site.ready().await;
    site.signal(paused, Signal::STOP);
    let others: Vec<usize> = (0..3).filter(|at| *at != paused).collect();
    let mut led = None;
    until("another one leads", || {
        let site = &site;
        let others = &others;
        async move {
            for at in others {
                if site.status(*at).await.is_some_and(|status| status["leads"] == json!(true)) {
                    return true;
                }
            }
            false
        }
    })
    .await;
    site.register("newer", 1).await;
    for at in &others {
        let list: Listing = site.client(*at).get("/registry/instances").await.expect("a list");
        led = led.max(Some(list.rev));
    }
    let newest = led.expect("a version");
    site.signal(paused, Signal::CONT);
    // In its first moments it still believes that it leads.
    let mut client = site.client(paused);
    let list = client.get::<Listing>(&format!("/registry/instances?seen={newest}")).await;
    if let Ok(list) = &list {
        assert!(list.rev >= newest, "an old list");
    }
    // A renewal that it takes in is done by whoever leads now, or by nobody.
    let lives = json!({"lives": [{"uid": "x", "boot_ms": 1}]});
    let renewed = client.post::<Value>("/registry/renew", &lives).await;
    let own = metrics(&site, paused).await;
    let led_again = site.status(paused).await.is_some_and(|status| status["leads"] == json!(true));
    let none = own.contains("flaxdale_registry_renewals_total 0\n");
    assert!(none || led_again, "renewed by a leader of the past: {renewed:?}\n{own}");

    account(&site, writer, watchers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn links_are_cut_one_way() {
    let site = Site::start(3, LONG).await;
    let (watchers, writer) = (watch_all(&site), Writer::start(site.any(), "w"));
    for round in 0..3 {
        let leader = site.ready().await;
        let others: Vec<usize> = (0..3).filter(|at| *at != leader).collect();
        let cuts: Vec<(usize, usize)> = match round {
            // It hears everybody, and nobody hears it.
            0 => others.iter().map(|other| (leader, *other)).collect(),
            // Everybody hears it, and it hears nobody.
            1 => others.iter().map(|other| (*other, leader)).collect(),
            // One follower hears nobody.
            _ => vec![(leader, others[0]), (others[1], others[0])],
        };
        cuts.iter().for_each(|(from, to)| site.cut(*from, *to, true));
        sleep(Duration::from_secs(2)).await;
        // Whoever can reach a majority both ways goes on.
        let name = format!("during-{round}");
        let mut client = site.any();
        site.until("writes go on", async || {
            client.post::<Value>("/registry/register", &instance(&name, 1)).await.is_ok()
        })
        .await;
        cuts.iter().for_each(|(from, to)| site.cut(*from, *to, false));
    }
    account(&site, writer, watchers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_follower_cut_off_says_how_old_it_is_and_is_brought_up_past_compaction_by_a_snapshot() {
    let site = Site::start(3, "lease_ms = 600000\nsnapshot_every = 20").await;
    site.register("before", 1).await;
    site.settled().await;
    let leader = site.ready().await;
    let cut_off = (leader + 1) % 3;
    site.isolate(cut_off, true);
    let (watchers, writer) = (watch_all(&site), Writer::start(site.client(leader), "w"));
    until("the log is compacted past what it has", || async {
        site.status(leader).await.is_some_and(|status| status["purged"].as_u64() > Some(60))
    })
    .await;
    // It answers with what it has, does not claim to be fresh, and is not ready.
    let list: Listing = site.client(cut_off).get("/registry/instances").await.expect("it answers");
    assert!(list.targets.iter().any(|one| one.uid == "before"));
    site.until("its list grows old, and it is not ready", async || {
        let status = site.status(cut_off).await.expect("it answers");
        status["age_ms"].as_u64().is_none_or(|age| age > 500) && status["ready"] == json!(false)
    })
    .await;
    // Whoever has seen more is told so.
    let newer: Listing = site.client(leader).get("/registry/instances").await.expect("a list");
    let behind =
        site.client(cut_off).get::<Listing>(&format!("/registry/instances?seen={}", newer.rev)).await;
    let Err(ClientError::Unavailable(text)) = behind else { panic!("{behind:?}") };
    assert!(text.contains("this replica is behind"), "{text}");
    site.isolate(cut_off, false);
    until("it has caught up", || async {
        site.status(cut_off).await.is_some_and(|status| status["rev"].as_u64() >= Some(newer.rev))
    })
    .await;
    account(&site, writer, watchers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_replicas_are_killed_at_once_and_started_again() {
    let mut site = Site::start(3, LONG).await;
    let (watchers, writer) = (watch_all(&site), Writer::start(site.any(), "w"));
    for _ in 0..2 {
        sleep(Duration::from_millis(500)).await;
        (0..3).for_each(|at| site.kill(at));
        (0..3).for_each(|at| site.boot(at));
        site.ready().await;
    }
    account(&site, writer, watchers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_lost_its_store_comes_anew_and_votes_as_another_one() {
    let mut site = Site::start(3, LONG).await;
    let (watchers, writer) = (watch_all(&site), Writer::start(site.any(), "w"));
    let leader = site.ready().await;
    for lost in [leader, (leader + 1) % 3] {
        let id = |status: Option<Value>| status.and_then(|status| status["id"].as_u64());
        let before = id(site.status(lost).await);
        site.kill(lost);
        site.lose_store(lost);
        site.boot(lost);
        until("it is one of three again", || async {
            let Some(status) = site.status(lost).await else { return false };
            let replicas = status["replicas"].as_array().cloned().unwrap_or_default();
            let votes = |one: &Value| one["votes"] == json!(true);
            replicas.len() == 3 && replicas.iter().all(votes) && status["ready"] == json!(true)
        })
        .await;
        assert_ne!(id(site.status(lost).await), before, "its name is another one");
    }
    account(&site, writer, watchers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_torn_by_kills_in_the_middle_of_writes_has_all_that_was_acknowledged() {
    let mut site = Site::start(1, LONG).await;
    let (watchers, writer) = (watch_all(&site), Writer::start(site.any(), "w"));
    for _ in 0..6 {
        sleep(Duration::from_millis(150)).await;
        site.kill(0);
        site.boot(0);
        site.ready().await;
    }
    account(&site, writer, watchers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_disk_that_is_full_refuses_writes_plainly_and_reads_go_on() {
    let mut site = Site::start(1, LONG).await;
    site.register("before", 1).await;
    let store = std::fs::metadata(site.folder.path().join("data-0/registry.redb")).expect("a store").len();
    let limit = rustix::process::Rlimit { current: Some(store), maximum: None };
    rustix::process::prlimit(Some(site.pid(0)), rustix::process::Resource::Fsize, limit).expect("limited");
    let mut number = 0;
    let mut client = site.client(0);
    let (status, text) = loop {
        match client.post::<Value>("/registry/register", &instance(&format!("w-{number}"), 1)).await {
            Err(ClientError::Rejected { status, text }) => break (status, text),
            _ => number += 1,
        }
        assert!(number < 100_000, "the store grows without end");
    };
    assert_eq!(status, 507, "{text}");
    assert!(text.contains("store"), "{text}");
    let list: Listing = client.get("/registry/instances").await.expect("reads go on");
    assert!(list.targets.iter().any(|one| one.uid == "before"));
    let status = site.status(0).await.expect("it answers");
    assert_eq!(status["ready"], json!(false), "{status}");
    // With room again, a start is enough.
    site.kill(0);
    site.boot(0);
    site.ready().await;
    let again = site.settled().await;
    let acknowledged =
        (0..number).filter(|number| !again.targets.iter().any(|one| one.uid == format!("w-{number}")));
    assert_eq!(acknowledged.count(), 0, "acknowledged and lost");
    site.register("after", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_over_its_own_bound_takes_no_writes() {
    let site = Site::start(1, "lease_ms = 600000\nmost_store_mb = 4\nsnapshot_every = 1000000").await;
    let mut number = 0;
    let mut client = site.client(0);
    let (status, text) = loop {
        let lines = vec![
            json!({"instance": {"uid": "x".repeat(100), "endpoint": "1.2.3.4:5", "zone": "z".repeat(100),
            "kind": "k".repeat(100), "group": 0, "capacity": 1.0, "boot_ms": 1}, "state": "Ready", "suspect": false,
            "rev": 1});
            200
        ];
        match client.post::<Value>("/registry/restore", &json!({"part": 0, "parts": 2, "lines": lines})).await
        {
            Err(ClientError::Rejected { status, text }) => break (status, text),
            _ => number += 1,
        }
        assert!(number < 1000, "the store grows without end");
    };
    assert_eq!(status, 507, "{text}");
    assert!(text.contains("the limit is"), "{text}");
    client.get::<Listing>("/registry/instances").await.expect("reads go on");
}

/// Runs the program, and tells whether it did well and what it printed.
fn flaxdale(site: &Site, arguments: &[&str]) -> (bool, String) {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_flaxdale"));
    command.arg("registry").args(arguments);
    for one in &site.replicas {
        command.arg("--at").arg(one.client.to_string());
    }
    let output = command.output().expect("it runs");
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&text).into_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_backup_older_than_what_clients_have_seen_is_restored_and_takes_nobody_for_gone() {
    let site = Site::start(3, LONG).await;
    for number in 0..250 {
        site.register(&format!("old-{number}"), 1).await;
    }
    let file = site.folder.path().join("backup.json");
    let file = file.to_str().expect("a name");
    assert!(flaxdale(&site, &["backup", file]).0);
    site.register("new", 1).await;
    let quick = WatchPolicy {
        hold: Duration::from_millis(300),
        incarnation_grace: Duration::from_secs(4),
        ..WatchPolicy::default()
    };
    let addresses: Vec<_> = site.replicas.iter().map(|one| one.client).collect();
    let watcher = Watcher::of(addresses, quick);
    let before = site.settled().await;
    let (done, text) = flaxdale(&site, &["restore", file]);
    assert!(done, "{text}");
    assert!(text.contains("250 instances restored"), "{text}");
    let after = site.settled().await;
    assert!(after.rev > before.rev && after.incarnation > before.incarnation, "{before:?} {after:?}");
    assert_eq!(after.targets.len(), 250);
    // It renews, is told that it is not known, and registers again.
    let lives = json!({"lives": [{"uid": "new", "boot_ms": 1}, {"uid": "old-1", "boot_ms": 1}]});
    let mut client = site.any();
    let mut unknown = Value::Null;
    until("a renewal is answered", async || {
        let done = client.post::<Value>("/registry/renew", &lives).await;
        done.map(|done| unknown = done["unknown"].clone()).is_ok()
    })
    .await;
    assert_eq!(unknown, json!(["new"]));
    site.register("new", 1).await;
    let last = site.settled().await;
    sleep(Duration::from_secs(6)).await;
    let seen = watcher.stop().await;
    assert_eq!((seen.backwards, seen.gone), (Vec::new(), Vec::new()));
    assert_eq!((seen.list.len(), seen.incarnation), (251, last.incarnation));
    for wrong in
        ["{", "{\"format\":1}", &std::fs::read_to_string(file).expect("it").replace("\"test\"", "\"other\"")]
    {
        let bad = site.folder.path().join("bad.json");
        std::fs::write(&bad, wrong).expect("written");
        let (done, text) = flaxdale(&site, &["restore", bad.to_str().expect("a name")]);
        assert!(!done && text.contains("bad.json"), "{text}");
    }
    assert_eq!(site.settled().await, last, "nothing changed");
}

#[tokio::test(flavor = "multi_thread")]
async fn replicas_are_added_and_removed_and_the_lead_is_handed_over_while_writes_go_on() {
    // Three are a registry; a fourth is told of another fleet file and runs by itself until it is added.
    let mut site = Site::prepare(3, LONG).await;
    let spare = Site::prepare(1, LONG).await;
    (0..3).for_each(|at| site.boot(at));
    let leader = site.ready().await;
    let (watchers, writer) = (watch_all(&site), Writer::start(site.any(), "w"));
    let next = (leader + 1) % 3;
    let peer = |at: usize| site.replicas[at].peer.to_string();
    let (done, text) = flaxdale(&site, &["lead", &peer(next)]);
    assert!(done && text.contains("leads"), "{text}\n{}", site.logs());
    assert_eq!(site.ready().await, next);
    let (done, text) = flaxdale(&site, &["remove", &peer(leader)]);
    assert!(done && text.contains("2 replicas"), "{text}");
    let gone = peer(leader);
    site.kill(leader);
    let (done, text) = flaxdale(&site, &["lead", &gone]);
    assert!(!done && text.contains("no replica has the peer address"), "{text}");
    // One that belongs to nothing comes in its place, with an empty store.
    site.lose_store(leader);
    site.boot(leader);
    let mut added = (false, String::new());
    until("it is added", async || {
        added = flaxdale(&site, &["add", &gone]);
        added.0
    })
    .await;
    assert!(added.1.contains("3 replicas"), "{added:?}");
    let nobody = spare.replicas[0].peer.to_string();
    let (done, text) = flaxdale(&site, &["add", &nobody]);
    assert!(!done && text.contains("can't be reached"), "{text}");
    site.ready().await;
    account(&site, writer, watchers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_that_lapses_together_is_held_and_a_person_decides() {
    let site = Site::start(1, "lease_ms = 5000\nhold_s = 3600").await;
    let mut client = site.any();
    // All renew in one call, so that all lapse in one moment; whoever was too slow before registers again.
    let lives: Vec<Value> =
        (0..10).map(|number| json!({"uid": format!("s{number}"), "boot_ms": 1})).collect();
    let lives = json!({ "lives": lives });
    let mut unknown = Value::Null;
    until("all are on the list and renew together", async || {
        if unknown == json!([]) {
            return true;
        }
        for number in 0..10 {
            site.register(&format!("s{number}"), 1).await;
        }
        unknown = client.post::<Value>("/registry/renew", &lives).await.expect("renewed")["unknown"].clone();
        unknown == json!([])
    })
    .await;
    let suspects = async |client: &mut flaxdale_registry::client::Client| {
        let list: Listing = client.get("/registry/instances").await.expect("a list");
        list.targets.iter().filter(|one| one.suspect).count()
    };
    until("all are suspects", async || suspects(&mut client).await == 10).await;
    // One of them lives after all.
    let lives = json!({"lives": [{"uid": "s0", "boot_ms": 1}]});
    until("it renews", async || client.post::<Value>("/registry/renew", &lives).await.is_ok()).await;
    let (done, text) = flaxdale(&site, &["suspects", "a", "gone"]);
    assert!(done, "{text}");
    let list: Listing = client.get("/registry/instances").await.expect("a list");
    let left: Vec<&str> = list.targets.iter().map(|one| one.uid.as_str()).collect();
    assert!(left == ["s0"] || left.is_empty(), "{left:?}");
    let (done, text) = flaxdale(&site, &["suspects", "nowhere", "alive"]);
    assert!(!done && text.contains("has no suspects"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn one_that_is_silent_alone_lapses_and_odd_instances_harm_nobody() {
    let site = Site::start(1, "lease_ms = 1500\nbelieved_count = 5").await;
    let mut client = site.any();
    let mut ask = async |path: &str, body: Value| client.post::<Value>(path, &body).await;
    site.register("s0", 7).await;
    // Twice, with two endpoints.
    let mut other = instance("s0", 7);
    other["endpoint"] = json!("127.0.0.1:9001");
    let (status, text) = refusal(ask("/registry/register", other).await);
    assert_eq!(status, 409, "{text}");
    assert!(text.contains("two processes have the same name"), "{text}");
    // Its clock went back an hour before it started again: it waits for its former life's lease.
    let hour = 3_600_000;
    ask("/registry/register", instance("late", 2 * hour)).await.expect("taken");
    let (status, text) = refusal(ask("/registry/register", instance("late", hour)).await);
    assert_eq!(status, 409, "{text}");
    until("the former life has lapsed", async || {
        ask("/registry/register", instance("late", hour)).await.is_ok()
    })
    .await;
    // One that flaps: each life counts, and the last one stands.
    for life in 1..=20 {
        ask("/registry/register", instance("flaps", life)).await.expect("taken");
        if life % 2 == 0 {
            ask("/registry/leave", json!({"uid": "flaps", "boot_ms": life})).await.expect("taken");
        }
    }
    let (status, text) = refusal(ask("/registry/drain", json!({"uid": "flaps", "boot_ms": 19})).await);
    assert_eq!(status, 404, "{text}");
    until("nobody renews: all have lapsed", async || site.settled().await.targets.is_empty()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn rubbish_in_every_call_is_refused_with_its_reason_and_changes_nothing() {
    use flaxdale_fleet::call::{Call, HttpClient};
    let site = Site::start(1, LONG).await;
    site.register("s0", 7).await;
    let before = site.settled().await;
    let mut link = HttpClient::new(site.replicas[0].client);
    let long = "x".repeat(1000);
    let rubbish = [
        String::new(),
        "{".to_owned(),
        "null".to_owned(),
        "[1,2]".to_owned(),
        "{\"uid\":7}".to_owned(),
        "{\"uid\":\"s0\",\"boot_ms\":-1}".to_owned(),
        "{\"lives\":[{\"uid\":\"s0\"}]}".to_owned(),
        "{\"zone\":\"a\",\"alive\":\"perhaps\"}".to_owned(),
        "{\"add\":\"nowhere\"}".to_owned(),
        "{\"part\":0,\"parts\":1,\"lines\":[{}]}".to_owned(),
        format!("{{\"uid\":\"{long}\",\"endpoint\":\"1.2.3.4:5\",\"az\":\"a\",\"model\":\"m\",\"boot_ms\":1}}"),
        "{\"uid\":\"s1\",\"endpoint\":\"1.2.3.4:5\",\"az\":\"\",\"model\":\"m\",\"boot_ms\":1}".to_owned(),
        "{\"uid\":\"s1\",\"endpoint\":\"here\",\"az\":\"a\",\"model\":\"m\",\"boot_ms\":1}".to_owned(),
        "{\"uid\":\"s1\",\"endpoint\":\"1.2.3.4:5\",\"az\":\"a\",\"model\":\"m\",\"boot_ms\":1,\"capacity_hint\":-1.0}".to_owned(),
        "{\"uid\":\"s1\",\"endpoint\":\"1.2.3.4:5\",\"az\":\"a\",\"model\":\"m\",\"boot_ms\":1,\"more\":1}".to_owned(),
    ];
    for path in ["register", "renew", "drain", "leave", "suspects", "restore", "replicas"] {
        for text in &rubbish {
            let call =
                Call::post(format!("/registry/{path}"), text.clone().into_bytes(), site::PATIENCE, 1 << 20);
            let answer = link.call(&call).await.expect("an answer");
            let said = String::from_utf8_lossy(&answer.body).into_owned();
            assert_eq!(answer.status, 400, "{path} {text}: {said}");
            assert!(said.starts_with("{\"error\":\"") && said.len() > 15, "{path} {text}: {said}");
        }
    }
    for query in ["from=x", "from=-1", "hold_ms=soon", "what=1", "seen="] {
        let answer =
            link.call(&Call::get(format!("/registry/instances?{query}"), site::PATIENCE, 1 << 20)).await;
        assert_eq!(answer.expect("an answer").status, 400, "{query}");
    }
    let large = Call::post("/registry/register", vec![b' '; 2 << 20], site::PATIENCE, 1 << 20);
    let answer = link.call(&large).await;
    assert!(answer.is_err() || answer.is_ok_and(|answer| answer.status == 413), "too large a call");
    for (path, status) in [("/registry/nothing", 404), ("/registry/register", 405)] {
        let mut link = HttpClient::new(site.replicas[0].client);
        let answer = link.call(&Call::get(path, site::PATIENCE, 1 << 20)).await.expect("an answer");
        assert_eq!(answer.status, status, "{path}");
    }
    // Another fleet's replica, and one that is meant for another one, at the door of the replicas.
    let mut peer = HttpClient::new(site.replicas[0].peer);
    for headers in [vec![], vec![("x-registry-fleet", "other".to_owned())]] {
        let call =
            Call { headers, ..Call::post("/peer/do", b"\"confirm\"".to_vec(), site::PATIENCE, 1 << 20) };
        assert_eq!(peer.call(&call).await.expect("an answer").status, 421);
    }
    assert_eq!(site.settled().await, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_list_of_thousands_is_told_to_three_hundred_who_come_at_once() {
    let site = Site::start(3, LONG).await;
    let mut lines = Vec::new();
    for number in 0..5000 {
        lines.push(json!({"instance": {"uid": format!("s{number}"), "endpoint": "10.1.0.1:9000", "zone": "a",
            "kind": "m1", "group": 0, "capacity": 1.0, "boot_ms": 1}, "state": "Ready", "suspect": false, "rev": 1}));
    }
    let backup = json!({"format": 1, "fleet": "test", "incarnation": 1, "rev": 1, "lines": lines});
    let file = site.folder.path().join("backup.json");
    std::fs::write(&file, backup.to_string()).expect("written");
    let (done, text) = flaxdale(&site, &["restore", file.to_str().expect("a name")]);
    assert!(done, "{text}");
    let list = site.settled().await;
    assert_eq!(list.targets.len(), 5000);
    let addresses: Vec<_> = site.replicas.iter().map(|one| one.client).collect();
    let turned = |by: usize| addresses.iter().cycle().skip(by).take(3).copied().collect();
    let watchers: Vec<Watcher> =
        (0..300).map(|by| Watcher::of(turned(by % 3), WatchPolicy::default())).collect();
    until("all of them wait for news", async || {
        let mut waiting = 0;
        for at in 0..3 {
            waiting += site.status(at).await.and_then(|status| status["watches"].as_u64()).unwrap_or(0);
        }
        waiting == 300
    })
    .await;
    site.register("new", 1).await;
    let last = site.settled().await;
    until("they have heard of it and wait again", async || {
        let mut waiting = 0;
        for at in 0..3 {
            waiting += site.status(at).await.and_then(|status| status["watches"].as_u64()).unwrap_or(0);
        }
        waiting == 300
    })
    .await;
    for watcher in watchers {
        watcher.stop_now();
    }
    assert_eq!(last.targets.len(), 5001);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_peer_that_reads_nothing_is_hung_up_on() {
    use tokio::io::AsyncWriteExt;
    let site = Site::start(1, LONG).await;
    for number in 0..400 {
        let name = format!("{number}-{}", "x".repeat(100));
        site.register(&name, 1).await;
    }
    let mut stream = tokio::net::TcpStream::connect(site.replicas[0].client).await.expect("a connection");
    // Far more answers than the system's buffers hold, and none of them read.
    let asked = "GET /registry/instances HTTP/1.1\r\nhost: x\r\n\r\n".repeat(500);
    let _ = tokio::time::timeout(Duration::from_secs(2), stream.write_all(asked.as_bytes())).await;
    until("it is counted as too slow", async || {
        let text = metrics(&site, 0).await;
        text.contains("flaxdale_registry_peers_too_slow_total 1\n")
    })
    .await;
}

async fn metrics(site: &Site, at: usize) -> String {
    use flaxdale_fleet::call::{Call, HttpClient};
    let answer =
        HttpClient::new(site.replicas[at].client).call(&Call::get("/metrics", site::PATIENCE, 1 << 20)).await;
    String::from_utf8_lossy(&answer.expect("an answer").body).into_owned()
}
