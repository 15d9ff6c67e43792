use super::*;

const DRIVER: u32 = 3;

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits.chunks(2).map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap()).collect()
}

const ASK: &str = "03 2b000000 03000000 c4913a5d20690600 e02e0000 640ad2557c3bf091 0000 01 00000000
    80a90300 0040ce43 00003041";
const REMINDER: &str = "07 08000000 03000000 4d000000";
const ATTEMPT_END: &str = "05 2a000000 03000000 c4913a5d20690600 0000 c800 074a1203 8e630000 44480000 01
    03 2b87c6400000000052b81e3f";
const CATALOG: &str = "0b 3b000000 00 02000000
    01 0000 0b00 0000000000000000 0000 0000803f 074a1203 0000803f
    01 0100 0b00 20145d0000000000 0000 00000000 f211902c 0000c03f";
const MEMBERSHIP: &str = "02 0e000000 03000000 02 2900000000000000 00";
const HANGUP: &str = "06 0c000000 05000000 192b6f0e1ce60400";
const HALT: &str = "0a 04000000 03000000";

fn settings() -> String {
    r#"{"discovery": "pushed", "novelty": [1],
        "extra": {"consistency": ["recent", "update"], "guards": "silent", "sessionMarks": "client",
            "stalenessBoundUs": [200000, 0], "zeroUs": 1000000, "unheardOf": null},
        "limits": {"maxAttempts": 8, "maxRetryAfterUs": 1000000, "retryAfter": true, "probes": true,
            "secondCopies": false},
        "loadReport": {"fields": ["x0", "x1", "utilization"], "how": "piggyback"},
        "requestClasses": [
            {"aimUs": 250000, "deadlineUs": 1000000, "idempotency": "idempotent", "worth": 3.0},
            {"aimUs": 600000, "deadlineUs": 5000000, "dedupScope": "cell", "idempotency": "deduplicated",
                "lateWorth": 0.3, "windowUs": 3000000, "worth": 4.0}],
        "rules": {"drainGraceUs": 500000, "fallUs": 1500000, "startCapacity": 0.18, "tipMultiple": 2.0,
            "warmWithinUs": 16000000},
        "stepUs": 5000, "zone": 0}"#
        .to_string()
}

fn spawn(driver: u32, settings: &str) -> Vec<u8> {
    let mut record = vec![1];
    record.extend(((4 + 8 + 4 + settings.len()) as u32).to_le_bytes());
    record.extend(driver.to_le_bytes());
    record.extend(7u64.to_le_bytes());
    record.extend((settings.len() as u32).to_le_bytes());
    record.extend(settings.as_bytes());
    record
}

/// The records that start one instance with a list of two members.
fn started() -> Vec<u8> {
    [spawn(DRIVER, &settings()), bytes(CATALOG), bytes(MEMBERSHIP)].concat()
}

/// Handles a batch with these records.
fn play(host: &mut Host, clock: u64, body: &[u8]) -> Result<Vec<u8>, String> {
    host.batch(Header { batch: 1, length: (body.len() + 16) as u32, clock }, body)
}

/// Splits a reply into the code and fields of each record.
fn records(reply: &[u8]) -> Vec<(u8, Vec<u8>)> {
    let mut reader = Reader::new(reply);
    assert_eq!(reader.u32(), Ok(1));
    assert_eq!(reader.u32(), Ok(reply.len() as u32));
    let count = reader.u32().unwrap();
    let mut found = Vec::new();
    while reader.left() > 0 {
        let code = reader.u8().unwrap();
        let length = reader.u32().unwrap() as usize;
        found.push((code, reader.take(length).unwrap().to_vec()));
    }
    assert_eq!(found.len(), count as usize);
    found
}

fn protocol() -> ProtocolSettings {
    RouterSettings::parse(settings().as_bytes()).unwrap().protocol
}

/// The fields of a record, without its code, length and instance.
fn fields(hex: &str) -> Vec<u8> {
    bytes(hex)[9..].to_vec()
}

