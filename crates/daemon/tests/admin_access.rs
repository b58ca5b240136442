//! Access to the operator API: authentication, invalid requests, audit records of
//! refusals, and secrecy of keys.

#[path = "support/admin_host.rs"]
mod support;

use {
    camphorcove_core::audit::{AuditAction, AuditRecord},
    camphorcove_net::{
        config::{AuditReader, OPERATOR_STREAM},
        operator::{
            ApiCode, ApplyReport, RefusalReason, RequestLine, RequestSignature, StatusReport,
        },
    },
    camphorcove_standin::platform::{PlatformFaults, PlatformStandin},
    rstest::rstest,
    serde_json::{Value, json},
    std::sync::{Mutex, Once},
    support::{AdminHost, STOCKHOLM, key, secret, send_signed, sign},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

const APPLY: RequestLine = RequestLine {
    method: "POST",
    target: "/v1/config/apply?expect=0",
};

async fn start() -> (PlatformStandin, AdminHost) {
    let platform = PlatformStandin::on_any_port().await.unwrap();
    let host = AdminHost::start(&platform, "host-1").await;
    (platform, host)
}

/// Guards against changes by anyone but the configured operators, refusals that are not
/// counted or recorded, and an audit trail that an attacker can flood.
#[tokio::test]
async fn refused_requests_change_nothing_and_are_counted_and_recorded() {
    let (platform, host) = start().await;
    let body = STOCKHOLM.as_bytes();
    let anna = key("anna", 'a');
    let mut outdated = sign(&anna, APPLY, body, 3);
    outdated = RequestSignature::sign(&anna, APPLY, body, outdated.wall_millis - 120_000, [3; 16]);
    let mut forged = sign(&anna, APPLY, body, 4);
    forged.key = "bertil".into();
    let cases = [
        (
            sign(&key("eve", 'a'), APPLY, body, 1),
            RefusalReason::UnknownKey,
            5,
        ),
        (
            sign(&key("anna", 'c'), APPLY, body, 2),
            RefusalReason::WrongSignature,
            4,
        ),
        (forged, RefusalReason::WrongSignature, 1),
        (outdated, RefusalReason::StaleTime, 2),
    ];
    for (request_signature, reason, count) in &cases {
        for _ in 0..*count {
            let (_, error) = send_signed(host.address, request_signature, APPLY, STOCKHOLM).await;
            assert_eq!(error.code, reason.code().number());
        }
    }
    let request_signature = sign(&anna, APPLY, body, 5);
    let (status, error) =
        send_signed(host.address, &request_signature, APPLY, "another body").await;
    assert_eq!((status, error.code), (401, ApiCode::WrongBody.number()));

    let status: StatusReport = host.api(&anna).get("/v1/status").await.unwrap();
    assert_eq!(status.platform.unwrap().0, 0);
    let counted = |name: &str| status.refusals[name];
    let counts = ["unknown_key", "wrong_signature", "stale_time", "wrong_body"].map(counted);
    assert_eq!(counts, [5, 5, 2, 1]);

    host.stop().await;
    let reader = AuditReader::new(platform.client());
    let records = reader.read(OPERATOR_STREAM, 1, 100).await.unwrap().records;
    assert!(
        records.len() <= 2,
        "13 refusals must not make {} records",
        records.len()
    );
    assert_eq!(refused_total(&records), 13);
}

/// Sum of the counts in texts such as `stale_time: 2, unknown_key: 5`.
fn refused_total(records: &[AuditRecord]) -> u64 {
    let mut total = 0;
    for record in records {
        let AuditAction::Refused { reason } = &record.action else {
            continue;
        };
        let counts = reason.split(", ").filter_map(|part| part.split_once(": "));
        total += counts
            .map(|(_, count)| count.parse::<u64>().unwrap())
            .sum::<u64>();
    }
    total
}

/// Guards against a recorded request that takes effect a second time.
#[tokio::test]
async fn a_replayed_request_is_refused() {
    let (_platform, host) = start().await;
    let request_signature = sign(&key("anna", 'a'), APPLY, STOCKHOLM.as_bytes(), 1);

    let first = send_signed(host.address, &request_signature, APPLY, STOCKHOLM).await;
    let second = send_signed(host.address, &request_signature, APPLY, STOCKHOLM).await;

    assert_eq!(first.0, 200);
    assert_eq!(
        (second.0, second.1.code),
        (401, ApiCode::ReplayedNonce.number())
    );
}

/// Guards against invalid requests that crash a host or get a response without a result
/// code.
#[rstest]
#[case::unknown_path("GET", "/v1/nothing", "", ApiCode::NoSuchPath)]
#[case::wrong_method("POST", "/v1/status", "", ApiCode::WrongMethod)]
#[case::missing_parameter("POST", "/v1/config/apply", "", ApiCode::Malformed)]
#[case::bad_parameter("POST", "/v1/config/apply?expect=x", "", ApiCode::Malformed)]
#[case::repeated_parameter("POST", "/v1/config/apply?expect=1&expect=2", "", ApiCode::Malformed)]
#[case::bad_query("GET", "/v1/owner?service=%zz", "", ApiCode::Malformed)]
#[case::bad_json("POST", "/v1/orders", "{", ApiCode::Malformed)]
#[case::unknown_order(
    "POST",
    "/v1/orders",
    r#"{"order":{"order":"explode"},"expect":1,"reason":""}"#,
    ApiCode::Malformed
)]
#[case::long_reason("POST", "/v1/orders", &format!(r#"{{"order":{{"order":"drain","service":"a","server":"b"}},"expect":1,"reason":"{}"}}"#, "x".repeat(501)), ApiCode::Malformed)]
#[case::bad_level(
    "POST",
    "/v1/log-level",
    r#"{"host":"host-1","level":"loud","reason":""}"#,
    ApiCode::Malformed
)]
#[case::other_host(
    "POST",
    "/v1/log-level",
    r#"{"host":"host-9","level":"info","reason":""}"#,
    ApiCode::WrongHost
)]
#[case::bad_anchor(
    "GET",
    "/v1/audit/verify?stream=config&anchor=1",
    "",
    ApiCode::Malformed
)]
#[case::unknown_stream("GET", "/v1/audit?stream=nothing", "", ApiCode::NotFound)]
#[case::no_map("GET", "/v1/owner?service=ledig&key=k", "", ApiCode::NotFound)]
#[case::no_configuration("GET", "/v1/config", "", ApiCode::NotFound)]
#[case::large_file("POST", "/v1/config/apply?expect=0", &format!("{STOCKHOLM}#{}", "x".repeat(3_000_000)), ApiCode::ValueTooLarge)]
#[tokio::test]
async fn an_invalid_request_gets_a_result_code(
    #[case] method: &'static str,
    #[case] target: &str,
    #[case] body: &str,
    #[case] code: ApiCode,
) {
    let (_platform, host) = start().await;
    let api = host.api(&key("anna", 'a'));

    let error = api.send(method, target, body.to_owned()).await.unwrap_err();

    assert_eq!(error.code, code.number(), "{error:?}");
    assert!(api.get::<StatusReport>("/v1/status").await.is_ok());
}

