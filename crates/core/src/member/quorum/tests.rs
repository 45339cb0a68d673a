//! Checks of the overlap that makes takeovers safe.

use super::*;

#[test]
fn every_promise_quorum_intersects_every_takeover_quorum() {
    for peers in 1..64 {
        let promises = to_continue(peers).expect("there are peers");
        assert!(promises + to_take_over(peers) > peers, "{peers} peers");
        assert!(to_take_over(peers) <= peers, "{peers} peers");
    }
}
