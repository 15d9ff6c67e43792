//! The parsers, without sockets: every split, bounds, junk.

use beaconshore::interface::{Role, SpillLoan, ZoneId};
use beaconshore_driver::config::Config;
use beaconshore_driver::membership::{Lifecycle, MembershipUpdate};
use beaconshore_driver::peers::PeerMessage;
use beaconshore_driver::pg::{self, BackendMessage, FirstMessage, FrontendMessage, ProtocolError, Severity};
use beaconshore_driver::{http, peers};

/// Numbers that look random and are the same each time (xorshift).
struct Numbers(u64);

impl Numbers {
    fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % bound as u64) as usize
    }

    fn bytes(&mut self, count: usize) -> Vec<u8> {
        (0..count).map(|_| self.below(256) as u8).collect()
    }
}

const REQUEST: &[u8] =
    b"/* id=9b1f03aa5c7e2d41,c=basket,d=480,k=5c0f,cluster=2,after=1767225600123 */ SELECT payload \
    FROM entries WHERE ref = '7f3a9c21e0b4d655'";

fn query(text: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    pg::put_query(&mut out, &[text]);
    out
}

#[test]
fn every_proper_prefix_of_a_message_is_incomplete() {
    let message = query(REQUEST);
    for length in 0..message.len() {
        assert_eq!(pg::parse_frontend(&message[..length]), Ok(None), "{length}");
    }
    assert_eq!(pg::parse_frontend(&message), Ok(Some((FrontendMessage::Query(REQUEST), message.len()))));
    let longer = [&message[..], b"X"].concat();
    assert_eq!(pg::parse_frontend(&longer), Ok(Some((FrontendMessage::Query(REQUEST), message.len()))));

    let mut startup = Vec::new();
    pg::put_startup(&mut startup);
    for length in 0..startup.len() {
        assert_eq!(pg::parse_first_message(&startup[..length]), Ok(None), "{length}");
    }
    assert_eq!(pg::parse_first_message(&startup), Ok(Some((FirstMessage::Startup, startup.len()))));

    let mut answer = Vec::new();
    pg::put_error(&mut answer, Severity::Error, "53300", "full", Some("12"));
    for length in 0..answer.len() {
        assert_eq!(pg::parse_backend(&answer[..length]), Ok(None), "{length}");
    }
    assert_eq!(
        pg::parse_backend(&answer),
        Ok(Some((BackendMessage::Error(b"53300", Severity::Error), answer.len())))
    );
}

#[test]
fn openings_are_told_apart() {
    let opening =
        |code: u32| pg::parse_first_message(&[&8u32.to_be_bytes()[..], &code.to_be_bytes()].concat());
    assert_eq!(opening(80_877_103), Ok(Some((FirstMessage::EncryptionRequest, 8))));
    assert_eq!(opening(80_877_104), Ok(Some((FirstMessage::EncryptionRequest, 8))));
    assert_eq!(opening(2 << 16), Err(ProtocolError::UnsupportedVersion));
    assert_eq!(pg::parse_first_message(&[0, 0, 0, 7]), Err(ProtocolError::InvalidLength));
    assert_eq!(pg::parse_first_message(&[0xff, 0, 0, 0]), Err(ProtocolError::InvalidLength));
    let cancel = [&16u32.to_be_bytes()[..], &80_877_102u32.to_be_bytes(), &[1, 2, 3, 4, 5, 6, 7, 8]].concat();
    assert_eq!(
        pg::parse_first_message(&cancel),
        Ok(Some((FirstMessage::CancelRequest(0x0102_0304_0506_0708), 16)))
    );
    let short = [&12u32.to_be_bytes()[..], &80_877_102u32.to_be_bytes(), &[0; 4]].concat();
    assert_eq!(pg::parse_first_message(&short), Err(ProtocolError::MalformedContent));
}

