//! Tests of the line buffer of the standard output logger.

use {
    super::LineBuffer,
    std::io::{self, ErrorKind, Write},
};

/// Non-blocking output that accepts `capacity` bytes and then returns `WouldBlock`.
struct LimitedWriter {
    accepted: Vec<u8>,
    capacity: usize,
}

impl Write for LimitedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.capacity == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        let count = bytes.len().min(self.capacity);
        self.capacity -= count;
        self.accepted.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against interleaved lines after a partial write, which happens when the log's reader is slow.
#[test]
fn lines_are_not_interleaved_after_partial_writes() {
    let mut buffer = LineBuffer::default();
    let mut out = LimitedWriter {
        accepted: Vec::new(),
        capacity: 5,
    };
    let mut unwritten = Vec::new();
    buffer
        .write_all(b"first line\n")
        .expect("writing to the buffer should not fail");
    buffer.write_available(&mut out, &mut unwritten);
    buffer
        .write_all(b"second line\n")
        .expect("writing to the buffer should not fail");
    for _ in 0..10 {
        out.capacity = 5;
        buffer.write_available(&mut out, &mut unwritten);
    }
    assert_eq!(out.accepted, b"first line\nsecond line\n");
}
