use std::time::Duration;

use http::{HeaderMap, Response, header};
use sycamore_rollout::Rollout;
use sycamore_types::Name;
use sycamore_types::config::Document;
use sycamore_types::outcome::{Failure, Reason};
use sycamore_types::selector::Selector;

use super::{Body, failure_response, malformed, unauthorized};

/// Header by which a request names its queue.
const QUEUE_HEADER: &str = "x-queue";

/// Whom a call counts for.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) team: Name,
    /// Selector of the queue, if one was named.
    pub(crate) selector: Selector,
}

/// Finds out whom a call counts for.
///
/// `queue` goes before the header. A queue that is open to all needs no key;
/// every other call needs one of the team that it counts for.
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

/// Returns the team whose key came with a call.
///
/// A process that nobody has confirmed the configuration to for a while can't
/// know whether a key was withdrawn, and takes none.
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
