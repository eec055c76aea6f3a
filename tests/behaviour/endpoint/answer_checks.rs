//! The check of events lets exactly the chunks of its request pass, in order.

use bytes::Bytes;
use figramp::endpoint::AnswerChecker;
use figramp::endpoint::Verdict;
use figramp::request::AnswerEvent;
use figramp::request::AnswerPayload;
use figramp::request::RequestId;
use figramp::request::Usage;
use quickcheck::quickcheck;

fn event(request: u8, offset: u8, is_end: bool) -> AnswerEvent {
    AnswerEvent {
        request_id: RequestId(u128::from(request % 2)),
        offset: u64::from(offset % 8),
        payload: if is_end {
            AnswerPayload::End(Usage::default())
        } else {
            AnswerPayload::Chunk(Bytes::from_static(b"x"))
        },
    }
}

quickcheck! {
    fn passed_events_are_the_answer_without_gap_or_repeat(input: Vec<(u8, u8, bool)>) -> bool {
        let mut checker = AnswerChecker::new(RequestId(0), 0);
        let mut expected_offset = 0;
        let mut is_ended = false;
        for (request, offset, end) in input {
            let event = event(request, offset, end);
            match checker.check(&event) {
                Ok(Verdict::Drop) => continue,
                Err(_) => return !is_ended && event.request_id == RequestId(0),
                Ok(Verdict::Pass) => {}
            }
            if is_ended || event.request_id != RequestId(0) || event.offset != expected_offset {
                return false;
            }
            is_ended = end;
            expected_offset += u64::from(!end);
        }
        checker.is_ended() == is_ended && checker.next_offset() == expected_offset
    }

    fn an_undisturbed_answer_passes_whole(first: u8, count: u8) -> bool {
        let offsets = u64::from(first)..u64::from(first) + u64::from(count);
        let mut checker = AnswerChecker::new(RequestId(0), u64::from(first));
        let chunks = offsets.clone().map(|offset| (offset, AnswerPayload::Chunk(Bytes::new())));
        let end = (offsets.end, AnswerPayload::End(Usage::default()));
        let all_pass = chunks.chain([end]).all(|(offset, payload)| {
            let event = AnswerEvent { request_id: RequestId(0), offset, payload };
            checker.check(&event) == Ok(Verdict::Pass)
        });
        all_pass && checker.is_ended()
    }
}
