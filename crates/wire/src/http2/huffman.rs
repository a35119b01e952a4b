//! The Huffman code of HPACK (RFC 7541, appendix B). The code is canonical: in the order of length and then symbol,
//! each code is the previous one plus one, extended with zeros to its length. The lengths alone therefore define the
//! code.

use std::sync::OnceLock;

/// Length in bits of each symbol's code. The last symbol is the end of string (EOS).
const LENGTHS: [u8; 257] = [
    13, 23, 28, 28, 28, 28, 28, 28, 28, 24, 30, 28, 28, 30, 28, 28, 28, 28, 28, 28, 28, 28, 30, 28, 28, 28,
    28, 28, 28, 28, 28, 28, 6, 10, 10, 12, 13, 6, 8, 11, 10, 10, 8, 11, 8, 6, 6, 6, 5, 5, 5, 6, 6, 6, 6, 6,
    6, 6, 7, 8, 15, 6, 12, 10, 13, 6, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 8, 7,
    8, 13, 19, 13, 14, 6, 15, 5, 6, 5, 6, 5, 6, 6, 6, 5, 7, 7, 6, 6, 6, 5, 6, 7, 6, 5, 5, 6, 7, 7, 7, 7, 7,
    15, 11, 14, 13, 28, 20, 22, 20, 20, 22, 22, 22, 23, 22, 23, 23, 23, 23, 23, 24, 23, 24, 24, 22, 23, 24,
    23, 23, 23, 23, 21, 22, 23, 22, 23, 23, 24, 22, 21, 20, 22, 22, 23, 23, 21, 23, 22, 22, 24, 21, 22, 23,
    23, 21, 21, 22, 21, 23, 22, 23, 23, 20, 22, 22, 22, 23, 22, 22, 23, 26, 26, 20, 19, 22, 23, 22, 25, 26,
    26, 26, 27, 27, 26, 24, 25, 19, 21, 26, 27, 27, 26, 27, 24, 21, 21, 26, 26, 28, 27, 27, 27, 20, 24, 20,
    21, 22, 21, 21, 23, 22, 22, 25, 25, 24, 24, 26, 23, 26, 27, 26, 26, 27, 27, 27, 27, 27, 28, 27, 27, 27,
    27, 27, 26, 30,
];

const EOS: u16 = 256;
/// Number of bits that the decoder looks up at once. The codes of all common symbols are not longer.
const LOOKUP_BITS: u32 = 8;

struct Tables {
    /// The code of each symbol.
    codes: [u32; 257],
    /// Symbol and code length by the next [`LOOKUP_BITS`] bits. `None`: the code is longer.
    lookup: [Option<(u8, u8)>; 256],
    /// The codes of each length.
    by_length: [CodesOfLength; 31],
    /// Symbols in the order of their codes.
    sorted: Vec<u16>,
}

/// The codes of one length.
#[derive(Clone, Copy, Default)]
struct CodesOfLength {
    first_code: u32,
    /// Index of the first code's symbol in [`Tables::sorted`].
    first_index: u16,
    count: u16,
}

/// Returns the tables, which are computed once from [`LENGTHS`] and immutable.
fn tables() -> &'static Tables {
    static TABLES: OnceLock<Tables> = OnceLock::new();
    TABLES.get_or_init(|| {
        let mut sorted: Vec<u16> = (0..=EOS).collect();
        sorted.sort_by_key(|s| (LENGTHS[usize::from(*s)], *s));
        let mut codes = [0u32; 257];
        let mut by_length = [CodesOfLength::default(); 31];
        let mut lookup = [None; 256];
        let mut code = 0u32;
        let mut length = LENGTHS[usize::from(sorted[0])];
        for (index, symbol) in (0u16..).zip(&sorted) {
            let bits = LENGTHS[usize::from(*symbol)];
            code <<= bits - length;
            length = bits;
            let group = &mut by_length[usize::from(bits)];
            if group.count == 0 {
                group.first_code = code;
                group.first_index = index;
            }
            group.count += 1;
            codes[usize::from(*symbol)] = code;
            if u32::from(bits) <= LOOKUP_BITS {
                let rest = LOOKUP_BITS - u32::from(bits);
                let from = (code << rest) as usize;
                lookup[from..from + (1 << rest)].fill(Some((*symbol as u8, bits)));
            }
            code += 1;
        }
        Tables { codes, lookup, by_length, sorted }
    })
}

/// Returns the size of the encoded form in bytes.
pub fn encoded_len(plain: &[u8]) -> usize {
    plain.iter().map(|b| usize::from(LENGTHS[usize::from(*b)])).sum::<usize>().div_ceil(8)
}

/// Appends the encoded form, padded with ones to a whole byte.
pub fn encode(plain: &[u8], out: &mut Vec<u8>) {
    let tables = tables();
    let mut bits = 0u64;
    let mut bit_count = 0u32;
    for byte in plain {
        let length = u32::from(LENGTHS[usize::from(*byte)]);
        bits = bits << length | u64::from(tables.codes[usize::from(*byte)]);
        bit_count += length;
        while bit_count >= 8 {
            bit_count -= 8;
            out.push((bits >> bit_count) as u8);
        }
    }
    if bit_count > 0 {
        out.push((bits << (8 - bit_count)) as u8 | (0xff >> bit_count));
    }
}

/// Appends the decoded form.
///
/// Returns `None` if it has more than `max_bytes`, or if the encoding is invalid: it contains EOS, or padding that has
/// eight bits or more or other bits than ones (RFC 7541, section 5.2).
pub fn decode(encoded: &[u8], max_bytes: usize, out: &mut Vec<u8>) -> Option<()> {
    let tables = tables();
    let start = out.len();
    let mut bits = 0u64;
    let mut bit_count = 0u32;
    let mut position = 0usize;
    loop {
        while bit_count <= 56 && position < encoded.len() {
            bits = bits << 8 | u64::from(encoded[position]);
            bit_count += 8;
            position += 1;
        }
        if bit_count == 0 {
            return Some(());
        }
        // Beyond the end of the input, the window is filled with ones, like the padding.
        let window = if bit_count >= 32 { (bits >> (bit_count - 32)) as u32 } else { pad(bits, bit_count) };
        let (symbol, length) = match tables.lookup[(window >> (32 - LOOKUP_BITS)) as usize] {
            Some((symbol, length)) => (u16::from(symbol), u32::from(length)),
            None => {
                let is_code = |length: &u32| {
                    let group = tables.by_length[*length as usize];
                    let offset = (window >> (32 - length)).wrapping_sub(group.first_code);
                    group.count > 0 && offset < u32::from(group.count)
                };
                let length = (LOOKUP_BITS + 1..=30).find(is_code)?;
                let group = tables.by_length[length as usize];
                let offset = (window >> (32 - length)) - group.first_code;
                (tables.sorted[usize::from(group.first_index) + offset as usize], length)
            }
        };
        if length > bit_count {
            let ones = (1u64 << bit_count) - 1;
            return (bit_count < 8 && bits & ones == ones).then_some(());
        }
        if symbol == EOS || out.len() - start >= max_bytes {
            return None;
        }
        bit_count -= length;
        bits &= (1u64 << bit_count) - 1;
        out.push(symbol as u8);
    }
}

/// Returns the last `bit_count` bits, followed by ones, as 32 bits.
fn pad(bits: u64, bit_count: u32) -> u32 {
    let missing = 32 - bit_count;
    ((bits << missing) | ((1u64 << missing) - 1)) as u32
}

#[cfg(test)]
mod tests;
