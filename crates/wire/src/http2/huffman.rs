//! The Huffman code of HPACK (RFC 7541, appendix B). The code is canonical: sorted by length and then by symbol,
//! each code is the one before plus one, so the lengths alone define it.

use std::sync::OnceLock;

/// Bits of each symbol's code; the last is the end of string.
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
/// Bits that the decoder's first look takes at once: all common symbols are shorter.
const LOOK: u32 = 8;

struct Tables {
    codes: [u32; 257],
    /// By the next eight bits: symbol and length, where the code is no longer than that.
    short: [Option<(u8, u8)>; 256],
    /// By length: the first code of it, the place of its first symbol in `sorted`, how many there are.
    by_length: [(u32, u16, u16); 31],
    sorted: Vec<u16>,
}

/// Immutable tables computed from the constant above: shared by all, they hold no state.
fn tables() -> &'static Tables {
    static TABLES: OnceLock<Tables> = OnceLock::new();
    TABLES.get_or_init(|| {
        let mut sorted: Vec<u16> = (0..=EOS).collect();
        sorted.sort_by_key(|s| (LENGTHS[usize::from(*s)], *s));
        let (mut codes, mut by_length, mut short) = ([0u32; 257], [(0u32, 0u16, 0u16); 31], [None; 256]);
        let (mut code, mut length) = (0u32, LENGTHS[usize::from(sorted[0])]);
        for (place, symbol) in (0u16..).zip(&sorted) {
            let bits = LENGTHS[usize::from(*symbol)];
            code <<= bits - length;
            length = bits;
            let row = &mut by_length[usize::from(bits)];
            if row.2 == 0 {
                (row.0, row.1) = (code, place);
            }
            row.2 += 1;
            codes[usize::from(*symbol)] = code;
            if u32::from(bits) <= LOOK {
                let rest = LOOK - u32::from(bits);
                let from = (code << rest) as usize;
                short[from..from + (1 << rest)].fill(Some((*symbol as u8, bits)));
            }
            code += 1;
        }
        Tables { codes, short, by_length, sorted }
    })
}

/// How many bytes the coded form has.
pub fn encoded_len(plain: &[u8]) -> usize {
    plain.iter().map(|b| usize::from(LENGTHS[usize::from(*b)])).sum::<usize>().div_ceil(8)
}

/// Appends the coded form, padded with ones.
pub fn encode(plain: &[u8], out: &mut Vec<u8>) {
    let t = tables();
    let (mut bits, mut held) = (0u64, 0u32);
    for b in plain {
        let n = u32::from(LENGTHS[usize::from(*b)]);
        bits = bits << n | u64::from(t.codes[usize::from(*b)]);
        held += n;
        while held >= 8 {
            held -= 8;
            out.push((bits >> held) as u8);
        }
    }
    if held > 0 {
        out.push((bits << (8 - held)) as u8 | (0xff >> held));
    }
}

/// Appends the plain form of at most `most` bytes. `None`: a code that does not exist, the end of string inside,
/// padding of a whole byte or with other than ones (RFC 7541, section 5.2), or more than `most`.
pub fn decode(coded: &[u8], most: usize, out: &mut Vec<u8>) -> Option<()> {
    let t = tables();
    let start = out.len();
    let (mut bits, mut held, mut next) = (0u64, 0u32, 0usize);
    loop {
        while held <= 56 && next < coded.len() {
            bits = bits << 8 | u64::from(coded[next]);
            held += 8;
            next += 1;
        }
        if held == 0 {
            return Some(());
        }
        // What follows the end reads as ones, which is what the padding is.
        let window = if held >= 32 { (bits >> (held - 32)) as u32 } else { pad(bits, held) };
        let (symbol, n) = match t.short[(window >> (32 - LOOK)) as usize] {
            Some((symbol, n)) => (u16::from(symbol), u32::from(n)),
            None => {
                let fits = |n: &u32| {
                    let row = t.by_length[*n as usize];
                    row.2 > 0 && (window >> (32 - n)).wrapping_sub(row.0) < u32::from(row.2)
                };
                let n = (LOOK + 1..=30).find(fits)?;
                let row = t.by_length[n as usize];
                (t.sorted[usize::from(row.1) + ((window >> (32 - n)) - row.0) as usize], n)
            }
        };
        if n > held {
            let ones = (1u64 << held) - 1;
            return (held < 8 && bits & ones == ones).then_some(());
        }
        if symbol == EOS || out.len() - start >= most {
            return None;
        }
        held -= n;
        bits &= (1u64 << held) - 1;
        out.push(symbol as u8);
    }
}

fn pad(bits: u64, held: u32) -> u32 {
    let missing = 32 - held;
    ((bits << missing) | ((1u64 << missing) - 1)) as u32
}

#[cfg(test)]
mod tests;
