//! Authentication of callers by their keys and queues.
//!
//! No key is accepted while the configuration has been unconfirmed for too long, because the key
//! may have been withdrawn since.

use std::time::Duration;

use http::{HeaderMap, Response, header};
use sycamore_rollout::Rollout;
use sycamore_types::Name;
use sycamore_types::config::Document;
use sycamore_types::outcome::{Failure, Reason};
use sycamore_types::selector::Selector;

use super::{Body, failure_response, malformed, unauthorized};

/// Header with the name of the queue that a request belongs to.
const QUEUE_HEADER: &str = "x-queue";

/// Team that a call is accounted to, and the hosts that it may use.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) team: Name,
    /// Selector of the queue. Matches all hosts if no queue was named.
    pub(crate) selector: Selector,
}

/// Determines the team of a call and checks its key.
///
/// `queue` takes precedence over the queue in the header. An open queue needs no key; every
/// other call needs a key of the team that it is accounted to.
pub(crate) fn identify(
    headers: &HeaderMap,
    queue: Option<&str>,
    rollout: &Rollout,
    key_patience: Duration,
) -> Result<Caller, Box<Response<Body>>> {
    let current = rollout.current();
    if current.revision == 0 {
        return Err(Box::new(failure_response(&Failure::not_run(Reason::NotReady))));
    }
    let named = queue.filter(|name| !name.is_empty());
    let header = headers.get(QUEUE_HEADER).and_then(|value| value.to_str().ok());
    let config = &current.document;
    let Some(name) = named.or(header) else {
        let team = team_of_key(headers, config, rollout, key_patience)?;
        return Ok(Caller { team, selector: Selector::default() });
    };
    let Some(queue) = config.queues.get(name) else {
        return Err(Box::new(malformed(format!("field `queue`: no queue is named `{name}`"))));
    };
    if !queue.is_open {
        let team = team_of_key(headers, config, rollout, key_patience)?;
        if team != queue.team {
            return Err(Box::new(unauthorized()));
        }
    }
    Ok(Caller { team: queue.team.clone(), selector: queue.selector.clone() })
}

/// Returns the team of the bearer key in the headers.
///
/// Rejects all keys once the configuration has been unconfirmed for longer than `key_patience`,
/// because a key may have been withdrawn since.
fn team_of_key(
    headers: &HeaderMap,
    config: &Document,
    rollout: &Rollout,
    key_patience: Duration,
) -> Result<Name, Box<Response<Body>>> {
    if !rollout.is_confirmed_within(key_patience) {
        return Err(Box::new(failure_response(&Failure::not_run(Reason::NotReady))));
    }
    let secret = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    let team = secret.and_then(|secret| config.team_of_secret(secret.trim()));
    team.ok_or_else(|| Box::new(unauthorized()))
}
