//! The signals that stop a process or make it reload its settings.
//!
//! SIGTERM and SIGINT stop a process, SIGHUP reloads the settings.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SignalAction {
    /// Shut down gracefully.
    Stop,
    /// Reload the settings.
    Reload,
}

/// Receives the signals that stop the process or reload its settings.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if a handler can't be installed.
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

    /// Waits for SIGTERM or SIGINT. SIGHUP is ignored.
    pub async fn wait_for_stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
