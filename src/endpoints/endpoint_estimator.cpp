#include "chivedeal/endpoints/endpoint_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chivedeal::endpoints {

namespace {

// The prior: conservative values, as engines don't report theirs.
constexpr double prior_prompt_tokens_per_ms = 50;
// Additional wait for the first byte when all slots are in use, scaled by the share in use.
constexpr double full_batch_delay_ms = 72;
// Wait for a free slot, for each request beyond the slots.
constexpr double queued_request_delay_ms = 60;
// An endpoint counts as full at this many running and queued requests per slot.
constexpr double max_requests_per_slot = 1.25;
constexpr latency_model::vector prior_weights{1, 1, 0};
// The model computes in units of 100 ms, so that all its weights are of similar size.
constexpr double ms_per_unit = 100;
// Weights stay within this range of the prior: no observation shows an endpoint that takes no time.
constexpr double min_weight = 0.05;
constexpr double max_weight = 50;

// Standard deviation of a response time: a share of the time, and a part that doesn't depend on it.
constexpr double own_noise_ratio = 0.25;
constexpr double peer_noise_ratio = 0.5;
constexpr double noise_ms = 5;
// An endpoint is overloaded if the delay with load exceeds this, and the time that the fastest
// requests take beyond reading their prompts. Twice the delay of a full batch in the prior, so that
// an endpoint which behaves like the prior keeps the limit of the prior.
constexpr double max_load_delay_ms = 2 * full_batch_delay_ms;
constexpr double limit_decrease = 0.85;
constexpr double limit_increase_requests = 0.5;
// The requests under way when the limit fell don't show yet whether the new one holds.
constexpr absl::Duration min_time_between_decreases = absl::Milliseconds(200);
// A single late response may have another cause than the load.
constexpr int min_consecutive_overloads = 2;
// With fewer endpoints, what they have in common is mostly the state of one of them.
constexpr int min_endpoints_of_shift = 3;
constexpr absl::Duration limit_memory = absl::Seconds(5);
// The fastest request is searched in the last one to two periods. If the endpoint has become slower
// at any load, the limit recovers after that time.
constexpr absl::Duration fastest_period = absl::Seconds(5);

constexpr absl::Duration reading_lifetime = absl::Seconds(1);
// The model learns what a reported pace means for the response times. A change of the reported pace
// counts on its own only for about this time.
constexpr absl::Duration usual_pace_memory = absl::Seconds(2);
// Limits of the effect of a reported pace, which may be false.
constexpr double min_pace_correction = 0.5;
constexpr double max_pace_correction = 2;

// Constant part in the ratio of two response times, so that short times don't give extreme ratios.
constexpr double pace_offset_ms = 20;
constexpr absl::Duration observed_pace_memory = absl::Seconds(1);
constexpr absl::Duration max_observed_pace_age = absl::Milliseconds(1500);
constexpr double observed_pace_gain = 0.3;
// The request that a peer's pace stands for, in units of the model: 50 ms to read the prompt and
// 30 ms of delay with load by the prior.
constexpr latency_model::vector reference_features{0.5, 0.3, 0.2};
constexpr double max_peer_pace = 20;

double dot(const latency_model::vector& a, const latency_model::vector& b)
{
    return a[0] * b[0] + a[1] * b[1] + a[2] * b[2];
}

// Share of a reading that still counts.
double reading_weight(absl::Time read_at, absl::Time now)
{
    if (read_at == absl::InfinitePast())
        return 0;
    return std::clamp(1 - absl::FDivDuration(now - read_at, reading_lifetime), 0.0, 1.0);
}

} // namespace

endpoint_estimator::endpoint_estimator(std::shared_ptr<service_model> service)
    : m_service(service != nullptr ? std::move(service) : std::make_shared<service_model>())
{}

void endpoint_estimator::set_slots(int slots) { m_slots = std::max(slots, 1); }

void endpoint_estimator::on_sent() { ++m_own_requests; }

void endpoint_estimator::on_completed() { m_own_requests = std::max(0, m_own_requests - 1); }

