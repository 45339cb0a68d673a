//! The help text of `sycamorectl`.

/// Help text, to which the list of options is appended.
pub(crate) const USAGE: &str = "\
Steers a deployment of sycamorechute.

Usage:
  sycamorectl [OPTIONS] apply FILE            replace the configuration by a TOML file
  sycamorectl [OPTIONS] diff FILE             show what apply would change
  sycamorectl [OPTIONS] get                   print the configuration as TOML
  sycamorectl [OPTIONS] team NAME [weight=N] [limit=N] [urgent=BOOL]
  sycamorectl [OPTIONS] queue NAME team=TEAM [open=BOOL] [selector=SELECTOR]
  sycamorectl [OPTIONS] label HOST KEY=VALUE... [KEY-...]
  sycamorectl [OPTIONS] drain HOST            give the host no new work
  sycamorectl [OPTIONS] undrain HOST          give it work again
  sycamorectl [OPTIONS] key create NAME TEAM  make a key; it is printed once
  sycamorectl [OPTIONS] key withdraw NAME     stop a key
  sycamorectl [OPTIONS] status                show processes, shards and hosts
  sycamorectl [OPTIONS] explain JOB           say how far a job is and why it waits
  sycamorectl [OPTIONS] heads                 print the heads of decision chains, for sycamore-audit

Every change names the revision it was based on; if somebody else was quicker
nothing is changed and the exit code is 4. A change is reported with its new
revision and the number of processes that have it in force.

Exit codes: 0 done, 1 refused, 2 bad usage or file, 3 no entry process reached,
4 conflict with another operator.";
