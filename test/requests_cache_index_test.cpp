#include "chivedeal/requests/cache_index.hpp"

#include "chivedeal/requests/cache_event_batch.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

using namespace chivedeal;           // NOLINT(google-build-using-namespace)
using namespace chivedeal::requests; // NOLINT(google-build-using-namespace)

namespace {

const endpoint_id engine("e1");
const absl::Time start = absl::FromUnixSeconds(1000);

// Returns the tokens of a valid entry for the engine; 0 if there is none.
std::uint64_t tokens_of(const cache_index& index, const std::string& prefix, absl::Time now)
{
    const auto* holders = index.find(cache_index::hash_of(prefix));
    if (holders == nullptr)
        return 0;
    for (const cache_index::holder& each : *holders)
        if (each.endpoint == cache_index::hash_of(engine) && index.is_valid(each, now))
            return each.tokens;
    return 0;
}

cache_event_batch batch_with_event(std::uint64_t seq, const std::string& prefix, bool cached)
{
    return {.endpoint = engine,
            .first = 1,
            .next = seq + 1,
            .events = {{.seq = seq, .prefix = prefix, .tokens = 100, .cached = cached}}};
}

} // namespace

// Guards against a delayed eviction event that overrides a more recent observation.
TEST(cache_index, keeps_a_recent_observation_over_late_events)
{
    cache_index index;
    index.on_observed(engine, "p", 500, start);
    index.on_events(batch_with_event(1, "p", false), start + absl::Seconds(1));
    EXPECT_EQ(tokens_of(index, "p", start + absl::Seconds(1)), 500U);
    index.on_events(batch_with_event(2, "p", false), start + absl::Seconds(10));
    EXPECT_EQ(tokens_of(index, "p", start + absl::Seconds(10)), 0U);
}

// Guards against entries that stay valid forever.
TEST(cache_index, expires_unconfirmed_entries)
{
    cache_index index;
    index.on_observed(engine, "p", 500, start);
    EXPECT_EQ(tokens_of(index, "p", start + absl::Minutes(11)), 0U);
}

// Guards against entries that stay valid after a restart of the engine.
TEST(cache_index, invalidates_entries_when_event_numbers_restart)
{
    cache_index index;
    index.on_events(batch_with_event(1, "p", true), start);
    index.on_events({.endpoint = engine, .first = 1, .next = 1, .events = {}}, start);
    EXPECT_EQ(tokens_of(index, "p", start), 0U);
    EXPECT_EQ(index.next_seq(engine), 1U);
}

// Guards against entries that stay valid although their eviction event was lost: whichever events
// are lost, a prefix with a valid entry is in the engine's cache.
RC_GTEST_PROP(cache_index, invalidates_entries_after_an_event_gap, ())
{
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, bool, bool>>>(rc::gen::tuple(
        rc::gen::inRange(0, 5), rc::gen::arbitrary<bool>(), rc::gen::arbitrary<bool>()));
    cache_index index;
    std::vector<bool> engine_cache(5, false);
    std::uint64_t seq = 0;
    for (const auto& [prefix, cached, lost] : steps) {
        engine_cache[prefix] = cached;
        ++seq;
        if (lost)
            continue;
        index.on_events(batch_with_event(seq, std::to_string(prefix), cached), start);
        for (std::size_t i = 0; i < engine_cache.size(); ++i)
            if (tokens_of(index, std::to_string(i), start) > 0)
                RC_ASSERT(engine_cache[i]);
    }
}

// Guards against unbounded memory use with a growing number of prefixes.
RC_GTEST_PROP(cache_index, limits_the_number_of_prefixes,
              (const std::vector<std::uint8_t>& prefixes))
{
    cache_index index({.max_prefixes = 10, .max_holders = 2});
    for (const std::uint8_t each : prefixes) {
        index.on_observed(engine, std::to_string(each), 1, start);
        RC_ASSERT(index.size() <= 10U);
        RC_ASSERT(tokens_of(index, std::to_string(each), start) == 1U);
    }
}
