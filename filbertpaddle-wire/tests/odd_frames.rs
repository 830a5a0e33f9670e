//! Frames that are no batch of messages.

use filbertpaddle_wire::config;
use filbertpaddle_wire::frame::Decoder;
use filbertpaddle_wire::frame::Encoder;
use filbertpaddle_wire::message::Message;
use filbertpaddle_wire::setting::Key;

#[test]
fn odd_frames_are_refused() {
    let nested = [0x81, 0xa1, 0x9f, 0xbf, 0xc1, 0xd8].map(|head| vec![head; 100_000]);
    let largest = [0x9b, 0xbb, 0x7b, 0x5b].map(|head| [&[head], [0xff; 8].as_slice()].concat());
    let in_batch = largest
        .clone()
        .map(|content| [&[0x81], content.as_slice()].concat());
    // As deep as the decoder recurses, with something that is no message inside.
    let deep = [vec![0x81; 200], vec![0x01]].concat();
    let frames = nested.into_iter().chain(largest).chain(in_batch);
    for frame in frames.chain([deep, Vec::new(), vec![0xff], vec![0x81, 0xf9, 0x7e, 0x00]]) {
        let start = &frame[..frame.len().min(12)];
        assert!(Decoder::new().decode(&frame).is_err(), "{start:x?}");
    }
}

#[test]
fn names_of_any_length_arrive() {
    let after = Some(Key::Vm("\u{0}".repeat(100_000).into()));
    let message = Message::Config(config::Message::PageRequest { seq: 1, after });
    let frame = Encoder::new()
        .encode(std::slice::from_ref(&message))
        .unwrap();
    assert_eq!(Decoder::new().decode(&frame).unwrap(), [message]);
}
