#ifndef BENCH_STATE_BENCHMARK_HPP
#define BENCH_STATE_BENCHMARK_HPP

#include "bench/benchmark.hpp"

namespace chivedeal::bench {

/// Benchmarks log replay, snapshots and the memory use of declarations.
class state_benchmark : public benchmark
{
public:
    std::string name() const override { return "state"; }
    void run(report& out) override;
};

} // namespace chivedeal::bench

#endif
