//! The commands of the crowd and of the usual clients.

/// Length of a long body, and of a long value.
pub const LONG_BODY_BYTES: usize = 64 << 10;
/// The customer of the crowd's requests for long values; backends recognize it.
pub const LONG_VALUE_CUSTOMER: &str = "0000000000000011";
const CUSTOMER: &str = "0000000000000007";
const QUERY_ATTRIBUTES: &str = "c=sig-check,t=team,d=4000,units=1,spread=1,first=0";

fn encode(arguments: &[&[u8]]) -> Vec<u8> {
    let mut out = bytes::BytesMut::new();
    chalkgap_resp::put_command(&mut out, arguments);
    out.to_vec()
}

fn query_of(customer: &str, id: u64) -> Vec<u8> {
    let id = format!("{id:016x}");
    encode(&[b"SVC.QUERY", customer.as_bytes(), id.as_bytes(), QUERY_ATTRIBUTES.as_bytes()])
}

/// A query with a short value.
pub fn query(id: u64) -> Vec<u8> {
    query_of(CUSTOMER, id)
}

/// A query whose value is long.
pub fn query_with_long_value(id: u64) -> Vec<u8> {
    query_of(LONG_VALUE_CUSTOMER, id)
}

/// A submit with a body of this length. Its key is the id.
pub fn submit(id: u64, body_bytes: usize) -> Vec<u8> {
    let id = format!("{id:016x}");
    let attributes = format!("c=report-upload,t=team,d=4000,k={id},units=1,spread=1,first=0");
    let body = vec![b'x'; body_bytes];
    encode(&[b"SVC.SUBMIT", CUSTOMER.as_bytes(), id.as_bytes(), attributes.as_bytes(), &body])
}

/// A command with an argument of very many short attributes that does not end.
pub fn unfinished_attributes() -> Vec<u8> {
    const ARGUMENT_BYTES: usize = 60 << 10;
    let mut command = b"*5\r\n$9\r\nSVC.QUERY\r\n".to_vec();
    command.extend_from_slice(format!("${LONG_BODY_BYTES}\r\n").as_bytes());
    command.extend(b"c=a,".iter().cycle().take(ARGUMENT_BYTES));
    command
}

/// A short command that is answered with a longer error.
pub fn unsound() -> Vec<u8> {
    encode(&[b"x"])
}