#[test]
fn every_field_of_a_request_is_decoded() {
    let raw = fields(ASK);
    let tables = BTreeMap::new();
    let event = decode_event(code::ASK, &mut Reader::new(&raw), &tables, &protocol()).unwrap();
    let Some(Event::Request(request)) = event else { panic!("the event is not a request") };
    assert_eq!(request.id, RequestId(0x0006_6920_5d3a_91c4));
    assert_eq!((request.class, request.group, request.budget), (0, GroupId(11), 240_000));
    assert_eq!(request.session, Some(SessionId(0x91f0_3b7c_55d2_0a64)));
    let ago = request.last_write_ago.unwrap();
    assert!((412_499..=412_500).contains(&ago), "{ago}");
}

#[test]
fn every_field_of_an_attempts_end_is_decoded() {
    let raw = fields(ATTEMPT_END);
    let tables = BTreeMap::new();
    let event = decode_event(code::ATTEMPT_END, &mut Reader::new(&raw), &tables, &protocol()).unwrap();
    let Some(Event::AttemptEnded(ended)) = event else { panic!("the event is not the end of an attempt") };
    assert_eq!((ended.outcome, ended.request_finished, ended.duration), (Outcome::Served, true, 18_500));
    assert_eq!(ended.member, MemberId(0x0312_4a07));
    let ms = u64::from(0x638e_u32 >> 2);
    assert_eq!(ended.status.position, Some(1_000_000 + ms * 1000));
    assert_eq!(ended.status.role, Some(Role::Replica));
    // The position of the report is rounded down by one unit of the float's last digit, never up.
    let exact = f64::from(f32::from_bits(0x40c6_872b)) * 1e6;
    let read = ended.report.position.unwrap() - 1_000_000;
    assert!((read as f64) < exact && read as f64 > exact - 3.0, "{read} against {exact}");
    assert_eq!(ended.report.role, Some(Role::Replica));
    assert!(ended.report.utilization.is_some());
}

#[test]
fn invalid_numbers_in_a_load_report_are_ignored() {
    let mut raw = vec![3u8];
    for value in [f32::NAN, f32::NEG_INFINITY, -1.0] {
        raw.extend(value.to_le_bytes());
    }
    let report = decode_report(&mut Reader::new(&raw), &protocol()).unwrap();
    assert_eq!((report.position, report.role, report.utilization), (None, None, None));
}

#[test]
fn the_members_of_a_decoded_list_are_probed() {
    let mut host = Host::default();
    let reply = play(&mut host, 2_000_000, &started()).unwrap();
    let probed: Vec<Vec<u8>> =
        records(&reply).into_iter().filter(|(c, _)| *c == code::TEST).map(|(_, f)| f).collect();
    let expected: Vec<Vec<u8>> = [0x0312_4a07u32, 0x2c90_11f2]
        .iter()
        .map(|member| [DRIVER.to_le_bytes(), member.to_le_bytes()].concat())
        .collect();
    assert_eq!(probed, expected);
}

#[test]
fn a_write_is_sent_to_the_primary_as_a_dispatch_record() {
    let mut host = Host::default();
    play(&mut host, 2_000_000, &started()).unwrap();
    let mut ask = bytes(ASK);
    ask[5 + 4 + 8 + 4 + 8] = 1; // the index of the class that writes
    let reply = play(&mut host, 2_010_000, &ask).unwrap();
    let (_, sent) = records(&reply).into_iter().find(|(c, _)| *c == code::DISPATCH).unwrap();
    let expected = [&DRIVER.to_le_bytes()[..], &ask[9..17], &0x0312_4a07u32.to_le_bytes(), &[0; 4]].concat();
    assert_eq!(sent, expected);
}

#[test]
fn halt_and_spawn_in_one_batch_start_a_new_instance() {
    let mut host = Host::default();
    play(&mut host, 2_000_000, &started()).unwrap();
    let body = [bytes(HALT), started()].concat();
    let reply = play(&mut host, 2_010_000, &body).unwrap();
    assert_eq!(records(&reply).iter().filter(|(c, _)| *c == code::TEST).count(), 2);
    assert!(play(&mut host, 2_020_000, &bytes(REMINDER)).is_ok());
}

#[test]
fn a_table_declared_again_replaces_the_earlier_one_before_later_events() {
    let mut host = Host::default();
    let empty = bytes("0b 05000000 00 00000000");
    let body = [spawn(DRIVER, &settings()), bytes(CATALOG), empty, bytes(MEMBERSHIP)].concat();
    let reply = play(&mut host, 2_000_000, &body).unwrap();
    assert_eq!(records(&reply).iter().filter(|(c, _)| *c == code::TEST).count(), 0);
}