void endpoint_estimator::on_failed() { m_own_requests = std::max(0, m_own_requests - 1); }

void endpoint_estimator::on_first_byte(const sent_request& request, absl::Duration elapsed,
                                       absl::Time now)
{
    const double elapsed_ms = std::max(0.0, absl::ToDoubleMilliseconds(elapsed));
    const latency_model::vector sent = features(request.prompt_cost_tokens, request.requests);

    const double prior_ms = dot(prior_weights, sent) * ms_per_unit;
    const double pace = (elapsed_ms + pace_offset_ms) / (prior_ms + pace_offset_ms);
    const bool is_recent = now - m_observed_at < observed_pace_memory;
    m_observed_pace += (is_recent ? observed_pace_gain : 1) * (pace - m_observed_pace);
    m_observed_at = now;

    observe(sent, elapsed_ms / ms_per_unit / pace_correction(now), own_noise_ratio, now);
    const double reading_ms = weights_at(now)[0] * sent[0] * ms_per_unit;
    adapt_limit(request.requests + 1, std::max(0.0, elapsed_ms - reading_ms), now);
}

void endpoint_estimator::on_peer_pace(double pace, absl::Time now)
{
    if (!(pace > 0))
        return;
    observe(reference_features,
            std::min(pace, max_peer_pace) * dot(prior_weights, reference_features),
            peer_noise_ratio, now);
}

void endpoint_estimator::observe(const latency_model::vector& request_features, double time,
                                 double noise_ratio, absl::Time now)
{
    const double prior_time = dot(prior_weights, request_features);
    const double expected = dot(weights_at(now), request_features);
    const double noise = noise_ratio * expected + noise_ms / ms_per_unit;
    m_service->latency.add(request_features, time - prior_time, noise, now);
    const double common_time = dot(m_service->latency.deviation_at(now), request_features);
    m_own.add(request_features, time - prior_time - common_time, noise, now);
}

// Additive increase, multiplicative decrease by the delay that the load causes.
void endpoint_estimator::adapt_limit(int requests, double rest_ms, absl::Time now)
{
    if (now - m_fastest_period_start >= fastest_period) {
        const bool is_next = now - m_fastest_period_start < 2 * fastest_period;
        m_previous_fastest_ms = is_next ? m_fastest_ms : rest_ms;
        m_fastest_ms = rest_ms;
        m_fastest_period_start = now;
    }
    m_fastest_ms = std::min(m_fastest_ms, rest_ms);
    // A constant delay that all endpoints have in common isn't caused by the load of this one.
    const double common_ms = m_service->endpoints >= min_endpoints_of_shift
                                 ? m_service->latency.deviation_at(now)[2] * ms_per_unit
                                 : 0;
    // An endpoint that has only been seen under load has no fast requests; the model tells then what
    // the load causes.
    const double constant_ms = weights_at(now)[2] * ms_per_unit;
    const double unloaded_ms =
        std::max(std::min({m_fastest_ms, m_previous_fastest_ms, constant_ms}), common_ms);
    const double tolerated_ms = std::max(max_load_delay_ms, unloaded_ms) +
                                queued_request_delay_ms * std::max(0, requests - m_slots);
    const double load_delay_ms = rest_ms - unloaded_ms;
    const double limit = concurrency_limit(now);
    const double prior_limit = max_requests_per_slot * m_slots;
    const bool is_overload = load_delay_ms > tolerated_ms;
    m_consecutive_overloads = is_overload ? m_consecutive_overloads + 1 : 0;
    if (is_overload) {
        if (m_consecutive_overloads < min_consecutive_overloads ||
            now - m_limit_fell_at < min_time_between_decreases)
            return;
        m_limit_fell_at = now;
        // A delay at a low load doesn't show that this load is too much.
        const double base = requests < limit / 2 ? limit : std::min<double>(limit, requests);
        m_limit_reduction = prior_limit - std::max(1.0, base * limit_decrease);
        m_limit_changed_at = now;
    }
    else if (m_limit_reduction > 0) {
        const double increase = requests >= limit / 2 ? limit_increase_requests : 0;
        m_limit_reduction = std::max(0.0, prior_limit - limit - increase);
        m_limit_changed_at = now;
    }
}

