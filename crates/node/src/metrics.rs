//! Metrics of the process, served over HTTP in the Prometheus text format. The names and
//! help texts are read by operators and stay when fields are renamed.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use sycamore_intake::{body, connection};
use sycamore_telemetry::metrics::Metrics;
use sycamore_telemetry::metrics::prometheus::{
    GaugeVec, HistogramVec, IntCounter, IntCounterVec, IntGauge,
};
use tokio::net::TcpListener;

use crate::api::serve_internal;

/// Bounds of the latency buckets in seconds, from the time of one store call to a caller's
/// longest wait.
const BUCKETS: [f64; 12] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 15.0];

/// Metrics of the process.
#[derive(Clone, Debug)]
pub(crate) struct Meters {
    all: Metrics,
    /// Callers' requests, by method and status.
    pub requests: IntCounterVec,
    /// Time from a request to its response, by method.
    pub request_s: HistogramVec,
    /// Connections of readiness probes and readers of metrics.
    pub internal_connections: connection::Meters,
    /// Memory that the jobs known to this owner are counted with, in bytes.
    pub job_bytes: IntGauge,
    /// Connections of callers.
    pub caller_connections: connection::Meters,
    /// Bodies of callers' requests.
    pub bodies: body::Meters,
    /// Start requests to workers, by outcome.
    pub starts: IntCounterVec,
    /// Lost workers that had runs, by cause.
    pub host_losses: IntCounterVec,
    /// Leases that count as expired, by who granted them.
    pub expired_leases: IntCounterVec,
    /// Runs that were suspected to have crashed their worker.
    pub suspects: IntCounter,
    /// Jobs given up because workers crash under one of their tasks.
    pub given_up: IntCounter,
    /// Queues restricted because their jobs bring workers down.
    pub restrictions: IntCounter,
    /// Runs stopped to give room to steps of more urgent queues.
    pub preemptions: IntCounter,
    /// Work that these preemptions lost, in core-milliseconds.
    pub preempted_core_ms: IntCounter,
    /// Room given up by runs that the step it was reserved for has not used in time.
    pub unused_reservations: IntCounter,
    /// Ended runs, by how they ended.
    pub ends: IntCounterVec,
    /// Closed jobs, by final state.
    pub jobs_closed: IntCounterVec,
    /// Age of the job when one of its tasks starts, by priority of its queue.
    pub start_wait_s: HistogramVec,
    /// Calls to the advice service, by outcome.
    pub advice: IntCounterVec,
    /// Failed calls to the advice service, by cause.
    pub advice_failures: IntCounterVec,
    /// Hosts that can make calls to the advice service.
    pub advice_hosts: IntGauge,
    /// Time that hosts spend on calls to the advice service, by class of the call.
    pub advice_busy_ms: IntCounterVec,
    /// Steps that wait for a free call.
    pub advice_waiting_steps: IntGauge,
    /// Time since a step's last call when it makes one, by class of the call.
    pub advice_wait_s: HistogramVec,
    /// Log writes, by outcome.
    pub log_writes: IntCounterVec,
    /// Time until a page of the log is durable.
    pub log_write_s: HistogramVec,
    /// Attempts to become the owner, by reason and outcome.
    pub claims: IntCounterVec,
    /// Attempts to confirm the ownership, by who was asked and what came of it.
    pub confirmations: IntCounterVec,
    /// Long polls of workers, by outcome.
    pub polls: IntCounterVec,
    /// Decayed past use of each team, in seconds of the whole capacity.
    pub team_past_use_s: GaugeVec,
    /// What each team is entitled to as a part of what it has used.
    pub team_usage_factor: GaugeVec,
    /// Orders that were given to executors, by what became of them.
    pub executor_orders: IntCounterVec,
    /// Batches of orders, by what became of them.
    pub executor_batches: IntCounterVec,
    /// Peers that carry out the owner's calls to workers.
    pub executors: IntGauge,
    /// Time from a batch of orders to its receipt.
    pub executor_lag_s: HistogramVec,
    /// Epoch of the newest owner that this process knows of.
    pub epoch: IntGauge,
    /// Version of the configuration in force.
    pub config: IntGauge,
    /// Highest version of the configuration that another process has in force. It stays above
    /// [`Meters::config`] on a process that does not receive new versions.
    pub config_known: IntGauge,
    /// Attempts to receive a configuration, by origin and outcome.
    pub config_transfers: IntCounterVec,
    /// Evacuated failure domains that this process knows of.
    pub evacuated_domains: IntGauge,
    /// Entries of the worker list that name no worker to use, by reason.
    pub skipped_entries: IntCounterVec,
}

