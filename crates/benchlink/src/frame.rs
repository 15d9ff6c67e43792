//! Decoding and encoding of the binary frames of the simulator's protocol. Every length is checked.

/// A cursor over a byte slice that never reads past its end.
pub struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
}

macro_rules! number {
    ($name:ident, $type:ty) => {
        /// Reads the next number, in little-endian order.
        pub fn $name(&mut self) -> Result<$type, String> {
            let bytes = self.take(std::mem::size_of::<$type>())?;
            bytes.try_into().map(<$type>::from_le_bytes).map_err(|_| "a number is incomplete".to_string())
        }
    };
}

impl<'a> Reader<'a> {
    /// Creates a reader at the start of a slice.
    pub fn new(bytes: &'a [u8]) -> Self {
        Reader { bytes, position: 0 }
    }

    number!(u8, u8);
    number!(u16, u16);
    number!(u32, u32);
    number!(u64, u64);
    number!(f32, f32);

    /// Reads the next `count` bytes.
    pub fn take(&mut self, count: usize) -> Result<&'a [u8], String> {
        let end =
            self.position.checked_add(count).filter(|&end| end <= self.bytes.len()).ok_or_else(|| {
                format!(
                    "{count} bytes expected at byte {}, but only {} are left",
                    self.position,
                    self.bytes.len() - self.position
                )
            })?;
        let taken = &self.bytes[self.position..end];
        self.position = end;
        Ok(taken)
    }

    /// Number of bytes not read yet.
    pub fn left(&self) -> usize {
        self.bytes.len() - self.position
    }

    /// Returns an error unless all bytes have been read.
    pub fn finish(&self) -> Result<(), String> {
        match self.left() {
            0 => Ok(()),
            remaining => Err(format!("{remaining} bytes too many")),
        }
    }
}

/// Length of a batch header, in bytes.
pub const HEADER_BYTES: usize = 16;

/// A batch header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Number of the batch, repeated in the reply.
    pub batch: u32,
    /// Length of the whole frame with its header, in bytes.
    pub length: u32,
    /// Time of the simulator's clock, in microseconds.
    pub clock: u64,
}

/// Decodes a batch header.
pub fn decode_header(bytes: &[u8]) -> Result<Header, String> {
    let mut reader = Reader::new(bytes);
    let header = Header { batch: reader.u32()?, length: reader.u32()?, clock: reader.u64()? };
    if (header.length as usize) < HEADER_BYTES {
        return Err(format!(
            "batch {}: length {} is less than the {HEADER_BYTES} bytes of the header",
            header.batch, header.length
        ));
    }
    Ok(header)
}

/// A reply to a batch that is being encoded.
pub struct Reply {
    bytes: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Creates an empty reply to a batch.
    pub fn new(batch: u32) -> Self {
        let mut bytes = batch.to_le_bytes().to_vec();
        bytes.extend_from_slice(&[0; 8]);
        Reply { bytes, count: 0 }
    }

    /// Appends a record: its code, the length of its fields, then the fields in order.
    pub fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let length: usize = fields.iter().map(|field| field.len()).sum();
        self.bytes.push(code);
        self.bytes.extend_from_slice(&(length as u32).to_le_bytes());
        for field in fields {
            self.bytes.extend_from_slice(field);
        }
        self.count += 1;
    }

    /// Returns the complete frame.
    pub fn finish(mut self) -> Vec<u8> {
        let length = self.bytes.len() as u32;
        self.bytes[4..8].copy_from_slice(&length.to_le_bytes());
        self.bytes[8..12].copy_from_slice(&self.count.to_le_bytes());
        self.bytes
    }
}
