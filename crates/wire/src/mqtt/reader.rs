//! Decodes the data types of a packet's body (MQTT 5.0, section 1.5). Every length is checked before it is used.

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
        self.0.try_get_u8().map_err(|_| malformed("the packet ends where a byte is expected"))
    }

    pub fn u16(&mut self) -> Result<u16, Error> {
        self.0.try_get_u16().map_err(|_| malformed("the packet ends within a two byte integer"))
    }

    pub fn u32(&mut self) -> Result<u32, Error> {
        self.0.try_get_u32().map_err(|_| malformed("the packet ends within a four byte integer"))
    }

    pub fn variable_byte_integer(&mut self) -> Result<u32, Error> {
        let integer = read_variable_byte_integer(&self.0)?;
        let integer = integer.ok_or(malformed("the packet ends within a variable byte integer"))?;
        self.0.advance(integer.bytes);
        Ok(integer.value)
    }

    pub fn binary(&mut self) -> Result<Bytes, Error> {
        let length = usize::from(self.u16()?);
        if length > self.0.len() {
            return Err(malformed("the packet ends within binary data"));
        }
        Ok(self.0.split_to(length))
    }

    /// Reads a string. It must be valid UTF-8, which excludes surrogates, without U+0000 [MQTT-1.5.4-1, MQTT-1.5.4-2].
    pub fn string(&mut self) -> Result<String, Error> {
        let bytes = self.binary()?;
        let text = std::str::from_utf8(&bytes).map_err(|_| malformed("invalid UTF-8 in a string"))?;
        if text.contains('\0') {
            return Err(malformed("U+0000 in a string"));
        }
        Ok(text.to_owned())
    }

    /// Splits off the next `length` bytes, which are the packet's properties, and returns a reader of them.
    pub fn sub_reader(&mut self, length: usize) -> Result<Reader, Error> {
        if length > self.0.len() {
            return Err(malformed("the properties exceed the packet"));
        }
        Ok(Reader(self.0.split_to(length)))
    }

    /// Takes all bytes that have not been read.
    pub fn remaining(&mut self) -> Bytes {
        self.0.split_to(self.0.len())
    }

    /// Checks that the whole body has been read.
    pub fn finish(&self) -> Result<(), Error> {
        if self.0.is_empty() {
            return Ok(());
        }
        Err(malformed("unexpected bytes at the end of the packet"))
    }

    pub fn packet_identifier(&mut self) -> Result<u16, Error> {
        match self.u16()? {
            // [MQTT-2.2.1-3], [MQTT-2.2.1-4]
            0 => Err(Error::new(PROTOCOL_ERROR, "packet identifier: expected 1 or more")),
            identifier => Ok(identifier),
        }
    }
}

/// A decoded variable byte integer.
pub(super) struct VariableByteInteger {
    pub(super) value: u32,
    /// Size of its encoding in bytes.
    pub(super) bytes: usize,
}

/// Maximum size of a variable byte integer in bytes (section 1.5.5).
const MAX_VARIABLE_BYTES: usize = 4;

/// Reads a variable byte integer. Returns `None` if bytes are missing.
///
/// # Errors
/// If it has more than four bytes or more than its value needs [MQTT-1.5.5-1].
pub(super) fn read_variable_byte_integer(bytes: &[u8]) -> Result<Option<VariableByteInteger>, Error> {
    let mut value = 0;
    for (index, byte) in bytes.iter().take(MAX_VARIABLE_BYTES).enumerate() {
        value |= u32::from(byte & 0x7f) << (7 * index);
        if byte & 0x80 == 0 {
            if *byte == 0 && index > 0 {
                return Err(malformed("variable byte integer longer than necessary"));
            }
            return Ok(Some(VariableByteInteger { value, bytes: index + 1 }));
        }
    }
    if bytes.len() >= MAX_VARIABLE_BYTES {
        return Err(malformed("variable byte integer of more than four bytes"));
    }
    Ok(None)
}