#[test]
fn lengths_out_of_bounds_and_unknown_kinds_end_a_stream_at_once() {
    let header = |kind: u8, length: usize| [&[kind][..], &(length as u32).to_be_bytes()].concat();
    assert_eq!(pg::parse_frontend(&header(b'Q', pg::MAX_QUERY_BYTES)), Ok(None));
    assert_eq!(pg::parse_frontend(&header(b'Q', pg::MAX_QUERY_BYTES + 1)), Err(ProtocolError::InvalidLength));
    assert_eq!(pg::parse_frontend(&header(b'Q', 3)), Err(ProtocolError::InvalidLength));
    assert_eq!(pg::parse_frontend(b"?"), Err(ProtocolError::UnknownType(b'?')));
    assert_eq!(pg::parse_frontend(b"p"), Err(ProtocolError::UnknownType(b'p')));
    assert_eq!(pg::parse_backend(&header(b'D', pg::MAX_ANSWER_BYTES + 1)), Err(ProtocolError::InvalidLength));
    assert_eq!(pg::parse_backend(&header(b'S', pg::MAX_ANSWER_BYTES)), Err(ProtocolError::InvalidLength));
    // A query without its end, or with a zero byte within.
    assert_eq!(
        pg::parse_frontend(&[&header(b'Q', 5)[..], b"x"].concat()),
        Err(ProtocolError::MalformedContent)
    );
    assert_eq!(
        pg::parse_frontend(&[&header(b'Q', 7)[..], b"a\0\0"].concat()),
        Err(ProtocolError::MalformedContent)
    );
}

#[test]
fn junk_is_told_as_broken_and_nothing_else() {
    let mut numbers = Numbers(7);
    for _ in 0..20_000 {
        let length = numbers.below(80);
        let mut bytes = numbers.bytes(length);
        // Some of it begins like a message.
        if length > 5 && numbers.below(2) == 0 {
            bytes[0] = b"QSDTCEZRXP"[numbers.below(10)];
            bytes[1..5].copy_from_slice(&(numbers.below(90) as u32).to_be_bytes());
        }
        for taken in [
            pg::parse_frontend(&bytes).map(|m| m.map(|(_, n)| n)),
            pg::parse_backend(&bytes).map(|m| m.map(|(_, n)| n)),
            pg::parse_first_message(&bytes).map(|m| m.map(|(_, n)| n)),
        ] {
            if let Ok(Some(taken)) = taken {
                assert!(taken > 0 && taken <= bytes.len());
            }
        }
        let _ = pg::parse_request(&bytes);
        let _ = pg::find_single_value(&bytes);
        let length = |message| match message {
            PeerMessage::MemberStates(states) => 7 + 8 * states.len(),
            PeerMessage::Loans(loans) => 7 + 12 * loans.len(),
            PeerMessage::Digest(_) => 7 + 4 * 32,
        };
        assert!(PeerMessage::decode(&bytes).is_none_or(|message| length(message) == bytes.len()));
        if let Ok(Some((mut response, at))) = http::parse_head(&bytes) {
            let _ = response.read_body(&bytes[at..], &mut Vec::new());
        }
    }
}

#[test]
fn rows_of_one_column_have_a_value() {
    let row = |content: &[u8]| {
        let length = (content.len() as u32 + 4).to_be_bytes();
        [&b"D"[..], &length, content].concat()
    };
    let parsed = |bytes: &[u8]| {
        pg::parse_backend(bytes).map(|m| m.map(|(m, _)| m == BackendMessage::DataRow(Some(b"ab"))))
    };
    assert_eq!(parsed(&row(b"\0\x01\0\0\0\x02ab")), Ok(Some(true)));
    assert_eq!(
        pg::parse_backend(&row(b"\0\x01\xff\xff\xff\xff")),
        Ok(Some((BackendMessage::DataRow(None), 11)))
    );
    assert_eq!(
        pg::parse_backend(&row(b"\0\x02\0\0\0\0\0\0\0\0")),
        Ok(Some((BackendMessage::DataRow(None), 15)))
    );
    assert_eq!(parsed(&row(b"\0\x01\0\0\0\x03ab")), Err(ProtocolError::MalformedContent));
    assert_eq!(parsed(&row(b"\0\x01\0\0\0\x01ab")), Err(ProtocolError::MalformedContent));
}