impl Meters {
    pub fn new() -> Meters {
        let all = Metrics::new();
        Meters {
            requests: all.counters("requests_total", "Answers to callers.", &["method", "status"]),
            request_s: all.histograms("request_seconds", "Time to answer.", &["method"], &BUCKETS),
            internal_connections: connection::Meters {
                open: all.gauge(
                    "internal_connections",
                    "Open connections of readiness probes and readers of metrics.",
                ),
                evicted: all.counter(
                    "internal_connections_evicted_total",
                    "Connections of readiness probes and readers of metrics closed for others.",
                ),
            },
            job_bytes: all.gauge(
                "job_bytes",
                "Memory that the jobs known to this owner are counted with, in bytes.",
            ),
            caller_connections: connection::Meters {
                open: all.gauge("caller_connections", "Open connections of callers."),
                evicted: all.counter(
                    "caller_connections_evicted_total",
                    "Connections of callers that were closed to make room for others.",
                ),
            },
            bodies: body::Meters {
                held_bytes: all.gauge(
                    "caller_body_bytes",
                    "Memory that the bodies of callers' requests hold, in bytes.",
                ),
                refused: all.counter(
                    "caller_bodies_refused_total",
                    "Requests that were refused as there was no memory for their body.",
                ),
            },
            starts: all.counters("starts_total", "Orders to start a task.", &["outcome"]),
            host_losses: all.counters(
                "worker_losses_total",
                "Lost workers that had runs.",
                &["cause"],
            ),
            expired_leases: all.counters(
                "leases_expired_total",
                "Leases of workers with runs that count as expired.",
                &["granted_by"],
            ),
            suspects: all
                .counter("suspect_runs_total", "Lost runs that start again apart from others."),
            given_up: all.counter(
                "jobs_given_up_total",
                "Jobs failed because workers crash under one of their tasks.",
            ),
            restrictions: all.counter(
                "queue_restrictions_total",
                "Queues restricted because their jobs bring workers down.",
            ),
            preemptions: all.counter(
                "preemptions_total",
                "Runs stopped to give room to more urgent steps or to gangs.",
            ),
            preempted_core_ms: all.counter(
                "preemption_lost_core_milliseconds_total",
                "Work that preemptions lost, with the time to resume.",
            ),
            unused_reservations: all
                .counter("reservations_unused_total", "Reservations of room that expired unused."),
            ends: all.counters("ends_total", "Ends of runs.", &["how"]),
            jobs_closed: all.counters("jobs_closed_total", "Last states of jobs.", &["state"]),
            start_wait_s: all.histograms(
                "start_wait_seconds",
                "Age of the job at the start of a task.",
                &["priority"],
                &BUCKETS,
            ),
            advice: all.counters("advice_total", "Calls for advice.", &["outcome"]),
            advice_failures: all.counters(
                "advice_failures_total",
                "Failed calls for advice.",
                &["cause"],
            ),
            advice_hosts: all.gauge("advice_hosts", "Hosts that can make calls for advice."),
            advice_busy_ms: all.counters(
                "advice_busy_milliseconds_total",
                "Time that hosts spend on calls for advice.",
                &["class"],
            ),
            advice_waiting_steps: all
                .gauge("advice_waiting_steps", "Steps that wait for a free call for advice."),
            advice_wait_s: all.histograms(
                "advice_wait_seconds",
                "Time for which a step has waited since its last call for advice.",
                &["class"],
                &BUCKETS,
            ),
            log_writes: all.counters("log_writes_total", "Writes of the log.", &["outcome"]),
            log_write_s: all.histograms(
                "log_write_seconds",
                "Time until a page of the log is certain.",
                &[],
                &BUCKETS,
            ),
            claims: all.counters("claims_total", "Claims of the workers.", &["why", "outcome"]),
            confirmations: all.counters(
                "ownership_confirmations_total",
                "Attempts to confirm the ownership, besides writes of the log.",
                &["by", "outcome"],
            ),
            polls: all.counters("looks_total", "Looks at workers.", &["outcome"]),
            team_past_use_s: all.gauges(
                "team_past_use_seconds",
                "Decayed use of a team, in seconds of the whole capacity.",
                &["team"],
            ),
            team_usage_factor: all.gauges(
                "team_usage_factor",
                "What a team is entitled to as a part of what it has used, 0.5 to 1.",
                &["team"],
            ),
            executor_orders: all.counters(
                "executor_orders_total",
                "Orders given to peers that call workers for the owner.",
                &["outcome"],
            ),
            executor_batches: all.counters(
                "executor_batches_total",
                "Batches of orders between the owner and its executors.",
                &["outcome"],
            ),
            executors: all.gauge("executors", "Peers that call workers for the owner."),
            executor_lag_s: all.histograms(
                "executor_lag_seconds",
                "Time from a batch of orders to its receipt.",
                &[],
                &BUCKETS,
            ),
            epoch: all.gauge("owner_epoch", "Epoch of the owner that is known."),
            config: all.gauge("config_version", "Version of the configuration in force."),
            config_known: all.gauge(
                "config_known_version",
                "Highest version of the configuration that another process has in force.",
            ),
            config_transfers: all.counters(
                "config_transfers_total",
                "Attempts to receive a configuration.",
                &["origin", "outcome"],
            ),
            evacuated_domains: all
                .gauge("evacuated_domains", "Evacuated failure domains that are known here."),
            skipped_entries: all.counters(
                "worker_entries_skipped_total",
                "Entries that came to the worker list and name no worker to use.",
                &["reason"],
            ),
            all,
        }
    }
}

/// Serves the metrics until the process exits.
pub(crate) async fn serve(meters: Meters, listener: TcpListener) {
    let all = meters.all.clone();
    let render = move |_: &Request<Incoming>| Response::new(Full::new(Bytes::from(all.render())));
    serve_internal(&meters, listener, render).await;
}
