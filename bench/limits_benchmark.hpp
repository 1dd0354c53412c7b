#ifndef BENCH_LIMITS_BENCHMARK_HPP
#define BENCH_LIMITS_BENCHMARK_HPP

#include "bench/benchmark.hpp"

namespace chivedeal::bench {

/// Measures the overshoot of a workspace's limit over many nodes and the fairness between
/// workspaces, each compared with a baseline.
class limits_benchmark : public benchmark
{
public:
    std::string name() const override { return "limits"; }
    void run(report& out) override;
};

} // namespace chivedeal::bench

#endif
