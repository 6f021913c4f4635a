//! Runs of the tool: the requests that it sends, its output and its exit codes.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::Write;

use support::{AdminState, InjectedAnswer, TestAdmin, run_tool};
use tempfile::NamedTempFile;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const ROTA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/rota.toml");

/// An address that refuses connections.
const CLOSED_ADDRESS: &str = "127.0.0.1:1";

fn write_file(content: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().unwrap();
    file.write_all(content.as_bytes()).unwrap();
    file
}

async fn bind_at(revision: u64, injected: &[InjectedAnswer]) -> TestAdmin {
    let manifest = "group = \"old\"\n".to_owned();
    TestAdmin::bind(AdminState {
        revision,
        manifest,
        injected: injected.to_vec(),
        ..Default::default()
    })
    .await
}

#[tokio::test]
async fn check_needs_no_instance() {
    let run = run_tool(CLOSED_ADDRESS, &["check", ROTA]).await;
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.contains("65 models, 75 adapters"), "{run:?}");
}

#[tokio::test]
async fn check_reports_fault_positions() {
    let file = write_file("group = \"g\"\nrnak = 1\n");
    let path = file.path().to_str().unwrap();
    let run = run_tool(CLOSED_ADDRESS, &["check", path]).await;
    assert_eq!(run.code, 4, "{run:?}");
    assert!(run.out.contains(&format!("{path}:2:1: unknown section or key `rnak`")), "{run:?}");
    let run = run_tool(CLOSED_ADDRESS, &["check", "--json", path]).await;
    assert!(run.out.contains("\"line\":2,\"column\":1"), "{run:?}");
}

#[tokio::test]
async fn apply_faulty_manifest_sends_nothing() {
    let admin = bind_at(7, &[]).await;
    let file = write_file("group = \"g\"\n");
    let run = admin.run(&["apply", file.path().to_str().unwrap()]).await;
    assert_eq!((run.code, admin.requests().len()), (4, 0), "{run:?}");
}

#[tokio::test]
async fn apply_sends_newest_revision_and_key() {
    let admin = bind_at(7, &[]).await;
    let run = admin.run(&["apply", ROTA]).await;
    assert_eq!((run.code, run.out.as_str()), (0, "revision=8 hash=abcd\n"), "{run:?}");
    let puts = admin.puts();
    assert_eq!(puts[0].base.as_deref(), Some("\"7\""));
    assert_eq!(puts[0].body, std::fs::read_to_string(ROTA).unwrap());
    assert!(run.err.contains(&format!("key={}", puts[0].key.as_ref().unwrap())), "{run:?}");
}

#[tokio::test]
async fn apply_lost_answers_resends_the_same_key() {
    let admin = bind_at(7, &[InjectedAnswer::Lost, InjectedAnswer::Lost]).await;
    let run = admin.run(&["apply", ROTA]).await;
    assert_eq!((run.code, run.out.as_str()), (0, "revision=8 hash=abcd\n"), "{run:?}");
    let puts = admin.puts();
    assert_eq!(puts.len(), 3);
    assert!(puts.iter().all(|put| *put == puts[0]), "{puts:?}");
}

#[tokio::test]
async fn apply_all_answers_lost_prints_retry_flags() {
    let admin = bind_at(7, &[InjectedAnswer::Lost; 2]).await;
    let run = admin.run(&["--retries", "1", "apply", ROTA]).await;
    assert_eq!(run.code, 3, "{run:?}");
    let key = admin.puts()[0].key.clone().unwrap();
    assert!(run.err.contains(&format!("--base 7 --key {key}")), "{run:?}");
    let again = admin.run(&["apply", ROTA, "--base", "7", "--key", &key]).await;
    assert_eq!((again.code, again.out.as_str()), (0, "revision=8 hash=abcd\n"), "{again:?}");
    assert_eq!(admin.state.lock().unwrap().revision, 8);
}

#[tokio::test]
async fn apply_server_error_after_lost_answer_is_unknown() {
    let injected = [InjectedAnswer::Lost, InjectedAnswer::Status(503, "busy")];
    let run = bind_at(7, &injected).await.run(&["--retries", "1", "apply", ROTA]).await;
    assert_eq!(run.code, 3, "{run:?}");
    let failed = bind_at(7, &[InjectedAnswer::Status(500, "no")]).await.run(&["apply", ROTA]).await;
    assert_eq!(failed.code, 3, "{failed:?}");
}

#[tokio::test]
async fn apply_status_504_is_retried() {
    let unknown = InjectedAnswer::Status(504, "{\"error\":\"may have been accepted\"}");
    let admin = bind_at(7, &[unknown]).await;
    let run = admin.run(&["apply", ROTA]).await;
    let puts = admin.puts();
    assert_eq!((run.code, puts.len()), (0, 2), "{run:?}");
    assert_eq!(puts[0], puts[1]);
    let busy = InjectedAnswer::Status(503, "{\"error\":\"no leader\"}");
    let run = bind_at(7, &[unknown, busy]).await.run(&["--retries", "1", "apply", ROTA]).await;
    assert_eq!(run.code, 3, "{run:?}");
}