#[test]
fn a_request_comment_holds_what_the_client_wants() {
    let request = pg::parse_request(REQUEST).unwrap();
    assert_eq!((request.class, request.wait_ms, request.group), ("basket", 480, 2));
    assert_eq!(
        (request.is_repeat, request.has_idempotency_key, request.min_position_ms),
        (false, true, Some(1_767_225_600_123))
    );
    assert_eq!(&REQUEST[request.wait_range.clone()], b"480");
    assert_eq!(request.key, b"7f3a9c21e0b4d655");

    let spaced = b" /* r=1, id=1 , c= a, d= 7 ,cluster=0,new=x */ insert into t values ('k', 'a;b') ;";
    let request = pg::parse_request(spaced).unwrap();
    assert_eq!((request.class, request.wait_ms, request.is_repeat), ("a", 7, true));
    assert_eq!((&spaced[request.wait_range.clone()], request.key), (&b"7"[..], &b"k"[..]));
}

#[test]
fn statements_not_in_the_clients_form_are_told() {
    for text in [
        "",
        "SELECT 1",
        "/* id=1,c=a,d=1,cluster=0 SELECT 'k'",
        "/* id=1,c=a,d=1,cluster=0 */",
        "/* id=1,c=a,d=1,cluster=0 */ DROP TABLE entries",
        "/* id=1,c=a,d=1,cluster=0 */ SELECT 1",
        "/* id=1,c=a,d=1,cluster=0 */ SELECT 'k",
        "/* id=1,c=a,d=1,cluster=0 */ SELECT 'k'; SELECT 'l'",
        "/* c=a,d=1,cluster=0 */ SELECT 'k'",
        "/* id=1,d=1,cluster=0 */ SELECT 'k'",
        "/* id=1,c=a,cluster=0 */ SELECT 'k'",
        "/* id=1,c=a,d=1 */ SELECT 'k'",
        "/* id=1,c=a,d=,cluster=0 */ SELECT 'k'",
        "/* id=1,c=a,d=-1,cluster=0 */ SELECT 'k'",
        "/* id=1,c=a,d=+1,cluster=0 */ SELECT 'k'",
        "/* id=1,c=a,d=99999999999,cluster=0 */ SELECT 'k'",
        "/* id=1,c=a,d=1,d=2,cluster=0 */ SELECT 'k'",
        "/* id=1,c=a,d=1,cluster=x */ SELECT 'k'",
        "/* id=1,c=a,d=1,cluster=0,after=soon */ SELECT 'k'",
        "/* id=1,c=a,d=1,cluster=0,r=2 */ SELECT 'k'",
        "/* id=1,c=a,d=1,cluster=0,k= */ SELECT 'k'",
        "/* id=1,c=a,d=1,cluster=0,lonely */ SELECT 'k'",
    ] {
        assert!(pg::parse_request(text.as_bytes()).is_err(), "{text}");
    }
}

#[test]
fn report_values_are_rounded_down_to_microseconds() {
    assert_eq!(pg::parse_millionths("1767225600.123"), Some(1_767_225_600_123_000));
    assert_eq!(pg::parse_millionths("0.61"), Some(610_000));
    assert_eq!(pg::parse_millionths("7"), Some(7_000_000));
    assert_eq!(pg::parse_millionths("1.9999999"), Some(1_999_999));
    for junk in ["", ".", "-1", "1e9", "nan", "1.-5", "99999999999999999999", "1.0x"] {
        assert_eq!(pg::parse_millionths(junk), None, "{junk}");
    }
}

const CHUNKED: &[u8] =
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab\nc\r\n1;x=y\r\n\n\r\nA\r\n0123456789\r\n0\r\nT: 1\r\n\r\n";

