//! Messages as bytes: they survive the way, and are what earlier versions wrote.

use super::*;

#[test]
fn messages_survive_the_way() {
    let customer = CustomerId((1 << 33) - 7);
    let (first, width) = (400, 219);
    let one = Use {
        customer,
        plan: 3,
        total: 65_000,
        open: 99,
        level: 200,
        first,
        width,
        ask: true,
        units: 1.25,
        short: true,
    };
    let uses = vec![one; MOST_USES];
    let news = vec![News { customer, yours: 9, level: -7.25, rate: 12.5, open: 127, gift: 2.25 }; MOST_NEWS];
    for body in [Body::Uses(uses), Body::News(9, news), Body::Uses(vec![])] {
        for count in 0..=MOST_SAMPLES {
            let one = Sample { tag: tag(77), class: 6, took: Some(0.5) };
            let bad = Sample { took: None, ..one };
            let samples = [one, bad, one][..count].to_vec();
            let message = Message { born: 77, seq: 3, samples, body: body.clone() };
            let bytes = message.pack();
            assert!(bytes.len() <= MOST);
            assert_eq!(Message::unpack(&bytes), Some(message));
            for cut in 0..bytes.len() {
                assert_eq!(Message::unpack(&bytes[..cut]), None, "cut at {cut}");
            }
        }
    }
    assert_eq!(gone_by(wrap(16_383.0), wrap(16_385.0)), 2.0);
}

#[path = "../../../../tests/support/recorded.rs"]
mod recorded;

fn recorded_messages() -> Vec<(&'static str, Message)> {
    let ask = Use {
        customer: CustomerId(0x1_2345_6789),
        plan: 5,
        total: 40_321,
        open: 17,
        level: 254,
        first: 299,
        width: 300,
        ask: true,
        units: 2.25,
        short: true,
    };
    let told = Use { customer: CustomerId(7), level: 255, ask: false, units: 0.0, short: false, ..ask };
    let word = News { customer: CustomerId(9), yours: 1_000, level: -3.5, rate: 77.25, open: 4, gift: 1.5 };
    let samples = vec![
        Sample { tag: tag(1), class: 0, took: Some(1.0) },
        Sample { tag: tag(2), class: 7, took: None },
        Sample { tag: tag(3), class: 3, took: Some(0.125) },
    ];
    let body = Body::Uses(vec![ask, told]);
    vec![
        ("reports", Message { born: 0xdead_beef, seq: 65_535, samples: samples.clone(), body }),
        ("no reports", Message { born: 1, seq: 0, samples: Vec::new(), body: Body::Uses(Vec::new()) }),
        ("replies", Message { born: 77, seq: 12, samples, body: Body::News(99, vec![word, word]) }),
    ]
}

#[test]
fn messages_are_the_bytes_that_were_recorded() {
    let messages = recorded_messages();
    let bytes: Vec<(&str, Vec<u8>)> = messages.iter().map(|(name, m)| (*name, m.pack())).collect();
    recorded::check_messages("gossip.txt", &bytes);
    for ((name, message), (_, bytes)) in messages.iter().zip(&bytes) {
        assert_eq!(Message::unpack(bytes).as_ref(), Some(message), "{name}");
    }
}
