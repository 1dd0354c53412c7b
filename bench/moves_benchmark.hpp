#ifndef BENCH_MOVES_BENCHMARK_HPP
#define BENCH_MOVES_BENCHMARK_HPP

#include "bench/benchmark.hpp"

namespace chivedeal::bench {

/// What version moves cost: good versions finished in time, bad ones rolled back by kind, the
/// requests that bad versions received, false rollbacks and the time to a verdict.
class moves_benchmark : public benchmark
{
public:
    std::string name() const override { return "moves"; }
    void run(report& out) override;
};

} // namespace chivedeal::bench

#endif