#[test]
fn a_chunked_body_is_the_same_however_it_is_split() {
    for split in 0..=CHUNKED.len() {
        let (mut bytes, mut data, mut response) = (Vec::new(), Vec::new(), None);
        for part in [&CHUNKED[..split], &CHUNKED[split..]] {
            bytes.extend_from_slice(part);
            if response.is_none() {
                if let Some((head, taken)) = http::parse_head(&bytes).unwrap() {
                    response = Some(head);
                    bytes.drain(..taken);
                }
            }
            if let Some(response) = &mut response {
                let taken = response.read_body(&bytes, &mut data).unwrap();
                bytes.drain(..taken);
            }
        }
        assert!(response.is_some_and(|r| r.is_complete()), "{split}");
        assert_eq!(data, b"ab\nc\n0123456789", "{split}");
    }
}

#[test]
fn a_plain_body_has_its_length() {
    let text = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcd";
    let (mut response, at) = http::parse_head(text).unwrap().unwrap();
    let mut data = Vec::new();
    assert_eq!(response.read_body(&text[at..], &mut data), Ok(3));
    assert!(response.is_complete());
    assert_eq!((response.status, &data[..]), (200, &b"abc"[..]));
}

#[test]
fn heads_and_chunks_that_cannot_be_read_are_told() {
    for text in ["FTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nnothing\r\n\r\n"] {
        assert_eq!(http::parse_head(text.as_bytes()), Err(http::ResponseError::MalformedHead), "{text}");
    }
    assert_eq!(http::parse_head(&[b'a'; 9000]), Err(http::ResponseError::MalformedHead));
    for body in ["x\r\n", "-1\r\n", "\r\n", "2\r\nabcd\r\n", "ffffffffffffffffff\r\n"] {
        let (mut response, _) = http::parse_head(CHUNKED).unwrap().unwrap();
        assert_eq!(
            response.read_body(body.as_bytes(), &mut Vec::new()),
            Err(http::ResponseError::MalformedChunk),
            "{body}"
        );
    }
    let (mut response, _) = http::parse_head(CHUNKED).unwrap().unwrap();
    assert_eq!(response.read_body(&[b'1'; 400], &mut Vec::new()), Err(http::ResponseError::MalformedChunk));
}

#[test]
fn datagrams_hold_their_states_and_keep_their_bound() {
    let state = |i: u64| peers::MemberState {
        member: peers::member_tag(&format!("s-{i}")),
        position: (1_767_225_600_000 + i) * 1000,
        role: [None, Some(Role::Primary), Some(Role::Replica)][i as usize % 3],
    };
    let decode = |bytes: &[u8]| match PeerMessage::decode(bytes) {
        Some(PeerMessage::MemberStates(states)) => Some(states),
        _ => None,
    };
    let states: Vec<_> = (0..70).map(state).collect();
    let datagrams = PeerMessage::MemberStates(states.clone()).encode();
    assert!(datagrams.iter().all(|d| d.len() <= 256));
    let read: Vec<_> = datagrams.iter().flat_map(|d| decode(d).unwrap()).collect();
    assert_eq!(read, states);
    let whole = &datagrams[0];
    for length in (0..whole.len()).filter(|l| *l < 7 || (l - 7) % 8 != 0) {
        assert_eq!(PeerMessage::decode(&whole[..length]), None, "{length}");
    }
    let mut other = whole.clone();
    other[0] += 1;
    assert_eq!(PeerMessage::decode(&other), None, "another version");
    other[0] -= 1;
    *other.last_mut().unwrap() |= 3;
    assert_eq!(PeerMessage::decode(&other), None, "a role that is none");
    assert_eq!(PeerMessage::decode(&[whole.clone(), vec![0; 8]].concat()), None, "over the bound");
}

