//! Messages round-trip through their wire form.

use std::time::Duration;

use bytes::Bytes;
use capnp::message::Builder;
use figramp::catalog::KeyDigest;
use figramp::catalog::Repeatability;
use figramp::errors::ErrorKind;
use figramp::errors::GatewayError;
use figramp::errors::RunState;
use figramp::peer::generated::call_capnp::answer_item;
use figramp::peer::generated::call_capnp::forward_request;
use figramp::peer::wire::read_forward;
use figramp::peer::wire::read_item;
use figramp::peer::wire::write_forward;
use figramp::peer::wire::write_item;
use figramp::peer::wire::AnswerItem;
use figramp::peer::ForwardRequest;
use figramp::peer::WireError;
use figramp::request::AnswerEvent;
use figramp::request::AnswerPayload;
use figramp::request::CallBody;
use figramp::request::HttpMethod;
use figramp::request::IdempotencyKey;
use figramp::request::RequestId;
use figramp::request::ServiceCall;
use figramp::request::Usage;
use quickcheck::quickcheck;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use super::fixture::catalog;
use super::fixture::forward_request as completion_request;
use super::fixture::loopback;
use super::fixture::name;

#[derive(Clone, Debug)]
struct AnyItem(AnswerItem);

#[derive(Clone, Debug)]
struct AnyService {
    method: HttpMethod,
    path_and_query: String,
    content_type: Option<String>,
    body: Vec<u8>,
    digest: Option<[u8; 32]>,
    reserved_tokens: u64,
    remaining_us: u64,
}

fn bytes(g: &mut Gen) -> Bytes {
    Bytes::from(Vec::<u8>::arbitrary(g))
}

fn error(g: &mut Gen) -> GatewayError {
    let kind = *g.choose(&ErrorKind::ALL).unwrap();
    let runs = [RunState::NotRun, RunState::MayHaveRun, RunState::Ran];
    let mut error = GatewayError::new(kind, String::arbitrary(g));
    error.run = *g.choose(&runs).unwrap();
    error.retry_after = Option::<u32>::arbitrary(g).map(|us| Duration::from_micros(us.into()));
    error
}

impl Arbitrary for AnyItem {
    fn arbitrary(g: &mut Gen) -> Self {
        let payload = match u8::arbitrary(g) % 7 {
            0 => return Self(AnswerItem::Accepted),
            1 => return Self(AnswerItem::Waiting),
            2 => return Self(AnswerItem::Failure(error(g))),
            3 => AnswerPayload::Head {
                status: u16::arbitrary(g),
                content_type: String::arbitrary(g),
            },
            4 => AnswerPayload::Chunk(bytes(g)),
            5 => AnswerPayload::KeepAlive,
            _ => AnswerPayload::End(Usage {
                prompt_tokens: u64::arbitrary(g),
                cached_tokens: u64::arbitrary(g),
                answer_tokens: u64::arbitrary(g),
            }),
        };
        Self(AnswerItem::Event(AnswerEvent {
            request_id: RequestId(7),
            offset: u64::arbitrary(g),
            payload,
        }))
    }
}

impl Arbitrary for AnyService {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            method: *g.choose(&HttpMethod::ALL).unwrap(),
            path_and_query: String::arbitrary(g),
            content_type: Option::arbitrary(g),
            body: Vec::arbitrary(g),
            digest: bool::arbitrary(g).then(|| std::array::from_fn(|_| u8::arbitrary(g))),
            reserved_tokens: u64::arbitrary(g),
            remaining_us: u64::arbitrary(g),
        }
    }
}

fn request_of(catalog: &figramp::catalog::Catalog, any: AnyService) -> ForwardRequest {
    let mut request = completion_request(catalog);
    request.call.body = CallBody::Service(ServiceCall {
        method: any.method,
        path_and_query: any.path_and_query,
        content_type: any.content_type,
        body: Bytes::from(any.body),
    });
    request.call.repeatability = Repeatability::NonIdempotent;
    request.call.idempotency_key = Some(IdempotencyKey::new("order-1").unwrap());
    request.call.key_digest = any.digest.map(KeyDigest::from_bytes);
    request.call.reserved_tokens = any.reserved_tokens;
    request.call.remaining = Duration::from_micros(any.remaining_us);
    request
}

fn through_wire(
    request: &ForwardRequest,
    from: &figramp::catalog::Catalog,
    to: &figramp::catalog::Catalog,
) -> Result<ForwardRequest, WireError> {
    let mut message = Builder::new_default();
    write_forward(request, from, message.init_root())?;
    let root = message.get_root_as_reader::<forward_request::Reader<'_>>()?;
    read_forward(root, to)
}

quickcheck! {
    fn answer_items_round_trip(any: AnyItem) -> bool {
        let mut message = Builder::new_default();
        write_item(&any.0, message.init_root());
        let root = message.get_root_as_reader::<answer_item::Reader<'_>>().unwrap();
        read_item(RequestId(7), root).as_ref() == Ok(&any.0)
    }

    fn forwarded_calls_round_trip(any: AnyService) -> bool {
        let catalog = catalog(&[("dialer", loopback())]);
        let catalog = catalog.load();
        let request = request_of(&catalog, any);
        through_wire(&request, &catalog, &catalog) == Ok(request)
    }
}

#[test]
fn names_are_resolved_by_the_receiver() {
    let sender_catalog = catalog(&[("dialer", loopback())]);
    let receiver_catalog = catalog(&[("other", loopback()), ("dialer", loopback())]);
    let request = completion_request(&sender_catalog.load());
    let received =
        through_wire(&request, &sender_catalog.load(), &receiver_catalog.load()).unwrap();
    let dialer = receiver_catalog.load().vm_named(&name("dialer")).unwrap();
    assert_eq!(received.call.visited.vms, [dialer]);
    let empty = figramp::catalog::Catalog::default();
    let unknown = through_wire(&request, &sender_catalog.load(), &empty);
    assert!(matches!(unknown, Err(WireError::UnknownName { .. })));
}
