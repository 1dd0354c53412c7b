#include "chivedeal/forward/peer_codec.hpp"

#include <nlohmann/json.hpp>

#include <vector>

namespace chivedeal::forward {

namespace {

using nlohmann::json;

json encode_loads(const node_beacon& beacon)
{
    json loads = json::array();
    for (const endpoint_load& one : beacon.loads)
        loads.push_back({one.endpoint.str(), one.requests, one.sent_tokens, one.answered,
                         one.failed, one.is_silent});
    return loads;
}

json encode_outcomes(const node_beacon& beacon)
{
    json outcomes = json::array();
    for (const version_outcomes& one : beacon.outcomes)
        outcomes.push_back({one.service.str(), one.target.str(), one.order_offset, one.target_good,
                            one.target_bad, one.other_good, one.other_bad});
    return outcomes;
}

address decode_address(const json& text)
{
    auto parsed = parse_address(text.get<std::string>());
    return is_ok(parsed) ? get_value(parsed) : address{};
}

node_beacon decode_fields(const json& fields)
{
    node_beacon beacon{.node = node_id(fields.at(0).get<std::string>()),
                       .started_us = fields.at(1).get<std::int64_t>(),
                       .sequence = fields.at(2).get<std::uint64_t>(),
                       .front = decode_address(fields.at(3)),
                       .peers = decode_address(fields.at(4)),
                       .region = region_id(fields.at(5).get<std::string>()),
                       .ready = fields.at(6).get<bool>(),
                       .leaving = fields.at(7).get<bool>(),
                       .wall_us = fields.at(8).get<std::int64_t>()};
    if (!fields.at(9).is_null())
        beacon.lease_token = fields.at(9).get<std::uint64_t>();
    for (const auto& [workspace, cost] : fields.at(10).items())
        beacon.admitted[workspace_id(workspace)] = cost.get<double>();
    for (const json& one : fields.at(11))
        beacon.loads.push_back({.endpoint = endpoint_id(one.at(0).get<std::string>()),
                                .requests = one.at(1).get<int>(),
                                .sent_tokens = one.at(2).get<std::int64_t>(),
                                .answered = one.at(3).get<std::int64_t>(),
                                .failed = one.at(4).get<std::int64_t>(),
                                .is_silent = one.at(5).get<bool>()});
    for (const json& one : fields.at(12))
        beacon.outcomes.push_back({.service = service_id(one.at(0).get<std::string>()),
                                   .target = version_id(one.at(1).get<std::string>()),
                                   .order_offset = one.at(2).get<std::uint64_t>(),
                                   .target_good = one.at(3).get<std::int64_t>(),
                                   .target_bad = one.at(4).get<std::int64_t>(),
                                   .other_good = one.at(5).get<std::int64_t>(),
                                   .other_bad = one.at(6).get<std::int64_t>()});
    for (const json& one : fields.at(13))
        beacon.known_peers.push_back(decode_address(one));
    for (const json& one : fields.at(14)) {
        usage_report report{.window = one.at(0).get<std::int64_t>()};
        for (const auto& [workspace, count] : one.at(1).items())
            report.counts[workspace_id(workspace)] = count.get<std::int64_t>();
        beacon.usage.push_back(std::move(report));
    }
    for (const auto& [service, tokens] : fields.at(15).items())
        beacon.asked_tokens[service_id(service)] = tokens.get<std::int64_t>();
    beacon.pass_on = fields.at(16).get<bool>();
    return beacon;
}

json encode_usage(const node_beacon& beacon)
{
    json usage = json::array();
    for (const usage_report& report : beacon.usage) {
        json counts = json::object();
        for (const auto& [workspace, count] : report.counts)
            counts[workspace.str()] = count;
        usage.push_back({report.window, std::move(counts)});
    }
    return usage;
}

json encode_fields(const relayed_batch& batch)
{
    json records = json::array();
    for (const stored_record& one : batch.records)
        records.push_back({one.key, one.value, one.removed, one.offset});
    return {batch.sender.str(), static_cast<int>(batch.from),
            batch.begin,        batch.next,
            batch.complete,     std::move(records)};
}

relayed_batch decode_batch(const json& fields)
{
    relayed_batch batch{.sender = node_id(fields.at(0).get<std::string>()),
                        .from = static_cast<topic>(fields.at(1).get<int>()),
                        .begin = fields.at(2).get<std::uint64_t>(),
                        .next = fields.at(3).get<std::uint64_t>(),
                        .complete = fields.at(4).get<bool>()};
    for (const json& one : fields.at(5))
        batch.records.push_back({.key = one.at(0).get<std::string>(),
                                 .value = one.at(1).get<std::string>(),
                                 .removed = one.at(2).get<bool>(),
                                 .offset = one.at(3).get<std::uint64_t>()});
    return batch;
}

json encode_fields(const node_beacon& beacon)
{
    json admitted = json::object();
    for (const auto& [workspace, cost] : beacon.admitted)
        admitted[workspace.str()] = cost;
    json asked = json::object();
    for (const auto& [service, tokens] : beacon.asked_tokens)
        asked[service.str()] = tokens;
    json peers = json::array();
    for (const address& one : beacon.known_peers)
        peers.push_back(to_string(one));
    const json token = beacon.lease_token ? json(*beacon.lease_token) : json(nullptr);
    return {beacon.node.str(),
            beacon.started_us,
            beacon.sequence,
            to_string(beacon.front),
            to_string(beacon.peers),
            beacon.region.str(),
            beacon.ready,
            beacon.leaving,
            beacon.wall_us,
            token,
            std::move(admitted),
            encode_loads(beacon),
            encode_outcomes(beacon),
            std::move(peers),
            encode_usage(beacon),
            std::move(asked),
            beacon.pass_on};
}

// Tell the kinds of messages apart.
constexpr int beacon_kind = 1;
constexpr int batch_kind = 2;
constexpr int bundle_kind = 3;
constexpr int notice_kind = 4;

json encode_fields(const prompt_notice& notice)
{
    return {notice.node.str(), notice.endpoint.str(), notice.tokens};
}

prompt_notice decode_notice(const json& fields)
{
    return {.node = node_id(fields.at(0).get<std::string>()),
            .endpoint = endpoint_id(fields.at(1).get<std::string>()),
            .tokens = fields.at(2).get<std::int64_t>()};
}

json encode_fields(const beacon_bundle& bundle)
{
    json beacons = json::array();
    for (const node_beacon& one : bundle.beacons)
        beacons.push_back(encode_fields(one));
    return beacons;
}

beacon_bundle decode_bundle(const json& fields)
{
    beacon_bundle bundle;
    for (const json& one : fields)
        bundle.beacons.push_back(decode_fields(one));
    return bundle;
}

} // namespace

std::string encode_message(const peer_message& message)
{
    json whole = json::array();
    if (const auto* beacon = std::get_if<node_beacon>(&message))
        whole = {beacon_kind, encode_fields(*beacon)};
    else if (const auto* batch = std::get_if<relayed_batch>(&message))
        whole = {batch_kind, encode_fields(*batch)};
    else if (const auto* bundle = std::get_if<beacon_bundle>(&message))
        whole = {bundle_kind, encode_fields(*bundle)};
    else
        whole = {notice_kind, encode_fields(std::get<prompt_notice>(message))};
    const std::vector<std::uint8_t> bytes = json::to_msgpack(whole);
    return {bytes.begin(), bytes.end()};
}

result<peer_message> decode_message(const std::string& bytes)
{
    try {
        const json whole = json::from_msgpack(bytes);
        if (whole.at(0).get<int>() == beacon_kind)
            return peer_message(decode_fields(whole.at(1)));
        if (whole.at(0).get<int>() == batch_kind)
            return peer_message(decode_batch(whole.at(1)));
        if (whole.at(0).get<int>() == bundle_kind)
            return peer_message(decode_bundle(whole.at(1)));
        if (whole.at(0).get<int>() == notice_kind)
            return peer_message(decode_notice(whole.at(1)));
        return error{.code = result_code::malformed_message, .message = "unknown kind"};
    }
    catch (const json::exception& fault) {
        return error{.code = result_code::malformed_message, .message = fault.what()};
    }
}

} // namespace chivedeal::forward
