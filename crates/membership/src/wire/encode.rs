//! Encoding of messages.

use super::{code, Kind, Message, ViewSummary, IPV6_BIT, MAX_MESSAGE_LENGTH};
use crate::view::MemberRecord;
use crate::MemberId;
use std::net::{IpAddr, SocketAddr};

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(MAX_MESSAGE_LENGTH);
        out.push(self.kind.code());
        out.extend_from_slice(&self.nonce.to_be_bytes());
        out.extend_from_slice(&self.digest.to_be_bytes());
        self.kind.put_fields(&mut out);
        for (record, held_for) in &self.records {
            put_record(&mut out, record);
            if self.has_durations() {
                out.extend_from_slice(&held_for.to_be_bytes());
            }
        }
        out
    }
}

impl Kind {
    fn code(&self) -> u8 {
        match self {
            Kind::Ping => code::PING,
            Kind::Ack => code::ACK,
            Kind::PingRequest { .. } => code::PING_REQUEST,
            Kind::IndirectAck => code::INDIRECT_ACK,
            Kind::IndirectNack => code::INDIRECT_NACK,
            Kind::Digests { .. } => code::DIGESTS,
            Kind::Records => code::RECORDS,
            Kind::ViewRequest { .. } => code::VIEW_REQUEST,
            Kind::ViewPage(_) => code::VIEW_PAGE,
        }
    }

    fn put_fields(&self, out: &mut Vec<u8>) {
        match self {
            Kind::PingRequest { target, address } => {
                out.extend_from_slice(&target.to_be_bytes());
                out.push(u8::from(address.is_ipv6()));
                put_address(out, *address);
            }
            Kind::Digests { reply_requested, digests } => {
                out.push(u8::from(*reply_requested));
                digests.iter().for_each(|digest| out.extend_from_slice(&digest.to_be_bytes()));
            }
            Kind::ViewRequest { from } => out.extend_from_slice(&from.to_be_bytes()),
            Kind::ViewPage(summary) => put_summary(out, summary),
            Kind::Ping | Kind::Ack | Kind::IndirectAck | Kind::IndirectNack | Kind::Records => {}
        }
    }
}

fn put_summary(out: &mut Vec<u8>, summary: &ViewSummary) {
    out.extend_from_slice(&summary.owner.to_be_bytes());
    out.extend_from_slice(&summary.version.to_be_bytes());
    out.extend_from_slice(&summary.live_count.to_be_bytes());
    out.extend_from_slice(&summary.voter_count.to_be_bytes());
    out.push(summary.partition_status);
    out.extend_from_slice(&summary.detection_bound.to_be_bytes());
    out.extend_from_slice(&summary.next.unwrap_or(MemberId::MAX).to_be_bytes());
}

fn put_record(out: &mut Vec<u8>, record: &MemberRecord) {
    let family = if record.address.is_ipv6() { IPV6_BIT } else { 0 };
    out.extend_from_slice(&record.id.to_be_bytes());
    out.push(record.state as u8 | family);
    out.extend_from_slice(&record.version.to_be_bytes());
    out.extend_from_slice(&record.incarnation.to_be_bytes());
    out.extend_from_slice(&record.reported_by.to_be_bytes());
    put_address(out, record.address);
}

fn put_address(out: &mut Vec<u8>, address: SocketAddr) {
    match address.ip() {
        IpAddr::V4(ip) => out.extend_from_slice(&ip.octets()),
        IpAddr::V6(ip) => out.extend_from_slice(&ip.octets()),
    }
    out.extend_from_slice(&address.port().to_be_bytes());
}