#[test]
fn a_digest_is_read_as_it_was_written_and_only_whole() {
    let mut digest = beaconshore_gossip::Digest::default();
    (0..100).for_each(|n| digest.add(peers::member_tag(&format!("s-{n}")), Role::Replica));
    let datagrams = PeerMessage::Digest(digest).encode();
    assert_eq!(datagrams.len(), 1);
    assert!(datagrams[0].len() <= 256);
    assert_eq!(PeerMessage::decode(&datagrams[0]), Some(PeerMessage::Digest(digest)));
    for length in 0..datagrams[0].len() {
        assert_eq!(PeerMessage::decode(&datagrams[0][..length]), None, "{length}");
    }
    assert_eq!(PeerMessage::decode(&[&datagrams[0][..], &[0]].concat()), None);
}

#[test]
fn a_list_with_an_unreadable_entry_and_an_unknown_state_still_counts() {
    let entry = |id: &str, address: &str, state: &str| {
        format!(
            "{{\"instanceId\":\"{id}\",\"hostPort\":\"{address}\",\"zone\":\"a\",\"cell\":3,\
             \"lifecycle\":\"{state}\",\"startedAtMs\":0}}"
        )
    };
    let entries = [
        entry("s-1", "10.1.0.18:5432", "ready"),
        entry("s-2", "nowhere", "ready"),
        entry("s-3", "10.1.0.20:5432", "resting"),
        entry("s-4", "10.1.0.21:5432", "gone"),
    ];
    let text = format!("{{\"generation\":41,\"reset\":true,\"instances\":[{}]}}", entries.join(","));
    let listing: MembershipUpdate = serde_json::from_str(&text).unwrap();
    let states: Vec<_> = listing.instances.iter().map(|i| (i.instance_id.as_str(), i.lifecycle)).collect();
    assert_eq!(
        states,
        [("s-1", Lifecycle::Ready), ("s-3", Lifecycle::Draining), ("s-4", Lifecycle::Gone)],
        "a state that is not known binds like a drain"
    );
}

#[test]
fn a_report_that_cannot_be_read_tells_nothing() {
    use beaconshore_driver::member::parse_load_report;
    let good = parse_load_report("x0=1767225600.123,x1=1,utilization=0.61,inflight=7").unwrap();
    assert_eq!(good.position, Some(1_767_225_600_123_000));
    assert_eq!((good.role, good.utilization), (Some(Role::Primary), Some(0.61)));
    for junk in
        ["", "nan", "=,=", "%%%", "x0=17e9,x1=1", "x0=1767225600.1,x1", "x0=1767225600.123,utilization=0.6.1"]
    {
        assert!(parse_load_report(junk).is_none(), "{junk}");
    }
}

#[test]
fn what_is_wrong_within_a_members_message_is_found() {
    let message = |kind: u8, content: &[u8]| {
        let length = (content.len() as u32 + 4).to_be_bytes();
        [&[kind][..], &length, content].concat()
    };
    let column = [&b"\0\x01payload\0"[..], &[0; 18]].concat();
    assert_eq!(
        pg::parse_backend(&message(b'T', &column)).unwrap().unwrap().0,
        BackendMessage::RowDescription(1)
    );
    let row = [&b"\0\x01"[..], &3_u32.to_be_bytes(), b"abc"].concat();
    assert_eq!(
        pg::parse_backend(&message(b'D', &row)).unwrap().unwrap().0,
        BackendMessage::DataRow(Some(b"abc"))
    );
    for (kind, content) in [
        (b'T', &column[..column.len() - 1]),
        (b'T', &[&column[..], b"x"].concat()),
        (b'T', &[&b"\0\x02"[..], &column[2..]].concat()),
        (b'D', &row[..row.len() - 1]),
        (b'D', &[&row[..], b"d"].concat()),
        (b'C', b"SELECT 1"),
        (b'C', b"SELECT\0 1\0"),
        (b'C', b"\0"),
        (b'Z', b"?"),
        (b'Z', b""),
        (b'S', b"name\0value"),
        (b'S', b"name\0value\0more"),
        (b'E', b"C53300\0"),
    ] {
        assert_eq!(
            pg::parse_backend(&message(kind, content)),
            Err(ProtocolError::MalformedContent),
            "{} {content:?}",
            kind as char
        );
    }
    // Lengths that won't go together are found before the value has come.
    let mut early = message(b'D', &row);
    early[5 + 2..5 + 6].copy_from_slice(&3_000_000_000_u32.to_be_bytes());
    assert_eq!(pg::parse_backend(&early[..11]), Err(ProtocolError::MalformedContent));
}

