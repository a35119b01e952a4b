use super::*;
use chalkgap_wire::fleet::{FETCH, HAVE};
use Direction::{Answer, Question};

fn authenticator(key_digit: &str, ingress: u16) -> Authenticator {
    Authenticator { key: Key::parse(&key_digit.repeat(64)).unwrap(), ingress }
}

#[test]
fn a_message_is_valid_for_its_own_call_only() {
    let sender = authenticator("a", 0);
    let receiver = authenticator("a", 1);
    let encode = |message: &Sealed| Bytes::from(message.encode_to_vec());
    let sealed = sender.seal(HAVE, Question, 1, 7, Bytes::from_static(b"body"));
    assert_eq!(receiver.open(HAVE, Question, encode(&sealed)), Some(sealed.clone()));
    assert_eq!(receiver.open(FETCH, Question, encode(&sealed)), None, "message of another call");
    assert_eq!(receiver.open(HAVE, Answer, encode(&sealed)), None, "a question is not valid as an answer");
    assert_eq!(sender.open(HAVE, Question, encode(&sealed)), None, "message to another ingress");
    let other_key = authenticator("b", 1);
    assert_eq!(other_key.open(HAVE, Question, encode(&sealed)), None, "message under another key");
    for changed in [
        Sealed { nonce: 8, ..sealed.clone() },
        Sealed { from: 2, ..sealed.clone() },
        Sealed { body: Bytes::from_static(b"bodY"), ..sealed.clone() },
        Sealed { hash: Bytes::from_static(b"short"), ..sealed.clone() },
    ] {
        assert_eq!(receiver.open(HAVE, Question, encode(&changed)), None);
    }
    assert_eq!(receiver.open(HAVE, Question, Bytes::from_static(&[0xff, 0xff])), None);
}
