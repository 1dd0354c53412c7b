#ifndef TEST_SCENARIO_RUNNER_TCP_RELAY_HPP
#define TEST_SCENARIO_RUNNER_TCP_RELAY_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/mutex.hpp"
#include "chivedeal/core/posix_thread.hpp"

#include <cstdint>
#include <list>
#include <memory>

namespace chivedeal::scenario {

/// Forwards TCP connections to a target, so that a scenario can cut one path.
class tcp_relay
{
public:
    explicit tcp_relay(address target);
    ~tcp_relay();
    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;

    address listen_address() const;

    /// Breaks all connections and refuses new ones until `heal`.
    void cut();
    void heal();

private:
    class link;

    void accept_links();

    address m_target;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    mutex m_mutex;
    bool m_cut = false;
    bool m_stopping = false;
    std::list<std::unique_ptr<link>> m_links;
    std::unique_ptr<posix_thread> m_thread;
};

} // namespace chivedeal::scenario

#endif