#[tokio::test]
async fn apply_busy_server_is_retried_then_fails() {
    let busy = InjectedAnswer::Status(503, "{\"error\":\"no leader\"}");
    let admin = bind_at(7, &[busy]).await;
    let run = admin.run(&["apply", ROTA]).await;
    assert_eq!((run.code, admin.puts().len()), (0, 2), "{run:?}");
    let run = bind_at(7, &[busy; 2]).await.run(&["--retries", "1", "apply", ROTA]).await;
    assert_eq!(run.code, 1, "{run:?}");
    assert!(run.err.contains("no leader"), "{run:?}");
}

#[tokio::test]
async fn apply_outdated_base_reports_newest_revision() {
    let admin = bind_at(9, &[]).await;
    let run = admin.run(&["apply", ROTA, "--base", "7"]).await;
    assert_eq!(run.code, 5, "{run:?}");
    assert!(run.err.contains("revision 9 is in force"), "{run:?}");
    assert_eq!(admin.puts().len(), 1);
}

#[tokio::test]
async fn apply_prints_faults_from_server() {
    let list = r#"[{"line":3,"column":4,"problem":"wrong","remedy":"mend it"}]"#;
    let wrapped =
        r#"{"error":"f","faults":[{"line":3,"column":4,"problem":"wrong","remedy":"mend it"}]}"#;
    for body in [list, wrapped] {
        let run =
            bind_at(7, &[InjectedAnswer::Status(422, body)]).await.run(&["apply", ROTA]).await;
        assert_eq!(run.code, 4, "{run:?}");
        assert!(run.out.ends_with("rota.toml:3:4: wrong; mend it\n"), "{run:?}");
    }
    let reused = InjectedAnswer::Status(422, r#"{"error":"the key belongs to another request"}"#);
    let run = bind_at(7, &[reused]).await.run(&["apply", ROTA]).await;
    assert_eq!(run.code, 1, "{run:?}");
}

#[tokio::test]
async fn apply_refused_by_server() {
    let run =
        bind_at(7, &[InjectedAnswer::Status(403, "not you")]).await.run(&["apply", ROTA]).await;
    assert_eq!(run.code, 1, "{run:?}");
    assert!(run.err.contains("403: not you"), "{run:?}");
}

#[tokio::test]
async fn apply_wait_ends_when_last_instance_is_active() {
    let admin = bind_at(7, &[]).await;
    admin.state.lock().unwrap().lagging_polls = 3;
    let run = admin.run(&["apply", "--wait", ROTA]).await;
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.contains("revision=8 instances=2 in_force_ms="), "{run:?}");
    let polls = admin.requests().iter().filter(|request| request.line.ends_with("status")).count();
    assert_eq!(polls, 4);
}

#[tokio::test]
async fn apply_wait_names_lagging_instances() {
    let admin = bind_at(7, &[]).await;
    admin.state.lock().unwrap().lagging_polls = usize::MAX;
    let run = admin.run(&["apply", "--wait", "--wait-limit", "2000", ROTA]).await;
    assert_eq!(run.code, 3, "{run:?}");
    assert!(run.err.contains("not yet in force at isan-b1"), "{run:?}");
}

#[tokio::test]
async fn status_and_wait_report_unreachable_instances() {
    let admin = bind_at(7, &[]).await;
    admin.state.lock().unwrap().has_unreachable = true;
    let run = admin.run(&["status"]).await;
    assert!(run.out.contains("instance isan-c1 unreachable\n"), "{run:?}");
    let run = admin.run(&["apply", "--wait", "--wait-limit", "2000", ROTA]).await;
    assert_eq!(run.code, 3, "{run:?}");
    assert!(run.err.ends_with("in force at isan-c1 (unreachable)\n"), "{run:?}");
}

#[tokio::test]
async fn apply_unreachable_endpoint_uses_the_next() {
    let admin = bind_at(7, &[]).await;
    let both = format!("{CLOSED_ADDRESS},{}", admin.address);
    let run = run_tool(&both, &["apply", ROTA]).await;
    assert_eq!(run.code, 0, "{run:?}");
    let run = run_tool(CLOSED_ADDRESS, &["--retries", "1", "apply", "--base", "7", ROTA]).await;
    assert_eq!(run.code, 3, "{run:?}");
    assert!(run.err.contains("not reached"), "{run:?}");
}

#[tokio::test]
async fn token_from_file_sent_and_never_printed() {
    let admin = bind_at(7, &[]).await;
    let file = write_file("swordfish\n");
    let run = admin.run(&["--token-file", file.path().to_str().unwrap(), "apply", ROTA]).await;
    let bearer = Some("Bearer swordfish".to_owned());
    assert!(admin.requests().iter().all(|request| request.authorization == bearer));
    assert!(!format!("{run:?}").contains("swordfish"));
}

