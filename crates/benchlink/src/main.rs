//! Adapter that lets a simulator drive the decision module: reads batches of events from standard input, writes replies with
//! the module's actions to standard output, and runs one decision module for each simulated driver.

mod frame;
mod host;

use std::io::{self, Read, Write};
use std::process::ExitCode;

use frame::HEADER_BYTES;
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

/// Answers batches until the end of the input.
fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut body = Vec::new();
    loop {
        let mut header_bytes = Vec::with_capacity(HEADER_BYTES);
        read_up_to(input, HEADER_BYTES, &mut header_bytes)?;
        if header_bytes.is_empty() {
            return Ok(());
        }
        if header_bytes.len() < HEADER_BYTES {
            return Err(format!(
                "input ends after {} bytes of a batch header of {HEADER_BYTES}",
                header_bytes.len()
            ));
        }
        let header = frame::decode_header(&header_bytes)?;
        let body_length = header.length as usize - HEADER_BYTES;
        body.clear();
        read_up_to(input, body_length, &mut body)?;
        if body.len() < body_length {
            return Err(format!(
                "batch {}: input ends after {} of {body_length} bytes",
                header.batch,
                body.len()
            ));
        }
        let reply = host.batch(header, &body)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| format!("writing to standard output: {e}"))?;
    }
}

/// Reads `count` bytes, or fewer if the input ends before.
fn read_up_to(input: &mut impl Read, count: usize, into: &mut Vec<u8>) -> Result<(), String> {
    input.take(count as u64).read_to_end(into).map(|_| ()).map_err(|e| format!("reading standard input: {e}"))
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
    fn an_empty_batch_gets_an_empty_reply() {
        let batch = [1, 0, 0, 0, 16, 0, 0, 0, 0x5a, 0x5c, 0x80, 0, 0, 0, 0, 0];
        let (result, output) = run(&batch);
        assert_eq!(result, Ok(()));
        assert_eq!(output, [1, 0, 0, 0, 12, 0, 0, 0, 0, 0, 0, 0]);
    }

    #[test]
    fn input_that_ends_within_a_header_is_reported() {
        let (result, output) = run(&[1, 0, 0, 0, 16]);
        assert!(result.unwrap_err().contains("5 bytes of a batch header"));
        assert!(output.is_empty());
    }

    #[test]
    fn a_frame_length_below_the_header_length_is_reported() {
        let (result, _) = run(&[1, 0, 0, 0, 15, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
        assert!(result.unwrap_err().contains("length 15"));
    }
}
