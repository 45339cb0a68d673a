use super::*;

#[test]
fn every_promise_quorum_meets_every_takeover_quorum() {
    for peers in 1..64 {
        let go_on = to_go_on(peers).expect("there are peers");
        assert!(go_on + to_take_over(peers) > peers, "{peers} peers");
        assert!(to_take_over(peers) <= peers, "{peers} peers");
    }
}
