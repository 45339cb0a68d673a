//! `sycamorectl` against a whole deployment: its commands, their output and their exit codes.

use std::time::Duration;

use sycamore_ctl::{Error, run};
use sycamore_demo::{CallOutcome, Caller, Deployment, Profile};
use sycamore_scheduler::RecordDestination;
use tokio::sync::Mutex;

/// Serializes the tests. Leases run in real time, and deployments that compete for the CPU could
/// let them expire.
static DEPLOYMENT_LOCK: Mutex<()> = Mutex::const_new(());

/// Runs a command of `sycamorectl` against the second entry process.
async fn ctl(deployment: &Deployment, command: &[&str]) -> Result<String, Error> {
    let entry = format!("--entry={}", deployment.entries[1].operator_address);
    let command = command.iter().map(|argument| argument.to_string());
    run(std::iter::once(entry).chain(command)).await
}

/// Waits until the entry process that the operator uses knows all processes. It reads them from
/// the store in the background, which takes longer on a slow host.
async fn wait_until_all_known(deployment: &Deployment) {
    let is_complete =
        |text: &str| text.contains("\"entries\":2") && text.contains("\"schedulers\":2");
    let end = tokio::time::Instant::now() + Duration::from_secs(60);
    loop {
        let status = ctl(deployment, &["--format=json", "status"]).await.unwrap_or_default();
        if is_complete(&status) {
            return;
        }
        assert!(
            tokio::time::Instant::now() < end,
            "the entry process does not know all processes: {status}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_command_does_what_its_help_says() {
    let _lock = DEPLOYMENT_LOCK.lock().await;
    let deployment =
        Deployment::start(Profile::sialkot(), 16, 2, RecordDestination::Nowhere).await.unwrap();
    wait_until_all_known(&deployment).await;

    let report = ctl(&deployment, &["team", "night", "weight=2", "limit=5"]).await.unwrap();
    assert!(report.contains("in_force: 4") && report.contains("of: 4"), "{report}");
    let created = ctl(&deployment, &["key", "create", "night-1", "night"]).await.unwrap();
    let secret = created.lines().find_map(|line| line.strip_prefix("key: ")).unwrap().to_string();
    let caller = Caller::new(deployment.entries[0].address, "night", &secret);
    let outcome = caller.request("orderdesk", "stock", None).await;
    assert!(matches!(outcome, CallOutcome::Answered(_)), "{outcome:?}");
    ctl(&deployment, &["queue", "public", "team=night", "open=true"]).await.unwrap();
    let host = deployment.platform.workers[0].host().name.to_string();
    ctl(&deployment, &["label", &host, "tier=gold", "spot=no"]).await.unwrap();
    ctl(&deployment, &["label", &host, "spot-"]).await.unwrap();
    ctl(&deployment, &["drain", &host]).await.unwrap();
    let text = ctl(&deployment, &["get"]).await.unwrap();
    assert!(text.contains("tier = \"gold\"") && !text.contains("spot"), "{text}");
    assert!(text.contains(&format!("drained = [\"{host}\"]")), "{text}");
    assert!(!text.contains(&secret), "the configuration contains the secret: {text}");

    ctl(&deployment, &["undrain", &host]).await.unwrap();
    ctl(&deployment, &["key", "withdraw", "night-1"]).await.unwrap();
    let outcome = caller.request("orderdesk", "stock", None).await;
    assert_eq!(outcome, CallOutcome::NotRun("key_withdrawn".to_string()));
    let status = ctl(&deployment, &["--format=json", "status"]).await.unwrap();
    assert!(status.contains("\"schedulers\":2"), "{status}");
}

#[tokio::test(flavor = "multi_thread")]
async fn errors_have_their_exit_codes() {
    let _lock = DEPLOYMENT_LOCK.lock().await;
    let deployment =
        Deployment::start(Profile::sialkot(), 16, 2, RecordDestination::Nowhere).await.unwrap();
    let file = std::env::temp_dir().join(format!("sycamore-config-{}", std::process::id()));
    std::fs::write(&file, "[teams.a]\nwieght = 2\n").unwrap();
    let path = file.to_str().unwrap();

    let bad_file = ctl(&deployment, &["apply", path]).await.unwrap_err();
    let unknown_command = ctl(&deployment, &["fly"]).await.unwrap_err();
    let refused = ctl(&deployment, &["queue", "q", "team=ghost"]).await.unwrap_err();
    let unreachable = run(["--entry=127.0.0.1:1", "get"].map(String::from).into_iter()).await;

    assert_eq!(bad_file.exit_code(), 2);
    assert!(bad_file.to_string().contains("line 2"), "{bad_file}");
    assert_eq!(unknown_command.exit_code(), 2);
    assert_eq!(refused.exit_code(), 1);
    assert!(refused.to_string().contains("queues.q.team"), "{refused}");
    assert_eq!(unreachable.unwrap_err().exit_code(), 3);
    std::fs::write(&file, "[teams.a]\nweight = 2\n").unwrap();
    let diff = ctl(&deployment, &["diff", path]).await.unwrap();
    assert!(diff.contains("+ [teams.a] weight = 2"), "{diff}");
    let _ = std::fs::remove_file(&file);
}
