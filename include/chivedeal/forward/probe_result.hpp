#ifndef CHIVEDEAL_FORWARD_PROBE_RESULT_HPP
#define CHIVEDEAL_FORWARD_PROBE_RESULT_HPP

namespace chivedeal::forward {

/// Outcome of opening a connection to an endpoint without sending a request.
enum class probe_result
{
    connected,
    /// Nothing listens at the address.
    refused,
    /// The connect timed out, or failed in another way.
    unknown,
};

} // namespace chivedeal::forward

#endif
