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

bool admits(admission& door, const std::string& workspace, int priority, absl::Time now = start)
{
    caller_request request;
    request.workspace = workspace_id(workspace);
    request.priority = priority;
    return is_ok(door.admit(request, now));
}

// Ends one of a workspace's requests in turn, so that all workspaces are served at the same rate.
class served
{
public:
    void add(const std::string& workspace) { m_open.push_back(workspace); }

    void finish_oldest(admission& door, std::size_t count)
    {
        for (std::size_t i = 0; i < count && !m_open.empty(); ++i) {
            door.finished(workspace_id(m_open.front()));
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

// Guards against more open requests than the node has room for, whatever comes and goes.
RC_GTEST_PROP(admission, keeps_the_bound, ())
{
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, bool>>>(rc::gen::tuple(
        rc::gen::inRange(0, 4), rc::gen::inRange(0, 10), rc::gen::arbitrary<bool>()));
    admission door({.max_open = 12});
    std::vector<int> open(4, 0);
    int total = 0;
    for (const auto& [workspace, priority, finish] : steps) {
        if (finish && open[workspace] > 0) {
            door.finished(workspace_id(std::to_string(workspace)));
            --open[workspace];
            --total;
        }
        else if (admits(door, std::to_string(workspace), priority)) {
            ++open[workspace];
            ++total;
        }
        RC_ASSERT(door.open() == total);
        RC_ASSERT(total <= 12);
    }
}

// Guards against a low priority that is admitted where a higher one is refused.
RC_GTEST_PROP(admission, sheds_lower_priorities_first, ())
{
    const int fill = *rc::gen::inRange(0, 200);
    bool before = true;
    for (int priority = 0; priority < 10; ++priority) {
        admission door({.max_open = 200});
        for (int i = 0; i < fill; ++i)
            (void)admits(door, std::to_string(i % 5), 0);
        const bool now = admits(door, "probe", priority);
        RC_ASSERT(before || !now);
        before = now;
    }
    RC_ASSERT(fill < 180 || !before);
}

// Guards against large workspaces that starve a small one: it is never refused while it stays
// within the reserve.
RC_GTEST_PROP(admission, a_small_workspace_gets_in, ())
{
    const auto load = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
    const int large = *rc::gen::inRange(1, 6);
    admission door({.max_open = 100});
    served open;
    absl::Time now = start;
    for (const int finished : load) {
        now += absl::Milliseconds(10);
        for (int i = 0; i < 200; ++i) {
            const std::string name = std::to_string(i % large);
            if (admits(door, name, 5, now))
                open.add(name);
        }
        if (open.count("small") < 5) {
            RC_ASSERT(admits(door, "small", 5, now));
            open.add("small");
        }
        open.finish_oldest(door, finished);
    }
}

// Guards against shares in proportion to what each workspace sends: 50 times the requests must not
// bring more than an equal share, or twice the share with twice the weight.
TEST(admission, shares_follow_weights_and_not_demand)
{
    for (const double weight : {1.0, 2.0}) {
        admission door({.max_open = 100, .weights = {{workspace_id("modest"), weight}}});
        served open;
        for (int step = 0; step < 500; ++step) {
            const absl::Time now = start + step * absl::Milliseconds(10);
            for (int i = 0; i < 51; ++i) {
                const std::string name = i == 25 ? "modest" : "greedy";
                for (int j = 0; j < (i == 25 ? 5 : 1); ++j)
                    if (admits(door, name, 0, now))
                        open.add(name);
            }
            open.finish_oldest(door, 5);
        }
        const double part = 90 * weight / (weight + 1);
        EXPECT_NEAR(open.count("modest"), part, 10) << weight;
        EXPECT_LE(open.count("greedy"), 90 - part + 10) << weight;
    }
}

// Guards against room left idle: one workspace alone may use all but the reserve.
TEST(admission, a_lone_workspace_uses_the_node)
{
    admission door({.max_open = 100});
    int admitted = 0;
    for (int i = 0; i < 200; ++i)
        admitted += admits(door, "only", 0) ? 1 : 0;
    EXPECT_EQ(admitted, 90);
}
