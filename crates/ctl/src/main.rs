//! `sycamorectl`: configures and inspects a deployment.

use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match sycamore_ctl::run(std::env::args().skip(1)).await {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("sycamorectl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
