#include "chivedeal/forward/peer_codec.hpp"

#include <nlohmann/json.hpp>

#include <vector>

namespace chivedeal::forward {

namespace {

using nlohmann::json;

json encode_loads(const node_beacon& beacon)
{
    json loads = json::array();
    for (const endpoint_load& load : beacon.loads) {
        loads.push_back({load.endpoint.str(), load.requests, load.sent_prefill_tokens,
                         load.answered, load.failed, load.is_silent});
        if (load.pace_percent != 0)
            loads.back().push_back(load.pace_percent);
    }
    return loads;
}

json encode_outcomes(const node_beacon& beacon)
{
    json outcomes = json::array();
    for (const version_outcomes& outcome : beacon.outcomes)
        outcomes.push_back({outcome.service.str(), outcome.target.str(), outcome.order_offset,
                            outcome.target_good, outcome.target_bad, outcome.other_good,
                            outcome.other_bad, outcome.compared_good, outcome.compared_bad,
                            outcome.expected_bad_milli});
    return outcomes;
}

address decode_address(const json& text)
{
    auto parsed = parse_address(text.get<std::string>());
    return is_ok(parsed) ? get_value(parsed) : address{};
}

json encode_suspicions(const node_beacon& beacon)
{
    const auto encode_age = [](const std::optional<absl::Duration>& age) {
        return age ? json(absl::ToInt64Milliseconds(*age)) : json(nullptr);
    };
    json suspicions = json::array();
    for (const part_suspicion& suspicion : beacon.suspicions) {
        json crashes = json::object();
        for (const auto& [incarnation, age] : suspicion.crashes)
            crashes[incarnation] = absl::ToInt64Milliseconds(age);
        suspicions.push_back({suspicion.part, suspicion.depth, std::move(crashes),
                              encode_age(suspicion.sound_age), encode_age(suspicion.blocked_age),
                              encode_age(suspicion.trial_age)});
    }
    return suspicions;
}

part_suspicion decode_suspicion(const json& fields)
{
    const auto decode_age = [](const json& age) -> std::optional<absl::Duration> {
        if (age.is_null())
            return std::nullopt;
        return absl::Milliseconds(age.get<std::int64_t>());
    };
    part_suspicion suspicion{.part = fields.at(0).get<std::string>(),
                             .depth = fields.at(1).get<int>(),
                             .sound_age = decode_age(fields.at(3)),
                             .blocked_age = decode_age(fields.at(4))};
    // Nodes of the previous version know no trials.
    if (fields.size() > 5)
        suspicion.trial_age = decode_age(fields.at(5));
    for (const auto& [incarnation, age] : fields.at(2).items())
        suspicion.crashes[incarnation] = absl::Milliseconds(age.get<std::int64_t>());
    return suspicion;
}

usage_report decode_report(const json& fields)
{
    usage_report report{.window = fields.at(0).get<std::int64_t>()};
    for (const auto& [workspace, count] : fields.at(1).items())
        report.counts[workspace_id(workspace)] = count.get<std::int64_t>();
    return report;
}

node_beacon decode_beacon(const json& fields)
{
    node_beacon beacon{.node = node_id(fields.at(0).get<std::string>()),
                       .started_us = fields.at(1).get<std::int64_t>(),
                       .sequence = fields.at(2).get<std::uint64_t>(),
                       .front_address = decode_address(fields.at(3)),
                       .peer_address = decode_address(fields.at(4)),
                       .region = region_id(fields.at(5).get<std::string>()),
                       .ready = fields.at(6).get<bool>(),
                       .leaving = fields.at(7).get<bool>(),
                       .wall_us = fields.at(8).get<std::int64_t>()};
    if (!fields.at(9).is_null())
        beacon.lease_token = fields.at(9).get<std::uint64_t>();
    for (const auto& [workspace, cost] : fields.at(10).items())
        beacon.admitted[workspace_id(workspace)] = cost.get<double>();
    for (const json& load : fields.at(11))
        beacon.loads.push_back({.endpoint = endpoint_id(load.at(0).get<std::string>()),
                                .requests = load.at(1).get<int>(),
                                .sent_prefill_tokens = load.at(2).get<std::int64_t>(),
                                .answered = load.at(3).get<std::int64_t>(),
                                .failed = load.at(4).get<std::int64_t>(),
                                .is_silent = load.at(5).get<bool>(),
                                // Absent without observations, and from nodes of earlier versions.
                                .pace_percent = load.size() > 6 ? load.at(6).get<int>() : 0});
    for (const json& outcome : fields.at(12)) {
        beacon.outcomes.push_back({.service = service_id(outcome.at(0).get<std::string>()),
                                   .target = version_id(outcome.at(1).get<std::string>()),
                                   .order_offset = outcome.at(2).get<std::uint64_t>(),
                                   .target_good = outcome.at(3).get<std::int64_t>(),
                                   .target_bad = outcome.at(4).get<std::int64_t>(),
                                   .other_good = outcome.at(5).get<std::int64_t>(),
                                   .other_bad = outcome.at(6).get<std::int64_t>()});
        // Nodes of the previous version compare no intervals.
        if (outcome.size() > 9) {
            beacon.outcomes.back().compared_good = outcome.at(7).get<std::int64_t>();
            beacon.outcomes.back().compared_bad = outcome.at(8).get<std::int64_t>();
            beacon.outcomes.back().expected_bad_milli = outcome.at(9).get<std::int64_t>();
        }
    }
    for (const json& known_peer : fields.at(13))
        beacon.known_peers.push_back(decode_address(known_peer));
    for (const json& report_fields : fields.at(14))
        beacon.usage.push_back(decode_report(report_fields));
    for (const auto& [service, tokens] : fields.at(15).items())
        beacon.requested_prompt_tokens[service_id(service)] = tokens.get<std::int64_t>();
    beacon.relay_in_region = fields.at(16).get<bool>();
    // Nodes of the previous version send no suspicions.
    if (fields.size() > 17)
        for (const json& suspicion : fields.at(17))
            beacon.suspicions.push_back(decode_suspicion(suspicion));
    // Nodes of the previous version send no levels.
    if (fields.size() > 18)
        for (const auto& [workspace, level] : fields.at(18).items())
            beacon.quota_levels[workspace_id(workspace)] = level.get<double>();
    // Nodes of the previous version know no epochs.
    if (fields.size() > 20) {
        beacon.store_epoch = fields.at(19).get<std::uint64_t>();
        for (const json& plan : fields.at(20))
            beacon.planned_reports.push_back(
                {.report = decode_report(plan), .epoch = plan.at(2).get<std::uint64_t>()});
    }
    // Nodes of the previous version send no decisions.
    if (fields.size() > 21)
        for (const json& decided : fields.at(21))
            beacon.decided_rollouts.push_back(
                {.service = service_id(decided.at(0).get<std::string>()),
                 .target = version_id(decided.at(1).get<std::string>()),
                 .state =
                     decided.at(3).get<bool>() ? rollout_state::done : rollout_state::rolled_back,
                 .order_offset = decided.at(2).get<std::uint64_t>()});
    return beacon;
}

json encode_counts(const usage_report& report)
{
    json counts = json::object();
    for (const auto& [workspace, count] : report.counts)
        counts[workspace.str()] = count;
    return counts;
}

json encode_usage(const node_beacon& beacon)
{
    json usage = json::array();
    for (const usage_report& report : beacon.usage)
        usage.push_back({report.window, encode_counts(report)});
    return usage;
}

json encode_plans(const node_beacon& beacon)
{
    json plans = json::array();
    for (const era::planned_report& plan : beacon.planned_reports)
        plans.push_back({plan.report.window, encode_counts(plan.report), plan.epoch});
    return plans;
}

json encode_decisions(const node_beacon& beacon)
{
    json decisions = json::array();
    for (const rollout_status& decided : beacon.decided_rollouts)
        decisions.push_back({decided.service.str(), decided.target.str(),
                             decided.order_offset.value_or(0),
                             decided.state == rollout_state::done});
    return decisions;
}

json encode_fields(const relayed_batch& batch)
{
    json records = json::array();
    for (const stored_record& record : batch.records)
        records.push_back({record.key, record.value, record.removed, record.offset});
    return {batch.sender.str(), static_cast<int>(batch.from), batch.begin_offset, batch.end_offset,
            batch.complete,     std::move(records),           batch.epoch};
}

relayed_batch decode_batch(const json& fields)
{
    relayed_batch batch{.sender = node_id(fields.at(0).get<std::string>()),
                        .from = static_cast<topic>(fields.at(1).get<int>()),
                        .begin_offset = fields.at(2).get<std::uint64_t>(),
                        .end_offset = fields.at(3).get<std::uint64_t>(),
                        .complete = fields.at(4).get<bool>()};
    // Nodes of the previous version know no epochs.
    if (fields.size() > 6)
        batch.epoch = fields.at(6).get<std::uint64_t>();
    for (const json& record : fields.at(5))
        batch.records.push_back({.key = record.at(0).get<std::string>(),
                                 .value = record.at(1).get<std::string>(),
                                 .removed = record.at(2).get<bool>(),
                                 .offset = record.at(3).get<std::uint64_t>()});
    return batch;
}

json encode_fields(const node_beacon& beacon)
{
    json admitted = json::object();
    for (const auto& [workspace, cost] : beacon.admitted)
        admitted[workspace.str()] = cost;
    json levels = json::object();
    for (const auto& [workspace, level] : beacon.quota_levels)
        levels[workspace.str()] = level;
    json prompt_tokens = json::object();
    for (const auto& [service, tokens] : beacon.requested_prompt_tokens)
        prompt_tokens[service.str()] = tokens;
    json peers = json::array();
    for (const address& known_peer : beacon.known_peers)
        peers.push_back(to_string(known_peer));
    const json token = beacon.lease_token ? json(*beacon.lease_token) : json(nullptr);
    return {beacon.node.str(),
            beacon.started_us,
            beacon.sequence,
            to_string(beacon.front_address),
            to_string(beacon.peer_address),
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
            std::move(prompt_tokens),
            beacon.relay_in_region,
            encode_suspicions(beacon),
            std::move(levels),
            beacon.store_epoch,
            encode_plans(beacon),
            encode_decisions(beacon)};
}

// Message kinds; the first element of an encoded message.
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
    for (const node_beacon& beacon : bundle.beacons)
        beacons.push_back(encode_fields(beacon));
    return beacons;
}

beacon_bundle decode_bundle(const json& fields)
{
    beacon_bundle bundle;
    for (const json& beacon : fields)
        bundle.beacons.push_back(decode_beacon(beacon));
    return bundle;
}

} // namespace

