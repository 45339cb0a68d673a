//! Options that name the addresses of the process: where it connects from, and where it listens
//! for peers.

use std::net::{IpAddr, Ipv4Addr};
use std::process::Stdio;
use std::time::Duration;

use sycamore_standin::fenced::{self, ProcessSettings};
use sycamore_standin::link::{LinkState, Proxy};
use sycamore_standin::ports::Port;
use tokio::net::TcpStream;
use tokio::process::Command;

use crate::platform::Platform;
use crate::process::{Host, Process, until};
use crate::{is_complete, submit};

/// Starts a process with one more option. Returns its exit code and what it wrote to standard
/// error.
async fn run_with(option: &str, value: &str) -> (Option<i32>, String) {
    let (callers, peers) = (Port::reserve().expect("a port"), Port::reserve().expect("a port"));
    let text = fenced::settings(&ProcessSettings {
        host: "one".to_string(),
        address: "127.0.0.1".to_string(),
        peer_port: peers.number(),
        seeds: Vec::new(),
        caller_address: callers.on(Ipv4Addr::LOCALHOST),
        store_address: callers.on(Ipv4Addr::LOCALHOST),
        advice_address: None,
        grace_s: 6,
        cores: 1.0,
        link_mbps: 1_000.0,
        evacuation_ms: None,
        memory_mb: None,
        max_fds: None,
    });
    let name = format!("sycamore-options-{}-{}.toml", std::process::id(), callers.number());
    let settings = std::env::temp_dir().join(name);
    std::fs::write(&settings, text).expect("settings are written");
    let child = Command::new(env!("CARGO_BIN_EXE_sycamore-node"))
        .arg("--settings")
        .arg(&settings)
        .args([option, value])
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("the process starts");
    let output = tokio::time::timeout(Duration::from_secs(20), child.wait_with_output()).await;
    std::fs::remove_file(&settings).expect("settings are removed");
    let output = output.expect("the process exits").expect("its output");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

/// Failure: a mistyped address was ignored, or ended the process without a word on its option.
#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_address_ends_the_process() {
    let cases = [
        ("--source-address", "x", "--source-address: "),
        ("--source-address", "0.0.0.0", "--source-address: `0.0.0.0` names no single address"),
        ("--source-address", "224.0.0.1", "--source-address: `224.0.0.1` names no single address"),
        ("--source-address", "192.0.2.1", "can't connect from 192.0.2.1: "),
        ("--source-address", "::1", "can't connect from ::1: the address for peers has another IP"),
        ("--peer-listen", "127.0.0.1", "--peer-listen: "),
        ("--peer-listen", "127.0.0.1:0", "--peer-listen: the port must not be 0"),
        ("--peer-listen", "192.0.2.1:7000", "can't listen on 192.0.2.1:7000: "),
    ];
    for (option, value, message) in cases {
        let (code, error) = run_with(option, value).await;

        assert_eq!(code, Some(1), "{option} {value}: {error}");
        assert!(error.contains(message), "{option} {value}: {error}");
    }
}

/// Failure: some connections of a process came from the address that the system chose.
#[tokio::test(flavor = "multi_thread")]
async fn connections_come_from_the_source_address() {
    let source = Ipv4Addr::new(127, 0, 0, 8);
    let platform = Platform::start().await;
    let store = Proxy::start(platform.address).await.expect("a free port");
    store.set_state(LinkState::Reset);
    store.set_state_from(IpAddr::from(source), LinkState::Slow(1));
    platform.limit_worker_to(IpAddr::from(source));

    let host = Host::strong("one", store.address);
    let process = Process::start_with_arguments(&host, &["--source-address", "127.0.0.8"]).await;

    until("the process serves", || submit(&process, "00000000000000a1")).await;
    until("the job is complete", || is_complete(&process, "00000000000000a1")).await;
    process.kill().await;
}

/// Failure: a process with a forwarded port listened on the address of its settings, where the
/// forwarder listens, and could not start.
#[tokio::test(flavor = "multi_thread")]
async fn peers_reach_a_process_through_a_forwarded_port() {
    let platform = Platform::start().await;
    let inner = Port::reserve().expect("a port").on(Ipv4Addr::LOCALHOST);
    let listen = inner.to_string();
    let host = Host::strong("one", platform.address);

    let process = Process::start_with_arguments(&host, &["--peer-listen", &listen]).await;

    let outer = process.peer_address();
    assert!(TcpStream::connect(inner).await.is_ok(), "nobody listens on {inner}");
    assert!(TcpStream::connect(outer).await.is_err(), "the process listens on {outer}");
    let forwarder = Proxy::start_on(outer, inner).await.expect("the port is free");
    until("the process serves", || submit(&process, "00000000000000a1")).await;
    let peer = Process::start(&platform, "two").await;
    until("the peer serves", || submit(&peer, "00000000000000a2")).await;
    assert!(peer.grep(&["claimed ownership"]).is_empty(), "the peer does not hear the owner");
    forwarder.set_state(LinkState::Reset);
    until("the peer takes over", || async { !peer.grep(&["claimed ownership"]).is_empty() }).await;
    process.kill().await;
    peer.kill().await;
}
