#ifndef CHIVEDEAL_FORWARD_SHUTDOWN_ADMISSION_HPP
#define CHIVEDEAL_FORWARD_SHUTDOWN_ADMISSION_HPP

#include "chivedeal/forward/response_time_estimate.hpp"

#include "absl/time/time.h"

#include <map>
#include <string>
#include <vector>

namespace chivedeal::forward {

struct route;

/// Decides which requests a node that shuts down still accepts: those that can be expected to end
/// before the node does, by the earlier response times of their route.
class shutdown_admission
{
public:
    /// Records the time from the arrival of a request to the end of its response.
    void on_response(const std::string& route_name, absl::Duration response_time);

    /// Forgets the response times of routes that aren't in the list.
    void retain(const std::vector<route>& routes);

    /// Sets the time from which on no request may be under way, and the one from which on callers
    /// know other nodes.
    void begin(absl::Time end, absl::Time callers_informed);

    /// Whether a request that the node gives up at `give_up_at` can be expected to end in time. A
    /// stream that doesn't is cut off without a final response, so once its caller knows other
    /// nodes, no expectation is enough.
    bool accepts(const route& matched, absl::Time give_up_at, absl::Time now) const;

private:
    absl::Time m_end = absl::InfiniteFuture();
    absl::Time m_callers_informed = absl::InfiniteFuture();
    std::map<std::string, response_time_estimate> m_response_times;
};

} // namespace chivedeal::forward

#endif
