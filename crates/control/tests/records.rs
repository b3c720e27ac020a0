use stonegw_control::records::*;

#[test]
fn the_largest_job_fits_its_records() {
    use stonegw_constants::RESULT_CHUNK_TASKS;
    let mut all = Bitmap::default();
    for n in (0..100_000).step_by(2) {
        assert!(all.set(n));
    }
    assert!(!all.set(0));
    let mut back = Bitmap::default();
    for first in (0..100_000).step_by(RESULT_CHUNK_TASKS as usize) {
        let bits = all.encode(first, RESULT_CHUNK_TASKS);
        assert!(bits.len() < 2048);
        back.merge(first, &bits).unwrap();
    }
    assert_eq!(all, back);
    assert!(Bitmap::default().merge(0, "not base64!").is_err());
}
