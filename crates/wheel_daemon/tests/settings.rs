//! The daemon's settings: their sources, the checks on them, and the exit codes.

#![allow(clippy::expect_used, clippy::unwrap_used)]

use std::net::TcpListener;
use std::path::Path;
use std::time::Duration;

use support::{ServingDaemon, run_daemon, send_request};
use wheel_daemon::{DaemonSettings, SettingFault, SettingsReader, SettingsRequest};

mod support;

const NEEDED: [&str; 8] =
    ["--instance", "a1", "--data-centre", "a", "--group", "g", "--control", "c1"];
const CONTROL_PEER: &str = "c1@c=127.0.0.1:7500/127.0.0.1:7501";
const MANIFEST: &str = include_str!("../../../examples/minimal.toml");

fn read(
    arguments: &[&str],
    environment: &[(&str, &str)],
) -> Result<SettingsRequest, Vec<SettingFault>> {
    let arguments: Vec<String> = arguments.iter().map(|word| (*word).to_owned()).collect();
    SettingsReader::read(&arguments, |name| {
        let found = environment.iter().find(|(variable, _)| *variable == name);
        found.map(|(_, value)| (*value).to_owned())
    })
}

fn read_settings(arguments: &[&str], environment: &[(&str, &str)]) -> DaemonSettings {
    match read(arguments, environment) {
        Ok(SettingsRequest::Run(settings)) => *settings,
        other => panic!("no settings to run with: {other:?}"),
    }
}

fn faulty_flags(arguments: &[&str], environment: &[(&str, &str)]) -> Vec<String> {
    let faults = read(arguments, environment).expect_err("the settings have faults");
    faults.into_iter().map(|fault| fault.flag).collect()
}

fn with_needed<'a>(arguments: &[&'a str]) -> Vec<&'a str> {
    let peers = ["--peers", CONTROL_PEER];
    NEEDED.iter().chain(&peers).chain(arguments).copied().collect()
}

#[test]
fn read_needed_flags_alone_gives_the_documented_defaults() {
    let settings = read_settings(&with_needed(&[]), &[]);
    assert_eq!(settings.listen.to_string(), "127.0.0.1:8080");
    assert_eq!(settings.admin_listen.to_string(), "127.0.0.1:8081");
    assert_eq!(settings.peer_listen.to_string(), "127.0.0.1:7400");
    assert_eq!(settings.relay_listen.to_string(), "127.0.0.1:7401");
    assert_eq!(settings.drain_limit, Duration::from_secs(600));
    assert_eq!(settings.order_life, Duration::from_secs(5));
    assert_eq!(settings.lease_term, Duration::from_secs(6));
    assert_eq!(settings.min_residence, Duration::from_secs(60));
    assert_eq!(settings.open_requests, 8_192);
    assert_eq!(settings.max_body, 4_194_304);
    assert!((1..=8).contains(&settings.workers));
    assert!(!settings.is_control());
}

#[test]
fn read_environment_alone_is_enough() {
    let environment = [
        ("WISTERIAWHEEL_INSTANCE", "a1"),
        ("WISTERIAWHEEL_DATA_CENTRE", "a"),
        ("WISTERIAWHEEL_GROUP", "g"),
        ("WISTERIAWHEEL_CONTROL", "c1"),
        ("WISTERIAWHEEL_PEERS", CONTROL_PEER),
        ("WISTERIAWHEEL_LEASE_TERM", "2.5"),
    ];
    let settings = read_settings(&[], &environment);
    assert_eq!(settings.instance.as_str(), "a1");
    assert_eq!(settings.centre.as_str(), "a");
    assert_eq!(settings.lease_term, Duration::from_millis(2_500));
}

#[test]
fn read_flag_and_environment_flag_goes_first() {
    let environment = [("WISTERIAWHEEL_INSTANCE", "b1"), ("WISTERIAWHEEL_WORKERS", "3")];
    let settings = read_settings(&with_needed(&[]), &environment);
    assert_eq!(settings.instance.as_str(), "a1");
    assert_eq!(settings.workers, 3);
}

