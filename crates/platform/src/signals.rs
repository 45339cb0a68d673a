use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SignalAction {
    /// Stop in good order.
    Stop,
    /// Read the settings again.
    Reload,
}

/// The signals by which a process is told to stop.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Begins to listen.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not let the process listen.
    pub fn listen() -> io::Result<Signals> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        let hangup = signal(SignalKind::hangup())?;
        Ok(Signals { terminate, interrupt, hangup })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.hangup.recv() => SignalAction::Reload,
        }
    }

    /// Waits until the process is told to stop. A hangup does not end it.
    pub async fn wait_for_stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
