//! Messages between nodes that another program sent, or that carry what one wrote.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::change::Batch;
use filbertpaddle_forward::change::Change;
use filbertpaddle_forward::change::Entry;
use filbertpaddle_forward::change::Table;
use filbertpaddle_forward::revision::Revision;
use filbertpaddle_forward::target::Target;
use filbertpaddle_gateway::peer_message;
use filbertpaddle_gateway::peer_message::Message;
use filbertpaddle_gateway::version_exchange::Datagram;

const DEPTH: usize = 100_000;
/// Heads of a CBOR array, map, text and byte string of the largest length.
const LARGEST: [u8; 4] = [0x9b, 0xbb, 0x7b, 0x5b];

/// Returns bytes with a message's name, and something odd as its content.
fn odd_messages() -> Vec<Vec<u8>> {
    let largest = LARGEST.map(|head| [&[head], [0xff; 8].as_slice()].concat());
    let nested = [0x81, 0xa1, 0x9f, 0xc1, 0xd8].map(|head| vec![head; DEPTH]);
    let mut contents: Vec<_> = largest.into_iter().chain(nested).collect();
    contents.extend([Vec::new(), vec![0xff], vec![0xf9, 0x7e, 0x00]]);
    let names = ["Nodes", "Work", "Table", "Rates", "Ages", "k", "q", "other"];
    let named = names.iter().flat_map(|name| {
        let length = 0x60 + u8::try_from(name.len()).unwrap_or_default();
        let head = [&[0xa1, length], name.as_bytes()].concat();
        let message = move |content: &Vec<u8>| [head.as_slice(), content].concat();
        contents.iter().map(message).collect::<Vec<_>>()
    });
    named.chain(contents.clone()).collect()
}

#[test]
fn odd_bytes_are_refused_as_messages() {
    for bytes in odd_messages() {
        let start = &bytes[..bytes.len().min(20)];
        assert!(peer_message::decode(&bytes).is_err(), "{start:x?}");
        assert!(
            ciborium::from_reader::<Datagram, _>(bytes.as_slice()).is_err(),
            "{start:x?}"
        );
    }
}

/// What a reader of the store takes for a target arrives at its followers.
#[test]
fn any_target_that_a_reader_lists_arrives_at_its_followers() {
    let target = Target {
        id: "~".repeat(200).into(),
        service: "\0\u{1f600}".repeat(16_384).into(),
        address: "[2001:db8::1]:65535".into(),
        data_centre: "".into(),
        slots: u32::MAX,
        is_draining: true,
        cold_ms: Millis(u64::MAX),
        started_ms: Some(Millis(u64::MAX)),
        version: "\"[{".repeat(20_000).into(),
    };
    let revision = Revision::new(u64::MAX, u64::MAX);
    let entries = [Entry::Target(target), Entry::NoTarget("\u{0}".into())];
    let change = |entry| Change { revision, entry };
    let message = Message::Table {
        clock_ms: None,
        configuration_change: None,
        age_ms: Millis(u64::MAX),
        batch: Batch {
            table: Table::Targets,
            is_whole: true,
            revision,
            changes: entries.map(change).to_vec(),
        },
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&message, &mut bytes).unwrap();
    assert_eq!(peer_message::decode(&bytes).unwrap(), message);
}