#[test]
fn read_bad_values_names_all_at_once() {
    let arguments = [
        "--data-centre=a",
        "--control=c1",
        "--listen=nowhere",
        "--order-life=-1",
        "--open-requests=0",
        "--log-level=loud",
        "--peers=b1",
        "--secret-file=/nowhere/secret",
    ];
    let mut flags = faulty_flags(&arguments, &[("WISTERIAWHEEL_WORKERS", "many")]);
    flags.sort();
    let expected = [
        "group",
        "instance",
        "listen",
        "log-level",
        "open-requests",
        "order-life",
        "peers",
        "secret-file",
        "workers",
    ];
    assert_eq!(flags, expected);
}

#[test]
fn read_settings_that_clash_names_all_at_once() {
    let arguments = [
        "--instance=c1",
        "--data-centre=a",
        "--group=g",
        "--control=c1,c9",
        "--peers=c1@b=127.0.0.1:1/127.0.0.1:2,c1@b=127.0.0.1:1/127.0.0.1:2",
    ];
    let flags = faulty_flags(&arguments, &[]);
    assert_eq!(flags, ["data-folder", "peers", "peers", "control"]);
}

#[test]
fn read_control_without_data_folder_is_refused() {
    let arguments =
        ["--instance=c1", "--data-centre=c", "--group=g", "--control=c1", "--log-level=info"];
    assert_eq!(faulty_flags(&arguments, &[]), ["data-folder"]);
    let given = [("WISTERIAWHEEL_DATA_FOLDER", "/srv/wheel")];
    assert!(read_settings(&arguments, &given).is_control());
}

#[test]
fn read_public_addresses_need_secret_and_token() {
    let public = [
        "--peer-listen=0.0.0.0:7400",
        "--relay-listen=10.0.0.1:7401",
        "--admin-listen=[::]:8081",
        "--listen=0.0.0.0:8080",
    ];
    let flags = faulty_flags(&with_needed(&public), &[]);
    assert_eq!(flags, ["peer-listen", "relay-listen", "admin-listen"]);

    let folder = tempfile::tempdir().unwrap();
    let (secret, token) = (folder.path().join("secret"), folder.path().join("token"));
    std::fs::write(&secret, "s3cret\n").unwrap();
    std::fs::write(&token, "t0ken\n").unwrap();
    let environment = [
        ("WISTERIAWHEEL_SECRET_FILE", secret.to_str().unwrap()),
        ("WISTERIAWHEEL_ADMIN_TOKEN_FILE", token.to_str().unwrap()),
    ];
    let settings = read_settings(&with_needed(&public), &environment);
    assert_eq!(settings.secret.as_deref(), Some(b"s3cret".as_slice()));
    assert!(settings.admin_token_hash.is_some());
}

#[test]
fn read_empty_secret_file_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let secret = folder.path().join("secret");
    std::fs::write(&secret, " \n").unwrap();
    let environment = [("WISTERIAWHEEL_SECRET_FILE", secret.to_str().unwrap())];
    assert_eq!(faulty_flags(&with_needed(&[]), &environment), ["secret-file"]);
}

#[test]
fn help_lists_each_setting_with_its_variable_default_and_unit() {
    let output = run_daemon(&["--help"], &[]);
    assert_eq!(output.status.code(), Some(0));
    let help = String::from_utf8(output.stdout).unwrap();
    // The help wraps lines, so only words are compared.
    let words = help.split_whitespace().collect::<Vec<_>>().join(" ");
    for flag in help.split_whitespace().filter_map(|word| word.strip_prefix("--")) {
        let variable = format!("[WISTERIAWHEEL_{}]", flag.replace('-', "_").to_uppercase());
        let plain = ["check-settings", "help", "version"].contains(&flag.trim_end_matches(','));
        assert!(plain || words.contains(&variable), "--{flag} has no variable");
    }
    assert!(words.contains("--lease-term SECONDS length of a data centre's lease (default 6)"));
    assert!(words.contains("--max-body BYTES largest body of a request (default 4194304)"));
}

#[test]
fn exit_unknown_flag_or_word_is_2() {
    for wrong in ["--instnace=a1", "start"] {
        let output = run_daemon(&with_needed(&[wrong]), &[]);
        assert_eq!(output.status.code(), Some(2), "{wrong}");
        let errors = String::from_utf8(output.stderr).unwrap();
        let name = wrong.trim_start_matches('-').split('=').next().unwrap();
        assert!(errors.contains(name), "{errors}");
    }
}