std::string encode_message(const peer_message& message)
{
    json envelope = json::array();
    if (const auto* beacon = std::get_if<node_beacon>(&message))
        envelope = {beacon_kind, encode_fields(*beacon)};
    else if (const auto* batch = std::get_if<relayed_batch>(&message))
        envelope = {batch_kind, encode_fields(*batch)};
    else if (const auto* bundle = std::get_if<beacon_bundle>(&message))
        envelope = {bundle_kind, encode_fields(*bundle)};
    else
        envelope = {notice_kind, encode_fields(std::get<prompt_notice>(message))};
    const std::vector<std::uint8_t> bytes = json::to_msgpack(envelope);
    return {bytes.begin(), bytes.end()};
}

result<peer_message> decode_message(const std::string& bytes)
{
    try {
        const json envelope = json::from_msgpack(bytes);
        if (envelope.at(0).get<int>() == beacon_kind)
            return peer_message(decode_beacon(envelope.at(1)));
        if (envelope.at(0).get<int>() == batch_kind)
            return peer_message(decode_batch(envelope.at(1)));
        if (envelope.at(0).get<int>() == bundle_kind)
            return peer_message(decode_bundle(envelope.at(1)));
        if (envelope.at(0).get<int>() == notice_kind)
            return peer_message(decode_notice(envelope.at(1)));
        return error{.code = result_code::malformed_message, .message = "unknown message kind"};
    }
    catch (const json::exception& exception) {
        return error{.code = result_code::malformed_message, .message = exception.what()};
    }
}

} // namespace chivedeal::forward
