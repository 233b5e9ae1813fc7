use std::io::Read;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use jaylock_observe::LogWriter;
use log::Level;

const LINES_PER_SECOND: u32 = 40;

/// All text written, read after the writer is closed.
fn read_all(mut reader: std::io::PipeReader) -> String {
    let mut text = String::new();
    reader.read_to_string(&mut text).expect("the lines");
    text
}

jaylock_tests::cases! {
    limits_the_rate_and_counts_dropped_lines => {
        let (reader, writer) = std::io::pipe().expect("a pipe");
        let mut lines = LogWriter::new(writer, LINES_PER_SECOND);
        let now = Instant::now();
        for number in 0..100 {
            lines.write(Level::Info, &format!("refused {number}"), now);
        }
        lines.write(Level::Info, "the next second", now + Duration::from_secs(1));
        drop(lines);
        let text = read_all(reader);
        // A quarter of the lines is reserved for warnings and errors.
        expect_that!(text.lines().filter(|l| l.starts_with("refused")).count(), eq(30));
        expect_that!(text, contains_substring("lines_left_out=70\nthe next second\n"));
    };

    reserves_lines_for_warnings => {
        let (reader, writer) = std::io::pipe().expect("a pipe");
        let mut lines = LogWriter::new(writer, LINES_PER_SECOND);
        let now = Instant::now();
        for _ in 0..100 {
            lines.write(Level::Info, "refused", now);
        }
        lines.write(Level::Warn, "the lease is not renewed", now);
        drop(lines);
        expect_that!(read_all(reader), contains_substring("the lease is not renewed\n"));
    };

    does_not_block_on_a_stopped_reader => {
        let (mut reader, writer) = std::io::pipe().expect("a pipe");
        let mut lines = LogWriter::new(writer, u32::MAX);
        let now = Instant::now();
        // Far more than the buffer of a pipe: a writer that blocks would hang here.
        let long = "x".repeat(10_000);
        for _ in 0..10_000 {
            lines.write(Level::Error, &long, now);
        }
        let mut buffer = vec![0; 1 << 20];
        let read = reader.read(&mut buffer).expect("what was written");
        expect_that!(read, gt(0));
        lines.write(Level::Error, "the reader continues", now);
        drop(lines);
        let text = read_all(reader);
        expect_that!(text, contains_substring("lines_left_out="));
        expect_that!(text, ends_with("the reader continues\n"));
    };
}