/// Guards against bodies above the size limit that are read into memory.
#[tokio::test]
async fn an_oversized_body_is_refused() {
    let (_platform, host) = start().await;
    let body = vec![b'#'; 3_000_000 + 64 * 1024 + 1];
    let request_signature = sign(&key("anna", 'a'), APPLY, &body, 1);

    let (status, error) = send_signed(host.address, &request_signature, APPLY, body).await;

    assert_eq!((status, error.code), (413, ApiCode::BodyTooLarge.number()));
}

/// Guards against wrong responses to bytes that are not HTTP and to unsigned requests,
/// of which only those for the metrics succeed.
#[rstest]
#[case::not_http("\0\u{1}\u{2}hello\r\n\r\n", "HTTP/1.1 400")]
#[case::no_signature("GET /v1/status HTTP/1.1\r\nhost: x\r\n\r\n", "HTTP/1.1 401")]
#[case::metrics("GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n", "HTTP/1.1 200")]
#[tokio::test]
async fn raw_bytes_are_answered(#[case] bytes: &str, #[case] start_line: &str) {
    let (_platform, host) = start().await;
    let mut stream = TcpStream::connect(host.address).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();

    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();

    let answer = String::from_utf8(answer).unwrap();
    assert!(answer.starts_with(start_line), "{answer}");
}

/// Guards against a confirmation of lost hosts that takes effect without an audit record.
#[tokio::test]
async fn a_confirmation_is_recorded_before_it_takes_effect() {
    let (platform, host) = start().await;
    let api = host.api(&key("anna", 'a'));
    let confirm =
        |epoch: u64| json!({ "service": "ledig", "epoch": epoch, "reason": "fire" }).to_string();

    let accepted: Value = api.post("/v1/confirm-lost", confirm(7)).await.unwrap();
    let refused = api
        .post::<Value>("/v1/confirm-lost", confirm(8))
        .await
        .unwrap_err();

    assert_eq!(accepted["record"], 1);
    assert_eq!(refused.code, ApiCode::LossRefused.number());
    let reader = AuditReader::new(platform.client());
    let records = reader.read(OPERATOR_STREAM, 1, 10).await.unwrap().records;
    let scope = "ledig".to_owned();
    assert_eq!(
        records[0].action,
        AuditAction::LossConfirmed { scope, epoch: 7 }
    );
    assert_eq!((records.len(), records[0].reason.as_str()), (3, "fire"));
    let reason = "record 2: this host does not hold a later epoch".to_owned();
    assert_eq!(records[2].action, AuditAction::Refused { reason });
    platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    let unrecorded = api.post::<Value>("/v1/confirm-lost", confirm(7)).await;
    let code = unrecorded.unwrap_err().code;
    assert_eq!(code, ApiCode::PlatformUnavailable.number());
}

static LOGGED: Mutex<String> = Mutex::new(String::new());
static INSTALL: Once = Once::new();

struct CapturingLogger;

impl log::Log for CapturingLogger {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LOGGED
            .lock()
            .unwrap()
            .push_str(&format!("{}\n", record.args()));
    }

    fn flush(&self) {}
}

/// Guards against secrets and signatures in logs.
#[tokio::test]
async fn secrets_never_appear_in_logs() {
    INSTALL.call_once(|| log::set_logger(&CapturingLogger).unwrap());
    let (_platform, host) = start().await;
    let anna = host.api(&key("anna", 'a'));
    let level = json!({ "host": "host-1", "level": "trace", "reason": "" }).to_string();

    let changed: Value = anna.post("/v1/log-level", level).await.unwrap();
    let _: ApplyReport = anna.post(APPLY.target, STOCKHOLM).await.unwrap();
    let request_signature = sign(&key("bertil", 'a'), APPLY, b"", 1);
    send_signed(host.address, &request_signature, APPLY, "").await;
    host.stop().await;

    assert_eq!(
        (&changed["after"], &changed["recorded"]),
        (&json!("TRACE"), &json!(true))
    );
    let logged = LOGGED.lock().unwrap().clone();
    assert!(
        logged.contains("wrong_signature: 1") && logged.contains("apply by anna"),
        "{logged}"
    );
    let [(_, _), _, _, _, (_, signature)] = request_signature.headers();
    for secret_text in [secret('a'), secret('b'), signature] {
        assert!(!logged.contains(&secret_text));
    }
}
