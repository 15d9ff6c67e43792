//! Reading and writing of the wire's binary frames, with every length checked.

/// A cursor over bytes that never reads past their end.
pub struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

macro_rules! number {
    ($name:ident, $type:ty) => {
        /// The next number, little-endian.
        pub fn $name(&mut self) -> Result<$type, String> {
            let raw = self.take(std::mem::size_of::<$type>())?;
            raw.try_into().map(<$type>::from_le_bytes).map_err(|_| "number cut short".to_string())
        }
    };
}

impl<'a> Reader<'a> {
    /// A reader at the start of these bytes.
    pub fn new(bytes: &'a [u8]) -> Self {
        Reader { bytes, at: 0 }
    }

    number!(u8, u8);
    number!(u16, u16);
    number!(u32, u32);
    number!(u64, u64);
    number!(f32, f32);

    /// The next `count` bytes.
    pub fn take(&mut self, count: usize) -> Result<&'a [u8], String> {
        let end = self.at.checked_add(count).filter(|&end| end <= self.bytes.len()).ok_or_else(|| {
            format!("{count} bytes wanted at byte {}, {} are left", self.at, self.bytes.len() - self.at)
        })?;
        let taken = &self.bytes[self.at..end];
        self.at = end;
        Ok(taken)
    }

    /// Bytes not read yet.
    pub fn left(&self) -> usize {
        self.bytes.len() - self.at
    }

    /// Fails unless everything has been read.
    pub fn finish(&self) -> Result<(), String> {
        match self.left() {
            0 => Ok(()),
            left => Err(format!("{left} bytes too many")),
        }
    }
}

/// Size of a batch header.
pub const HEADER: usize = 16;

/// A batch header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Number of the batch.
    pub batch: u32,
    /// Length of the whole frame.
    pub length: u32,
    /// The clock.
    pub clock: u64,
}

/// Reads a batch header.
pub fn header(bytes: &[u8]) -> Result<Header, String> {
    let mut r = Reader::new(bytes);
    let header = Header { batch: r.u32()?, length: r.u32()?, clock: r.u64()? };
    if (header.length as usize) < HEADER {
        return Err(format!(
            "batch {}: length {} is under the header's {HEADER}",
            header.batch, header.length
        ));
    }
    Ok(header)
}

/// A reply that is being written.
pub struct Reply {
    bytes: Vec<u8>,
    count: u32,
}

impl Reply {
    /// An empty reply to a batch.
    pub fn new(batch: u32) -> Self {
        let mut bytes = batch.to_le_bytes().to_vec();
        bytes.extend_from_slice(&[0; 8]);
        Reply { bytes, count: 0 }
    }

    /// Adds a record: its code, then its fields one after the other.
    pub fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let length: usize = fields.iter().map(|f| f.len()).sum();
        self.bytes.push(code);
        self.bytes.extend_from_slice(&(length as u32).to_le_bytes());
        for field in fields {
            self.bytes.extend_from_slice(field);
        }
        self.count += 1;
    }

    /// The finished frame.
    pub fn finish(mut self) -> Vec<u8> {
        let length = self.bytes.len() as u32;
        self.bytes[4..8].copy_from_slice(&length.to_le_bytes());
        self.bytes[8..12].copy_from_slice(&self.count.to_le_bytes());
        self.bytes
    }
}
