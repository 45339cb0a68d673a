//! Tests of the engine in a simulation of its log, its callers and the hosts' workers.

mod advice;
mod broken_gangs;
mod call_turns;
mod capacity;
mod clearing;
mod crashes;
mod evacuation;
mod fixture;
mod foreign_entries;
mod fuzz;
mod gangs;
mod jobs;
mod large_site;
mod oracle;
mod overload;
mod past_use;
mod preemption;
mod rebirth;
mod regression;
mod replaced_owner;
mod shares;
mod silence;
mod store_outage;
mod takeover;
mod worker;
mod world;
