#include "chivedeal/forward/beacon_codec.hpp"

#include <nlohmann/json.hpp>

#include <vector>

namespace chivedeal::forward {

namespace {

using nlohmann::json;

json encode_loads(const node_beacon& beacon)
{
    json loads = json::array();
    for (const endpoint_load& one : beacon.loads)
        loads.push_back({one.endpoint.str(), one.requests, one.unread_tokens});
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
                                .unread_tokens = one.at(2).get<std::int64_t>()});
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
    return beacon;
}

} // namespace

std::string encode_beacon(const node_beacon& beacon)
{
    json admitted = json::object();
    for (const auto& [workspace, cost] : beacon.admitted)
        admitted[workspace.str()] = cost;
    json peers = json::array();
    for (const address& one : beacon.known_peers)
        peers.push_back(to_string(one));
    const json token = beacon.lease_token ? json(*beacon.lease_token) : json(nullptr);
    const json fields = {beacon.node.str(),         beacon.started_us,
                         beacon.sequence,           to_string(beacon.front),
                         to_string(beacon.peers),   beacon.region.str(),
                         beacon.ready,              beacon.leaving,
                         beacon.wall_us,            token,
                         std::move(admitted),       encode_loads(beacon),
                         encode_outcomes(beacon),   std::move(peers)};
    const std::vector<std::uint8_t> bytes = json::to_msgpack(fields);
    return {bytes.begin(), bytes.end()};
}

result<node_beacon> decode_beacon(const std::string& bytes)
{
    try {
        return decode_fields(json::from_msgpack(bytes));
    }
    catch (const json::exception& fault) {
        return error{.code = result_code::malformed_message, .message = fault.what()};
    }
}

} // namespace chivedeal::forward
