use super::*;
use chalkgap_runtime::simulated_runtime::Simulation;

const LINK: (Party, Party) = (Party::Ingress(1), Party::Node(0));

/// Reads once; returns `None` if no bytes arrive within `wait`.
async fn read(runtime: &Shared, stream: &mut Box<dyn Stream>, wait: Micros) -> Option<io::Result<Vec<u8>>> {
    let mut buffer = [0; 64];
    let timeout = async {
        runtime.sleep_until(runtime.now() + wait).await;
        None
    };
    let result = async { Some(stream.read(&mut buffer).await) };
    Some(future::or(result, timeout).await?.map(|len| buffer[..len].to_vec()))
}

#[test]
fn streams_are_cut_reset_slowed_and_half_open_by_link_and_direction() {
    let simulation = Simulation::new(1, 1_000_000);
    let (host, _guard) = simulation.host(1, 0);
    let runtime: Shared = host;
    simulation
        .run(async move {
            let listener = runtime.listen(([127, 0, 0, 1], 0).into()).unwrap();
            let network = Network::default();
            let relay =
                StreamRelay::start(runtime.clone(), network.clone(), LINK, listener.address(), 7).unwrap();
            let mut near = runtime.connect(relay.address()).await.unwrap();
            let mut far = listener.accept().await.unwrap();
            let set = |link: (Party, Party), faults| network.set(link.0, link.1, Some(faults));
            let back = (LINK.1, LINK.0);
            set(LINK, LinkFaults { cut: Some(Cut::Silent), ..LinkFaults::default() });
            near.write_all(b"up").await.unwrap();
            far.write_all(b"down").await.unwrap();
            assert_eq!(read(&runtime, &mut near, 1_000_000).await.unwrap().unwrap(), b"down");
            assert!(
                read(&runtime, &mut far, 60_000_000).await.is_none(),
                "a silent cut passed bytes or an end"
            );
            network.set(LINK.0, LINK.1, None);
            assert_eq!(
                read(&runtime, &mut far, 1_000_000).await.unwrap().unwrap(),
                b"up",
                "bytes sent during the cut arrive after it"
            );
            set(back, LinkFaults { rate: 1000, ..LinkFaults::default() });
            let start = runtime.now();
            far.write_all(&[7; 50]).await.unwrap();
            assert_eq!(read(&runtime, &mut near, 1_000_000).await.unwrap().unwrap().len(), 50);
            assert!((50_000..80_000).contains(&(runtime.now() - start)), "50 bytes at 1000 bytes/s");
            set(back, LinkFaults { half_open: true, ..LinkFaults::default() });
            drop(far);
            assert!(
                read(&runtime, &mut near, 60_000_000).await.is_none(),
                "a half-open link passed the end of the stream"
            );
            network.set(back.0, back.1, None);
            assert!(matches!(read(&runtime, &mut near, 1_000_000).await, Some(Ok(end)) if end.is_empty()));
            let mut near = runtime.connect(relay.address()).await.unwrap();
            let _far = listener.accept().await.unwrap();
            set(LINK, LinkFaults { cut: Some(Cut::Reset), ..LinkFaults::default() });
            let ended = |result: Option<io::Result<Vec<u8>>>| {
                matches!(result, Some(Err(_))) || matches!(result, Some(Ok(bytes)) if bytes.is_empty())
            };
            assert!(ended(read(&runtime, &mut near, 1_000_000).await), "the stream survived the reset");
            let mut new = runtime.connect(relay.address()).await.unwrap();
            assert!(ended(read(&runtime, &mut new, 1_000_000).await), "a new stream stays open");
        })
        .expect("the simulation stopped early");
}

#[test]
fn the_link_of_a_datagram_is_identified_by_its_sender() {
    let simulation = Simulation::new(2, 1_000_000);
    let (host, _guard) = simulation.host(1, 0);
    let runtime: Shared = host;
    simulation
        .run(async move {
            let socket = || runtime.datagrams(([127, 0, 0, 1], 0).into()).unwrap();
            let a = socket();
            let b = socket();
            let receiver = socket();
            let network = Network::default();
            let party = Party::Ingress(2);
            let relay = Relay::start(runtime.clone(), network.clone(), party, receiver.address(), 7).unwrap();
            network.register_sender(a.address(), Party::Ingress(0));
            network.register_sender(b.address(), Party::Ingress(1));
            let cut = LinkFaults { cut: Some(Cut::Silent), ..LinkFaults::default() };
            network.set(Party::Ingress(0), party, Some(cut));
            network.set(party, Party::Ingress(1), Some(cut)); // the other direction does not matter
            for n in 0..10 {
                a.send(&[1, n], relay.address()).await.unwrap();
                b.send(&[2, n], relay.address()).await.unwrap();
            }
            let mut senders = Vec::new();
            let end = runtime.now() + 1_000_000;
            let mut buffer = [0; 8];
            loop {
                let timeout = async {
                    runtime.sleep_until(end).await;
                    None
                };
                match future::or(async { receiver.receive(&mut buffer).await.ok() }, timeout).await {
                    Some(_) => senders.push(buffer[0]),
                    None => break,
                }
            }
            assert_eq!(senders, [2; 10]);
            assert_eq!(network.sent()[&(Party::Ingress(0), 1)], (10, 20), "lost datagrams are not counted");
        })
        .expect("the simulation stopped early");
}
