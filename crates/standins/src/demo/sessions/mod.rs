//! Snapshot tests of a caller's and an operator's session with one entry host;
//! times and identifiers are masked.

use std::{fmt::Write, net::SocketAddr, time::Duration};

use http::Method;
use serde_json::{Value, json};
use uuid::{Builder, Uuid};

use super::SingleEntry;
use crate::{
    caller::{token_digest, token_of},
    net::{Call, call},
    target::ServiceTimes,
};

const TIMES: ServiceTimes = ServiceTimes { urgent_ms: 1.0, normal_ms: 1.0, bulk_ms: 1.0 };
/// Attempts, 100 ms apart, until the first host is assigned to its pool and serves
/// requests.
const START_ATTEMPTS: usize = 300;
/// Headers that are part of a transcript; others vary with time or library.
const HEADERS: [&str; 3] = ["tamarack-outcome", "content-type", "retry-after"];

fn document() -> String {
    let digest = |name: &str| token_digest(&token_of(name));
    format!(
        "[document]\ndeployment = golden\n\
         [team operations]\nrole = admin\ntoken_sha256 = {}\n\
         [team shop]\ntoken_sha256 = {}\n\
         [data-centre a]\nregion = r\nseats = 1\n\
         [pool orders]\nowner = shop\nsize = a:1\nminimum = 1\nmaximum = 1\n\
         [service orders]\nowner = shop\npool = orders\nport = 9001\ndeadline = 2s\n\
         [budget orders]\nowner = operations\nmin_available = 0\nmax_stopped = 1\n\
         [wave reboot]\nowner = operations\npools = orders\n\
         [caller desk]\nowner = shop\ntoken_sha256 = {}\n\
         [caller guest]\nowner = shop\ntoken_sha256 = {}\nmost_urgent = bulk\n\
         services = orders\n",
        digest("operations"),
        digest("shop"),
        digest("desk"),
        digest("guest"),
    )
}

/// Creates an idempotency key from the current time and a fixed number.
fn key(number: u8) -> Uuid {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let unix_ms = now.unwrap_or_default().as_millis();
    let unix_ms = u64::try_from(unix_ms).expect("fits until the year 10889");
    Builder::from_unix_timestamp_millis(unix_ms, &[number; 10]).into_uuid()
}

/// Masks numbers of 6 digits or more, which are times, ports or random.
fn mask_numbers(text: &str) -> String {
    let mut output = String::new();
    let mut digits = String::new();
    for character in text.chars().chain(['\0']) {
        if character.is_ascii_digit() {
            digits.push(character);
            continue;
        }
        output.push_str(if digits.len() >= 6 { "<number>" } else { &digits });
        digits.clear();
        if character != '\0' {
            output.push(character);
        }
    }
    output
}

/// Removes the measured load, which varies, from a list of services.
fn remove_load(value: &mut Value) {
    let rows = value.as_array_mut().into_iter().flatten();
    rows.filter_map(Value::as_object_mut).for_each(|row| {
        row.remove("load");
    });
}

/// A session with one API of the entry host and its transcript.
struct Session {
    address: SocketAddr,
    transcript: String,
}

impl Session {
    fn new(address: SocketAddr) -> Self {
        Self { address, transcript: String::new() }
    }

