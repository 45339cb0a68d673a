//! Tests of the registry of connections.

mod registry;
