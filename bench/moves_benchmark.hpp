#ifndef BENCH_MOVES_BENCHMARK_HPP
#define BENCH_MOVES_BENCHMARK_HPP

#include "bench/benchmark.hpp"

namespace chivedeal::bench {

/// Compares rollout policies in simulated version moves. For good versions it reports how many
/// moves finish in time or are rolled back; for each fault of a bad version, the share of
/// rollbacks, the requests affected and the time to a verdict.
class moves_benchmark : public benchmark
{
public:
    std::string name() const override { return "moves"; }
    void run(report& out) override;
};

} // namespace chivedeal::bench

#endif
