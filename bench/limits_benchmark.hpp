#ifndef BENCH_LIMITS_BENCHMARK_HPP
#define BENCH_LIMITS_BENCHMARK_HPP

#include "bench/benchmark.hpp"

namespace chivedeal::bench {

/// Overshoot of a workspace's limit over many nodes and fairness between workspaces, each against
/// doing without.
class limits_benchmark : public benchmark
{
public:
    std::string name() const override { return "limits"; }
    void run(report& out) override;
};

} // namespace chivedeal::bench

#endif
