#ifndef BENCH_BENCHMARK_HPP
#define BENCH_BENCHMARK_HPP

#include <string>

namespace chivedeal::bench {

class report;

/// One group of measures, from fixed seeds.
class benchmark
{
public:
    virtual ~benchmark() = default;

    virtual std::string name() const = 0;
    virtual void run(report& out) = 0;
};

} // namespace chivedeal::bench

#endif