#[test]
fn exit_faults_are_printed_a_line_each_with_2() {
    let output = run_daemon(&["--listen=x", "--check-settings"], &[]);
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8(output.stderr).unwrap();
    let flags = ["--instance:", "--data-centre:", "--group:", "--control:", "--listen:"];
    for flag in flags {
        assert_eq!(errors.matches(flag).count(), 1, "{flag} in {errors}");
    }
    assert_eq!(errors.lines().count(), flags.len());
}

#[test]
fn exit_check_settings_only_checks_with_0() {
    // A daemon that started would find its port taken and would create its data folder.
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = taken.local_addr().unwrap().to_string();
    let folder = tempfile::tempdir().unwrap();
    let data = folder.path().join("data");
    let arguments = control_arguments(&data, &listen);
    let mut arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    arguments.push("--check-settings");
    let output = run_daemon(&arguments, &[]);
    assert_eq!(output.status.code(), Some(0));
    assert!(!data.exists());
}

#[test]
fn exit_taken_port_is_1() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = taken.local_addr().unwrap().to_string();
    let folder = tempfile::tempdir().unwrap();
    let arguments = control_arguments(&folder.path().join("data"), &listen);
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let output = run_daemon(&arguments, &[]);
    assert_eq!(output.status.code(), Some(1));
    let errors = String::from_utf8(output.stderr).unwrap();
    assert!(errors.contains("event=daemon_not_started"), "{errors}");
}

#[test]
fn exit_after_terminate_without_work_is_0() {
    let folder = tempfile::tempdir().unwrap();
    let mut daemon = spawn_control(folder.path(), &[]);
    daemon.terminate();
    assert_eq!(daemon.wait(), Some(0));
}

#[test]
fn exit_after_drain_limit_with_an_open_request_is_3() {
    let folder = tempfile::tempdir().unwrap();
    let mut daemon = spawn_control(folder.path(), &["--drain-limit=1"]);
    let request = hold_request(&mut daemon);
    daemon.terminate();
    assert_eq!(daemon.wait(), Some(3));
    drop(request);
}

#[test]
fn exit_after_second_signal_with_an_open_request_is_3() {
    let folder = tempfile::tempdir().unwrap();
    let mut daemon = spawn_control(folder.path(), &[]);
    let request = hold_request(&mut daemon);
    daemon.terminate();
    daemon.wait_for("drain_started");
    daemon.terminate();
    assert_eq!(daemon.wait(), Some(3));
    drop(request);
}

/// A group of one control instance.
fn control_arguments(data: &Path, listen: &str) -> Vec<String> {
    let data = data.to_str().unwrap();
    ["instance=c1", "data-centre=c", "group=minimal", "control=c1", "workers=2"]
        .into_iter()
        .map(|setting| format!("--{setting}"))
        .chain([format!("--data-folder={data}"), format!("--listen={listen}")])
        .chain(
            ["admin-listen", "peer-listen", "relay-listen"]
                .map(|flag| format!("--{flag}=127.0.0.1:0")),
        )
        .collect()
}

fn spawn_control(folder: &Path, more: &[&str]) -> ServingDaemon {
    let arguments = control_arguments(&folder.join("data"), "127.0.0.1:0");
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).chain(more.to_vec()).collect();
    ServingDaemon::spawn(&arguments)
}

/// Submits a manifest, sends a request without its body, and waits until the daemon requests the
/// body.
fn hold_request(daemon: &mut ServingDaemon) -> std::net::TcpStream {
    let head = format!(
        "PUT /admin/v1/text HTTP/1.1\r\nhost: c1\r\nif-match: \"0\"\r\nidempotency-key: k\r\n\
         content-length: {}",
        MANIFEST.len()
    );
    let (_, status) = send_request(daemon.operators, &head, MANIFEST);
    assert!(status.starts_with("HTTP/1.1 200"), "{status}");
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: c1\r\nwheel-caller: desk\r\n\
                expect: 100-continue\r\ncontent-length: 100";
    let (stream, status) = send_request(daemon.callers, head, "");
    assert!(status.starts_with("HTTP/1.1 100"), "{status}");
    stream
}
