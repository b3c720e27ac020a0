use stonegw_wire::frame::*;

fn samples() -> Vec<Frame> {
    let counts = Counts {
        job: name("run-1"),
        done: 3.into(),
        running: 4.into(),
    };
    let cancelled = Cancelled {
        job: name("run-12345678901234567890"),
        stamp: 8.into(),
    };
    vec![
        Frame::Hello(Hello {
            term: 7.into(),
            nonce: 5.into(),
            asked: 1_000.into(),
            revision: 6.into(),
            leads: 1,
            state_ok: 0,
            name: name("hearth-1"),
        }),
        Frame::Report {
            request: 9,
            body: vec![1, 2, 3],
        },
        Frame::Answer {
            request: 9,
            status: 200,
            body: vec![],
        },
        Frame::Counts(vec![counts, counts]),
        Frame::Cancelled(vec![cancelled]),
    ]
}

#[test]
fn frames_split_at_every_byte_parse_the_same() {
    for frame in samples() {
        let mut raw = Vec::new();
        frame.write(&mut raw);
        assert_eq!(Frame::parse(&raw), Ok(Some((frame, raw.len()))));
        for cut in 0..raw.len() {
            assert_eq!(Frame::parse(&raw[..cut]), Ok(None), "cut at {cut}");
        }
    }
}

#[test]
fn spoilt_frames_are_refused() {
    let mut raw = Vec::new();
    samples()[0].write(&mut raw);
    for (at, to, error) in [
        (0, 0, FrameError::Magic),
        (4, 9, FrameError::Version),
        (6, 99, FrameError::Kind),
        (6, 0, FrameError::Kind),
        (8, 1, FrameError::Length),
        (10, 0xff, FrameError::Length),
    ] {
        let mut bad = raw.clone();
        bad[at] = to;
        assert_eq!(Frame::parse(&bad), Err(error), "byte {at}");
    }
}
