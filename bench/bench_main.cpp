#include "bench/benchmark.hpp"
#include "bench/core_benchmark.hpp"
#include "bench/limits_benchmark.hpp"
#include "bench/membership_benchmark.hpp"
#include "bench/moves_benchmark.hpp"
#include "bench/path_benchmark.hpp"
#include "bench/placement_benchmark.hpp"
#include "bench/report.hpp"
#include "bench/routing_benchmark.hpp"
#include "bench/state_benchmark.hpp"

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace {

std::vector<std::unique_ptr<chivedeal::bench::benchmark>> make_benchmarks()
{
    std::vector<std::unique_ptr<chivedeal::bench::benchmark>> all;
    all.push_back(std::make_unique<chivedeal::bench::core_benchmark>());
    all.push_back(std::make_unique<chivedeal::bench::moves_benchmark>());
    all.push_back(std::make_unique<chivedeal::bench::path_benchmark>());
    all.push_back(std::make_unique<chivedeal::bench::routing_benchmark>());
    all.push_back(std::make_unique<chivedeal::bench::limits_benchmark>());
    all.push_back(std::make_unique<chivedeal::bench::placement_benchmark>());
    all.push_back(std::make_unique<chivedeal::bench::membership_benchmark>());
    all.push_back(std::make_unique<chivedeal::bench::state_benchmark>());
    return all;
}

} // namespace

// Usage: chivedeal_bench [--json] [GROUP...]
int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    bool json = false;
    std::vector<std::string> groups;
    for (const std::string& argument : arguments) {
        if (argument == "--json")
            json = true;
        else
            groups.push_back(argument);
    }
    chivedeal::bench::report out;
    for (const auto& benchmark : make_benchmarks()) {
        bool wanted = groups.empty();
        for (const std::string& group : groups)
            wanted = wanted || group == benchmark->name();
        if (wanted)
            benchmark->run(out);
    }
    std::puts(json ? out.json().c_str() : out.table().c_str());
    return 0;
}
