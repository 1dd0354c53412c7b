#ifndef CHIVEDEAL_CORE_METRICS_HPP
#define CHIVEDEAL_CORE_METRICS_HPP

#include <map>
#include <memory>
#include <string>

#include "chivedeal/core/mutex.hpp"

namespace chivedeal {

/// The node's metrics, read by HTTP in the text exposition format.
///
/// Names carry their unit (`_seconds`, `_bytes`, `_total`). Labels are part of the name:
///
///     metrics.add(R"(chivedeal_requests_total{outcome="answered"})", 1);
///     metrics.observe("chivedeal_first_token_seconds", 0.2);
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Adds to a counter.
    void add(const std::string& name, double delta);

    /// Sets a gauge.
    void set(const std::string& name, double value);

    /// Adds a sample to a summary with count, sum and the quantiles 0.5, 0.95 and 0.99.
    void observe(const std::string& name, double sample);

    /// Returns the value of a counter or gauge, 0 when it was never set.
    double value(const std::string& name) const;

    /// Returns all metrics, sorted by name.
    std::string expose() const;

private:
    class summary;

    mutable mutex m_mutex;
    std::map<std::string, double> m_counters;
    std::map<std::string, double> m_gauges;
    std::map<std::string, std::unique_ptr<summary>> m_summaries;
};

} // namespace chivedeal

#endif
