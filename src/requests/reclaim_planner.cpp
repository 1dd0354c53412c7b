#include "chivedeal/requests/reclaim_planner.hpp"

#include "absl/container/flat_hash_map.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace chivedeal::requests {

namespace {

// A rate of zero means that nothing can be transferred.
absl::Duration time_for(double amount, double per_second)
{
    return per_second > 0 ? absl::Seconds(amount / per_second) : absl::InfiniteDuration();
}

double tokens_at_risk(const reclaim_stream& stream)
{
    return static_cast<double>(stream.prompt_tokens + stream.tokens_so_far);
}

struct source_state
{
    const reclaim_source* source = nullptr;
    /// When its link becomes free.
    absl::Duration export_free;
};

struct target_state
{
    const reclaim_target* target = nullptr;
    int free_slots = 0;
    double free_kv_bytes = 0;
    absl::Duration import_free;
    absl::Duration prefill_free;
};

struct moving_stream
{
    const reclaim_stream* stream = nullptr;
    source_state* source = nullptr;
    absl::Duration transfer;
    double risk_per_second = 0;
};

struct placement
{
    target_state* target = nullptr;
    absl::Duration start;
    absl::Duration end = absl::InfiniteDuration();
};

} // namespace

// Builds one plan and tracks the remaining capacity of its sources and targets.
class reclaim_planner::plan_builder
{
public:
    plan_builder(const options& tunables, const std::vector<reclaim_source>& sources,
                 const std::vector<reclaim_target>& targets);

    std::vector<reclaim_step> plan(const std::vector<reclaim_stream>& streams);

private:
    bool ends_in_time(const reclaim_stream& stream, const reclaim_source& source) const;
    absl::Duration time_to_completion(const reclaim_stream& stream,
                                      const reclaim_source& source) const;
    absl::Duration usable_time(const reclaim_source& source) const;
    moving_stream make_moving_stream(const reclaim_stream& stream, source_state& source) const;
    bool fits(const target_state& candidate, const moving_stream& moving) const;
    int distance(const target_state& candidate, const reclaim_source& source) const;
    bool try_export(const moving_stream& moving);
    void resume(const moving_stream& moving);
    void reserve_capacity(const moving_stream& moving, const placement& placed, reclaim_step step);
    placement place_export(const moving_stream& moving);
    placement place_resume(const moving_stream& moving);
    void finish(const reclaim_stream& stream, const reclaim_source& source, std::string reason);

    const options& m_options;
    absl::flat_hash_map<endpoint_id, source_state> m_sources;
    std::vector<target_state> m_targets;
    std::vector<reclaim_step> m_steps;
};

reclaim_planner::plan_builder::plan_builder(const options& tunables,
                                            const std::vector<reclaim_source>& sources,
                                            const std::vector<reclaim_target>& targets)
    : m_options(tunables)
{
    for (const reclaim_source& source : sources)
        m_sources[source.id].source = &source;
    for (const reclaim_target& target : targets)
        if (!m_sources.contains(target.id))
            m_targets.push_back({.target = &target,
                                 .free_slots = target.free_slots,
                                 .free_kv_bytes = target.free_kv_bytes,
                                 .import_free = absl::ZeroDuration(),
                                 .prefill_free = absl::ZeroDuration()});
}

std::vector<reclaim_step>
reclaim_planner::plan_builder::plan(const std::vector<reclaim_stream>& streams)
{
    std::vector<moving_stream> moving;
    for (const reclaim_stream& stream : streams) {
        const auto it = m_sources.find(stream.source);
        if (it == m_sources.end())
            continue;
        const reclaim_source& source = *it->second.source;
        if (!stream.movable)
            finish(stream, source, "not_movable");
        else if (ends_in_time(stream, source))
            finish(stream, source, "ends_in_time");
        else
            moving.push_back(make_moving_stream(stream, it->second));
    }
    std::sort(moving.begin(), moving.end(), [](const moving_stream& a, const moving_stream& b) {
        return std::pair(-a.risk_per_second, a.stream->request) <
               std::pair(-b.risk_per_second, b.stream->request);
    });
    // Exports are placed first: resumes can start later and would use up the capacity that the
    // exports need.
    std::vector<moving_stream> without_export;
    for (const moving_stream& candidate : moving)
        if (!try_export(candidate))
            without_export.push_back(candidate);
    for (const moving_stream& candidate : without_export)
        resume(candidate);
    std::stable_sort(
        m_steps.begin(), m_steps.end(),
        [](const reclaim_step& a, const reclaim_step& b) { return a.start < b.start; });
    return std::move(m_steps);
}

bool reclaim_planner::plan_builder::ends_in_time(const reclaim_stream& stream,
                                                 const reclaim_source& source) const
{
    return time_to_completion(stream, source) * (1 + m_options.length_margin) <=
           usable_time(source);
}

absl::Duration reclaim_planner::plan_builder::time_to_completion(const reclaim_stream& stream,
                                                                 const reclaim_source& source) const
{
    return time_for(static_cast<double>(stream.expected_tokens_left),
                    source.stream_tokens_per_second);
}

absl::Duration reclaim_planner::plan_builder::usable_time(const reclaim_source& source) const
{
    return std::max(absl::ZeroDuration(), source.time_left - m_options.margin);
}

moving_stream reclaim_planner::plan_builder::make_moving_stream(const reclaim_stream& stream,
                                                                source_state& source) const
{
    const absl::Duration transfer =
        m_options.export_overhead +
        time_for(static_cast<double>(stream.kv_bytes), source.source->export_bytes_per_second);
    return {.stream = &stream,
            .source = &source,
            .transfer = transfer,
            .risk_per_second = tokens_at_risk(stream) / absl::ToDoubleSeconds(transfer)};
}

