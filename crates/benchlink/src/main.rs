//! Speaks the bench's wire on standard input and output, and hosts one decision module for each driver.

mod frame;
mod host;

use std::io::{self, Read, Write};
use std::process::ExitCode;

use frame::HEADER;
use host::Host;

fn main() -> ExitCode {
    match serve(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("beaconshore-benchlink: {message}");
            ExitCode::from(2)
        }
    }
}

/// Answers batches until the input ends.
fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut body = Vec::new();
    loop {
        let mut head = Vec::with_capacity(HEADER);
        read_up_to(input, HEADER, &mut head)?;
        if head.is_empty() {
            return Ok(());
        }
        if head.len() < HEADER {
            return Err(format!("input ends after {} bytes of a batch header of {HEADER}", head.len()));
        }
        let header = frame::header(&head)?;
        let wanted = header.length as usize - HEADER;
        body.clear();
        read_up_to(input, wanted, &mut body)?;
        if body.len() < wanted {
            return Err(format!("batch {}: input ends after {} of {wanted} bytes", header.batch, body.len()));
        }
        let reply = host.batch(header, &body)?;
        output.write_all(&reply).and_then(|()| output.flush()).map_err(|e| format!("writing: {e}"))?;
    }
}

/// Reads up to `count` bytes, fewer only at the end of input.
fn read_up_to(input: &mut impl Read, count: usize, into: &mut Vec<u8>) -> Result<(), String> {
    input.take(count as u64).read_to_end(into).map(|_| ()).map_err(|e| format!("reading: {e}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn run(input: &[u8]) -> (Result<(), String>, Vec<u8>) {
        let mut output = Vec::new();
        let result = serve(&mut &input[..], &mut output);
        (result, output)
    }

    #[test]
    fn empty_batch_gets_an_empty_reply() {
        let batch = [1, 0, 0, 0, 16, 0, 0, 0, 0x5a, 0x5c, 0x80, 0, 0, 0, 0, 0];
        let (result, output) = run(&batch);
        assert_eq!(result, Ok(()));
        assert_eq!(output, [1, 0, 0, 0, 12, 0, 0, 0, 0, 0, 0, 0]);
    }

    #[test]
    fn input_cut_within_a_header_is_reported() {
        let (result, output) = run(&[1, 0, 0, 0, 16]);
        assert!(result.unwrap_err().contains("5 bytes of a batch header"));
        assert!(output.is_empty());
    }

    #[test]
    fn a_length_under_the_header_is_reported() {
        let (result, _) = run(&[1, 0, 0, 0, 15, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
        assert!(result.unwrap_err().contains("length 15"));
    }
}
