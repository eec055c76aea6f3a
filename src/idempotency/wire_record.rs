//! Cap'n Proto encoding of records.

use std::time::Duration;

use bytes::Bytes;

use super::wire_ids::name;
use super::wire_ids::read_attempt;
use super::wire_ids::read_record_id;
use super::wire_ids::text;
use super::wire_ids::unknown;
use super::wire_ids::write_attempt;
use super::wire_ids::write_record_id;
use super::CallOutcome;
use super::CopyState;
use super::Fingerprint;
use super::RecordCopy;
use super::StoredAnswer;
use crate::catalog::Catalog;
use crate::peer::generated::idempotency_capnp::record_copy;
use crate::peer::generated::idempotency_capnp::stored_answer;
use crate::peer::WireError;
use crate::request::Usage;

const LOW_BITS: u32 = 64;

pub(super) fn write_copy(
    catalog: &Catalog,
    copy: &RecordCopy,
    mut builder: record_copy::Builder<'_>,
) {
    write_record_id(catalog, &copy.id, builder.reborrow().init_id());
    if let Some(route) = catalog.routes.get(copy.route) {
        builder.set_route(route.name.as_str());
    }
    builder.set_fingerprint_high((copy.fingerprint.0 >> LOW_BITS) as u64);
    builder.set_fingerprint_low(copy.fingerprint.0 as u64);
    write_attempt(catalog, &copy.attempt, builder.reborrow().init_attempt());
    builder.set_age_ms(u64::try_from(copy.age.as_millis()).unwrap_or(u64::MAX));
    write_state(&copy.state, builder.init_state());
}

pub(super) fn read_copy(
    catalog: &Catalog,
    reader: record_copy::Reader<'_>,
) -> Result<RecordCopy, WireError> {
    let route = text(reader.get_route()?)?;
    let route = name(route)
        .and_then(|name| catalog.route_named(&name))
        .ok_or_else(|| unknown("route", route))?;
    let high = u128::from(reader.get_fingerprint_high());
    let low = u128::from(reader.get_fingerprint_low());
    Ok(RecordCopy {
        id: read_record_id(catalog, reader.get_id()?)?,
        route,
        fingerprint: Fingerprint((high << LOW_BITS) | low),
        attempt: read_attempt(catalog, reader.get_attempt()?)?,
        state: read_state(reader.get_state())?,
        age: Duration::from_millis(reader.get_age_ms()),
    })
}

fn write_state(state: &CopyState, mut builder: record_copy::state::Builder<'_>) {
    match state {
        CopyState::Prepared => builder.set_prepared(()),
        CopyState::Finished(CallOutcome::Completed(answer)) => {
            write_answer(answer, builder.init_completed())
        }
        CopyState::Finished(CallOutcome::RanUnkept) => builder.set_ran_unkept(()),
        CopyState::Finished(CallOutcome::Unknown) => builder.set_unknown(()),
        CopyState::Finished(CallOutcome::NotRun) => builder.set_not_run(()),
    }
}

fn read_state(reader: record_copy::state::Reader<'_>) -> Result<CopyState, WireError> {
    use record_copy::state::Which;
    Ok(match reader.which()? {
        Which::Prepared(()) => CopyState::Prepared,
        Which::Completed(answer) => {
            CopyState::Finished(CallOutcome::Completed(read_answer(answer?)?))
        }
        Which::RanUnkept(()) => CopyState::Finished(CallOutcome::RanUnkept),
        Which::Unknown(()) => CopyState::Finished(CallOutcome::Unknown),
        Which::NotRun(()) => CopyState::Finished(CallOutcome::NotRun),
    })
}

fn write_answer(answer: &StoredAnswer, mut builder: stored_answer::Builder<'_>) {
    builder.set_status(answer.status);
    builder.set_content_type(&*answer.content_type);
    builder.set_body(&answer.body);
    builder.set_prompt_tokens(answer.usage.prompt_tokens);
    builder.set_cached_tokens(answer.usage.cached_tokens);
    builder.set_answer_tokens(answer.usage.answer_tokens);
}

fn read_answer(reader: stored_answer::Reader<'_>) -> Result<StoredAnswer, WireError> {
    Ok(StoredAnswer {
        status: reader.get_status(),
        content_type: text(reader.get_content_type()?)?.to_owned(),
        body: Bytes::copy_from_slice(reader.get_body()?),
        usage: Usage {
            prompt_tokens: reader.get_prompt_tokens(),
            cached_tokens: reader.get_cached_tokens(),
            answer_tokens: reader.get_answer_tokens(),
        },
    })
}
