#ifndef BENCH_PATH_BENCHMARK_HPP
#define BENCH_PATH_BENCHMARK_HPP

#include "bench/benchmark.hpp"

namespace chivedeal::bench {

/// Measures the latency that a node adds to the first token while 200 other streams are open, as
/// the difference from direct calls to the same engine in the same run.
class path_benchmark : public benchmark
{
public:
    std::string name() const override { return "path"; }
    void run(report& out) override;
};

} // namespace chivedeal::bench

#endif