#[tokio::test]
async fn show_prints_only_the_manifest() {
    let admin = bind_at(7, &[]).await;
    let run = admin.run(&["show"]).await;
    assert_eq!((run.out.as_str(), run.err.as_str()), ("group = \"old\"\n", "revision=7\n"));
    let run = admin.run(&["show", "--json"]).await;
    assert_eq!(run.out, "{\"revision\":7,\"text\":\"group = \\\"old\\\"\\n\"}\n");
}

#[tokio::test]
async fn status_lists_instances_and_engines() {
    let run = bind_at(7, &[]).await.run(&["status"]).await;
    assert!(run.out.starts_with("instance=isan-a1 data_centre=isan-a revision=7 role=leader"));
    assert!(run.out.contains("instance isan-b1 data_centre=isan-b revision=7 age=40ms\n"));
    assert!(
        run.out.contains("engine   e1 state=up owner=isan-a1 models=guide@2:loaded\n"),
        "{run:?}"
    );
}

#[tokio::test]
async fn other_commands_send_their_requests() {
    let admin = bind_at(7, &[]).await;
    for arguments in [
        &["drain"][..],
        &["explain", "org/guide:thai"],
        &["voter", "list"],
        &["voter", "add", "isan-b1"],
        &["voter", "remove", "isan-c1"],
    ] {
        let run = admin.run(arguments).await;
        assert_eq!(run.code, 0, "{run:?}");
    }
    let requests = admin.requests();
    let lines: Vec<_> =
        requests.iter().map(|request| format!("{} {}", request.line, request.body)).collect();
    let expected = [
        "POST /admin/v1/drain ",
        "GET /admin/v1/explain?q=org/guide:thai ",
        "GET /admin/v1/voters ",
        "POST /admin/v1/voters {\"add\":\"isan-b1\"}",
        "POST /admin/v1/voters {\"remove\":\"isan-c1\"}",
    ];
    assert_eq!(lines, expected);
}

#[tokio::test]
async fn wrong_usage_exits_with_2() {
    for arguments in [
        &[][..],
        &["chekc", "x"],
        &["--no-such-flag", "show"],
        &["--timeout", "soon", "show"],
        &["--endpoint", "localhost:80", "show"],
        &["--endpoint", "127.0.0.1:1,127.0.0.1:2", "drain"],
        &["--key", "", "apply", ROTA],
        &["explain", "a b"],
        &["check", "/no/such/file"],
    ] {
        let run = run_tool(CLOSED_ADDRESS, arguments).await;
        assert_eq!(run.code, 2, "{arguments:?} {run:?}");
        assert!(run.err.starts_with("wisteriactl: "), "{run:?}");
    }
}

#[tokio::test]
async fn help_lists_flags_with_environment_and_default() {
    let run = run_tool(CLOSED_ADDRESS, &["--help"]).await;
    assert_eq!(run.code, 0);
    for part in [
        "--endpoint ADDR[,ADDR]",
        "[environment WISTERIAWHEEL_ENDPOINT, default 127.0.0.1:8081]",
        "time for one answer, in milliseconds",
        "  5  conflict",
    ] {
        assert!(run.out.contains(part), "{part} isn't in {}", run.out);
    }
}

/// An accepted text gets a revision after the one that it was edited from.
#[tokio::test]
async fn apply_answered_with_an_earlier_revision_is_unknown() {
    for answer in [r#"{"revision":7,"hash":"abcd"}"#, r#"{"revision":3}"#, "{}", ""] {
        let admin = bind_at(7, &[InjectedAnswer::Status(200, answer)]).await;
        let run = admin.run(&["apply", ROTA]).await;
        assert_eq!((run.code, run.out.as_str()), (3, ""), "{answer}: {run:?}");
        assert!(run.err.contains("apply again with --base 7 --key "), "{answer}: {run:?}");
    }
}

/// Answers each connection with `answer` and closes it.
async fn bind_raw(answer: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = vec![0; 4_096];
            let _read = stream.read(&mut request).await;
            let _written = stream.write_all(answer.as_bytes()).await;
        }
    });
    address.to_string()
}

/// A text cut between two sections is a valid one with less in it.
#[tokio::test]
async fn show_text_that_may_be_cut_is_no_text() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\netag: \"7\"\r\n";
    let bodies = [
        "content-length: 40\r\n\r\ngroup = \"old\"\n",
        "transfer-encoding: chunked\r\n\r\ne\r\ngroup = \"old\"\n\r\n",
        "\r\ngroup = \"old\"\n",
    ];
    for body in bodies {
        let answer: &'static str = Box::leak(format!("{HEAD}{body}").into_boxed_str());
        let endpoint = bind_raw(answer).await;
        let run = run_tool(&endpoint, &["show", "--retries", "0"]).await;
        assert_eq!((run.code, run.out.as_str()), (3, ""), "{body:?}: {run:?}");
    }
}