    async fn exchange(
        &mut self,
        title: &str,
        method: Method,
        path: &str,
        headers: &[(&'static str, String)],
        body: &str,
    ) -> Value {
        let mut request = Call::new(self.address, method.clone(), path).with_body(body.to_owned());
        for (name, value) in headers {
            request = request.with_header(name, value.clone());
        }
        let reply = call(request).await.expect("the entry host answers");
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let mut value: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
        remove_load(&mut value);
        let shown = match &value {
            Value::Null => mask_numbers(&text),
            value => mask_numbers(&serde_json::to_string_pretty(value).expect("encodes")),
        };
        let transcript = &mut self.transcript;
        writeln!(transcript, "# {title}\n> {method} {path}").expect("writes to memory");
        writeln!(transcript, "< {}", reply.status).expect("writes to memory");
        for name in HEADERS {
            if let Some(value) = reply.headers.get(name) {
                writeln!(transcript, "< {name}: {}", value.to_str().expect("ASCII"))
                    .expect("writes to memory");
            }
        }
        writeln!(transcript, "{}\n", shown.trim_end()).expect("writes to memory");
        value
    }
}

fn bearer(name: &str) -> (&'static str, String) {
    ("authorization", format!("Bearer {}", token_of(name)))
}

async fn started() -> SingleEntry {
    let deployment = SingleEntry::start(&document(), TIMES, 1).await.expect("starts");
    let address = deployment.caller_address().expect("has an address");
    for _ in 0..START_ATTEMPTS {
        let (name, value) = bearer("desk");
        let request = Call::new(address, Method::GET, "/call/orders/echo/0?bytes=0");
        let reply = call(request.with_header(name, value)).await;
        if reply.is_ok_and(|reply| reply.status.is_success()) {
            return deployment;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("the target cannot be called through the entry host");
}

/// Guards against unintended changes of the responses to callers and operators:
/// status, outcome and problem of valid and refused requests, retries with one
/// key, and edits of another team's section. One deployment serves both sessions,
/// because two that start at the same time may choose the same addresses.
#[tokio::test]
async fn sessions() {
    let deployment = started().await;
    caller_session(&deployment).await;
    operator_session(&deployment).await;
    deployment.stop().expect("stops");
}

async fn caller_session(deployment: &SingleEntry) {
    let mut session = Session::new(deployment.caller_address().expect("has an address"));
    let path = "/call/orders/echo/7?bytes=4";
    session.exchange("A repeatable request", Method::GET, path, &[bearer("desk")], "").await;
    session.exchange("Without token", Method::GET, path, &[], "").await;
    let unknown = "/call/oders/echo/7?bytes=4";
    session.exchange("Unknown service", Method::GET, unknown, &[bearer("desk")], "").await;
    session.exchange("Outside the interface", Method::GET, "/x", &[bearer("desk")], "").await;
    session.exchange("A charge without key", Method::POST, path, &[bearer("desk")], "").await;
    let bad = ("idempotency-key", "17".to_owned());
    session.exchange("Not a key", Method::POST, path, &[bearer("desk"), bad], "").await;
    let deadline = ("tamarack-deadline-ms", "0".to_owned());
    session.exchange("No deadline", Method::GET, path, &[bearer("desk"), deadline], "").await;
    let own = [bearer("desk"), ("idempotency-key", key(1).to_string())];
    session.exchange("A charge", Method::POST, path, &own, "a").await;
    session.exchange("Its repeat", Method::POST, path, &own, "a").await;
    session.exchange("The key with another body", Method::POST, path, &own, "b").await;
    let guest = [bearer("guest"), own[1].clone()];
    session.exchange("Another caller's same key", Method::POST, path, &guest, "a").await;
    insta::assert_snapshot!("caller_session", session.transcript);
}

async fn operator_session(deployment: &SingleEntry) {
    let mut session = Session::new(deployment.admin_address().expect("has an address"));
    let get = Method::GET;
    session.exchange("Without token", get.clone(), "/admin/v1/status", &[], "").await;
    let shop = [bearer("shop")];
    session.exchange("Pools", get.clone(), "/admin/v1/pools", &shop, "").await;
    session.exchange("Services", get.clone(), "/admin/v1/services", &shop, "").await;
    let edit = |kind: &str, text: &str, base: u64| {
        let section = json!({ "kind": kind, "name": "orders" });
        json!({ "edits": [{ "section": section, "text": text, "base": base }] }).to_string()
    };
    let service = "owner = shop\npool = orders\nport = 9001\ndeadline = 3s\n";
    let path = "/admin/v1/document";
    let put = Method::PUT;
    let body = edit("service", service, 1);
    let accepted = session.exchange("A put", put.clone(), path, &shop, &body).await;
    session.exchange("The same base again", put.clone(), path, &shop, &body).await;
    let body = edit("budget", "owner = shop\nmin_available = 0\n", 1);
    session.exchange("Another team's section", put.clone(), path, &shop, &body).await;
    let body = edit("service", "owner = shop\npool = oders\nport = 9001\n", 2);
    session.exchange("An invalid document", put, path, &shop, &body).await;
    let revision = accepted["revision"].as_u64().expect("is accepted");
    let path = format!("/admin/v1/services?min-revision={revision}");
    session.exchange("A read of the own write", get.clone(), &path, &shop, "").await;
    session.exchange("No such path", get, "/admin/v1/nothing", &shop, "").await;
    insta::assert_snapshot!("operator_session", session.transcript);
}
