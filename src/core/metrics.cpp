#include "chivedeal/core/metrics.hpp"

#include "absl/strings/str_cat.h"

// Boost 1.74 uses std::ostringstream in extended_p_square_quantile.hpp without including it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <mutex>

namespace chivedeal {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 3> quantiles{0.5, 0.95, 0.99};

std::string family_of(const std::string& name) { return name.substr(0, name.find('{')); }

} // namespace

class metrics::summary
{
public:
    summary() : m_samples(accumulators::extended_p_square_probabilities = quantiles) {}

    void observe(double sample) { m_samples(sample); }

    void expose(const std::string& name, std::string& out) const
    {
        for (const double quantile : quantiles)
            absl::StrAppend(
                &out, name, "{quantile=\"", quantile, "\"} ",
                accumulators::quantile(m_samples, accumulators::quantile_probability = quantile),
                "\n");
        absl::StrAppend(&out, name, "_sum ", accumulators::sum(m_samples), "\n", name, "_count ",
                        accumulators::count(m_samples), "\n");
    }

private:
    accumulators::accumulator_set<
        double, accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                                    accumulators::tag::extended_p_square_quantile>>
        m_samples;
};

metrics::metrics() = default;
metrics::~metrics() = default;

void metrics::add(const std::string& name, double delta)
{
    const std::lock_guard<mutex> lock(m_mutex);
    m_counters[name] += delta;
}

void metrics::set(const std::string& name, double value)
{
    const std::lock_guard<mutex> lock(m_mutex);
    m_gauges[name] = value;
}

void metrics::observe(const std::string& name, double sample)
{
    const std::lock_guard<mutex> lock(m_mutex);
    auto& entry = m_summaries[name];
    if (!entry)
        entry = std::make_unique<summary>();
    entry->observe(sample);
}

double metrics::value(const std::string& name) const
{
    const std::lock_guard<mutex> lock(m_mutex);
    if (const auto counter = m_counters.find(name); counter != m_counters.end())
        return counter->second;
    const auto gauge = m_gauges.find(name);
    return gauge == m_gauges.end() ? 0 : gauge->second;
}

std::string metrics::expose() const
{
    const std::lock_guard<mutex> lock(m_mutex);
    std::string out;
    std::string family;
    const auto append = [&](const std::map<std::string, double>& values, const char* type) {
        for (const auto& [name, value] : values) {
            if (family_of(name) != family) {
                family = family_of(name);
                absl::StrAppend(&out, "# TYPE ", family, " ", type, "\n");
            }
            absl::StrAppend(&out, name, " ", value, "\n");
        }
    };
    append(m_counters, "counter");
    append(m_gauges, "gauge");
    for (const auto& [name, entry] : m_summaries) {
        absl::StrAppend(&out, "# TYPE ", name, " summary\n");
        entry->expose(name, out);
    }
    return out;
}

} // namespace chivedeal
