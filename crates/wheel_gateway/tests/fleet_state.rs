//! Which configurations an ingress instance adopts, and which upstreams it sends to.

use std::time::Duration;

use wheel_gateway::FleetState;
use wheel_route::{EngineId, EngineInfo, FleetConfig, FleetView, UpstreamState};

fn engine_info(name: &str, state: UpstreamState) -> EngineInfo {
    EngineInfo {
        id: EngineId { name: name.into(), started_unix_ms: 1 },
        service: "s".into(),
        address: ([127, 0, 0, 1], 9).into(),
        centre: "here".into(),
        slots: 4,
        state,
        models: Vec::new(),
    }
}

#[test]
fn adopt_leaves_older_configurations() {
    let state = FleetState::default();
    let config = |version| FleetConfig { version, ..FleetConfig::default() };
    assert!(state.adopt(config(5)));
    assert_eq!(state.prepare_sync("me".into()).version, 5);
    assert!(!state.adopt(config(4)));
    assert!(!state.adopt(config(5)));
    assert_eq!(state.version(), 5);
    assert!(state.adopt(config(6)));
}

#[test]
fn ready_places_leave_out_upstreams_that_leave() {
    let state = FleetState::default();
    let states = [UpstreamState::Ready, UpstreamState::Draining, UpstreamState::Ready];
    let named = ["u1", "u2", "u3"].into_iter().zip(states);
    let engines = named.map(|(name, state)| engine_info(name, state)).collect();
    let view = FleetView { engines, ..FleetView::default() };
    assert_eq!(state.ready_indices(&view, "s"), [0, 2]);
    state.record_leaving(&view.engines[0].id);
    assert_eq!(state.ready_indices(&view, "s"), [2]);
    assert_eq!(state.ready_indices(&view, "other"), Vec::<usize>::new());
}

#[tokio::test(start_paused = true)]
async fn announced_leaving_outlasts_a_view_that_doesnt_show_it() {
    // A view can be old for long, for example behind a cut; the upstream's own word counts.
    let state = FleetState::default();
    let engines = vec![engine_info("u1", UpstreamState::Ready)];
    let view = FleetView { engines, ..FleetView::default() };
    state.record_announced_leaving(&view.engines[0].id);
    state.record_leaving(&view.engines[0].id);
    tokio::time::advance(Duration::from_secs(60)).await;
    assert_eq!(state.ready_indices(&view, "s"), Vec::<usize>::new());
    assert_eq!(state.prepare_sync("me".into()).leaving.len(), 1);
    let mut restarted = view.clone();
    restarted.engines[0].id.started_unix_ms = 2;
    assert_eq!(state.ready_indices(&restarted, "s"), [0]);
}

#[tokio::test(start_paused = true)]
async fn leaving_reports_end_with_their_lifetime() {
    // Control instances take a reported upstream out for all ingress instances.
    let state = FleetState::default();
    let leaving = engine_info("u1", UpstreamState::Ready);
    state.record_leaving(&leaving.id);
    assert_eq!(state.prepare_sync("me".into()).leaving, [leaving.id]);
    tokio::time::advance(Duration::from_secs(6)).await;
    assert_eq!(state.prepare_sync("me".into()).leaving, []);
}
