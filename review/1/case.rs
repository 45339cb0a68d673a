//! The busiest worker crashes and starts again under its id while quick checks come, until a task
//! has run twice.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::Found;
use crate::json::{num, table};
use crate::record::Record;
use crate::site::{CHECK, Site};

const CRASHES: u64 = 22;
const DOWN_TIME: Duration = Duration::from_millis(800);
const SOUND_TIME: Duration = Duration::from_millis(2_600);
const CLIENTS: u64 = 4;
/// Together the clients hand in some 30 submissions a second.
const PAUSE: Duration = Duration::from_millis(100);
const RUN_MS: u64 = 300;
const SHOWN: usize = 3;

pub fn play(record: &Record, has_trouble: bool) -> Found {
    let site = Site::start(record, &[&CHECK], 0)?;
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (site, is_over) = (&site, &is_over);
            scope.spawn(move || press(site, client, is_over));
        }
        std::thread::sleep(SOUND_TIME);
        for at in 0..CRASHES {
            if !site.ledger.breaches().is_empty() {
                break;
            }
            if has_trouble && let Some(worker) = site.workers.iter().max_by_key(|w| w.running().len()) {
                worker.crash_silently();
                std::thread::sleep(DOWN_TIME);
                worker.restart();
            }
            // No multiple of the interval at which the owner reads the list of workers.
            std::thread::sleep(SOUND_TIME + Duration::from_millis(137 * at % 500));
        }
        is_over.store(true, Ordering::Relaxed);
    });
    std::thread::sleep(Duration::from_secs(2));
    let breaches = site.ledger.breaches();
    let first: Vec<&str> = breaches.iter().take(SHOWN).map(String::as_str).collect();
    let (starts, count) = (site.ledger.starts(), breaches.len());
    let seen = format!("{count} of {starts} starts made a task run twice; {}", first.join("; "));
    Ok((count > 0, seen))
}

fn press(site: &Site, client: u64, is_over: &AtomicBool) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("{:016x}", 0xa1_0000_0000 + (client << 20) + number);
        let step = table(vec![
            ("count", num(4)),
            ("cpu", num(500)),
            ("mem-mb", num(100)),
            ("est-ms", num(RUN_MS)),
        ]);
        // A submission that is refused is not judged.
        let _ = site.submit(&CHECK, &id, &format!("run-ms={RUN_MS}"), vec![step]);
        std::thread::sleep(PAUSE);
    }
}
