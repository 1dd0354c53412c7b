#ifndef BENCH_ROUTING_BENCHMARK_HPP
#define BENCH_ROUTING_BENCHMARK_HPP

#include "bench/benchmark.hpp"

namespace chivedeal::bench {

/// Cost of a routing decision, and what the policies do to generated loads in a queueing model.
class routing_benchmark : public benchmark
{
public:
    std::string name() const override { return "routing"; }
    void run(report& out) override;
};

} // namespace chivedeal::bench

#endif
