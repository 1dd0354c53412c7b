#ifndef BENCH_PLACEMENT_BENCHMARK_HPP
#define BENCH_PLACEMENT_BENCHMARK_HPP

#include "bench/benchmark.hpp"

namespace chivedeal::bench {

/// Simulates days with price changes, reclaim waves, refused starts and slow weight loads. Reports
/// the cost and the share of time in which the latency target is met.
class placement_benchmark : public benchmark
{
public:
    std::string name() const override { return "placement"; }
    void run(report& out) override;
};

} // namespace chivedeal::bench

#endif