bool reclaim_planner::plan_builder::fits(const target_state& candidate,
                                         const moving_stream& moving) const
{
    return candidate.target->service == moving.stream->service &&
           candidate.target->version == moving.stream->version && candidate.free_slots > 0 &&
           candidate.free_kv_bytes >= static_cast<double>(moving.stream->kv_bytes);
}

// Prefers the same region and within it another zone, since mass reclaims take a whole zone.
int reclaim_planner::plan_builder::distance(const target_state& candidate,
                                            const reclaim_source& source) const
{
    const int in_zone = candidate.target->zone == source.zone ? 1 : 0;
    return candidate.target->region == source.region ? in_zone : 2;
}

bool reclaim_planner::plan_builder::try_export(const moving_stream& moving)
{
    if (moving.stream->kv_bytes == 0)
        return false;
    const placement placed = place_export(moving);
    if (placed.target == nullptr)
        return false;
    reserve_capacity(moving, placed,
                     {.request = {},
                      .source = {},
                      .action = reclaim_action::export_kv,
                      .target = {},
                      .start = {},
                      .end = {},
                      .reason = "kv_fits_time_left"});
    return true;
}

void reclaim_planner::plan_builder::resume(const moving_stream& moving)
{
    const placement placed = place_resume(moving);
    if (placed.target != nullptr) {
        reserve_capacity(moving, placed,
                         {.request = {},
                          .source = {},
                          .action = reclaim_action::resume_tokens,
                          .target = {},
                          .start = {},
                          .end = {},
                          .reason = moving.stream->kv_bytes > 0 ? "no_time_or_room_for_kv"
                                                                : "kv_not_exportable"});
        return;
    }
    // The stream stays as long as possible and then resumes wherever there is capacity.
    const absl::Duration latest_start = usable_time(*moving.source->source);
    m_steps.push_back({.request = moving.stream->request,
                       .source = moving.stream->source,
                       .action = reclaim_action::resume_tokens,
                       .target = {},
                       .start = latest_start,
                       .end = latest_start,
                       .reason = "no_target_with_room"});
}

void reclaim_planner::plan_builder::reserve_capacity(const moving_stream& moving,
                                                     const placement& placed, reclaim_step step)
{
    --placed.target->free_slots;
    placed.target->free_kv_bytes -= static_cast<double>(moving.stream->kv_bytes);
    step.request = moving.stream->request;
    step.source = moving.stream->source;
    step.target = placed.target->target->id;
    step.start = placed.start;
    step.end = placed.end;
    m_steps.push_back(std::move(step));
}

placement reclaim_planner::plan_builder::place_export(const moving_stream& moving)
{
    const auto bytes = static_cast<double>(moving.stream->kv_bytes);
    placement best;
    for (target_state& candidate : m_targets) {
        if (!fits(candidate, moving))
            continue;
        const absl::Duration start = std::max(moving.source->export_free, candidate.import_free);
        const absl::Duration end =
            start + std::max(moving.transfer,
                             m_options.export_overhead +
                                 time_for(bytes, candidate.target->import_bytes_per_second));
        if (end > usable_time(*moving.source->source))
            continue;
        const reclaim_source& source = *moving.source->source;
        if (best.target != nullptr &&
            std::tuple(distance(*best.target, source), best.end, best.target->target->id) <=
                std::tuple(distance(candidate, source), end, candidate.target->id))
            continue;
        best = {.target = &candidate, .start = start, .end = end};
    }
    if (best.target != nullptr) {
        moving.source->export_free = best.end;
        best.target->import_free = best.end;
    }
    return best;
}

// Each target recomputes one prompt at a time. Recomputing all prompts of a mass reclaim at once
// would delay the target's other streams.
placement reclaim_planner::plan_builder::place_resume(const moving_stream& moving)
{
    const reclaim_source& source = *moving.source->source;
    placement best;
    for (target_state& candidate : m_targets) {
        if (!fits(candidate, moving))
            continue;
        const absl::Duration end =
            candidate.prefill_free +
            time_for(tokens_at_risk(*moving.stream), candidate.target->prefill_tokens_per_second);
        if (end == absl::InfiniteDuration())
            continue;
        if (best.target != nullptr &&
            std::tuple(distance(*best.target, source), best.end, best.target->target->id) <=
                std::tuple(distance(candidate, source), end, candidate.target->id))
            continue;
        best = {.target = &candidate, .start = candidate.prefill_free, .end = end};
    }
    if (best.target != nullptr)
        best.target->prefill_free = best.end;
    return best;
}

void reclaim_planner::plan_builder::finish(const reclaim_stream& stream,
                                           const reclaim_source& source, std::string reason)
{
    m_steps.push_back({.request = stream.request,
                       .source = stream.source,
                       .action = reclaim_action::finish,
                       .target = {},
                       .start = absl::ZeroDuration(),
                       .end = time_to_completion(stream, source),
                       .reason = std::move(reason)});
}

reclaim_planner::reclaim_planner() : reclaim_planner(options{}) {}

reclaim_planner::reclaim_planner(options tunables) : m_options(tunables) {}

std::vector<reclaim_step> reclaim_planner::plan(const std::vector<reclaim_stream>& streams,
                                                const std::vector<reclaim_source>& sources,
                                                const std::vector<reclaim_target>& targets) const
{
    return plan_builder(m_options, sources, targets).plan(streams);
}

} // namespace chivedeal::requests
