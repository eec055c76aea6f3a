//! The checker passes exactly the chunks of its request, in order.

use bytes::Bytes;
use figramp::endpoint::AnswerChecker;
use figramp::endpoint::Verdict;
use figramp::request::AnswerEvent;
use figramp::request::AnswerPayload;
use figramp::request::RequestId;
use figramp::request::Usage;
use quickcheck::quickcheck;

const REQUEST: RequestId = RequestId(7);

fn chunk(request_id: RequestId, offset: u64) -> AnswerEvent {
    AnswerEvent {
        request_id,
        offset,
        payload: AnswerPayload::Chunk(Bytes::from_static(b"x")),
    }
}

fn end(chunk_count: u64) -> AnswerEvent {
    AnswerEvent {
        request_id: REQUEST,
        offset: chunk_count,
        payload: AnswerPayload::End(Usage::default()),
    }
}

quickcheck! {
    fn chunks_pass_once_among_duplicate_and_foreign_events(first: u8, disturbances: Vec<u8>) -> bool {
        let mut next = u64::from(first);
        let mut checker = AnswerChecker::new(REQUEST, next);
        for disturbance in disturbances {
            let (event, expected) = match disturbance % 3 {
                0 => (chunk(REQUEST, next), Verdict::Pass),
                1 => (chunk(RequestId(u128::from(disturbance) + 8), next), Verdict::Drop),
                _ => (chunk(REQUEST, next.saturating_sub(1)), Verdict::Drop),
            };
            let is_first_at_zero = next == 0 && event.offset == 0 && event.request_id == REQUEST;
            let expected = if is_first_at_zero { Verdict::Pass } else { expected };
            if checker.check(&event) != Ok(expected) {
                return false;
            }
            next += u64::from(expected == Verdict::Pass);
        }
        checker.next_offset() == next
            && checker.check(&end(next)) == Ok(Verdict::Pass)
            && checker.is_ended()
            && checker.check(&chunk(REQUEST, next)) == Ok(Verdict::Drop)
    }

    fn a_gap_or_a_wrong_end_mark_is_an_error(chunk_count: u8, distance: u8) -> bool {
        let chunk_count = u64::from(chunk_count);
        let distance = u64::from(distance) + 1;
        let mut checker = AnswerChecker::new(REQUEST, 0);
        let all_pass = (0..chunk_count)
            .all(|offset| checker.check(&chunk(REQUEST, offset)) == Ok(Verdict::Pass));
        all_pass
            && checker.clone().check(&chunk(REQUEST, chunk_count + distance)).is_err()
            && checker.clone().check(&end(chunk_count + distance)).is_err()
            && (chunk_count < distance || checker.check(&end(chunk_count - distance)).is_err())
            && !checker.is_ended()
    }
}
