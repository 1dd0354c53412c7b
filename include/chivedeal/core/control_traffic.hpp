#ifndef CHIVEDEAL_CORE_CONTROL_TRAFFIC_HPP
#define CHIVEDEAL_CORE_CONTROL_TRAFFIC_HPP

#include <cstdint>

namespace chivedeal {

class bounded_http_client;
class metrics;

/// What a control message is for.
enum class control_purpose
{
    rpc,
    log_read,
    log_append,
    instance_list,
    load_poll
};

/// Counts the bytes of control messages in `chivedeal_control_bytes_total`, by purpose and
/// direction, so that operators see a node's control budget. Safe to use from several threads.
///
/// TCP and IP headers are not in the count. An HTTP call that gets no answer is not counted.
class control_traffic
{
public:
    explicit control_traffic(metrics& counters) : m_counters(counters) {}

    void add_sent(control_purpose purpose, std::uint64_t bytes);
    void add_received(control_purpose purpose, std::uint64_t bytes);

    /// Counts every answered call of the client, heads and bodies.
    void watch(bounded_http_client& client, control_purpose purpose);

private:
    metrics& m_counters;
};

} // namespace chivedeal

#endif
