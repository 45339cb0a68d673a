//! The soak's own tests: the checker, the draw of rounds, and real rounds.

mod breakage;
mod checking;
mod options;
mod regression;
mod round;
mod scenario;
