#ifndef BENCH_ROUTING_BENCHMARK_HPP
#define BENCH_ROUTING_BENCHMARK_HPP

#include "bench/benchmark.hpp"

namespace chivedeal::bench {

/// Measures the cost of a routing decision, and compares the policies under generated loads in a
/// queueing model.
class routing_benchmark : public benchmark
{
public:
    std::string name() const override { return "routing"; }
    void run(report& out) override;
};

} // namespace chivedeal::bench

#endif
