#ifndef BENCH_REPORT_HPP
#define BENCH_REPORT_HPP

#include <string>
#include <vector>

namespace chivedeal::bench {

/// Collects measures and prints them as a table or as JSON.
///
///     out.add("routing", "tokens_recomputed", "round_robin", 1200, "tokens");
class report
{
public:
    void add(std::string group, std::string measure, std::string policy, double value,
             std::string unit);

    std::string table() const;
    std::string json() const;

private:
    struct row
    {
        std::string group;
        std::string measure;
        std::string policy;
        double value = 0;
        std::string unit;
    };

    std::vector<row> m_rows;
};

} // namespace chivedeal::bench

#endif
