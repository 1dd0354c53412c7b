#ifndef BENCH_CORE_BENCHMARK_HPP
#define BENCH_CORE_BENCHMARK_HPP

#include "bench/benchmark.hpp"

namespace chivedeal::bench {

/// Cost of passing an item between two threads.
class core_benchmark : public benchmark
{
public:
    std::string name() const override { return "core"; }
    void run(report& out) override;
};

} // namespace chivedeal::bench

#endif
