#include "bench/membership_benchmark.hpp"

#include "bench/report.hpp"
#include "chivedeal/membership/peer_codec.hpp"
#include "fakes/gossip_network.hpp"

#include "absl/strings/str_cat.h"

#include <malloc.h>

#include <array>
#include <ctime>

namespace chivedeal::bench {

namespace {

constexpr std::array<std::size_t, 5> sizes{3, 9, 27, 81, 390};
constexpr double measured_seconds = 30;
// The design's limit of control traffic per node.
constexpr double bytes_budget = 2048;

double processor_seconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

std::size_t count_knowing(const fakes::gossip_network& network)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < network.size(); ++i)
        count += network.state(i).fact_count();
    return count;
}

// Returns the messages' bytes a second and node.
double measure(report& out, std::size_t nodes)
{
    const std::string policy = absl::StrCat(nodes, "_nodes");
    double bytes = 0;
    double messages = 0;
    const std::size_t heap = mallinfo2().uordblks;
    fakes::gossip_network network(
        {.nodes = nodes, .seed = 1, .observe = [&](std::size_t, const auto& message) {
             bytes += static_cast<double>(membership::encode_gossip(message).size());
             ++messages;
         }});
    network.run_for(absl::Seconds(60));
    bytes = 0;
    messages = 0;
    const double before = processor_seconds();
    for (int second = 0; second < measured_seconds; ++second) {
        // Each node applies a change every 9 s and has a new demand every second.
        for (std::size_t i = 0; i < nodes; ++i) {
            network.deliver(i, membership::local_offset{static_cast<std::uint64_t>(second) / 9});
            network.deliver(i, membership::local_demand{{{workspace_id("w"), 1.0 + second}}, {}});
        }
        network.run_for(absl::Seconds(1));
    }
    const double scale = 1 / (measured_seconds * static_cast<double>(nodes));
    const double used = (processor_seconds() - before) * scale;
    const double sent = bytes * scale;
    out.add("membership", "encoded_sent_per_node", policy, sent, "B/s");
    out.add("membership", "messages_per_node", policy, messages * scale, "1/s");
    out.add("membership", "processor_per_node_with_simulation", policy, used * 100, "% of a core");
    out.add("membership", "heap_per_node_with_simulation", policy,
            static_cast<double>(mallinfo2().uordblks - heap) / static_cast<double>(nodes) / 1024,
            "KB");
    if (sent > bytes_budget)
        out.add("membership", "OVER_BUDGET_encoded", policy, sent - bytes_budget, "B/s");
    network.deliver(0, membership::local_fact{membership::version_bad{.reason = "errors"}});
    absl::Duration passed;
    for (; count_knowing(network) < nodes && passed < absl::Seconds(60);
         passed += absl::Milliseconds(10))
        network.run_for(absl::Milliseconds(10));
    out.add("membership", "fact_known_everywhere", policy, absl::ToDoubleSeconds(passed), "s");
    return sent;
}

} // namespace

void membership_benchmark::run(report& out)
{
    double first = 0;
    double last = 0;
    for (const std::size_t nodes : sizes) {
        last = measure(out, nodes);
        if (nodes == sizes.front())
            first = last;
    }
    out.add("membership", "slope_of_bytes", "3_to_390_nodes",
            (last - first) / static_cast<double>(sizes.back() - sizes.front()), "B/s per node");
}

} // namespace chivedeal::bench
