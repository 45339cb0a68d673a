use std::sync::Arc;
use std::time::Duration;

use sycamore_wire::Incoming;
use tokio::net::TcpListener;

use super::{Command, Reply};
use crate::node::Node;

/// Pause after a failed accept, so that a lack of descriptors doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves other processes for as long as this one lives.
pub(crate) async fn serve(node: Arc<Node>, listener: TcpListener) {
    loop {
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(error) => {
                log::warn!("peer connection not accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(error) = socket.set_nodelay(true) {
            log::debug!("peer connection without nodelay: {error}");
        }
        let node = node.clone();
        tokio::spawn(async move {
            let take = move |incoming| take(node.clone(), incoming);
            if let Err(error) = sycamore_wire::serve(socket, take).await {
                log::debug!("peer connection ended: {error}");
            }
        });
    }
}

async fn take(node: Arc<Node>, incoming: Incoming<Command>) {
    let reply = match &incoming.command {
        Command::Ping(ping) => Reply::Pong(node.pong(ping)),
        Command::Ask(ask) => Reply::Verdict(node.ask_here(ask.clone()).await),
        Command::Advise { step, hosts, timeout_ms } => {
            Reply::Advice(node.advise(step, hosts, Duration::from_millis(*timeout_ms)).await)
        }
        Command::Config => {
            Reply::Config(node.configs.current().map(|current| current.source.clone()))
        }
        Command::Heard => Reply::Heard(node.ownership.heard()),
    };
    let sent = match incoming.answer() {
        Ok((_reader, mut writer)) => writer.frame(&reply, true).await,
        Err(error) => Err(error),
    };
    if let Err(error) = sent {
        log::debug!("peer went away before its answer: {error}");
    }
}
