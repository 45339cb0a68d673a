//! Accepts connections of other processes and replies to their commands.
//!
//! Every process accepts every command. One that is not the owner refuses callers' requests
//! without any effect.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sycamore_wire::{Incoming, encode_frame};
use tokio::net::TcpListener;

use super::{Command, Reply, executor};
use crate::node::Node;

/// Delay after a failed accept, so that a lack of file descriptors causes no busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections of other processes until this one exits.
pub(crate) async fn serve(node: Arc<Node>, listener: TcpListener) {
    loop {
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(error) => {
                log::warn!("can't accept a peer's connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(error) = socket.set_nodelay(true) {
            log::debug!("can't set TCP_NODELAY on a peer's connection: {error}");
        }
        let node = node.clone();
        tokio::spawn(async move {
            let handler = move |incoming| handle(node.clone(), incoming);
            if let Err(error) = sycamore_wire::serve(socket, handler).await {
                log::debug!("peer's connection failed: {error}");
            }
        });
    }
}

async fn handle(node: Arc<Node>, incoming: Incoming<Command>) {
    if matches!(incoming.command, Command::Execute) {
        match incoming.respond() {
            Ok((reader, writer)) => executor::execute(node, reader, writer).await,
            Err(error) => log::debug!("can't open a session with the owner: {error}"),
        }
        return;
    }
    let reply = match encoded_reply(&node, &incoming.command).await {
        Ok(reply) => reply,
        Err(error) => return log::debug!("can't encode a reply to a peer: {error}"),
    };
    let sent = match incoming.respond() {
        Ok((_reader, mut writer)) => writer.write_bytes(reply, true).await,
        Err(error) => Err(error),
    };
    if let Err(error) = sent {
        log::debug!("can't send a reply to a peer: {error}");
    }
}

/// Returns the reply to a command other than [`Command::Execute`], which has no single reply.
async fn encoded_reply(node: &Arc<Node>, command: &Command) -> Result<Bytes, sycamore_wire::Error> {
    let reply = match command {
        Command::Ping(ping) => Reply::Pong(node.handle_ping(ping)),
        Command::CallerRequest(request) => {
            Reply::Outcome(node.ask_local_owner(request.clone()).await)
        }
        Command::Advise { step, hosts, timeout_ms } => {
            match node.advise(step, hosts, Duration::from_millis(*timeout_ms)).await {
                Ok(allowed) => Reply::Advice(Some(allowed)),
                Err(failure) => Reply::AdviceFailure(failure),
            }
        }
        Command::Config => match node.configs.current() {
            Some(current) => return Ok(current.reply.clone()),
            None => Reply::Config(None),
        },
        Command::ConfirmOwner { epoch, may_read } => {
            Reply::OwnerStatus(node.owner_status(*epoch, *may_read).await)
        }
        Command::QueryOwner | Command::Execute => {
            Reply::Owner(node.ownership.recently_heard_owner())
        }
    };
    encode_frame(&reply)
}
