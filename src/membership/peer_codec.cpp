#include "chivedeal/membership/peer_codec.hpp"

#include "chivedeal/membership/gossip_message.hpp"
#include "chivedeal/membership/stream_state.hpp"

#include "absl/strings/str_cat.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>
#include <peer.capnp.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>

namespace chivedeal::membership {

namespace {

constexpr std::size_t max_gossip_bytes = 64 * 1024;
constexpr std::size_t max_stream_bytes = 16 * 1024 * 1024;
// Packed zeros expand, so the unpacked size has a limit of its own.
constexpr std::size_t max_expansion = 8;
constexpr std::size_t max_name_bytes = 1024;
constexpr std::size_t max_reason_bytes = 256;
// A sequence is made from the incarnation shifted by 20 bits.
constexpr std::uint64_t max_incarnation = std::uint64_t{1} << 43U;
constexpr std::int64_t unknown_time = -1;
// About 30 years; beyond it a duration is taken as infinite.
constexpr std::int64_t max_remaining_ms = 1'000'000'000'000;

// Reports a value out of range from inside a conversion; becomes `malformed_message`.
class malformed_value : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

void require(bool condition, const char* what)
{
    if (!condition)
        throw malformed_value(what);
}

std::string name_from(capnp::Text::Reader text)
{
    require(text.size() <= max_name_bytes, "name too long");
    return {text.cStr(), text.size()};
}

std::string text_from(capnp::Text::Reader text) { return {text.cStr(), text.size()}; }

std::int64_t milliseconds_of(absl::Duration value)
{
    const std::int64_t count = absl::ToInt64Milliseconds(value);
    return count > max_remaining_ms ? unknown_time : std::max<std::int64_t>(count, 0);
}

absl::Duration duration_from(std::int64_t count)
{
    require(count >= unknown_time && count <= max_remaining_ms, "time out of range");
    return count == unknown_time ? absl::InfiniteDuration() : absl::Milliseconds(count);
}

wire::Node::Status to_wire(node_status status)
{
    switch (status) {
    case node_status::alive:
        return wire::Node::Status::ALIVE;
    case node_status::suspect:
        return wire::Node::Status::SUSPECT;
    case node_status::dead:
        return wire::Node::Status::DEAD;
    case node_status::leaving:
        return wire::Node::Status::LEAVING;
    }
    return wire::Node::Status::ALIVE;
}

node_status from_wire(wire::Node::Status status)
{
    switch (status) {
    case wire::Node::Status::ALIVE:
        return node_status::alive;
    case wire::Node::Status::SUSPECT:
        return node_status::suspect;
    case wire::Node::Status::DEAD:
        return node_status::dead;
    case wire::Node::Status::LEAVING:
        return node_status::leaving;
    }
    throw malformed_value("unknown node status");
}

void write(wire::Node::Builder out, const node_record& value)
{
    out.setId(value.id.str());
    if (value.http.host != value.rpc.host)
        out.setHttpHost(value.http.host);
    out.setRpcHost(value.rpc.host);
    out.setRegion(value.region.str());
    out.setZone(value.zone.str());
    out.setIncarnation(value.incarnation);
    out.setAppliedOffset(value.applied_offset);
    out.setHttpPort(value.http.port);
    out.setRpcPort(value.rpc.port);
    out.setStatus(to_wire(value.status));
    out.setReady(value.ready);
}

node_record read(wire::Node::Reader in)
{
    require(in.getIncarnation() < max_incarnation, "incarnation out of range");
    const std::string rpc_host = name_from(in.getRpcHost());
    const std::string http_host = in.hasHttpHost() ? name_from(in.getHttpHost()) : rpc_host;
    node_record out{.id = node_id(name_from(in.getId())),
                    .http = {.host = http_host, .port = in.getHttpPort()},
                    .rpc = {.host = rpc_host, .port = in.getRpcPort()},
                    .region = region_id(name_from(in.getRegion())),
                    .zone = zone_id(name_from(in.getZone())),
                    .incarnation = in.getIncarnation(),
                    .status = from_wire(in.getStatus()),
                    .ready = in.getReady(),
                    .applied_offset = in.getAppliedOffset()};
    require(!out.id.empty(), "node without an identifier");
    return out;
}

void write(wire::Fact::Builder out, const fact& value)
{
    if (const auto* leaving = std::get_if<endpoint_leaving>(&value)) {
        auto body = out.initLeaving();
        body.setEndpoint(leaving->endpoint.str());
        body.setRemainingMs(milliseconds_of(leaving->remaining));
        return;
    }
    const auto& bad = std::get<version_bad>(value);
    auto body = out.initBad();
    body.setService(bad.service.str());
    body.setVersion(bad.version.str());
    body.setDeclaredOffset(bad.declared_offset);
    body.setReason(bad.reason.substr(0, max_reason_bytes));
}

fact read(wire::Fact::Reader in)
{
    if (in.isLeaving())
        return endpoint_leaving{.endpoint = endpoint_id(name_from(in.getLeaving().getEndpoint())),
                                .remaining = duration_from(in.getLeaving().getRemainingMs())};
    require(in.isBad(), "unknown kind of fact");
    const auto bad = in.getBad();
    return version_bad{.service = service_id(name_from(bad.getService())),
                       .version = version_id(name_from(bad.getVersion())),
                       .declared_offset = bad.getDeclaredOffset(),
                       .reason = name_from(bad.getReason())};
}

void write(wire::Demand::Builder out, const workspace_demand& value)
{
    out.setNode(value.node.str());
    out.setWorkspace(value.workspace.str());
    out.setSequence(value.sequence);
    out.setRate(value.rate);
    out.setOpenRequests(static_cast<std::uint32_t>(std::max(value.open_requests, 0)));
}

workspace_demand read(wire::Demand::Reader in)
{
    require(std::isfinite(in.getRate()) && in.getRate() >= 0, "rate out of range");
    require(in.getOpenRequests() <= std::numeric_limits<int>::max(), "count out of range");
    return {.node = node_id(name_from(in.getNode())),
            .workspace = workspace_id(name_from(in.getWorkspace())),
            .sequence = in.getSequence(),
            .rate = in.getRate(),
            .open_requests = static_cast<int>(in.getOpenRequests())};
}

void write(wire::Outcome::Builder out, const outcome_report& value)
{
    const outcome_count& count = value.count;
    out.setSequence(value.sequence);
    out.setNode(count.node.str());
    out.setService(count.service.str());
    out.setVersion(count.version.str());
    out.setDeclaredOffset(count.declared_offset);
    out.setRoute(count.route);
    out.setLoadBand(static_cast<std::uint8_t>(count.load_band));
    out.setRequests(count.requests);
    out.setErrors(count.errors);
    out.setSlow(count.slow);
}

outcome_report read(wire::Outcome::Reader in)
{
    require(in.getErrors() <= in.getRequests() && in.getSlow() <= in.getRequests(),
            "more failures than requests");
    return {.sequence = in.getSequence(),
            .count = {.node = node_id(name_from(in.getNode())),
                      .service = service_id(name_from(in.getService())),
                      .version = version_id(name_from(in.getVersion())),
                      .declared_offset = in.getDeclaredOffset(),
                      .route = name_from(in.getRoute()),
                      .load_band = in.getLoadBand(),
                      .requests = in.getRequests(),
                      .errors = in.getErrors(),
                      .slow = in.getSlow()}};
}

template<class ListBuilder, class T>
void write_list(ListBuilder out, const std::vector<T>& values)
{
    unsigned index = 0;
    for (const T& value : values)
        write(out[index++], value);
}

template<class T, class ListReader>
std::vector<T> read_list(ListReader in)
{
    std::vector<T> out;
    for (const auto item : in)
        out.push_back(read(item));
    return out;
}

void write(wire::Gossip::Builder out, const gossip_message& value)
{
    write(out.initSender(), value.sender);
    const bool has_facts = std::ranges::any_of(value.digest, [](auto part) { return part != 0; });
    if (has_facts) {
        auto digest = out.initDigest(fact_buckets);
        for (unsigned i = 0; i < fact_buckets; ++i)
            digest.set(i, value.digest[i]);
    }
    out.setKnownNodes(value.known_nodes);
    out.setPush(value.push);
    out.setCatchUp(value.catch_up);
    const auto size = [](const auto& list) { return static_cast<unsigned>(list.size()); };
    if (!value.nodes.empty())
        write_list(out.initNodes(size(value.nodes)), value.nodes);
    if (!value.facts.empty())
        write_list(out.initFacts(size(value.facts)), value.facts);
    if (!value.demand.empty())
        write_list(out.initDemand(size(value.demand)), value.demand);
    if (!value.outcomes.empty())
        write_list(out.initOutcomes(size(value.outcomes)), value.outcomes);
}

gossip_message read(wire::Gossip::Reader in)
{
    gossip_message out{.sender = read(in.getSender()),
                       .known_nodes = in.getKnownNodes(),
                       .push = in.getPush(),
                       .catch_up = in.getCatchUp(),
                       .nodes = read_list<node_record>(in.getNodes()),
                       .facts = read_list<fact>(in.getFacts()),
                       .demand = read_list<workspace_demand>(in.getDemand()),
                       .outcomes = read_list<outcome_report>(in.getOutcomes())};
    if (!in.hasDigest())
        return out;
    const auto digest = in.getDigest();
    require(digest.size() == fact_buckets, "digest of another size");
    std::copy(digest.begin(), digest.end(), out.digest.begin());
    return out;
}

void write(wire::Stream::Builder out, const stream_state& value)
{
    out.setRequest(value.request.str());
    out.setWorkspace(value.workspace.str());
    out.setService(value.service.str());
    out.setVersion(value.version.str());
    out.setRoute(value.route);
    out.setPriority(value.priority);
    out.setAttempt(value.attempt);
    out.setRemainingMs(milliseconds_of(value.remaining));
    out.setBody(value.body);
    auto tokens = out.initTokens(static_cast<unsigned>(value.tokens.size()));
    for (unsigned i = 0; i < tokens.size(); ++i)
        tokens.set(i, value.tokens[i]);
    out.setFinished(value.finished);
    out.setOutcome(value.outcome);
}

stream_state read(wire::Stream::Reader in)
{
    stream_state out{.request = request_id(name_from(in.getRequest())),
                     .workspace = workspace_id(name_from(in.getWorkspace())),
                     .service = service_id(name_from(in.getService())),
                     .version = version_id(name_from(in.getVersion())),
                     .route = name_from(in.getRoute()),
                     .priority = in.getPriority(),
                     .attempt = in.getAttempt(),
                     .remaining = duration_from(in.getRemainingMs()),
                     .body = text_from(in.getBody()),
                     .tokens = {},
                     .finished = in.getFinished(),
                     .outcome = name_from(in.getOutcome())};
    require(!out.request.empty(), "stream without a request");
    require(out.attempt >= 0, "attempt out of range");
    for (const auto token : in.getTokens())
        out.tokens.push_back(text_from(token));
    return out;
}

template<class Message, class T>
std::string encode(const T& value)
{
    capnp::MallocMessageBuilder builder;
    write(builder.initRoot<Message>(), value);
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, builder);
    const auto bytes = out.getArray().asChars();
    return {bytes.begin(), bytes.size()};
}

template<class Message, class T>
result<T> decode(std::string_view bytes, std::size_t max_bytes)
{
    const auto malformed = [](const std::string& why) {
        return error{.code = result_code::malformed_message,
                     .message = absl::StrCat("message from a peer: ", why)};
    };
    if (bytes.size() > max_bytes)
        return malformed("too large");
    try {
        kj::ArrayInputStream in(kj::arrayPtr(bytes.data(), bytes.size()).asBytes());
        capnp::ReaderOptions limits;
        limits.traversalLimitInWords = max_bytes * max_expansion / sizeof(capnp::word);
        limits.nestingLimit = 8;
        capnp::PackedMessageReader reader(in, limits);
        return read(reader.getRoot<Message>());
    }
    catch (const kj::Exception& fault) {
        return malformed(fault.getDescription().cStr());
    }
    catch (const malformed_value& fault) {
        return malformed(fault.what());
    }
}

} // namespace

std::string encode_gossip(const gossip_message& value) { return encode<wire::Gossip>(value); }

result<gossip_message> decode_gossip(std::string_view bytes)
{
    return decode<wire::Gossip, gossip_message>(bytes, max_gossip_bytes);
}

std::string encode_stream(const stream_state& value) { return encode<wire::Stream>(value); }

result<stream_state> decode_stream(std::string_view bytes)
{
    return decode<wire::Stream, stream_state>(bytes, max_stream_bytes);
}

} // namespace chivedeal::membership
