#ifndef BENCH_STATE_BENCHMARK_HPP
#define BENCH_STATE_BENCHMARK_HPP

#include "bench/benchmark.hpp"

namespace chivedeal::bench {

/// Replay of a log, snapshots and the memory of declarations.
class state_benchmark : public benchmark
{
public:
    std::string name() const override { return "state"; }
    void run(report& out) override;
};

} // namespace chivedeal::bench

#endif
