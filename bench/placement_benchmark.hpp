#ifndef BENCH_PLACEMENT_BENCHMARK_HPP
#define BENCH_PLACEMENT_BENCHMARK_HPP

#include "bench/benchmark.hpp"

namespace chivedeal::bench {

/// Cost at the latency target and share of time under it, over a day with price changes, reclaim
/// waves, refused starts and slow loads of weights.
class placement_benchmark : public benchmark
{
public:
    std::string name() const override { return "placement"; }
    void run(report& out) override;
};

} // namespace chivedeal::bench

#endif
