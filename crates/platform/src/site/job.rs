//! Parses submitted jobs and renders the responses to callers.
//!
//! A job is checked when it is parsed, so that an invalid one is rejected before it is stored.

use std::fmt;

use displaydoc::Display;
use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use sycamore_graph::job::{MAX_STEPS, Schedule, Spec, SpecError, State, Step};
use sycamore_types::Name;
use sycamore_types::resources::Resources;

/// The error of an invalid submission.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum JobError {
    /// the body is malformed: {0}
    Syntax(serde_json::Error),
    /// {0}
    Spec(SpecError),
}

impl std::error::Error for JobError {}

/// A submission. It has a schedule if `times` is above zero.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Body {
    #[serde(default)]
    spec: Name,
    #[serde(default, deserialize_with = "at_most_max_steps")]
    steps: Vec<StepBody>,
    #[serde(default)]
    start_at_ms: u64,
    #[serde(default)]
    interval_ms: u64,
    #[serde(default)]
    times: u32,
}

/// Deserializes steps, and fails once there are more than a job may have. A step takes up to a
/// hundred times the memory of its text.
fn at_most_max_steps<'de, D>(deserializer: D) -> Result<Vec<StepBody>, D::Error>
where
    D: Deserializer<'de>,
{
    struct Steps;

    impl<'de> Visitor<'de> for Steps {
        type Value = Vec<StepBody>;

        fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
            formatter.write_str("a list of steps")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Self::Value, A::Error> {
            let mut steps = Vec::new();
            while let Some(step) = sequence.next_element()? {
                if steps.len() == MAX_STEPS {
                    return Err(A::Error::custom(SpecError::Steps));
                }
                steps.push(step);
            }
            Ok(steps)
        }
    }

    deserializer.deserialize_seq(Steps)
}

/// A step. Fields that are zero, false or empty are left out on the wire.
///
/// CPU is in thousandths of a core and memory in MiB.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
struct StepBody {
    count: u32,
    cpu: u32,
    mem_mb: u32,
    gpu: u32,
    est_ms: f64,
    after: Vec<u16>,
    gang: bool,
    same_rack: bool,
    constraints: Option<Name>,
    affinity: Option<Name>,
    max_per_server: u32,
    checkpointing: bool,
    speculative: bool,
    long_running: bool,
    image: Option<Name>,
    goal_ms: f64,
    fills: bool,
    max_unavailable: Option<u32>,
}

impl From<StepBody> for Step {
    fn from(body: StepBody) -> Step {
        let label = |name: Option<Name>| name.filter(|name| !name.is_empty());
        Step {
            tasks: body.count,
            size: Resources {
                cpu_millis: body.cpu,
                memory_mib: body.mem_mb,
                accelerators: body.gpu,
                slots: 0,
                connections: 0,
            },
            estimate_ms: body.est_ms as u64,
            after: body.after,
            is_gang: body.gang,
            prefers_one_rack: body.same_rack,
            required_label: label(body.constraints),
            data_rack: label(body.affinity),
            max_per_host: body.max_per_server,
            is_speculative: body.speculative,
            is_checkpointing: body.checkpointing,
            is_service: body.long_running,
            image: label(body.image),
            latency_objective_ms: body.goal_ms as u64,
            is_best_effort: body.fills,
            max_unavailable: body.max_unavailable,
        }
    }
}

/// Parses the body of a submission and checks the job.
///
/// # Errors
///
/// Returns [`JobError::Syntax`] if the body is malformed and [`JobError::Spec`] if the job breaks
/// a rule.
pub fn parse_job(body: &[u8]) -> Result<Spec, JobError> {
    let body: Body = serde_json::from_slice(body).map_err(JobError::Syntax)?;
    let schedule = (body.times > 0).then_some(Schedule {
        first_unix_ms: body.start_at_ms,
        interval_ms: body.interval_ms,
        occurrences: body.times,
    });
    let spec = Spec {
        payload: body.spec,
        steps: body.steps.into_iter().map(Step::from).collect(),
        schedule,
    };
    spec.check().map_err(JobError::Spec)?;
    Ok(spec)
}

/// Renders the state of a job as a JSON response.
pub fn render_state(state: State) -> String {
    let word = match state {
        State::Queued => "queued",
        State::Running => "running",
        State::Complete => "complete",
        State::Failed => "failed",
        State::Cancelled => "cancelled",
    };
    format!("{{\"state\":\"{word}\"}}")
}

/// Renders the number of waiting jobs of a queue as a JSON response.
pub fn render_count(count: u64) -> String {
    format!("{{\"pending\":{count}}}")
}
