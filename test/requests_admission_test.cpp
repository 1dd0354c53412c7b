#include "chivedeal/requests/admission.hpp"

#include "chivedeal/requests/caller_request.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

using namespace chivedeal;           // NOLINT(google-build-using-namespace)
using namespace chivedeal::requests; // NOLINT(google-build-using-namespace)

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

bool admits(admission& controller, const std::string& workspace, int priority,
            absl::Time now = start)
{
    caller_request request;
    request.workspace = workspace_id(workspace);
    request.priority = priority;
    return is_ok(controller.admit(request, now));
}

// Open requests in order of admission; finishing the oldest serves all workspaces at the same rate.
class open_requests
{
public:
    void add(const std::string& workspace) { m_open.push_back(workspace); }

    void finish_oldest(admission& controller, std::size_t count)
    {
        for (std::size_t i = 0; i < count && !m_open.empty(); ++i) {
            controller.release(workspace_id(m_open.front()));
            m_open.erase(m_open.begin());
        }
    }

    int count(const std::string& workspace) const
    {
        return static_cast<int>(std::count(m_open.begin(), m_open.end(), workspace));
    }

private:
    std::vector<std::string> m_open;
};

} // namespace

// Guards against more open requests than `max_open` after any sequence of arrivals and ends.
RC_GTEST_PROP(admission, never_exceeds_max_open, ())
{
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, bool>>>(rc::gen::tuple(
        rc::gen::inRange(0, 4), rc::gen::inRange(0, 10), rc::gen::arbitrary<bool>()));
    admission controller({.max_open = 12});
    std::vector<int> open(4, 0);
    int total = 0;
    for (const auto& [workspace, priority, finish] : steps) {
        if (finish && open[workspace] > 0) {
            controller.release(workspace_id(std::to_string(workspace)));
            --open[workspace];
            --total;
        }
        else if (admits(controller, std::to_string(workspace), priority)) {
            ++open[workspace];
            ++total;
        }
        RC_ASSERT(controller.open() == total);
        RC_ASSERT(total <= 12);
    }
}

// Guards against admitting a low priority under a load at which a higher one is refused.
RC_GTEST_PROP(admission, sheds_lower_priorities_first, ())
{
    const int fill = *rc::gen::inRange(0, 200);
    bool previous_admitted = true;
    for (int priority = 0; priority < 10; ++priority) {
        admission controller({.max_open = 200});
        for (int i = 0; i < fill; ++i)
            (void)admits(controller, std::to_string(i % 5), 0);
        const bool admitted = admits(controller, "probe", priority);
        RC_ASSERT(previous_admitted || !admitted);
        previous_admitted = admitted;
    }
    RC_ASSERT(fill < 180 || !previous_admitted);
}

// Guards against large workspaces that starve a small one, which must not be refused as long as it
// stays within the reserve.
RC_GTEST_PROP(admission, admits_small_workspace_under_load, ())
{
    const auto load = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
    const int large = *rc::gen::inRange(1, 6);
    admission controller({.max_open = 100});
    open_requests open;
    absl::Time now = start;
    for (const int finished : load) {
        now += absl::Milliseconds(10);
        for (int i = 0; i < 200; ++i) {
            const std::string name = std::to_string(i % large);
            if (admits(controller, name, 5, now))
                open.add(name);
        }
        if (open.count("small") < 5) {
            RC_ASSERT(admits(controller, "small", 5, now));
            open.add("small");
        }
        open.finish_oldest(controller, finished);
    }
}

// Guards against shares proportional to the number of requests: a workspace that sends 50
// requests per step gets an equal share, and half the share of one with twice its weight.
TEST(admission, shares_follow_weights_and_not_demand)
{
    for (const double weight : {1.0, 2.0}) {
        admission controller({.max_open = 100, .weights = {{workspace_id("modest"), weight}}});
        open_requests open;
        for (int step = 0; step < 500; ++step) {
            const absl::Time now = start + step * absl::Milliseconds(10);
            for (int i = 0; i < 51; ++i) {
                const std::string name = i == 25 ? "modest" : "greedy";
                for (int j = 0; j < (i == 25 ? 5 : 1); ++j)
                    if (admits(controller, name, 0, now))
                        open.add(name);
            }
            open.finish_oldest(controller, 5);
        }
        const double fair_share = 90 * weight / (weight + 1);
        EXPECT_NEAR(open.count("modest"), fair_share, 10) << weight;
        EXPECT_LE(open.count("greedy"), 90 - fair_share + 10) << weight;
    }
}

// Guards against idle capacity: a workspace without competitors may use all but the reserve.
TEST(admission, lets_a_single_workspace_use_all_but_the_reserve)
{
    admission controller({.max_open = 100});
    int admitted = 0;
    for (int i = 0; i < 200; ++i)
        admitted += admits(controller, "only", 0) ? 1 : 0;
    EXPECT_EQ(admitted, 90);
}
