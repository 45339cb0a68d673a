//! The protocol between processes: its messages, and the server that replies to them.

mod advice_failure;
mod directory;
mod executor;
mod members;
mod message;
mod order;
mod serve;
#[cfg(test)]
mod tests;

pub(crate) use advice_failure::AdviceFailure;
pub(crate) use directory::Directory;
pub(crate) use members::Members;
pub(crate) use message::{
    CallerRequest, Command, Owner, OwnerStatus, Ping, Pong, Reply, RequestOutcome, Role,
};
pub(crate) use order::{
    GATHER_TIME, MAX_BATCH_LEN, MAX_ORDERS_IN_FLIGHT, Order, OrderBatch, OrderResult, ResultBatch,
    WorkerCall, WorkerOutcome,
};
pub(crate) use serve::serve;
