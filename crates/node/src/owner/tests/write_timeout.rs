//! Time limits of log writes, by the size of the page and the host's link.

use std::time::Duration;

use super::super::write_timeout::WriteTimeout;

/// The largest page, in base64.
const LARGE_PAGE: usize = 512 * 1024;

/// Four writes share the link.
fn timeouts(link_mbps: f64) -> WriteTimeout {
    WriteTimeout::new(link_mbps, 4)
}

/// Incident inc1, found in another place: a limit of 450 ms on pages that need longer.
#[test]
fn four_large_pages_have_time_to_pass_the_slowest_links() {
    for (link_mbps, all_pages_s) in [(10.0, 1.68), (2.0, 8.39)] {
        let timeout = timeouts(link_mbps).of(LARGE_PAGE, 0);
        assert!(timeout > Duration::from_secs_f64(all_pages_s), "{link_mbps}: {timeout:?}");
    }
}

#[test]
fn a_lost_response_to_a_small_page_is_noticed_quickly() {
    assert!(timeouts(200.0).of(4_096, 0) < Duration::from_millis(460));
    assert!(timeouts(10.0).of(4_096, 0) < Duration::from_millis(470));
}

#[test]
fn a_link_that_other_traffic_fills_is_given_more_time_with_each_failure() {
    let timeouts = timeouts(10.0);

    assert!(timeouts.of(LARGE_PAGE, 1) > Duration::from_secs_f64(2.0 * 1.67));
    assert_eq!(timeouts.of(LARGE_PAGE, 50), timeouts.of(LARGE_PAGE, 3));
}

#[test]
fn a_link_without_a_usable_bandwidth_in_the_settings_has_finite_limits() {
    assert_eq!(timeouts(f64::INFINITY).of(LARGE_PAGE, 0), timeouts(100.0).of(LARGE_PAGE, 0));
    assert_eq!(timeouts(0.0).of(LARGE_PAGE, 0), timeouts(0.5).of(LARGE_PAGE, 0));
}
