//! Resume tickets are accepted only unchanged, with the right secret and before they expire.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use filbertpaddle::ticket;
use filbertpaddle::ticket::Error;
use filbertpaddle::ticket::Ticket;
use filbertpaddle_core::clock::Millis;

const SECRET: &[u8] = b"a-ticket-secret";
const NOW: Millis = Millis(1_000_000);

fn ticket() -> Ticket {
    Ticket {
        customer: "school".into(),
        attempt: "entry-1-1-1".into(),
        target: "engine-1".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        idempotent: true,
        expires_unix_ms: NOW + ticket::LIFETIME_MS,
    }
}

#[test]
fn signed_ticket_is_verified_and_parsed() {
    let text = ticket::sign(&ticket(), SECRET);
    assert_eq!(ticket::verify(&text, SECRET, NOW), Ok(ticket()));
}

#[test]
fn ticket_with_any_changed_character_is_refused() {
    let text = ticket::sign(&ticket(), SECRET);
    for position in 0..text.len() {
        let mut changed: Vec<u8> = text.bytes().collect();
        changed[position] = if changed[position] == b'A' {
            b'B'
        } else {
            b'A'
        };
        let changed = String::from_utf8(changed).unwrap();
        assert_eq!(
            ticket::verify(&changed, SECRET, NOW),
            Err(Error::Invalid),
            "position {position}"
        );
    }
}

#[test]
fn ticket_signed_with_another_secret_is_refused() {
    let text = ticket::sign(&ticket(), b"another-secret");
    assert_eq!(ticket::verify(&text, SECRET, NOW), Err(Error::Invalid));
}

#[test]
fn expired_ticket_is_refused() {
    let text = ticket::sign(&ticket(), SECRET);
    let later = NOW + ticket::LIFETIME_MS + Millis(1);
    assert_eq!(ticket::verify(&text, SECRET, later), Err(Error::Expired));
}
