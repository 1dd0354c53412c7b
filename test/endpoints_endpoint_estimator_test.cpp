#include "chivedeal/endpoints/endpoint_estimator.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <vector>

namespace chivedeal::endpoints {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

double predicted_ms(const endpoint_estimator& estimator, double tokens, int requests,
                    absl::Time now)
{
    return absl::ToDoubleMilliseconds(estimator.predict(tokens, requests, now));
}

// An endpoint that reads `tokens_per_ms` and adds `base_ms` plus `busy_ms` at full load.
struct simulated_endpoint
{
    double tokens_per_ms = 50;
    double base_ms = 0;
    double busy_ms = 72;
    int slots = 12;

    double time_ms(double tokens, int requests) const
    {
        return tokens / tokens_per_ms + base_ms + busy_ms * requests / slots;
    }
};

endpoint_estimator make_estimator(int slots = 12, std::shared_ptr<service_model> service = nullptr)
{
    endpoint_estimator estimator(std::move(service));
    estimator.set_slots(slots);
    return estimator;
}

// Sends requests of mixed sizes at `per_second` for `length`, with response times that vary by 10 %.
absl::Time run(endpoint_estimator& estimator, const simulated_endpoint& endpoint,
               absl::Duration length, absl::Time now, int per_second = 10)
{
    const std::vector<double> sizes{800, 800, 7000, 800, 2400, 800, 12000, 800};
    const int count = static_cast<int>(absl::ToDoubleSeconds(length) * per_second);
    for (int sent = 0; sent < count; ++sent) {
        now += absl::Seconds(1) / per_second;
        const auto i = static_cast<int>((now - start) / (absl::Seconds(1) / per_second));
        const double tokens = sizes[i % sizes.size()];
        const int requests = i * 5 % endpoint.slots;
        const double jitter = 1 + 0.1 * std::sin(i * 2.4);
        estimator.on_first_byte({.prompt_cost_tokens = tokens, .requests = requests},
                                absl::Milliseconds(endpoint.time_ms(tokens, requests) * jitter),
                                now);
    }
    return now;
}

// Guards against a change of existing deployments: without observations, the estimate is exactly
// that of the previous fixed figures.
TEST(endpoint_estimator, starts_with_the_previous_fixed_figures)
{
    const endpoint_estimator estimator = make_estimator(4);
    EXPECT_DOUBLE_EQ(predicted_ms(estimator, 1000, 0, start), 20);
    EXPECT_DOUBLE_EQ(predicted_ms(estimator, 1000, 2, start), 20 + 36);
    EXPECT_DOUBLE_EQ(predicted_ms(estimator, 0, 5, start), 90 + 120);
    EXPECT_DOUBLE_EQ(estimator.concurrency_limit(start), 5);
    EXPECT_DOUBLE_EQ(estimator.prompt_tokens_per_ms(start), 50);
}

// Guards against estimates that are as far off as the fixed figures: engines read 140 tokens/ms and
// not 50.
TEST(endpoint_estimator, learns_the_reading_speed_and_the_delay_with_load)
{
    endpoint_estimator estimator = make_estimator();
    const simulated_endpoint endpoint{.tokens_per_ms = 140, .base_ms = 10, .busy_ms = 150};
    const absl::Time end = run(estimator, endpoint, absl::Seconds(10), start);
    EXPECT_NEAR(estimator.prompt_tokens_per_ms(end), 140, 35);
    for (const double tokens : {800.0, 7000.0, 12000.0})
        for (const int requests : {1, 6, 11})
            EXPECT_NEAR(predicted_ms(estimator, tokens, requests, end),
                        endpoint.time_ms(tokens, requests),
                        0.25 * endpoint.time_ms(tokens, requests) + 5);
}

// Guards against plain services without prompts being predicted by the figures of engines.
TEST(endpoint_estimator, learns_the_service_time_of_a_plain_service)
{
    endpoint_estimator estimator = make_estimator(6);
    absl::Time now = start;
    for (int i = 0; i < 30; ++i) {
        now += absl::Milliseconds(100);
        estimator.on_first_byte({.requests = i % 6}, absl::Milliseconds(80 + 30 * (i % 6)), now);
    }
    EXPECT_NEAR(predicted_ms(estimator, 0, 0, now), 80, 25);
    EXPECT_NEAR(predicted_ms(estimator, 0, 5, now), 230, 50);
}

// Guards against following a slowdown or a recovery too late: endpoints become three to eight times
// slower than usual within a moment.
TEST(endpoint_estimator, follows_a_change_by_a_factor_of_three_within_two_seconds)
{
    for (const double factor : {3.0, 1 / 3.0}) {
        endpoint_estimator estimator = make_estimator();
        const simulated_endpoint before{.tokens_per_ms = 90, .base_ms = 30, .busy_ms = 90};
        absl::Time now = run(estimator, before, absl::Seconds(20), start);
        const simulated_endpoint after{
            .tokens_per_ms = 90 / factor, .base_ms = 30 * factor, .busy_ms = 90 * factor};
        now = run(estimator, after, absl::Seconds(2), now);
        for (const double tokens : {800.0, 7000.0, 12000.0})
            EXPECT_NEAR(predicted_ms(estimator, tokens, 6, now) / after.time_ms(tokens, 6), 1, 0.3)
                << factor << " " << tokens;
    }
}

// Guards against an outlier, such as one response that a busy network delays, that diverts traffic.
TEST(endpoint_estimator, is_hardly_moved_by_one_late_response)
{
    endpoint_estimator estimator = make_estimator();
    const absl::Time now = run(estimator, {}, absl::Seconds(10), start);
    const double before = predicted_ms(estimator, 7000, 6, now);
    estimator.on_first_byte({.prompt_cost_tokens = 800, .requests = 6}, absl::Seconds(5), now);
    EXPECT_NEAR(predicted_ms(estimator, 7000, 6, now), before, 0.3 * before);
}

// Guards against a caller that reads its response slowly and so makes its endpoint look slow.
TEST(endpoint_estimator, ignores_how_long_a_response_lasts)
{
    endpoint_estimator estimator = make_estimator();
    const absl::Time now = run(estimator, {}, absl::Seconds(5), start);
    const double before = predicted_ms(estimator, 7000, 6, now);
    estimator.on_sent();
    estimator.on_first_byte({.prompt_cost_tokens = 800}, absl::Milliseconds(16), now);
    const double after_first_byte = predicted_ms(estimator, 7000, 6, now);
    estimator.on_completed();
    EXPECT_DOUBLE_EQ(predicted_ms(estimator, 7000, 6, now), after_first_byte);
    EXPECT_NEAR(after_first_byte, before, 0.2 * before);
    EXPECT_EQ(estimator.own_requests(), 0);
}

// Guards against endpoints that fail at once and attract all requests as the fastest ones.
TEST(endpoint_estimator, takes_no_failure_as_a_sign_of_speed)
{
    endpoint_estimator estimator = make_estimator();
    const absl::Time now = run(estimator, {}, absl::Seconds(5), start);
    const double before = predicted_ms(estimator, 7000, 6, now);
    for (int i = 0; i < 100; ++i) {
        estimator.on_sent();
        estimator.on_failed();
    }
    EXPECT_DOUBLE_EQ(predicted_ms(estimator, 7000, 6, now), before);
    EXPECT_DOUBLE_EQ(estimator.concurrency_limit(now), 15);
}

// Guards against long prompts that make the endpoint look slow to short ones.
TEST(endpoint_estimator, keeps_the_prediction_of_short_prompts_among_long_ones)
{
    endpoint_estimator estimator = make_estimator();
    const simulated_endpoint endpoint{.base_ms = 20};
    absl::Time now = run(estimator, endpoint, absl::Seconds(5), start);
    for (int i = 0; i < 20; ++i) {
        now += absl::Milliseconds(100);
        const double tokens = i % 10 == 0 ? 800 : 40000;
        estimator.on_first_byte({.prompt_cost_tokens = tokens, .requests = 6},
                                absl::Milliseconds(endpoint.time_ms(tokens, 6)), now);
    }
    EXPECT_NEAR(predicted_ms(estimator, 800, 6, now), endpoint.time_ms(800, 6), 25);
}

// Guards against choosing by observations that are no longer true.
TEST(endpoint_estimator, returns_to_the_prior_without_observations)
{
    endpoint_estimator estimator = make_estimator();
    const absl::Time now = run(estimator, {.tokens_per_ms = 10}, absl::Seconds(5), start);
    EXPECT_GT(predicted_ms(estimator, 7000, 0, now), 400);
    EXPECT_NEAR(predicted_ms(estimator, 7000, 0, now + absl::Minutes(20)), 140, 3);
}

// Guards against a node that was stalled and takes all endpoints, or only those that it uses, for
// slow: the endpoints of a service change together in its eyes.
TEST(endpoint_estimator, attributes_a_common_shift_to_no_endpoint)
{
    const auto service = std::make_shared<service_model>();
    std::vector<endpoint_estimator> endpoints;
    service->endpoints = 20;
    for (int i = 0; i < 20; ++i)
        endpoints.push_back(make_estimator(12, service));
    absl::Time now = start;
    const auto observe_all = [&endpoints, &now](double extra_ms) {
        // The last five endpoints are unused.
        for (int i = 0; i < 15; ++i) {
            now += absl::Milliseconds(5);
            endpoints[i].on_first_byte({.prompt_cost_tokens = 1000, .requests = 3},
                                       absl::Milliseconds(38 + extra_ms), now);
        }
    };
    for (int round = 0; round < 10; ++round)
        observe_all(0);
    for (int round = 0; round < 4; ++round)
        observe_all(300);
    double shortest = 1e9;
    double longest = 0;
    for (const endpoint_estimator& estimator : endpoints) {
        const double predicted = predicted_ms(estimator, 1000, 3, now);
        shortest = std::min(shortest, predicted);
        longest = std::max(longest, predicted);
        EXPECT_DOUBLE_EQ(estimator.concurrency_limit(now), 15);
    }
    EXPECT_GT(shortest, 150);
    EXPECT_LT(longest / shortest, 1.25);
}

// Guards against hiding one slow endpoint among its usual neighbours.
TEST(endpoint_estimator, attributes_the_slowness_of_one_endpoint_to_it)
{
    const auto service = std::make_shared<service_model>();
    std::vector<endpoint_estimator> endpoints;
    service->endpoints = 6;
    for (int i = 0; i < 6; ++i)
        endpoints.push_back(make_estimator(6, service));
    absl::Time now = start;
    for (int round = 0; round < 60; ++round)
        for (int i = 0; i < 6; ++i) {
            now += absl::Milliseconds(10);
            const bool is_slow = i == 0 && round >= 30;
            endpoints[i].on_first_byte({.requests = round % 3},
                                       absl::Milliseconds(is_slow ? 150 : 50), now);
        }
    EXPECT_NEAR(predicted_ms(endpoints[0], 0, 1, now), 150, 35);
    for (int i = 1; i < 6; ++i)
        EXPECT_NEAR(predicted_ms(endpoints[i], 0, 1, now), 50, 20);
}

// Guards against endpoints that slow down long before their slots are in use: 1.25 requests per slot
// would keep filling them.
TEST(endpoint_estimator, lowers_and_raises_the_concurrency_limit)
{
    endpoint_estimator estimator = make_estimator(32);
    absl::Time now = start;
    // Beyond 10 requests, each one adds 100 ms.
    const auto time_ms = [](int requests) { return 30 + 100 * std::max(0, requests - 10); };
    for (int i = 0; i < 50; ++i) {
        now += absl::Milliseconds(100);
        const int requests = static_cast<int>(estimator.concurrency_limit(now)) - 1;
        estimator.on_first_byte({.requests = std::max(0, requests)},
                                absl::Milliseconds(time_ms(requests + 1)), now);
    }
    EXPECT_LT(estimator.concurrency_limit(now), 16);
    EXPECT_GE(estimator.concurrency_limit(now), 5);
    for (int i = 0; i < 100; ++i) {
        now += absl::Milliseconds(100);
        const int requests = static_cast<int>(estimator.concurrency_limit(now)) - 1;
        estimator.on_first_byte({.requests = requests}, absl::Milliseconds(30), now);
    }
    EXPECT_GT(estimator.concurrency_limit(now), 32);
}

// Guards against a lower limit for endpoints that behave as the prior says.
TEST(endpoint_estimator, keeps_the_limit_of_an_endpoint_that_behaves_like_the_prior)
{
    endpoint_estimator estimator = make_estimator(12);
    absl::Time now = start;
    for (int i = 0; i < 100; ++i) {
        now += absl::Milliseconds(50);
        const int requests = i * 5 % 15;
        const double jitter = 1 + 0.1 * std::sin(i);
        const double time = 7000 / 50.0 + 72.0 * requests / 12 + 60 * std::max(0, requests - 11);
        estimator.on_first_byte({.prompt_cost_tokens = 7000, .requests = requests},
                                absl::Milliseconds(time * jitter), now);
        ASSERT_DOUBLE_EQ(estimator.concurrency_limit(now), 15) << i;
    }
}

// Guards against a decision by a load that no longer exists.
TEST(endpoint_estimator, uses_a_load_report_for_about_a_second)
{
    endpoint_estimator estimator = make_estimator(12);
    estimator.on_load_header({.running = 10, .waiting = 0, .slots = 12}, 2, start);
    EXPECT_EQ(estimator.requests_in_flight(2, start), 10);
    EXPECT_EQ(estimator.requests_in_flight(3, start), 11);
    EXPECT_EQ(estimator.requests_in_flight(2, start + absl::Milliseconds(500)), 6);
    EXPECT_EQ(estimator.requests_in_flight(2, start + absl::Seconds(1)), 2);
}

// Guards against an endpoint that reports no load, or a high speed, and attracts all requests.
TEST(endpoint_estimator, trusts_own_observations_more_than_a_false_report)
{
    endpoint_estimator estimator = make_estimator(12);
    for (int i = 0; i < 5; ++i)
        estimator.on_sent();
    estimator.on_load_header({.running = 0, .waiting = 0, .slots = 12}, 9, start);
    EXPECT_GE(estimator.requests_in_flight(9, start), 7);
    estimator.on_load_header({.running = 100000, .waiting = 100000, .slots = 100000}, 9, start);
    EXPECT_LE(estimator.requests_in_flight(9, start), 21);

    // Work takes three times as long as usual, while the endpoint reports half.
    const simulated_endpoint slow{.tokens_per_ms = 50 / 3.0, .busy_ms = 216};
    absl::Time now = start;
    for (int i = 0; i < 20; ++i) {
        estimator.on_load_header({.running = 1, .waiting = 0, .slots = 12, .pace = 0.5}, 1, now);
        now = run(estimator, slow, absl::Milliseconds(100), now);
    }
    EXPECT_NEAR(predicted_ms(estimator, 800, 6, now) / slow.time_ms(800, 6), 1, 0.35);
}

// Guards against following a change of the endpoint's pace only after its responses were late.
TEST(endpoint_estimator, follows_a_reported_change_of_pace_at_once)
{
    endpoint_estimator estimator = make_estimator(12);
    absl::Time now = start;
    for (int i = 0; i < 20; ++i) {
        estimator.on_load_header({.running = 1, .waiting = 0, .slots = 12, .pace = 1.0}, 1, now);
        now = run(estimator, {}, absl::Milliseconds(100), now);
    }
    const double before = predicted_ms(estimator, 7000, 6, now);
    estimator.on_load_header({.running = 1, .waiting = 0, .slots = 12, .pace = 1.8}, 1, now);
    EXPECT_NEAR(predicted_ms(estimator, 7000, 6, now) / before, 1.8, 0.1);
    EXPECT_NEAR(predicted_ms(estimator, 7000, 6, now + absl::Seconds(1)) / before, 1, 0.1);
}

// A new node and one with little traffic know endpoints from their peers only.
TEST(endpoint_estimator, takes_over_the_pace_that_peers_observed)
{
    endpoint_estimator observer = make_estimator(12);
    const absl::Time now =
        run(observer, {.tokens_per_ms = 150, .busy_ms = 24}, absl::Seconds(3), start);
    EXPECT_NEAR(observer.observed_pace(now), 0.45, 0.15);
    EXPECT_EQ(observer.observed_pace(now + absl::Seconds(2)), 0);
    endpoint_estimator estimator = make_estimator(12);
    for (int i = 0; i < 5; ++i)
        estimator.on_peer_pace(observer.observed_pace(now), now);
    EXPECT_LT(predicted_ms(estimator, 7000, 6, now), 0.65 * (140 + 36));
    estimator.on_peer_pace(0, now);
    estimator.on_peer_pace(std::nan(""), now);
    estimator.on_peer_pace(1e300, now);
    EXPECT_TRUE(std::isfinite(predicted_ms(estimator, 7000, 6, now)));
}

// No sequence of observations may lead to a prediction that is negative, infinite or not a number.
RC_GTEST_PROP(endpoint_estimator, predicts_a_finite_time_after_any_observations, ())
{
    endpoint_estimator estimator = make_estimator(*rc::gen::inRange(1, 64));
    absl::Time now = start;
    const int count = *rc::gen::inRange(1, 200);
    for (int i = 0; i < count; ++i) {
        now += absl::Microseconds(*rc::gen::inRange(-1000, 3000000));
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            estimator.on_first_byte(
                {.prompt_cost_tokens = static_cast<double>(*rc::gen::inRange(0, 200000)),
                 .requests = *rc::gen::inRange(0, 500)},
                absl::Milliseconds(*rc::gen::inRange(-10, 30000)), now);
            break;
        case 1:
            estimator.on_load_header({.running = *rc::gen::inRange(0, 100000),
                                      .waiting = *rc::gen::inRange(0, 100000),
                                      .slots = *rc::gen::inRange(1, 100000),
                                      .pace = *rc::gen::inRange(1, 10000) / 100.0},
                                     *rc::gen::inRange(0, 500), now);
            break;
        default:
            estimator.on_peer_pace(*rc::gen::inRange(-10, 100000) / 100.0, now);
        }
        const double predicted = predicted_ms(estimator, 1000, 3, now);
        RC_ASSERT(std::isfinite(predicted));
        RC_ASSERT(predicted >= 0);
        RC_ASSERT(estimator.concurrency_limit(now) >= 1);
        RC_ASSERT(estimator.requests_in_flight(3, now) >= 0);
    }
}

