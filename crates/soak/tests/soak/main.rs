//! The soak's own tests: the judge, the draw of rounds, and real rounds.

mod breakage;
mod judging;
mod regression;
mod round;
mod scenario;
