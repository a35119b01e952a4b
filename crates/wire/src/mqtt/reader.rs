//! Data types out of a packet's body (MQTT 5, section 1.5). Every length is checked before it is used.

use super::error::{malformed, Error};
use super::reason::PROTOCOL_ERROR;
use bytes::{Buf, Bytes};

/// Reads the data types of section 1.5 from a packet's body.
pub(super) struct Reader(pub(super) Bytes);

impl Reader {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn u8(&mut self) -> Result<u8, Error> {
        self.0.try_get_u8().map_err(|_| malformed("the packet ends inside a byte's place"))
    }

    pub fn u16(&mut self) -> Result<u16, Error> {
        self.0.try_get_u16().map_err(|_| malformed("the packet ends inside a two byte integer"))
    }

    pub fn u32(&mut self) -> Result<u32, Error> {
        self.0.try_get_u32().map_err(|_| malformed("the packet ends inside a four byte integer"))
    }

    pub fn variable_byte_integer(&mut self) -> Result<u32, Error> {
        let integer = read_variable_byte_integer(&self.0)?;
        let integer = integer.ok_or(malformed("the packet ends inside a variable byte integer"))?;
        self.0.advance(integer.bytes);
        Ok(integer.value)
    }

    pub fn binary(&mut self) -> Result<Bytes, Error> {
        let length = usize::from(self.u16()?);
        if length > self.0.len() {
            return Err(malformed("the packet ends inside binary data"));
        }
        Ok(self.0.split_to(length))
    }

    /// UTF-8 without U+0000; surrogates are no UTF-8 [MQTT-1.5.4-1, MQTT-1.5.4-2].
    pub fn string(&mut self) -> Result<String, Error> {
        let bytes = self.binary()?;
        let text = std::str::from_utf8(&bytes).map_err(|_| malformed("a text that is no UTF-8"))?;
        if text.contains('\0') {
            return Err(malformed("a text with U+0000"));
        }
        Ok(text.to_owned())
    }

    pub fn sub_reader(&mut self, length: usize) -> Result<Reader, Error> {
        if length > self.0.len() {
            return Err(malformed("properties that pass the packet's end"));
        }
        Ok(Reader(self.0.split_to(length)))
    }

    pub fn remaining(&mut self) -> Bytes {
        self.0.split_to(self.0.len())
    }

    pub fn finish(&self) -> Result<(), Error> {
        if self.0.is_empty() {
            return Ok(());
        }
        Err(malformed("the packet goes on after its end"))
    }

    pub fn packet_identifier(&mut self) -> Result<u16, Error> {
        match self.u16()? {
            // [MQTT-2.2.1-3], [MQTT-2.2.1-4]
            0 => Err(Error::new(PROTOCOL_ERROR, "packet identifier 0")),
            identifier => Ok(identifier),
        }
    }
}

/// A variable byte integer as it was read.
pub(super) struct VariableByteInteger {
    pub(super) value: u32,
    /// How many bytes it took.
    pub(super) bytes: usize,
}

const MAX_VARIABLE_BYTES: usize = 4;

/// Reads a variable byte integer; none: bytes are missing. It must use as few bytes as possible [MQTT-1.5.5-1].
pub(super) fn read_variable_byte_integer(bytes: &[u8]) -> Result<Option<VariableByteInteger>, Error> {
    let mut value = 0;
    for (index, byte) in bytes.iter().take(MAX_VARIABLE_BYTES).enumerate() {
        value |= u32::from(byte & 0x7f) << (7 * index);
        if byte & 0x80 == 0 {
            if *byte == 0 && index > 0 {
                return Err(malformed("a variable byte integer that is longer than it need be"));
            }
            return Ok(Some(VariableByteInteger { value, bytes: index + 1 }));
        }
    }
    if bytes.len() >= MAX_VARIABLE_BYTES {
        return Err(malformed("a variable byte integer of more than four bytes"));
    }
    Ok(None)
}
