//! The help text of `sycamorectl`.

/// Help text, to which the list of options is appended.
pub(crate) const USAGE: &str = "\
Configures and inspects a deployment of sycamorechute.

Usage:
  sycamorectl [OPTIONS] apply FILE            replace the configuration with a TOML file
  sycamorectl [OPTIONS] diff FILE             show what apply would change
  sycamorectl [OPTIONS] get                   print the configuration as TOML
  sycamorectl [OPTIONS] team NAME [weight=N] [limit=N] [urgent=BOOL]
  sycamorectl [OPTIONS] queue NAME team=TEAM [open=BOOL] [selector=SELECTOR]
  sycamorectl [OPTIONS] label HOST KEY=VALUE... [KEY-...]
  sycamorectl [OPTIONS] drain HOST            start no new work on the host
  sycamorectl [OPTIONS] undrain HOST          allow new work on the host again
  sycamorectl [OPTIONS] key create NAME TEAM  create an API key; it is printed only once
  sycamorectl [OPTIONS] key withdraw NAME     revoke an API key
  sycamorectl [OPTIONS] status                show processes, shards and hosts
  sycamorectl [OPTIONS] explain JOB           show the progress of a job and why it waits
  sycamorectl [OPTIONS] heads                 print the chain heads of decision records, for sycamore-audit

Every change is based on the revision that was read. If another operator has
changed the configuration since, nothing is written and the exit code is 4.
After a change, the output shows the new revision and the number of processes
that have it in force.

Exit codes: 0 success, 1 refused, 2 bad usage or file, 3 entry process not reachable,
4 conflict with another operator.";