// Guards against headers that break the node or are taken for a report.
TEST(load_reading, rejects_malformed_headers)
{
    for (const char* text : {"",
                             ",",
                             ",,",
                             "1",
                             "1,2",
                             "a,b,c",
                             "-1,2,3",
                             "1,-2,3",
                             "1,2,-3",
                             "1,2,0",
                             "5,0,4",
                             "99999999999,1,1",
                             "1,99999999999999999999,4",
                             "1,2,300000",
                             "+1,2,3",
                             "1.5,2,3",
                             "1,2,3x",
                             "nan,nan,nan",
                             "0x1,2,3",
                             "1;2;3"})
        EXPECT_EQ(parse_load_reading(text), std::nullopt) << text;
    EXPECT_EQ(parse_load_reading(std::string(100000, ',')), std::nullopt);
    EXPECT_EQ(parse_load_reading(std::string(100000, '1')), std::nullopt);
}

TEST(load_reading, reads_three_or_four_figures_and_ignores_the_rest)
{
    const load_reading expected{.running = 3, .waiting = 1, .slots = 12};
    EXPECT_EQ(parse_load_reading("3,1,12"), expected);
    EXPECT_EQ(parse_load_reading(" 3, 1 ,12 "), expected);
    for (const char* text : {"3,1,12,", "3,1,12,x", "3,1,12,-5", "3,1,12,0", "3,1,12,99999999999"})
        EXPECT_EQ(parse_load_reading(text), expected) << text;
    const load_reading with_pace{.running = 3, .waiting = 1, .slots = 12, .pace = 2.5};
    EXPECT_EQ(parse_load_reading("3,1,12,250"), with_pace);
    EXPECT_EQ(parse_load_reading("3,1,12,250,7"), with_pace);
}

} // namespace
} // namespace chivedeal::endpoints