double endpoint_estimator::concurrency_limit(absl::Time now) const
{
    const double prior_limit = max_requests_per_slot * m_slots;
    if (m_limit_reduction <= 0)
        return prior_limit;
    const double kept =
        std::exp(-std::max(0.0, absl::FDivDuration(now - m_limit_changed_at, limit_memory)));
    return std::max(1.0, prior_limit - m_limit_reduction * kept);
}

void endpoint_estimator::on_load_header(const load_reading& reading, int known_requests,
                                        absl::Time now)
{
    // A false report of no load hides at most half of the requests that peers report, and none of
    // this node's. One of too much load counts as a full endpoint at most.
    const int peer_requests = std::max(0, known_requests - m_own_requests);
    m_unknown_requests =
        std::clamp(reading.running + reading.waiting - known_requests, -peer_requests / 2, m_slots);
    m_load_read_at = now;
    if (!reading.pace)
        return;
    if (m_pace_read_at != absl::InfinitePast()) {
        const double age = absl::FDivDuration(now - m_pace_read_at, usual_pace_memory);
        m_usual_pace += (1 - std::exp(-std::max(0.0, age))) * (m_pace - m_usual_pace);
    }
    m_pace = *reading.pace;
    m_pace_read_at = now;
}

latency_model::vector endpoint_estimator::features(double prompt_cost_tokens, int requests) const
{
    const int queued = std::max(0, requests + 1 - m_slots);
    return {prompt_cost_tokens / prior_prompt_tokens_per_ms / ms_per_unit,
            (full_batch_delay_ms * requests / m_slots + queued_request_delay_ms * queued) /
                ms_per_unit,
            1};
}

latency_model::vector endpoint_estimator::weights_at(absl::Time now) const
{
    const latency_model::vector common = m_service->latency.deviation_at(now);
    const latency_model::vector own = m_own.deviation_at(now);
    return {std::clamp(prior_weights[0] + common[0] + own[0], min_weight, max_weight),
            std::clamp(prior_weights[1] + common[1] + own[1], min_weight, max_weight),
            std::max(prior_weights[2] + common[2] + own[2], 0.0)};
}

double endpoint_estimator::pace_correction(absl::Time now) const
{
    const double weight = reading_weight(m_pace_read_at, now);
    if (weight <= 0)
        return 1;
    const double ratio =
        std::clamp(m_pace / m_usual_pace, min_pace_correction, max_pace_correction);
    return 1 + weight * (ratio - 1);
}

absl::Duration endpoint_estimator::predict(double prompt_cost_tokens, int requests,
                                           absl::Time now) const
{
    return absl::Milliseconds(predict_ms(prompt_cost_tokens, requests, now));
}

double endpoint_estimator::predict_ms(double prompt_cost_tokens, int requests, absl::Time now) const
{
    return dot(weights_at(now), features(prompt_cost_tokens, requests)) * ms_per_unit *
           pace_correction(now);
}

double endpoint_estimator::prompt_tokens_per_ms(absl::Time now) const
{
    return prior_prompt_tokens_per_ms / weights_at(now)[0];
}

int endpoint_estimator::requests_in_flight(int known_requests, absl::Time now) const
{
    const double weight = reading_weight(m_load_read_at, now);
    const int corrected = known_requests + static_cast<int>(weight * m_unknown_requests);
    return std::max(m_own_requests, corrected);
}

double endpoint_estimator::observed_pace(absl::Time now) const
{
    return now - m_observed_at < max_observed_pace_age ? m_observed_pace : 0;
}

int endpoint_estimator::observed_pace_percent(absl::Time now) const
{
    constexpr double max_percent = 10000;
    return static_cast<int>(std::lround(std::min(observed_pace(now) * 100, max_percent)));
}

} // namespace chivedeal::endpoints
