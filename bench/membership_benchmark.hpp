#ifndef BENCH_MEMBERSHIP_BENCHMARK_HPP
#define BENCH_MEMBERSHIP_BENCHMARK_HPP

#include "bench/benchmark.hpp"

namespace chivedeal::bench {

/// Bytes and processor time of gossip per node, and the time until a fact is known everywhere,
/// against the number of nodes; virtual time with the real encoder.
class membership_benchmark : public benchmark
{
public:
    std::string name() const override { return "membership"; }
    void run(report& out) override;
};

} // namespace chivedeal::bench

#endif
