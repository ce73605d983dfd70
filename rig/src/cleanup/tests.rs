use super::*;

fn spawn_sleep() -> Child {
    Command::new("/bin/sleep").arg("60").spawn().expect("sleep started")
}

#[test]
fn reported_processes_that_have_not_ended_are_killed_and_folders_are_removed() {
    let folder = std::env::temp_dir().join(format!("flaxdale-cleanup-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("folder created");
    let (mut running, mut paused, mut removed, mut unreported) =
        (spawn_sleep(), spawn_sleep(), spawn_sleep(), spawn_sleep());
    assert!(signal(paused.id(), Signal::STOP));
    let reports = format!(
        "+{}\n+{}\n+{}\nrubbish\n\n-{}\nd{}\n",
        running.id(),
        paused.id(),
        removed.id(),
        removed.id(),
        folder.display()
    );
    run(reports.as_bytes());
    for killed in [&mut running, &mut paused] {
        assert!(!killed.wait().expect("exit status").success());
    }
    assert!(!folder.exists());
    for unaffected in [&mut removed, &mut unreported] {
        assert!(unaffected.try_wait().expect("process state").is_none());
        unaffected.kill().and_then(|()| unaffected.wait()).expect("process killed");
    }
}

#[test]
fn a_process_is_identified_by_its_start_time_besides_its_pid() {
    assert_eq!(start_time(u32::MAX), None);
    assert_eq!(start_time(std::process::id()), start_time(std::process::id()));
    assert!(start_time(std::process::id()).is_some());
}
