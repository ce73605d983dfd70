//! The registry as several processes of the program, with faults of processes and links.

mod cluster;
mod faults;
mod history;
mod soak;

use std::collections::BTreeSet;
use std::time::Duration;

use cluster::{Cluster, Watcher, Writer, expect_rejection, registration, wait_until};
use flaxdale_fleet::watch::WatchPolicy;
use flaxdale_registry::client::ClientError;
use flaxdale_registry::wire::Listing;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::sleep;

/// Settings with leases that do not expire during a test.
const LONG_LEASES: &str = "lease_ms = 600000";

fn start_watchers(cluster: &Cluster) -> Vec<Watcher> {
    let quick = WatchPolicy { hold: Duration::from_millis(500), ..WatchPolicy::default() };
    let addresses: Vec<_> = cluster.replicas.iter().map(|replica| replica.client).collect();
    let rotated = |by: usize| addresses.iter().cycle().skip(by).take(addresses.len()).copied().collect();
    (0..addresses.len()).map(|by| Watcher::start(rotated(by), quick)).collect()
}

/// Checks that no acknowledged write is lost, that no client saw the revision decrease, and that all clients end with the
/// committed list.
async fn check_consistency(cluster: &Cluster, writer: Writer, watchers: Vec<Watcher>) {
    cluster
        .wait_until("writes are accepted", || async {
            cluster
                .client_of_all()
                .post::<Value>("/registry/register", &registration("last", 1))
                .await
                .is_ok()
        })
        .await;
    let written = writer.stop().await;
    let list = cluster.converged_list().await;
    let uids: BTreeSet<&str> = list.targets.iter().map(|target| target.uid.as_str()).collect();
    let lost: Vec<_> = written.acknowledged.iter().filter(|(uid, _)| !uids.contains(uid.as_str())).collect();
    assert!(lost.is_empty(), "acknowledged writes lost: {lost:?}\n{}", cluster.logs());
    assert!(!written.acknowledged.is_empty());
    let revs: Vec<u64> = written.acknowledged.iter().map(|(_, rev)| *rev).collect();
    assert!(revs.is_sorted(), "the revisions of writes must increase: {revs:?}");
    sleep(Duration::from_secs(2)).await;
    for watcher in watchers {
        let seen = watcher.stop().await;
        assert_eq!(seen.regressions, Vec::new());
        assert_eq!(seen.gone, Vec::<String>::new(), "no instance was removed");
        let has: BTreeSet<&str> = seen.list.keys().map(String::as_str).collect();
        assert_eq!((seen.rev, has), (list.rev, uids.clone()), "a client must end with the committed list");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_writes_survive_when_the_leader_is_killed() {
    let mut cluster = Cluster::start(3, LONG_LEASES).await;
    let (watchers, writer) = (start_watchers(&cluster), Writer::start(cluster.client_of_all(), "w"));
    for _ in 0..2 {
        sleep(Duration::from_millis(300)).await;
        let leader = cluster.wait_ready().await;
        cluster.kill(leader);
        let next = cluster.wait_ready().await;
        assert_ne!(next, leader);
        cluster.start_replica(leader);
        cluster.wait_ready().await;
    }
    check_consistency(&cluster, writer, watchers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_resumed_after_an_election_neither_serves_a_stale_list_nor_renews_leases() {
    let cluster = Cluster::start(3, LONG_LEASES).await;
    let (watchers, writer) = (start_watchers(&cluster), Writer::start(cluster.client_of_all(), "w"));
    cluster.register("x", 1).await;
    let paused = cluster.wait_ready().await;
    cluster.signal(paused, Signal::STOP);
    let others: Vec<usize> = (0..3).filter(|at| *at != paused).collect();
    let mut newest = None;
    wait_until("another replica leads", || {
        let cluster = &cluster;
        let others = &others;
        async move {
            for at in others {
                if cluster.status(*at).await.is_some_and(|status| status["leads"] == json!(true)) {
                    return true;
                }
            }
            false
        }
    })
    .await;
    cluster.register("newer", 1).await;
    for at in &others {
        let list: Listing = cluster.client(*at).get("/registry/instances").await.expect("a list");
        newest = newest.max(Some(list.rev));
    }
    let newest = newest.expect("a revision");
    cluster.signal(paused, Signal::CONT);
    // The resumed replica still considers itself the leader for a moment.
    let mut client = cluster.client(paused);
    let list = client.get::<Listing>(&format!("/registry/instances?seen={newest}")).await;
    if let Ok(list) = &list {
        assert!(list.rev >= newest, "stale list");
    }
    // Only the present leader may apply a renewal.
    let lives = json!({"lives": [{"uid": "x", "boot_ms": 1}]});
    let renewed = client.post::<Value>("/registry/renew", &lives).await;
    let metrics_text = metrics(&cluster, paused).await;
    let leads_again = cluster.status(paused).await.is_some_and(|status| status["leads"] == json!(true));
    let no_renewals = metrics_text.contains("flaxdale_registry_renewals_total 0\n");
    assert!(no_renewals || leads_again, "renewed by a former leader: {renewed:?}\n{metrics_text}");

    check_consistency(&cluster, writer, watchers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn writes_continue_when_links_between_replicas_are_cut_in_one_direction() {
    let cluster = Cluster::start(3, LONG_LEASES).await;
    let (watchers, writer) = (start_watchers(&cluster), Writer::start(cluster.client_of_all(), "w"));
    for round in 0..3 {
        let leader = cluster.wait_ready().await;
        let others: Vec<usize> = (0..3).filter(|at| *at != leader).collect();
        let cuts: Vec<(usize, usize)> = match round {
            // The leader receives but does not send.
            0 => others.iter().map(|other| (leader, *other)).collect(),
            // The leader sends but does not receive.
            1 => others.iter().map(|other| (*other, leader)).collect(),
            // One follower does not receive.
            _ => vec![(leader, others[0]), (others[1], others[0])],
        };
        cuts.iter().for_each(|(from, to)| cluster.set_link_cut(*from, *to, true));
        sleep(Duration::from_secs(2)).await;
        // Replicas that reach a majority in both directions must accept writes.
        let name = format!("during-{round}");
        let mut client = cluster.client_of_all();
        cluster
            .wait_until("writes are accepted", async || {
                client.post::<Value>("/registry/register", &registration(&name, 1)).await.is_ok()
            })
            .await;
        cuts.iter().for_each(|(from, to)| cluster.set_link_cut(*from, *to, false));
    }
    check_consistency(&cluster, writer, watchers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_follower_reports_the_age_of_its_list_and_catches_up_by_snapshot() {
    let cluster = Cluster::start(3, "lease_ms = 600000\nsnapshot_every = 20").await;
    cluster.register("before", 1).await;
    cluster.converged_list().await;
    let leader = cluster.wait_ready().await;
    let cut_off = (leader + 1) % 3;
    cluster.set_isolated(cut_off, true);
    let (watchers, writer) = (start_watchers(&cluster), Writer::start(cluster.client(leader), "w"));
    wait_until("the log is compacted beyond the follower's last entry", || async {
        cluster.status(leader).await.is_some_and(|status| status["purged"].as_u64() > Some(60))
    })
    .await;
    // The follower serves its stale list with the age, and is not ready.
    let list: Listing = cluster.client(cut_off).get("/registry/instances").await.expect("a response");
    assert!(list.targets.iter().any(|target| target.uid == "before"));
    cluster
        .wait_until("the follower is stale and not ready", async || {
            let status = cluster.status(cut_off).await.expect("a response");
            status["age_ms"].as_u64().is_none_or(|age| age > 500) && status["ready"] == json!(false)
        })
        .await;
    // A client with a newer list gets an error.
    let newer: Listing = cluster.client(leader).get("/registry/instances").await.expect("a list");
    let behind =
        cluster.client(cut_off).get::<Listing>(&format!("/registry/instances?seen={}", newer.rev)).await;
    let Err(ClientError::Unavailable(text)) = behind else { panic!("{behind:?}") };
    assert!(text.contains("this replica is behind"), "{text}");
    cluster.set_isolated(cut_off, false);
    wait_until("the follower has caught up", || async {
        cluster.status(cut_off).await.is_some_and(|status| status["rev"].as_u64() >= Some(newer.rev))
    })
    .await;
    check_consistency(&cluster, writer, watchers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_writes_survive_a_crash_of_all_replicas() {
    let mut cluster = Cluster::start(3, LONG_LEASES).await;
    let (watchers, writer) = (start_watchers(&cluster), Writer::start(cluster.client_of_all(), "w"));
    for _ in 0..2 {
        sleep(Duration::from_millis(500)).await;
        (0..3).for_each(|at| cluster.kill(at));
        (0..3).for_each(|at| cluster.start_replica(at));
        cluster.wait_ready().await;
    }
    check_consistency(&cluster, writer, watchers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_lost_its_store_rejoins_with_a_new_id() {
    let mut cluster = Cluster::start(3, LONG_LEASES).await;
    let (watchers, writer) = (start_watchers(&cluster), Writer::start(cluster.client_of_all(), "w"));
    let leader = cluster.wait_ready().await;
    for lost in [leader, (leader + 1) % 3] {
        let id = |status: Option<Value>| status.and_then(|status| status["id"].as_u64());
        let before = id(cluster.status(lost).await);
        cluster.kill(lost);
        cluster.delete_store(lost);
        cluster.start_replica(lost);
        wait_until("the replica is one of three voters again", || async {
            let Some(status) = cluster.status(lost).await else { return false };
            let replicas = status["replicas"].as_array().cloned().unwrap_or_default();
            let votes = |replica: &Value| replica["votes"] == json!(true);
            replicas.len() == 3 && replicas.iter().all(votes) && status["ready"] == json!(true)
        })
        .await;
        assert_ne!(id(cluster.status(lost).await), before, "the id must be new");
    }
    check_consistency(&cluster, writer, watchers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_keeps_acknowledged_writes_when_its_process_is_killed_during_writes() {
    let mut cluster = Cluster::start(1, LONG_LEASES).await;
    let (watchers, writer) = (start_watchers(&cluster), Writer::start(cluster.client_of_all(), "w"));
    for _ in 0..6 {
        sleep(Duration::from_millis(150)).await;
        cluster.kill(0);
        cluster.start_replica(0);
        cluster.wait_ready().await;
    }
    check_consistency(&cluster, writer, watchers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_disk_rejects_writes_and_still_serves_reads() {
    let mut cluster = Cluster::start(1, LONG_LEASES).await;
    cluster.register("before", 1).await;
    cluster.limit_store_to_present_size(0);
    let mut number = 0;
    let mut client = cluster.client(0);
    let (status, text) = loop {
        match client.post::<Value>("/registry/register", &registration(&format!("w-{number}"), 1)).await {
            Err(ClientError::Rejected { status, text }) => break (status, text),
            _ => number += 1,
        }
        assert!(number < 100_000, "no write was rejected");
    };
    assert_eq!(status, 507, "{text}");
    assert!(text.contains("store"), "{text}");
    let list: Listing = client.get("/registry/instances").await.expect("a list");
    assert!(list.targets.iter().any(|target| target.uid == "before"));
    let status = cluster.status(0).await.expect("a response");
    assert_eq!(status["ready"], json!(false), "{status}");
    // A restart without the limit is enough to recover.
    cluster.kill(0);
    cluster.start_replica(0);
    cluster.wait_ready().await;
    let again = cluster.converged_list().await;
    let lost =
        (0..number).filter(|number| !again.targets.iter().any(|target| target.uid == format!("w-{number}")));
    assert_eq!(lost.count(), 0, "acknowledged writes lost");
    cluster.register("after", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_over_its_size_limit_rejects_writes() {
    let cluster = Cluster::start(1, "lease_ms = 600000\nmost_store_mb = 4\nsnapshot_every = 1000000").await;
    let mut number = 0;
    let mut client = cluster.client(0);
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
        assert!(number < 1000, "no write was rejected");
    };
    assert_eq!(status, 507, "{text}");
    assert!(text.contains("the limit is"), "{text}");
    client.get::<Listing>("/registry/instances").await.expect("a list");
}

/// Returns a command of the program's `registry` group.
fn flaxdale_command(arguments: &[&str]) -> std::process::Command {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_flaxdale"));
    command.arg("registry").args(arguments);
    command
}

/// Runs the program and returns whether it succeeded, and its output.
fn flaxdale(cluster: &Cluster, arguments: &[&str]) -> (bool, String) {
    let mut command = flaxdale_command(arguments);
    for replica in &cluster.replicas {
        command.arg("--at").arg(replica.client.to_string());
    }
    let output = command.output().expect("a running process");
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&text).into_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn restoring_an_older_backup_raises_the_revision_and_removes_no_instance_from_clients() {
    let cluster = Cluster::start(3, LONG_LEASES).await;
    for number in 0..250 {
        cluster.register(&format!("old-{number}"), 1).await;
    }
    let file = cluster.folder.path().join("backup.json");
    let file = file.to_str().expect("a UTF-8 path");
    assert!(flaxdale(&cluster, &["backup", file]).0);
    cluster.register("new", 1).await;
    let quick = WatchPolicy {
        hold: Duration::from_millis(300),
        incarnation_grace: Duration::from_secs(4),
        ..WatchPolicy::default()
    };
    let addresses: Vec<_> = cluster.replicas.iter().map(|replica| replica.client).collect();
    let watcher = Watcher::start(addresses, quick);
    let before = cluster.converged_list().await;
    let (success, text) = flaxdale(&cluster, &["restore", file]);
    assert!(success, "{text}");
    assert!(text.contains("250 instances restored"), "{text}");
    let after = cluster.converged_list().await;
    assert!(after.rev > before.rev && after.incarnation > before.incarnation, "{before:?} {after:?}");
    assert_eq!(after.targets.len(), 250);
    // An instance missing in the backup renews, is reported as unknown, and registers again.
    let lives = json!({"lives": [{"uid": "new", "boot_ms": 1}, {"uid": "old-1", "boot_ms": 1}]});
    let mut client = cluster.client_of_all();
    let mut unknown = Value::Null;
    wait_until("a renewal is answered", async || {
        let done = client.post::<Value>("/registry/renew", &lives).await;
        done.map(|done| unknown = done["unknown"].clone()).is_ok()
    })
    .await;
    assert_eq!(unknown, json!(["new"]));
    cluster.register("new", 1).await;
    let last = cluster.converged_list().await;
    sleep(Duration::from_secs(6)).await;
    let seen = watcher.stop().await;
    assert_eq!((seen.regressions, seen.gone), (Vec::new(), Vec::new()));
    assert_eq!((seen.list.len(), seen.incarnation), (251, last.incarnation));
    for wrong in [
        "{",
        "{\"format\":1}",
        &std::fs::read_to_string(file).expect("a readable file").replace("\"test\"", "\"other\""),
    ] {
        let bad = cluster.folder.path().join("bad.json");
        std::fs::write(&bad, wrong).expect("a written file");
        let (success, text) = flaxdale(&cluster, &["restore", bad.to_str().expect("a UTF-8 path")]);
        assert!(!success && text.contains("bad.json"), "{text}");
    }
    assert_eq!(cluster.converged_list().await, last, "nothing changed");
}

#[tokio::test(flavor = "multi_thread")]
async fn writes_continue_during_membership_changes_and_leadership_transfers() {
    // Three replicas form the registry; a fourth is prepared but never started.
    let mut cluster = Cluster::prepare(3, LONG_LEASES).await;
    let spare = Cluster::prepare(1, LONG_LEASES).await;
    (0..3).for_each(|at| cluster.start_replica(at));
    let leader = cluster.wait_ready().await;
    let (watchers, writer) = (start_watchers(&cluster), Writer::start(cluster.client_of_all(), "w"));
    let next = (leader + 1) % 3;
    let peer = |at: usize| cluster.replicas[at].peer.to_string();
    let (success, text) = flaxdale(&cluster, &["lead", &peer(next)]);
    assert!(success && text.contains("leads"), "{text}\n{}", cluster.logs());
    assert_eq!(cluster.wait_ready().await, next);
    let (success, text) = flaxdale(&cluster, &["remove", &peer(leader)]);
    assert!(success && text.contains("2 replicas"), "{text}");
    let gone = peer(leader);
    cluster.kill(leader);
    let (success, text) = flaxdale(&cluster, &["lead", &gone]);
    assert!(!success && text.contains("no replica has the peer address"), "{text}");
    // A replica with an empty store takes its place.
    cluster.delete_store(leader);
    cluster.start_replica(leader);
    let mut added = (false, String::new());
    wait_until("the replica is added", async || {
        added = flaxdale(&cluster, &["add", &gone]);
        added.0
    })
    .await;
    assert!(added.1.contains("3 replicas"), "{added:?}");
    let unreachable = spare.replicas[0].peer.to_string();
    let (success, text) = flaxdale(&cluster, &["add", &unreachable]);
    assert!(!success && text.contains("cannot be reached"), "{text}");
    cluster.wait_ready().await;
    check_consistency(&cluster, writer, watchers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn instances_whose_leases_expire_together_stay_suspects_until_an_operator_decides() {
    let cluster = Cluster::start(1, "lease_ms = 5000\nhold_s = 3600").await;
    let mut client = cluster.client_of_all();
    // All instances renew in one call, so that their leases expire together.
    let lives: Vec<Value> =
        (0..10).map(|number| json!({"uid": format!("s{number}"), "boot_ms": 1})).collect();
    let lives = json!({ "lives": lives });
    let mut unknown = Value::Null;
    wait_until("all are listed and renew together", async || {
        if unknown == json!([]) {
            return true;
        }
        for number in 0..10 {
            cluster.register(&format!("s{number}"), 1).await;
        }
        unknown =
            client.post::<Value>("/registry/renew", &lives).await.expect("a response")["unknown"].clone();
        unknown == json!([])
    })
    .await;
    let count_suspects = async |client: &mut flaxdale_registry::client::Client| {
        let list: Listing = client.get("/registry/instances").await.expect("a list");
        list.targets.iter().filter(|target| target.suspect).count()
    };
    wait_until("all are suspects", async || count_suspects(&mut client).await == 10).await;
    // One suspect renews.
    let lives = json!({"lives": [{"uid": "s0", "boot_ms": 1}]});
    wait_until("a suspect has renewed", async || {
        client.post::<Value>("/registry/renew", &lives).await.is_ok()
    })
    .await;
    let (success, text) = flaxdale(&cluster, &["suspects", "a", "gone"]);
    assert!(success, "{text}");
    let list: Listing = client.get("/registry/instances").await.expect("a list");
    let left: Vec<&str> = list.targets.iter().map(|target| target.uid.as_str()).collect();
    assert!(left == ["s0"] || left.is_empty(), "{left:?}");
    let (success, text) = flaxdale(&cluster, &["suspects", "nowhere", "alive"]);
    assert!(!success && text.contains("has no suspects"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_single_expired_lease_removes_its_instance_and_conflicting_registrations_are_rejected() {
    let cluster = Cluster::start(1, "lease_ms = 1500\nbelieved_count = 5").await;
    let mut client = cluster.client_of_all();
    let mut post = async |path: &str, body: Value| client.post::<Value>(path, &body).await;
    cluster.register("s0", 7).await;
    // The same instance with another endpoint.
    let mut other = registration("s0", 7);
    other["endpoint"] = json!("127.0.0.1:9001");
    let (status, text) = expect_rejection(post("/registry/register", other).await);
    assert_eq!(status, 409, "{text}");
    assert!(text.contains("two processes have the same name"), "{text}");
    // An instance whose clock went back before its restart must wait until its previous lease has expired.
    let hour = 3_600_000;
    post("/registry/register", registration("late", 2 * hour)).await.expect("an accepted registration");
    let (status, text) = expect_rejection(post("/registry/register", registration("late", hour)).await);
    assert_eq!(status, 409, "{text}");
    wait_until("the previous lease has expired", async || {
        post("/registry/register", registration("late", hour)).await.is_ok()
    })
    .await;
    // An instance that restarts repeatedly: the last start is listed.
    for boot_ms in 1..=20 {
        post("/registry/register", registration("flaps", boot_ms)).await.expect("an accepted registration");
        if boot_ms % 2 == 0 {
            post("/registry/leave", json!({"uid": "flaps", "boot_ms": boot_ms}))
                .await
                .expect("an accepted registration");
        }
    }
    let (status, text) =
        expect_rejection(post("/registry/drain", json!({"uid": "flaps", "boot_ms": 19})).await);
    assert_eq!(status, 404, "{text}");
    wait_until("all leases have expired", async || cluster.converged_list().await.targets.is_empty()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_calls_are_rejected_with_a_reason_and_change_nothing() {
    use flaxdale_fleet::call::{Call, HttpClient};
    let cluster = Cluster::start(1, LONG_LEASES).await;
    cluster.register("s0", 7).await;
    let before = cluster.converged_list().await;
    let mut client = HttpClient::new(cluster.replicas[0].client);
    let long = "x".repeat(1000);
    let malformed = [
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
        for text in &malformed {
            let call =
                Call::post(format!("/registry/{path}"), text.clone().into_bytes(), cluster::TIMEOUT, 1 << 20);
            let response = client.call(&call).await.expect("a response");
            let body = String::from_utf8_lossy(&response.body).into_owned();
            assert_eq!(response.status, 400, "{path} {text}: {body}");
            assert!(body.starts_with("{\"error\":\"") && body.len() > 15, "{path} {text}: {body}");
        }
    }
    for query in ["from=x", "from=-1", "hold_ms=soon", "what=1", "seen="] {
        let response =
            client.call(&Call::get(format!("/registry/instances?{query}"), cluster::TIMEOUT, 1 << 20)).await;
        assert_eq!(response.expect("a response").status, 400, "{query}");
    }
    let large = Call::post("/registry/register", vec![b' '; 2 << 20], cluster::TIMEOUT, 1 << 20);
    let response = client.call(&large).await;
    assert!(
        response.is_err() || response.is_ok_and(|response| response.status == 413),
        "an oversized call must be rejected"
    );
    for (path, status) in [("/registry/nothing", 404), ("/registry/register", 405)] {
        let mut client = HttpClient::new(cluster.replicas[0].client);
        let response = client.call(&Call::get(path, cluster::TIMEOUT, 1 << 20)).await.expect("a response");
        assert_eq!(response.status, status, "{path}");
    }
    // Calls to the peer address without a fleet, or of another fleet.
    let mut peer = HttpClient::new(cluster.replicas[0].peer);
    for headers in [vec![], vec![("x-registry-fleet", "other".to_owned())]] {
        let call =
            Call { headers, ..Call::post("/peer/do", b"\"confirm\"".to_vec(), cluster::TIMEOUT, 1 << 20) };
        assert_eq!(peer.call(&call).await.expect("a response").status, 421);
    }
    assert_eq!(cluster.converged_list().await, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_list_of_5000_instances_is_served_to_300_concurrent_watchers() {
    let cluster = Cluster::start(3, LONG_LEASES).await;
    let mut lines = Vec::new();
    for number in 0..5000 {
        lines.push(json!({"instance": {"uid": format!("s{number}"), "endpoint": "10.1.0.1:9000", "zone": "a",
            "kind": "m1", "group": 0, "capacity": 1.0, "boot_ms": 1}, "state": "Ready", "suspect": false, "rev": 1}));
    }
    let backup = json!({"format": 1, "fleet": "test", "incarnation": 1, "rev": 1, "lines": lines});
    let file = cluster.folder.path().join("backup.json");
    std::fs::write(&file, backup.to_string()).expect("a written file");
    let (success, text) = flaxdale(&cluster, &["restore", file.to_str().expect("a UTF-8 path")]);
    assert!(success, "{text}");
    let list = cluster.converged_list().await;
    assert_eq!(list.targets.len(), 5000);
    let addresses: Vec<_> = cluster.replicas.iter().map(|replica| replica.client).collect();
    let rotated = |by: usize| addresses.iter().cycle().skip(by).take(3).copied().collect();
    let watchers: Vec<Watcher> =
        (0..300).map(|by| Watcher::start(rotated(by % 3), WatchPolicy::default())).collect();
    wait_until("all watchers wait", async || {
        let mut waiting = 0;
        for at in 0..3 {
            waiting += cluster.status(at).await.and_then(|status| status["watches"].as_u64()).unwrap_or(0);
        }
        waiting == 300
    })
    .await;
    cluster.register("new", 1).await;
    let last = cluster.converged_list().await;
    wait_until("all watchers wait again", async || {
        let mut waiting = 0;
        for at in 0..3 {
            waiting += cluster.status(at).await.and_then(|status| status["watches"].as_u64()).unwrap_or(0);
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
async fn a_client_that_reads_no_responses_is_disconnected() {
    use tokio::io::AsyncWriteExt;
    let cluster = Cluster::start(1, LONG_LEASES).await;
    for number in 0..400 {
        let name = format!("{number}-{}", "x".repeat(100));
        cluster.register(&name, 1).await;
    }
    let mut stream = tokio::net::TcpStream::connect(cluster.replicas[0].client).await.expect("a connection");
    // More responses than the socket buffers hold, none of which are read.
    let requests = "GET /registry/instances HTTP/1.1\r\nhost: x\r\n\r\n".repeat(500);
    let _ = tokio::time::timeout(Duration::from_secs(2), stream.write_all(requests.as_bytes())).await;
    wait_until("the client is counted as too slow", async || {
        let text = metrics(&cluster, 0).await;
        text.contains("flaxdale_registry_peers_too_slow_total 1\n")
    })
    .await;
}

async fn metrics(cluster: &Cluster, at: usize) -> String {
    use flaxdale_fleet::call::{Call, HttpClient};
    let response = HttpClient::new(cluster.replicas[at].client)
        .call(&Call::get("/metrics", cluster::TIMEOUT, 1 << 20))
        .await;
    String::from_utf8_lossy(&response.expect("a response").body).into_owned()
}