#[test]
fn batches_cut_at_any_byte_are_reported_without_a_panic() {
    let whole = [started(), bytes(ASK), bytes(REMINDER), bytes(ATTEMPT_END), bytes(HALT)].concat();
    let record_starts: Vec<usize> = {
        let (mut start, mut found) = (0, vec![0]);
        while start < whole.len() {
            start += 5 + u32::from_le_bytes(whole[start + 1..start + 5].try_into().unwrap()) as usize;
            found.push(start);
        }
        found
    };
    assert!(play(&mut Host::default(), 2_000_000, &whole).is_ok());
    for cut in (0..whole.len()).filter(|cut| !record_starts.contains(cut)) {
        let message = play(&mut Host::default(), 2_000_000, &whole[..cut]).unwrap_err();
        assert!(message.starts_with("batch 1, record "), "{message}");
    }
}

#[test]
fn errors_name_what_cannot_be_decoded() {
    let error_of =
        |extra: &str| play(&mut Host::default(), 2_000_000, &[started(), bytes(extra)].concat()).unwrap_err();
    assert!(error_of("63 04000000 03000000").contains("no such event"));
    assert!(error_of("07 09000000 03000000 4d000000 00").contains("1 bytes too many"));
    assert!(error_of(HANGUP).contains("instance 5 is not running"));
    assert!(error_of("02 0e000000 03000000 02 2900000000000000 04").contains("table 4 was never declared"));
    assert!(error_of("02 0e000000 03000000 07 2900000000000000 00").contains("form 7"));
    assert!(error_of("0b 05000000 10 00000000").contains("table 16"));
    assert!(error_of("08 12000000 03000000 074a1203 e700 00000000 03 00000000").contains("outcome 231"));
}

#[test]
fn errors_name_settings_that_cannot_be_used() {
    let error_of = |from: &str, to: &str| {
        let body = spawn(DRIVER, &settings().replace(from, to));
        play(&mut Host::default(), 2_000_000, &body).unwrap_err()
    };
    assert!(error_of("\"pushed\"", "\"telepathy\"").contains("discovery is \"telepathy\""));
    assert!(error_of("\"silent\"", "\"loud\"").contains("extra.guards"));
    assert!(error_of("[\"recent\", \"update\"]", "[\"recent\"]").contains("1 entries"));
    assert!(error_of("\"idempotent\"", "\"maybe\"").contains("idempotency"));
    assert!(error_of("\"stepUs\": 5000,", "").contains("stepUs"));
}

#[test]
fn a_panic_of_the_module_is_reported_with_its_message() {
    assert_eq!(panic_text(&"broken"), "broken");
    assert_eq!(panic_text(&"broken too".to_string()), "broken too");
    let mut reply = Reply::new(1);
    text_record(&mut reply, code::DIE, DRIVER, "broken");
    let expected = [&DRIVER.to_le_bytes()[..], &6u16.to_le_bytes(), b"broken"].concat();
    assert_eq!(records(&reply.finish()), vec![(code::DIE, expected)]);
}

#[test]
fn member_updates_survive_encoding_and_decoding() {
    let protocol = protocol();
    let update = |member, ms: u64, role| MemberUpdate {
        member: MemberId(member),
        position: protocol.zero_time + ms * 1000,
        role,
    };
    let sent =
        [update(7, 42_000, Some(Role::Primary)), update(9, 41_999, Some(Role::Replica)), update(8, 1, None)];
    let mut reply = Reply::new(1);
    encode_action(DRIVER, &Action::SendPeerUpdates(sent.to_vec()), &protocol, &mut reply);
    let posts = records(&reply.finish());
    let (code, fields) = &posts[0];
    assert_eq!((*code, posts.len(), fields.len()), (code::POST, 1, 4 + 2 + 2 + 3 * 8));
    assert_eq!(decode_updates(&fields[8..], &protocol), sent);
    assert_eq!(
        decode_updates(&fields[8..fields.len() - 1], &protocol),
        sent[..2],
        "an incomplete update is ignored"
    );
    let many = vec![sent[0].clone(); 40];
    let mut reply = Reply::new(1);
    encode_action(DRIVER, &Action::SendPeerUpdates(many), &protocol, &mut reply);
    assert!(records(&reply.finish()).iter().all(|(_, fields)| fields.len() <= 8 + 256));
}