#[test]
fn talks_of_planners_come_through_datagrams_as_they_were() {
    let loan = |to, work, until| SpillLoan { zone: ZoneId(2), to, work, until };
    let base = 1_767_225_600_123_000;
    let loans: Vec<SpillLoan> = (0..50)
        .map(|i| loan((i % 3 > 0).then_some(i), f64::from(i) * 1000.0, base + 7_000 * u64::from(i)))
        .collect();
    let datagrams = PeerMessage::Loans(loans.clone()).encode();
    assert!(datagrams.iter().all(|d| d.len() <= 256) && datagrams.len() == 3);
    let read = |d: &Vec<u8>| match PeerMessage::decode(d) {
        Some(PeerMessage::Loans(loans)) => loans,
        other => panic!("{other:?}"),
    };
    assert_eq!(datagrams.iter().flat_map(read).collect::<Vec<_>>(), loans);
    // Half a loan, and one to a driver whose number does not fit.
    assert_eq!(PeerMessage::decode(&datagrams[0][..20]), None);
    assert_eq!(PeerMessage::Loans(vec![loan(Some(70_000), 1.0, base)]).encode(), Vec::<Vec<u8>>::new());
}

#[test]
fn the_shipped_configuration_and_operators_file_fit_each_other() {
    let config = Config::parse(include_bytes!("../../../deploy/driver.json")).unwrap();
    let text = include_str!("../../../deploy/operator.textproto");
    let zones = config.parse_operator_file("operator.textproto", text).unwrap().plans.zones.unwrap();
    assert_eq!(
        (zones.zones.len(), zones.router_number),
        (3, None),
        "it may not loan to others, so it lends nothing"
    );
}

#[test]
fn a_connections_user_and_database_and_a_statement_are_read() {
    let startup = |pairs: &[u8]| [&[0, 0, 0, 0, 0, 3, 0, 0], pairs].concat();
    assert_eq!(pg::startup_parameters(&startup(b"user\0web\0database\0orders\0\0")), ("web", "orders"));
    assert_eq!(
        pg::startup_parameters(&startup(b"application_name\0user\0user\0batch\0\0")),
        ("batch", "batch")
    );
    assert_eq!(pg::startup_parameters(&startup(b"user\0\xff\xfe\0\0")), ("", ""));
    assert_eq!(pg::startup_parameters(&startup(&[b"user\0", &[b'x'; 200][..], b"\0\0"].concat())), ("", ""));
    assert_eq!(pg::startup_parameters(&[0; 3]), ("", ""));
    assert_eq!(pg::strip_request_comment(b"/* id=1,c=view */ SELECT 1"), "SELECT 1");
    assert_eq!(pg::strip_request_comment(b"/* never ends"), "/* never ends");
}

#[test]
fn every_snippet_of_the_cookbook_loads() {
    let config = Config::parse(include_bytes!("../../../deploy/driver.json")).unwrap();
    let page = include_str!("../../../docs/operators/routes.md");
    let snippets: Vec<&str> = page.split("```text\n").skip(1).filter_map(|s| s.split("```").next()).collect();
    assert_eq!(snippets.len(), 8);
    for snippet in snippets {
        let operated = config.parse_operator_file("snippet", snippet);
        let operated = operated.unwrap_or_else(|found| panic!("{snippet}{}", found[0]));
        assert!(!operated.plans.routes.unwrap().routes.is_empty());
    }
}
