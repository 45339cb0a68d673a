use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals by which a process is told to stop.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
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
        Ok(Signals { terminate, interrupt })
    }

    /// Waits until the process is told to stop.
    pub async fn stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
