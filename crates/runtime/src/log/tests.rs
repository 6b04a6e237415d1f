use {
    super::LineBuffer,
    std::io::{self, ErrorKind, Write},
};

/// Output that takes some bytes and then none until the next turn.
struct Narrow {
    taken: Vec<u8>,
    room: usize,
}

impl Write for Narrow {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.room == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        let count = bytes.len().min(self.room);
        self.room -= count;
        self.taken.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a line that is cut by the next one when the reader of the log is slow.
#[test]
fn lines_stay_whole_when_the_output_takes_only_a_part() {
    let mut buffer = LineBuffer::default();
    let mut out = Narrow {
        taken: Vec::new(),
        room: 5,
    };
    let mut begun = Vec::new();
    buffer.write_all(b"first line\n").expect("a buffer");
    buffer.write_once(&mut out, &mut begun);
    buffer.write_all(b"second line\n").expect("a buffer");
    for _ in 0..10 {
        out.room = 5;
        buffer.write_once(&mut out, &mut begun);
    }
    assert_eq!(out.taken, b"first line\nsecond line\n");
}
