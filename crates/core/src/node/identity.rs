//! The identity of a scheduler process as a member.
//!
//! A process that was fenced rejoins under a new incarnation, so that messages to the
//! old member and writes about it never apply to the new one.

use std::collections::BTreeSet;

use sycamore_types::{Name, id};

use crate::member::{Record, Role};

/// The identity of a scheduler process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Name from the settings, and incarnation. The incarnation is drawn at random at each
    /// start.
    pub member: id::Member,
    /// IP address and port at which peers reach the process.
    pub address: Name,
    /// Failure domain that the process runs in.
    pub failure_domain: Name,
}

impl Identity {
    /// Returns the first member record of the process.
    pub(crate) fn record(&self) -> Record {
        Record {
            member: self.member.clone(),
            role: Role::Scheduler,
            address: self.address.clone(),
            failure_domain: self.failure_domain.clone(),
            renewals: 0,
            peers: BTreeSet::new(),
            confirmed: 0,
            has_unlogged: false,
            is_leaving: false,
            fenced_by: None,
        }
    }

    /// Returns the identity under which the process rejoins after it was fenced.
    pub(crate) fn next_incarnation(&self) -> Identity {
        let member = id::Member {
            name: self.member.name.clone(),
            incarnation: self.member.incarnation.wrapping_add(1),
        };
        Identity { member, ..self.clone() }
    }
}
